"""What a worker is told to start and to stop: the difference between the record's attempts on it and what
it reports to run. A report that lists only a part of the worker's ends says nothing about the attempts
that it does not list: they may have ended. They are not stopped, and their start is told, since a worker starts
nothing twice, but not repeated before an earlier one has expired.

An attempt that was granted and has not begun is revoked if it may no longer begin: the worker leaves, its
zone is evacuated, or the limit of the attempt's tenant was lowered below what the tenant has running. The
worker reports such an attempt as not started, and its task is ready again."""

from ..base import constants
from ..record.kinds import LEAVES


class OrdersMixin:
    """The orders for a worker: attempts to start and to stop."""

    def orders(self, *, worker_id, session):
        """(runs to start, runs to stop) for a worker now; stops only, if its session is outdated or it is
        being given up."""
        worker = self.record.workers.get(worker_id)
        if worker is None or worker.boot != session.boot or session.lost_pending:
            return [], sorted(session.running)
        starts, stops = [], sorted(session.running - worker.runs.keys())
        for run, attempt in worker.runs.items():
            if session.unsettled(run):
                continue
            if run in session.running:
                if attempt.stop:
                    stops.append(run)
            elif not session.report_complete:
                if self.may_be_told(attempt=attempt, worker=worker, session=session):
                    starts.append(run)
            elif attempt.stop or self.is_revoked(attempt=attempt, worker=worker):
                stops.append(run)
            else:
                starts.append(run)
        return starts, stops

    def may_be_told(self, *, attempt, worker, session):
        """Whether the start of an attempt that may have ended unreported is told all the same."""
        if attempt.stop or self.accepts_no_starts(worker) or self.record.over_limit(attempt):
            return False
        _, told_at = session.starts_sent.get(attempt.run, (-1, -9.0))
        return self.runtime.now() - told_at > constants.START_ORDER_VALID_MS / 1000

    def is_revoked(self, *, attempt, worker):
        """Whether an attempt that has not begun is revoked. Members of its gang that have begun are
        stopped."""
        if self.accepts_no_starts(worker):
            return True
        if not self.record.over_limit(attempt):
            return False
        if attempt.gang:
            self.take_gang_back(attempt)
        return True

    def accepts_no_starts(self, worker):
        """Whether a worker may start nothing more: it leaves, or its zone is evacuated."""
        return worker.state == LEAVES or worker.zone in self.record.evacuated

    def take_gang_back(self, attempt):
        """Stops the members of a gang whose other members are revoked: they would wait for these for ever."""
        for member in self.record.gang_of(attempt):
            if not member.stop and member.run not in self.revoked_gang_runs:
                self.revoked_gang_runs.add(member.run)
                self.queue_event(
                    event=["stop", member.run, "tenant"],
                    callback=lambda result, stamp, run=member.run: self.revoked_gang_runs.discard(run),
                )

    def start_order(self, attempt):
        """What a worker needs in order to start an attempt."""
        spec = self.record.jobs[attempt.job].steps[attempt.step].spec
        return {
            "runId": str(attempt.run),
            "task": attempt.task,
            "job": attempt.job,
            "step": attempt.step,
            "cores": attempt.room[0],
            "memMb": attempt.room[1],
            "gpus": attempt.room[2],
            "runMs": spec["runMs"],
            "work": spec["work"],
        }
