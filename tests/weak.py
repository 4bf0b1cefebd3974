"""Weaker versions of the daemons, each without one protection. Under the faults that the protection is for,
the checker must find its rule broken, and with the same seeds the real daemons must break no rule."""

import asyncio

from hollowhall.almanac import StoreMember
from hollowhall.base.problems import BadInput, Success
from hollowhall.desk import Desk
from hollowhall.mast import Mast
from hollowhall.record import Record
from hollowhall.record.kinds import READY, UP, WAITING

REAL = {"almanac": StoreMember, "desk": Desk, "mast": Mast}


def with_record(record_class, desk=Desk, mast=Mast, almanac=StoreMember):
    """Classes of the daemons whose record is a `record_class`."""
    return {
        "almanac": type("A", (almanac,), {"make_record": record_class, "abstract": False}),
        "desk": type("D", (desk,), {"make_record": record_class, "abstract": False}),
        "mast": mast,
    }


class IgnoresJobNames(Record):
    """Takes every submission for a new job."""

    def ev_job(self, stamp, name, spec, digest):
        old = self.jobs.pop(name, None)
        if old is not None:
            for task in old.tasks.values():
                self.unready(task)
            for run in [number for number, attempt in self.attempts.items() if attempt.job == name]:
                attempt = self.attempts[run]
                self.jobs[name] = old
                self.count_attempt(attempt=attempt, sign=-1)
                del self.attempts[run]
            self.jobs.pop(name, None)
        return super().ev_job(stamp, name, spec, digest)


class ResendsEveryJob(Desk):
    """Passes every resent submission to the record, also of jobs that it has."""

    def on_job(self, *, request, callback, caller):
        old, self.record.jobs = self.record.jobs, {}
        try:
            super().on_job(request=request, callback=callback, caller=caller)
        finally:
            self.record.jobs = old


class EarlyExpiryDesk(Desk):
    """Takes a worker's attempts for stopped as soon as the worker is silent."""

    def on_beat(self, *, request, callback, caller):
        super().on_beat(request=request, callback=callback, caller=caller)
        if request["id"] in self.sessions:
            self.sessions[request["id"]].until = self.runtime.now() + 1.0


class IgnoresDependencies(Record):
    """Makes all steps of a job ready at once."""

    def open_steps(self, *, job, stamp):
        for task in job.tasks.values():
            if task.state == WAITING:
                self.task_to(task=task, state=READY, stamp=stamp)


class Early(Record):
    """Ignores notBefore and the delay of retries."""

    def unfit(self, task, worker, *, now):
        return super().unfit(task, worker, now=max(now, task.due))

    def ev_job(self, stamp, name, spec, digest):
        return super().ev_job(stamp, name, spec | {"notBefore": 0}, digest)


class NoRoom(Record):
    """Places tasks on workers without enough free resources."""

    def unfit_worker(self, *, step, spec, worker, now, lane=""):
        why = super().unfit_worker(step=step, spec=spec, worker=worker, now=now, lane=lane)
        return "" if why == "room" else why


class NoSpread(Record):
    """Ignores the limits on a step's tasks per worker and per rack."""

    def unfit_worker(self, *, step, spec, worker, now, lane=""):
        why = super().unfit_worker(step=step, spec=spec, worker=worker, now=now, lane=lane)
        return "" if why == "spread" else why


class AnyRack(Record):
    """Ignores the rack and zone that a step requires."""

    def ev_job(self, stamp, name, spec, digest):
        spec = spec | {"steps": [step | {"rack": "", "zone": ""} for step in spec["steps"]]}
        return super().ev_job(stamp, name, spec, digest)


class IgnoresMaxFailures(Record):
    """Retries a task beyond maxFailures."""

    def task_failed(self, *, job, task, worker, stamp, why):
        step = job.steps[task.step].spec
        max_failures, step["maxFailures"] = step["maxFailures"], 1000
        super().task_failed(job=job, task=task, worker=worker, stamp=stamp, why=why)
        step["maxFailures"] = max_failures


class RefusesButAccepts(Desk):
    """Refuses every fifth submission, but accepts it into the record."""

    submissions = 0

    def on_job(self, *, request, callback, caller):
        self.submissions += 1
        if self.submissions % 5 == 0 and self.live():
            super().on_job(request=request, callback=lambda outcome: None, caller=caller)
            callback(BadInput(errors=[["lane", "no"]]))
            return
        super().on_job(request=request, callback=callback, caller=caller)


class IgnoresCancels(Record):
    """Confirms cancellations without cancelling."""

    def ev_cancel(self, stamp, name):
        return ["ok", "open"] if name in self.jobs else ["none", ""]


class IgnoresLeaving(Record):
    """Ignores that a worker is about to leave."""

    def ev_leave(self, stamp, id, boot):
        worker = self.workers.get(id)
        return ["ok", UP] if worker is not None else ["none", ""]


class CommitsAlone(StoreMember):
    """Commits an entry as soon as it is on the leader's own disk."""

    def advance(self):
        if self.election_role == "leader" and self.synced > self.commit:
            self.commit = self.synced
            self.apply()
        super().advance()


class AnswersUnsynced(StoreMember):
    """Answers before the sync, and counts itself as synced."""

    def after_sync(self, callback):
        callback()
        self.disk_event.set()

    def advance(self):
        self.synced = self.last()
        super().advance()


class JobDoneWithFirstTask(Record):
    """Shows a job as done when its first task is done."""

    def task_done(self, *, job, task, stamp):
        super().task_done(job=job, task=task, stamp=stamp)
        if job.state == "open":
            self.job_to(job=job, state="done", stamp=stamp)


class JobFailedAtFirstFailure(Record):
    """Shows a job as failed at its first failure."""

    def task_failed(self, *, job, task, worker, stamp, why):
        super().task_failed(job=job, task=task, worker=worker, stamp=stamp, why=why)
        if job.state == "open":
            self.begin_ending(job=job, goal="failed", stamp=stamp, why="gave up")


class StaleConfigurationGateway(Mast):
    """Answers reads of the configuration from a copy that may be old."""

    def charter_get(self, call, slot):
        self.finish(slot=slot, result=Success(value=self.charter))

    async def keep_confirmed(self):
        await asyncio.Event().wait()

    async def follow_configuration(self):
        while True:
            outcome = await self.ask_any_member(
                op="charter", request={"version": self.charter["version"]}, wait=6.0
            )
            await asyncio.sleep(3.0 * self.runtime.rng.random())
            if outcome.ok and outcome.value is not None:
                self.charter = outcome.value


class NoBase(Record):
    """Confirms an edit that is based on an old version."""

    def edit(self, fields):
        if fields["base"] != self.charter["version"]:
            return Success(value={"version": fields["base"] + 1})
        return super().edit(fields)


class NoLimit(Record):
    """Drops the limits of queues from edits."""

    def edit(self, fields):
        rows = {lane: row and row | {"limit": 0} for lane, row in fields["rows"].items()}
        return super().edit(fields | {"rows": rows})
