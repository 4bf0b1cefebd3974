"""Workers and legs in the record. A grant is looked at against every rule when it
is applied: the job open, the task ready and due, the worker up and of the right
kind, zone and rack, room and spread and the lane's limit kept. Room counts from
the grant until the end of the leg is known."""

from ..base import consts as C
from .gangs import GangsMixin
from .kinds import DONE, LEAVES, LOST, OPEN, READY, RUNNING, STOPPED, UP, Worker


class LegsMixin(GangsMixin):
    bits = C.LOGICAL_BITS

    def take_room(self, *, g, sign):
        """Counts a leg in (1) or out (-1), everywhere that legs are counted."""
        w, s = self.workers[g.worker], self.jobs[g.job].steps[g.step]
        for i in range(3):
            w.used[i] += sign * g.room[i]
        self.count_in_queue(g=g, sign=sign)
        self.count_in_tenant(g=g, sign=sign)
        for d, a in ((s.on, w.id), (s.racks, w.rack)):
            d[a] = d.get(a, 0) + sign
            if not d[a]:
                del d[a]
        if sign > 0:
            w.runs[g.run] = g
        else:
            w.runs.pop(g.run, None)

    def count_in_queue(self, *, g, sign):
        """Counts a leg into what its queue runs and uses (1), or out of it (-1)."""
        u = self.lane_used.setdefault(g.lane, [0, 0, 0])
        for i in range(3):
            u[i] += sign * g.room[i]
        self.lane_run[g.lane] = self.lane_run.get(g.lane, 0) + sign

    def unfit(self, t, w, *, now):
        """Why task t may not start on worker w at `now` ms; '' if it may."""
        j = self.jobs[t.job]
        s = j.steps[t.step]
        sp, row = s.spec, self.charter["rows"].get(j.lane)
        if j.state != OPEN or t.state != READY:
            return "state"
        if now < t.due:
            return "due"
        if row is None:
            return "lane"
        if row["limit"] and self.lane_run.get(j.lane, 0) >= row["limit"]:
            return "limit"
        return self.unfit_worker(s=s, sp=sp, w=w, now=now, lane=j.lane)

    def kind_of(self, *, lane, sp):
        """The kind of worker a step runs on: the lane's, where its row names one."""
        return self.charter["rows"].get(lane, {}).get("kind") or sp["kind"]

    def unfit_worker(self, *, s, sp, w, now, lane=""):
        if w.state != UP:
            return "worker"
        if w.zone in self.evacuated:
            return "evacuated"
        if now < w.flaky:
            return "probation"
        if not suits(sp=sp, w=w, kind=self.kind_of(lane=lane, sp=sp)):
            return "kind"
        if any(w.used[i] + sp["room"][i] > w.room[i] for i in range(3)):
            return "room"
        if sp["perWorker"] and s.on.get(w.id, 0) >= sp["perWorker"]:
            return "spread"
        if sp["perRack"] and s.racks.get(w.rack, 0) >= sp["perRack"]:
            return "spread"
        return ""

    def ev_grant(self, st, task, worker):
        j = self.jobs.get(task.rsplit("/", 2)[0])
        t = j.tasks.get(task) if j else None
        w = self.workers.get(worker)
        if t is None or w is None:
            return ["no", "gone"]
        spec = j.steps[t.step].spec
        why = self.unfit(t, w, now=st >> C.LOGICAL_BITS) or ("gang" if spec.get("gang") else "")
        why = why or self.tenant_refusal(job=j, room=spec["room"])
        if why:
            return ["no", why]
        self.touch(j)
        self.task_to(t=t, state=RUNNING, st=st)
        self.add_attempt(st=st, j=j, t=t, w=w, no=t.starts + 1 if self.level > 1 else 0)
        return ["ok", st]

    def ev_end(self, st, run, how, why, saved=""):
        """The end of a leg: ok, bad, stopped or lost (or, at level 2, alone, broken,
        refused). Known once, by its run. `saved` is the checkpoint it left."""
        g = self.legs.pop(run, None)
        if g is None:
            return ["late", run]
        self.take_room(g=g, sign=-1)
        j = self.jobs[g.job]
        self.touch(j)
        t = j.tasks[g.task]
        j.live, t.live = j.live - 1, t.live - 1
        t.saved = saved or t.saved
        sp = j.steps[g.step].spec
        bad = how == "bad" or how == "stopped" and g.stop == "limit"
        if sp.get("gang"):
            self.gang_end(j=j, g=g, t=t, st=st, how="bad" if bad else how, why=why, saved=saved)
        elif t.state != RUNNING:
            pass  # a copy ended well before this one
        elif how == "ok" and not sp.get("forever"):
            self.task_done(j=j, t=t, st=st)
            self.copy_end(j=j, g=g, t=t, st=st, how=how)
        elif bad and (t.live == 0 or t.fails + 1 >= sp["maxFailures"]):
            self.task_bad(j=j, t=t, worker=g.worker, st=st, why=why)
        elif t.live:
            t.fails += bad
        elif j.state == OPEN:
            self.task_to(t=t, state=READY, st=st)
        else:
            self.task_to(t=t, state=STOPPED, st=st)
        self.settle(j, st=st)
        return ["ok", run]

    def ev_stop(self, st, run, why):
        g = self.legs.get(run)
        if g is None:
            return ["late", run]
        g.stop = g.stop or why
        return ["ok", run]

    def ev_worker(self, st, id, boot, kind, zone, rack, room, keeps=True, labels=()):
        """A worker announces itself. A new boot means its old legs have stopped; a
        boot that has left stays left, however often it announces itself."""
        w = self.workers.get(id)
        if w is not None and w.boot == boot:
            return ["same", w.state]
        past, left = (w.past, "") if w is not None else self.gone.pop(id, ([], ""))
        if boot in past:
            if w is None:
                self.gone[id] = (past, left)
            return ["old", w.boot if w is not None else ""]
        if w is not None:
            self.end_all(w, st=st)
            past = (past + [w.boot])[-self.rule["boots_kept"] :]
        state = LEAVES if boot == left else UP
        self.fleet += 1
        self.workers[id] = Worker(
            id=id,
            boot=boot,
            kind=kind,
            zone=zone,
            rack=rack,
            room=room,
            since=st,
            past=past,
            state=state,
            keeps=keeps,
            labels=list(labels),
        )
        return ["ok", state]

    def end_all(self, w, *, st, saved=None):
        for run in sorted(w.runs):
            self.ev_end(st, run, "lost", "worker lost", (saved or {}).get(run, ""))

    def restarts(self, *, w, g):
        """Whether a lost worker's leg has certainly stopped, or may run twice."""
        how = self.jobs[g.job].steps[g.step].spec.get("ifLost", "auto")
        return how == "restart" or how == "auto" and w.keeps

    def ev_leave(self, st, id, boot):
        w = self.workers.get(id)
        if w is None or boot and w.boot != boot:
            return ["none", ""]
        if w.state == LOST:
            w.was = LEAVES
        else:
            w.state = LEAVES
        return ["ok", LEAVES]

    def ev_lost(self, st, id, boot, saved=None):
        """The worker was not heard for its whole hold. Legs that have certainly stopped
        end; those that may yet run stay, and the worker with them, as lost. `saved` has
        the checkpoints it had told of, by run."""
        w = self.workers.get(id)
        if w is None or w.boot != boot or w.state == LOST:
            return ["none", ""]
        if not self.rule["lost_waits"]:
            self.end_all(w, st=st)
        for run in sorted(w.runs):
            if self.restarts(w=w, g=w.runs[run]):
                self.ev_end(st, run, "lost", "worker lost", (saved or {}).get(run, ""))
        if w.runs:
            w.state, w.was = LOST, w.state
            return ["waits", len(w.runs)]
        self.drop_worker(w, left=boot if w.state == LEAVES else "")
        return ["ok", ""]

    def drop_worker(self, w, *, left):
        del self.workers[w.id]
        self.fleet += 1
        self.gone[w.id] = (w.past, left)
        while len(self.gone) > self.rule["gone_kept"]:
            del self.gone[next(iter(self.gone))]

    def ev_back(self, st, id, boot):
        """A lost worker is heard again under its boot: its legs go on."""
        w = self.workers.get(id)
        if w is None or w.boot != boot or w.state != LOST:
            return ["none", ""]
        w.state, w.was = w.was, ""
        return ["ok", w.state]

    def ev_keeps(self, st, id, boot, keeps):
        """What a worker says now of its hold: it was taken in under an older format."""
        w = self.workers.get(id)
        if w is None or w.boot != boot:
            return ["none", ""]
        w.keeps = keeps
        return ["ok", keeps]

    def ev_gone(self, st, id, boot):
        """An operator's word that a lost worker runs nothing any more. Its boot is
        known as past from here on, whatever it may still say."""
        w = self.workers.get(id)
        if w is None or boot and w.boot != boot:
            return ["none", ""]
        if w.state != LOST:
            return ["no", w.state]
        self.end_all(w, st=st)
        w.past = (w.past + [w.boot])[-self.rule["boots_kept"] :]
        self.drop_worker(w, left="")
        return ["ok", ""]

    def ev_flaky(self, st, id, until):
        w = self.workers.get(id)
        if w is not None:
            w.flaky = until
        return ["ok", until]


def suits(*, sp, w, kind=None):
    """Kind, label, zone and rack, and whether the room would do if the worker were empty."""
    return (
        (kind or sp["kind"]) == w.kind
        and (not sp.get("label") or sp["label"] in w.labels)
        and sp["zone"] in ("", w.zone)
        and sp["rack"] in ("", w.rack)
        and all(sp["room"][i] <= w.room[i] for i in range(3))
    )


__all__ = ["LegsMixin", "suits", "DONE"]
