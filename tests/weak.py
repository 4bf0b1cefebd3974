"""Weaker versions of the daemons. Each lacks one protection; under the faults it is
meant for, the checker must find the very thing that must never happen. The same
seeds through the real daemons must be clean: the pair is the test."""

import asyncio

from hollowhall.almanac import Almanac
from hollowhall.base.problems import BadInput, Done
from hollowhall.desk import Desk
from hollowhall.mast import Mast
from hollowhall.record import Record
from hollowhall.record.kinds import READY, UP, WAITING

REAL = {"almanac": Almanac, "desk": Desk, "mast": Mast}


def with_record(rec, desk=Desk, mast=Mast, alm=Almanac):
    return {
        "almanac": type("A", (alm,), {"make_record": rec, "abstract": False}),
        "desk": type("D", (desk,), {"make_record": rec, "abstract": False}),
        "mast": mast,
    }


class NoNames(Record):
    """Takes every send for a new job."""

    def ev_job(self, st, name, spec, digest):
        old = self.jobs.pop(name, None)
        if old is not None:
            for t in old.tasks.values():
                self.unready(t)
            for run in [r for r, g in self.legs.items() if g.job == name]:
                g = self.legs[run]
                self.jobs[name] = old
                self.take_room(g=g, sign=-1)
                del self.legs[run]
            self.jobs.pop(name, None)
        return super().ev_job(st, name, spec, digest)


class ForgetfulDesk(Desk):
    """Sends every resend into the record, known or not."""

    def on_job(self, *, b, k, who):
        old, self.record.jobs = self.record.jobs, {}
        try:
            super().on_job(b=b, k=k, who=who)
        finally:
            self.record.jobs = old


class HastyDesk(Desk):
    """Takes a worker's legs for stopped as soon as it is not heard."""

    def on_beat(self, *, b, k, who):
        super().on_beat(b=b, k=k, who=who)
        if b["id"] in self.sessions:
            self.sessions[b["id"]].until = self.seam.now() + 1.0


class AllAtOnce(Record):
    def open_steps(self, *, j, st):
        for t in j.tasks.values():
            if t.state == WAITING:
                self.task_to(t=t, state=READY, st=st)


class Early(Record):
    def unfit(self, t, w, *, now):
        return super().unfit(t, w, now=max(now, t.due))

    def ev_job(self, st, name, spec, digest):
        return super().ev_job(st, name, spec | {"notBefore": 0}, digest)


class NoRoom(Record):
    def unfit_worker(self, *, s, sp, w, now, lane=""):
        why = super().unfit_worker(s=s, sp=sp, w=w, now=now, lane=lane)
        return "" if why == "room" else why


class NoSpread(Record):
    def unfit_worker(self, *, s, sp, w, now, lane=""):
        why = super().unfit_worker(s=s, sp=sp, w=w, now=now, lane=lane)
        return "" if why == "spread" else why


class AnyRack(Record):
    def ev_job(self, st, name, spec, digest):
        spec = spec | {"steps": [s | {"rack": "", "zone": ""} for s in spec["steps"]]}
        return super().ev_job(st, name, spec, digest)


class Stubborn(Record):
    def task_bad(self, *, j, t, worker, st, why):
        s = j.steps[t.step].spec
        keep, s["maxFailures"] = s["maxFailures"], 1000
        super().task_bad(j=j, t=t, worker=worker, st=st, why=why)
        s["maxFailures"] = keep


class SaysNoDoesIt(Desk):
    """Refuses now and then, and does it all the same."""

    n = 0

    def on_job(self, *, b, k, who):
        self.n += 1
        if self.n % 5 == 0 and self.live():
            super().on_job(b=b, k=lambda o: None, who=who)
            k(BadInput(errors=[["lane", "no"]]))
            return
        super().on_job(b=b, k=k, who=who)


class DeafToCancel(Record):
    def ev_cancel(self, st, name):
        return ["ok", "open"] if name in self.jobs else ["none", ""]


class NoLeaving(Record):
    def ev_leave(self, st, id, boot):
        w = self.workers.get(id)
        return ["ok", UP] if w is not None else ["none", ""]


class Alone(Almanac):
    """Confirms as soon as its own disk has it, and follows whoever asks."""

    def advance(self):
        if self.rank == "leader" and self.synced > self.commit:
            self.commit = self.synced
            self.apply()
        super().advance()


class Unsynced(Almanac):
    """Tells before its disk has it, and counts itself as if it had."""

    def after_sync(self, k):
        k()
        self.disk_ev.set()

    def advance(self):
        self.synced = self.last()
        super().advance()


class FirstIsAll(Record):
    """Shows a job done with its first step."""

    def task_done(self, *, j, t, st):
        super().task_done(j=j, t=t, st=st)
        if j.state == "open":
            self.job_to(j=j, state="done", st=st)


class Fickle(Record):
    """Shows a job failed at its first failure."""

    def task_bad(self, *, j, t, worker, st, why):
        super().task_bad(j=j, t=t, worker=worker, st=st, why=why)
        if j.state == "open":
            self.wind_up(j=j, goal="failed", st=st, why="gave up")


class OldCharter(Mast):
    """Reads the charter from what it holds."""

    def charter_get(self, call, s):
        self.finish(s=s, o=Done(v=self.charter))

    async def follow_charter(self):
        while True:
            o = await self.near(op="charter", b={"version": self.charter["version"]}, wait=6.0)
            await asyncio.sleep(3.0 * self.seam.rng.random())
            if o.ok and o.v is not None:
                self.charter = o.v


class NoBase(Record):
    """Takes an edit whatever version it builds on."""

    def edit(self, d):
        if d["base"] != self.charter["version"]:
            return Done(v={"version": d["base"] + 1})
        return super().edit(d)


class NoLimit(Record):
    def edit(self, d):
        rows = {a: r and r | {"limit": 0} for a, r in d["rows"].items()}
        return super().edit(d | {"rows": rows})
