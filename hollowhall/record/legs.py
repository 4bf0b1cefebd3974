"""Workers and legs in the record. A grant is looked at against every rule when it
is applied: the job open, the task ready and due, the worker up and of the right
kind, zone and rack, room and spread and the lane's limit kept. Room counts from
the grant until the end of the leg is known."""

from ..base import consts as C
from .kinds import DONE, LEAVES, LOST, OPEN, READY, RUNNING, STOPPED, UP, Leg, Worker


class LegsMixin:
    def take_room(self, *, g, sign):
        """Counts a leg in (1) or out (-1), everywhere that legs are counted."""
        w, s = self.workers[g.worker], self.jobs[g.job].steps[g.step]
        u = self.lane_used.setdefault(g.lane, [0, 0, 0])
        for i in range(3):
            w.used[i] += sign * g.room[i]
            u[i] += sign * g.room[i]
        self.lane_run[g.lane] = self.lane_run.get(g.lane, 0) + sign
        for d, a in ((s.on, w.id), (s.racks, w.rack)):
            d[a] = d.get(a, 0) + sign
            if not d[a]:
                del d[a]
        if sign > 0:
            w.runs[g.run] = g
        else:
            w.runs.pop(g.run, None)

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
        return self.unfit_worker(s=s, sp=sp, w=w, now=now)

    def unfit_worker(self, *, s, sp, w, now):
        if w.state != UP:
            return "worker"
        if now < w.flaky:
            return "probation"
        if not suits(sp=sp, w=w):
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
        why = self.unfit(t, w, now=st >> C.LOGICAL_BITS)
        if why:
            return ["no", why]
        self.touch(j)
        self.task_to(t=t, state=RUNNING, st=st)
        t.run, j.live = st, j.live + 1
        g = self.legs[st] = Leg(run=st, task=t.id, job=j.name, step=t.step, worker=w.id,
                                lane=j.lane, room=j.steps[t.step].spec["room"])
        self.take_room(g=g, sign=1)
        return ["ok", st]

    def ev_end(self, st, run, how, why):
        """The end of a leg: ok, bad, stopped or lost. Known once, by its run."""
        g = self.legs.pop(run, None)
        if g is None:
            return ["late", run]
        self.take_room(g=g, sign=-1)
        j = self.jobs[g.job]
        self.touch(j)
        t = j.tasks[g.task]
        j.live -= 1
        if how == "ok":
            self.task_done(j=j, t=t, st=st)
        elif how == "bad" or how == "stopped" and g.stop == "limit":
            self.task_bad(j=j, t=t, worker=g.worker, st=st, why=why)
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

    def ev_worker(self, st, id, boot, kind, zone, rack, room, keeps=True):
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
            past = (past + [w.boot])[-self.rule["boots_kept"]:]
        state = LEAVES if boot == left else UP
        self.workers[id] = Worker(id=id, boot=boot, kind=kind, zone=zone, rack=rack,
                                  room=room, since=st, past=past, state=state, keeps=keeps)
        return ["ok", state]

    def end_all(self, w, *, st):
        for run in sorted(w.runs):
            self.ev_end(st, run, "lost", "worker lost")

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

    def ev_lost(self, st, id, boot):
        """The worker was not heard for its whole hold. Legs that have certainly stopped
        end; those that may yet run stay, and the worker with them, as lost."""
        w = self.workers.get(id)
        if w is None or w.boot != boot or w.state == LOST:
            return ["none", ""]
        if not self.rule["lost_waits"]:
            self.end_all(w, st=st)
        for run in sorted(w.runs):
            if self.restarts(w=w, g=w.runs[run]):
                self.ev_end(st, run, "lost", "worker lost")
        if w.runs:
            w.state, w.was = LOST, w.state
            return ["waits", len(w.runs)]
        self.drop_worker(w, left=boot if w.state == LEAVES else "")
        return ["ok", ""]

    def drop_worker(self, w, *, left):
        del self.workers[w.id]
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
        w.past = (w.past + [w.boot])[-self.rule["boots_kept"]:]
        self.drop_worker(w, left="")
        return ["ok", ""]

    def ev_flaky(self, st, id, until):
        w = self.workers.get(id)
        if w is not None:
            w.flaky = until
        return ["ok", until]


def suits(*, sp, w):
    """Kind, zone and rack, and whether the room would do if the worker were empty."""
    return (sp["kind"] == w.kind and sp["zone"] in ("", w.zone) and sp["rack"] in ("", w.rack)
            and all(sp["room"][i] <= w.room[i] for i in range(3)))


__all__ = ["LegsMixin", "suits", "DONE"]
