"""Gangs and copies in the record. A gang is all tasks of one step, granted together
by one event on as many workers, or not at all; its members share one attempt number
and one checkpoint. One good end of a member is the end of all, but for a gang that lasts,
which is ready again however it ends (from format level 4 on); when the last member
of an attempt has ended otherwise, the gang is ready again, with one failure more
if any member failed. A copy is a further attempt of a task that already runs,
where its step allows that; the first good end counts and the others are stopped."""

from .kinds import DONE, FAILED, OPEN, READY, RUNNING, STOPPED, Leg


class GangsMixin:
    def add_attempt(self, *, st, j, t, w, no, gang=0):
        s = j.steps[t.step]
        t.run, t.starts = st, no
        t.live, j.live = t.live + 1, j.live + 1
        g = self.legs[st] = Leg(
            run=st,
            task=t.id,
            job=j.name,
            step=t.step,
            worker=w.id,
            lane=j.lane,
            room=s.spec["room"],
            no=no,
            gang=gang,
        )
        self.take_room(g=g, sign=1)

    def members(self, *, j, step):
        n = j.steps[step].spec["tasks"]
        return [j.tasks[f"{j.name}/{step}/{i}"] for i in range(n)]

    def ev_gang(self, st, job, step, workers):
        """All members of a gang, one worker for each in their order. The event has as
        many stamps as workers; each member's run is one of them."""
        j = self.jobs.get(job)
        if j is None or step not in j.steps or not j.steps[step].spec.get("gang"):
            return ["no", "gone"]
        ts, ws = self.members(j=j, step=step), [self.workers.get(w) for w in workers]
        if len(ts) != len(ws) or None in ws:
            return ["no", "gone"]
        if why := self.tenant_refusal(job=j, room=j.steps[step].spec["room"], count=len(ts)):
            return ["no", why]
        no, gang, now, tried = max(t.starts for t in ts) + 1, st, st >> self.bits, []
        self.touch(j)
        for i, (t, w) in enumerate(zip(ts, ws)):
            why = self.unfit(t, w, now=now) or ("attempts" if t.live else "")
            if why:
                for g in tried:
                    self.take_room(g=g, sign=-1)
                return ["no", why]
            tried.append(
                Leg(
                    run=st + i,
                    task=t.id,
                    job=job,
                    step=step,
                    worker=w.id,
                    lane=j.lane,
                    room=j.steps[step].spec["room"],
                    no=no,
                    gang=gang,
                )
            )
            self.take_room(g=tried[-1], sign=1)
        for t, g in zip(ts, tried):
            self.task_to(t=t, state=RUNNING, st=g.run)
            t.run, t.starts, t.live = g.run, no, 1
            self.legs[g.run] = g
        j.live += len(ts)
        return ["ok", st]

    def ev_copy(self, st, task, worker):
        j = self.jobs.get(task.rsplit("/", 2)[0])
        t = j.tasks.get(task) if j else None
        w = self.workers.get(worker)
        if t is None or w is None or j.state != OPEN or t.state != RUNNING:
            return ["no", "state"]
        sp = j.steps[t.step].spec
        if not sp.get("copies") or sp.get("gang") or any(g.task == task for g in w.runs.values()):
            return ["no", "spread"]
        why = self.unfit_worker(s=j.steps[t.step], sp=sp, w=w, now=st >> self.bits, lane=j.lane)
        why = why or self.tenant_refusal(job=j, room=sp["room"])
        if why:
            return ["no", why]
        self.touch(j)
        self.add_attempt(st=st, j=j, t=t, w=w, no=t.starts + 1)
        return ["ok", st]

    def gang_end(self, *, j, g, t, st, how, why, saved):
        """A member's attempt ended; its room is free already."""
        s, ts = j.steps[g.step], self.members(j=j, step=g.step)
        if saved:
            for x in ts:
                x.saved = saved
        lasts = self.rule["gangs_last"] and s.spec.get("forever")
        if how == "ok" and t.state == RUNNING and j.state == OPEN and not lasts:
            for x in ts:
                self.task_to(t=x, state=DONE, st=st)
            s.left = 0
            self.steps_done(j=j, s=s, st=st)
        elif how == "bad" and s.failed != g.no:
            s.failed = g.no
            for x in ts:
                x.fails += 1
                x.bad = (x.bad + [g.worker])[-3:]
        if any(x.live for x in ts) or t.state != RUNNING:
            return
        if j.state != OPEN:
            for x in ts:
                self.task_to(t=x, state=STOPPED, st=st)
        elif not s.spec.get("forever") and t.fails >= s.spec["maxFailures"]:
            for x in ts:
                self.task_to(t=x, state=FAILED, st=st)
            self.wind_up(j=j, goal=FAILED, st=st, why=f"gang {g.step} failed {t.fails} times, last: {why}")
        else:
            for x in ts:
                self.task_to(t=x, state=READY, st=st)

    def copy_end(self, *, j, g, t, st, how):
        """What a copy's end means beside the task's own: the others are stopped when one
        ended well, and the task runs on while any is left."""
        if how == "ok" and t.live:
            for x in self.legs_of(j):
                if x.task == t.id:
                    x.stop = x.stop or "copy"
