"""Steps that have waited too long beside idle workers.

Several rules of placement keep a step from a worker that has room for it: trials, workers held back for other
steps, headroom. Each serves other work, and none may cost a job its turn for good while most of the fleet is
idle. So a step is overdue, and exempt from these rules, once nothing of its job has run for OVERDUE_WAIT_MS
although a task was due, a worker has room for it, and less than half of that kind of worker is in use
(docs/decisions.md, "What may keep work waiting")."""

from ..base import constants
from ..record.jobs import shape_of
from ..record.kinds import UP
from ..record.legs import suits
from .fit import has_room, in_use


def due_since_ms(tasks):
    """Since when (ms of stamped time) a task of a ready step has been due; in the future if none is. tasks: by
    number."""
    return min(max(task.at >> constants.LOGICAL_BITS, task.due) for task in tasks.values())


class OverdueMixin:
    """Finds overdue steps, a few at a time, those first that were found least recently."""

    def open_overdue(self):
        """Initializes the state that is kept between checks."""
        self.overdue, self.overdue_checked_ms = frozenset(), 0
        self.overdue_found_ms = {}  # (job, step): ms when it was last among the overdue

    def overdue_steps(self, *, ms):
        """The overdue steps as (job, step), checked every OVERDUE_CHECK_PERIOD_MS."""
        if ms - self.overdue_checked_ms >= constants.OVERDUE_CHECK_PERIOD_MS:
            self.overdue_checked_ms = ms
            self.overdue = frozenset(self.find_overdue(ms=ms))
            self.overdue_found_ms = {
                step_key: found_ms
                for step_key, found_ms in self.overdue_found_ms.items()
                if step_key in self.record.ready
            } | dict.fromkeys(self.overdue, ms)
        return self.overdue

    def find_overdue(self, *, ms):
        """At most OVERDUE_STEPS_PER_CHECK overdue steps of each kind of worker."""
        idle_workers = self.idle_workers_by_kind()
        if not idle_workers:
            return []
        found, has_place = {}, {}
        for step_key in sorted(
            self.record.ready, key=lambda step_key: self.overdue_found_ms.get(step_key, 0)
        ):
            job = self.record.jobs[step_key[0]]
            spec = job.steps[step_key[1]].spec
            kind = self.record.kind_of(lane=job.lane, spec=spec)
            chosen = found.setdefault(kind, [])
            if (
                kind not in idle_workers
                or len(chosen) >= constants.OVERDUE_STEPS_PER_CHECK
                or job.live
                or ms - due_since_ms(self.record.ready[step_key]) < constants.OVERDUE_WAIT_MS
            ):
                continue
            shape = (kind, shape_of(spec))
            if shape not in has_place:
                has_place[shape] = any(
                    suits(spec=spec, worker=worker, kind=kind) and has_room(worker=worker, room=spec["room"])
                    for worker in idle_workers[kind]
                )
            if has_place[shape]:
                chosen.append(step_key)
        return [step_key for chosen in found.values() for step_key in chosen]

    def idle_workers_by_kind(self):
        """The workers that accept starts, by kind, of kinds of which less than half is in use."""
        by_kind = {}
        for worker in self.record.workers.values():
            if worker.state == UP and worker.zone not in self.record.evacuated:
                by_kind.setdefault(worker.kind, []).append(worker)
        return {kind: workers for kind, workers in by_kind.items() if in_use(workers) < 0.5}
