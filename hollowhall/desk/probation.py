"""Early ends of probation. A worker gets no tasks while the record has it on probation for its
failures (`flaky`), or while the primary has set it aside because its attempts stood still or went
far too slowly (`slow`). Accepted work must not wait beside such a worker: where no other worker
suits, or less than half of its kind is in use, it is tried again."""

from ..base import constants, log_events
from ..record.jobs import shape_of
from ..record.kinds import UP
from ..record.legs import suits
from .fit import has_room, in_use
from .health import ASIDE
from .overdue import due_since_ms


class ProbationMixin:
    """The primary's checks of workers that get no tasks."""

    def peer_failure_share(self, worker):
        """The share of failures among the last results of other workers of its kind; 1 if there are none."""
        peers = [
            failed
            for worker_id, ends in self.recent_failures.items()
            if worker_id != worker.id
            and worker_id in self.record.workers
            and self.record.workers[worker_id].kind == worker.kind
            for failed in ends
        ]
        return sum(peers) / len(peers) if peers else 1.0

    def lift_probation(self):
        """Clears workers whose peers fail more than half as often as they did: then the work is at fault."""
        ms = self.clock_ms()
        for worker_id, failure_share in list(self.aside_failure_share.items()):
            worker = self.record.workers.get(worker_id)
            if worker is None or worker.flaky < ms:
                del self.aside_failure_share[worker_id]
            elif 2 * self.peer_failure_share(worker) > failure_share:
                del self.aside_failure_share[worker_id]
                self.say(log_events.WORKER_CLEARED, worker=worker_id)
                self.queue_event(event=["flaky", worker_id, 0])

    def retry_needed_workers(self, *, ms):
        """Tries workers again for which a step waits: if no sound worker suits it, or less than half of the
        kind's room is in use, each resting one that has room for it."""
        resting = {
            worker.id
            for worker in self.record.workers.values()
            if self.may_get_tasks(worker) and self.may_be_tried(worker, ms=ms)
        }
        if not resting:
            return
        use_by_kind = {}  # kind: the share of its room that is in use
        for kind, spec in self.waiting_long(ms=ms):
            workers = [worker for worker in self.record.workers.values() if worker.kind == kind]
            suitable = [
                worker
                for worker in workers
                if self.may_get_tasks(worker) and suits(spec=spec, worker=worker, kind=kind)
            ]
            if kind not in use_by_kind:
                use_by_kind[kind] = in_use(workers)
            if any(not self.is_resting(worker, ms=ms) for worker in suitable) and use_by_kind[kind] >= 0.5:
                continue
            for worker in [
                worker
                for worker in suitable
                if worker.id in resting and has_room(worker=worker, room=spec["room"])
            ]:
                resting.remove(worker.id)
                self.try_worker_again(worker=worker, ms=ms)

    def may_get_tasks(self, worker):
        """Whether a worker is up and its zone is not evacuated."""
        return worker.state == UP and worker.zone not in self.record.evacuated

    def is_resting(self, worker, *, ms):
        """Whether a worker gets no tasks now for its failures or its slowness."""
        return ms < worker.flaky or worker.id in self.slow or self.health_of(worker.id).state == ASIDE

    def may_be_tried(self, worker, *, ms):
        """Whether a worker gets no tasks and may be tried again: it is on probation, or it was set aside as
        slow and has shown no slowness lately."""
        return ms < worker.flaky or self.slowness_over(worker_id=worker.id, ms=ms)

    def waiting_long(self, *, ms):
        """Yields (kind, spec) of steps with a task that has waited for PROBATION_WAIT_MAX_MS, one of each shape."""
        seen = set()
        for (job_name, step_name), tasks in self.record.ready.items():
            job = self.record.jobs[job_name]
            spec = job.steps[step_name].spec
            kind, shape = self.record.kind_of(lane=job.lane, spec=spec), shape_of(spec)
            waited_ms = ms - due_since_ms(tasks)
            if (kind, shape) not in seen and waited_ms >= constants.PROBATION_WAIT_MAX_MS:
                seen.add((kind, shape))
                yield kind, spec

    def try_worker_again(self, *, worker, ms):
        """Starts a trial of a resting worker, and ends its probation in the record."""
        if ms < worker.flaky:
            self.aside_failure_share.pop(worker.id, None)
            self.queue_event(event=["flaky", worker.id, 0])
        if self.slowness_over(worker_id=worker.id, ms=ms):
            self.slow.pop(worker.id, None)
            self.start_trial(worker_id=worker.id, ms=ms)
