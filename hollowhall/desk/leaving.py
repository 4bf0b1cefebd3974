"""Attempts on workers that announced when they will leave. An attempt that is expected to end in
time is left alone. One that writes checkpoints is stopped shortly before, in time to hand over
its last checkpoint. Any other one is stopped at once, to restart elsewhere."""

from ..base import constants
from ..record.kinds import LEAVES
from .worker_session import WorkerSession


class LeavingMixin:
    """Stops attempts that cannot end before their worker leaves; estimates how long attempts still need."""

    def stop_before_departure(self, *, now, ms):
        """Stops attempts that will not end before their worker leaves; of a gang, all members."""
        if not self.policy.rescue_leaving:
            return
        for worker_id, session in self.sessions.items():
            worker = self.record.workers.get(worker_id)
            if worker is None or worker.state != LEAVES or session.leave_at is None:
                continue
            left_ms = (session.leave_at - now) * 1000
            for attempt in list(worker.runs.values()):
                if attempt.stop or session.unsettled(attempt.run):
                    continue
                job = self.record.jobs[attempt.job]
                spec = job.steps[attempt.step].spec
                remaining_ms = self.estimated_remaining_ms(
                    attempt=attempt, session=session, spec=spec, now=now, ms=ms
                )
                if remaining_ms < left_ms - constants.DEPARTURE_SLACK_MS:
                    continue
                if spec.get("saves") and left_ms > constants.DEPARTURE_STOP_MS:
                    continue  # it may go on for now: its last checkpoint will be handed over
                for member in self.record.attempts_of(job) if spec.get("gang") else [attempt]:
                    if member.step == attempt.step and not member.stop:
                        self.queue_event(event=["stop", member.run, "leave"])

    def remaining_ms_of(self, attempt):
        """Estimated ms until an attempt ends, at least REMAINING_TIME_MIN_MS. One that has run past its estimate and
        reports no progress is taken to need OVERDUE_REMAINING_FRACTION of its age."""
        session = self.sessions.get(attempt.worker) or WorkerSession()
        spec = self.record.jobs[attempt.job].steps[attempt.step].spec
        remaining_ms = self.estimated_remaining_ms(
            attempt=attempt, session=session, spec=spec, now=self.runtime.now(), ms=self.clock_ms()
        )
        age_ms = self.clock_ms() - (attempt.run >> constants.LOGICAL_BITS)
        return max(
            constants.REMAINING_TIME_MIN_MS,
            remaining_ms if remaining_ms > 0 else constants.OVERDUE_REMAINING_FRACTION * age_ms,
        )

    def estimated_remaining_ms(self, *, attempt, session, spec, now, ms):
        """Estimated ms until an attempt ends, by its progress, else by its lane's usual time; 0 if late."""
        if spec.get("forever"):
            return float("inf")
        usual_ms = (
            self.usual_ms_by_lane.get(attempt.lane) or spec.get("estimateMs") or constants.DEFAULT_TASK_MS
        )
        if attempt.run in session.progress:
            percent, _, first_percent, first_at = session.progress[attempt.run]
            age_ms = (now - first_at) * 1000
            if age_ms > constants.PROGRESS_MIN_AGE_MS and percent > first_percent:
                return (100 - percent) * age_ms / (percent - first_percent)
            usual_ms *= (100 - percent) / 100
        return max(
            0.0,
            usual_ms * self.stretch(attempt)
            - (0 if attempt.run in session.progress else ms - (attempt.run >> constants.LOGICAL_BITS)),
        )
