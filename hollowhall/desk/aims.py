"""The aim of a job: by when it should have ended.

The aim is the queue's `stretch` times the longest chain of the job's steps, by the client's own estimates,
plus the queue's `aimMs`. Up to LATE_TIMES the aim a job is late; after that it is of little use to anyone.
Estimates may be off by half, so aims only order jobs; they are not used to judge one."""

from ..base import constants
from .standings import IN_AIM, LATE, TOO_LATE


def tails_ms(*, spec):
    """For each step of a job, the longest chain of work in ms from its start to the job's end, by the
    estimates. A job of more than CHAIN_STEPS_MAX steps counts as if each step waited for all before it."""
    steps = spec["steps"]
    estimates = {step["name"]: step.get("estimateMs") or constants.DEFAULT_TASK_MS for step in steps}
    if len(steps) > constants.CHAIN_STEPS_MAX:
        remaining, tails = 0, {}
        for step in reversed(steps):
            remaining += estimates[step["name"]]
            tails[step["name"]] = remaining
        return tails
    successors = {}
    for step in steps:
        for earlier in step["after"]:
            successors.setdefault(earlier, []).append(step["name"])
    tails = {}

    def tail(name):
        if name not in tails:
            tails[name] = estimates[name] + max(
                (tail(successor) for successor in successors.get(name, ())), default=0
            )
        return tails[name]

    for name in estimates:
        tail(name)
    return tails


def aim_ms(*, tails, row):
    """In how many ms after its acceptance a job should have ended; 0 if its queue has no aim."""
    if not row.get("stretch") and not row.get("aimMs"):
        return 0
    return int(row.get("stretch", 0) * max(tails.values(), default=0) + row.get("aimMs", 0))


class Aims:
    """The aims of open jobs, each computed once. rows: a function that returns the queues' configuration."""

    def __init__(self, *, rows):
        self.rows, self.known = rows, {}

    def of(self, job):
        """(a job's aim_ms, the tails_ms of its steps)."""
        if job.name not in self.known:
            if len(self.known) >= constants.TARGET_TIMES_CACHED_MAX:
                self.known.clear()
            tails = tails_ms(spec=job.spec)
            self.known[job.name] = aim_ms(tails=tails, row=self.rows().get(job.lane, {})), tails
        return self.known[job.name]

    def standing(self, *, job, step, now):
        """When a job would end if this step started at `now` ms: IN_AIM, LATE or TOO_LATE."""
        aim, tails = self.of(job)
        if not aim or job.spec["standing"] or job.steps[step].spec.get("notBefore"):
            return IN_AIM
        end_ms = now + tails[step] - max(job.stamp >> constants.LOGICAL_BITS, job.spec["notBefore"])
        if end_ms <= aim:
            return IN_AIM
        return LATE if end_ms <= constants.LATE_TIMES * aim else TOO_LATE
