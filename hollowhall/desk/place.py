"""Placement: which ready tasks start, and on which workers.

Queues are served by urgency, then by weighted dominant share; within a queue see order.py. Each start
that a round decides is counted in the record until the round ends and is then removed again, so that the
record's own rules check room, spread and queue limits. A worker is held back for a task that has waited
long for room; a task that no worker could ever run is skipped and reported as such. `hollowhall plan`
runs the same code on a copy of the record."""

from ..base import constants
from ..record.jobs import shape_of
from ..record.kinds import Attempt
from .backfill import BackfillMixin
from .fit import FitMixin, total_room
from .gather import GangPlacementMixin
from .headroom import HeadroomMixin
from .order import EXEMPT, OrderMixin
from .policy import DEFAULT
from .reserving import ReservedMixin
from .round_time import Unbounded
from .tenant_shares import TenantSharesMixin


class Round(
    ReservedMixin, FitMixin, GangPlacementMixin, BackfillMixin, OrderMixin, HeadroomMixin, TenantSharesMixin
):
    """One round of placement over a record, at `now` ms, with at most `most` starts.

    After `run`: `out` has the starts as (task id, worker id) and `gangs` the gangs as (job, step, worker
    ids). `reasons` says, by (job, step), why its next task still waits; `due` is the earliest time in ms
    at which a waiting task becomes due. A round that exceeds `round_time` stops early (`cut_short`);
    `examined` keeps the steps for which it found nothing, so that the next rounds continue behind them."""

    def __init__(
        self,
        *,
        rec,
        now,
        most,
        kept=None,
        kept_until=None,
        left_ms=None,
        last_grant_ms=None,
        far=2,
        slow=None,
        usual=None,
        cache=None,
        doubt=(),
        trials=(),
        aside=None,
        proven=(),
        policy=DEFAULT,
        aims=None,
        peak_use=None,
        tenant_turns=None,
        round_time=None,
        examined=None,
        overdue=frozenset(),
    ):
        self.round_time, self.cut_short = round_time or Unbounded(), False
        self.examined = set() if examined is None else examined  # (job, step)
        self.overdue = overdue  # (job, step) of steps that no preference keeps from a worker (overdue.py)
        self.drains = {}  # worker id: drain_order of the attempts that run there
        self.policy, self.aims, self.sorted_lines = policy, aims, {}
        self.far_factor, self.slow, self.gangs, self.members_placed = far, (slow or {}) | (aside or {}), [], 0
        # ids of suspected workers, of workers on trial, and of those with a recent successful attempt
        self.suspected, self.trials, self.proven = doubt, trials, proven
        self.near_looks, self.idle_kinds = {}, {}  # by shape: scans so far; by kind: see is_half_idle
        self.usual_ms = usual or {}  # queue: how long its tasks take in ms, as observed
        self.rec, self.now, self.most = rec, now, most
        self.out, self.started, self.reasons, self.due = [], [], {}, None
        self.fleet_room, self.lane_use = total_room(rec), rec.used_by_queue
        self.kept = {} if kept is None else kept  # worker id: (job, step) it is held back for
        self.kept_until = {} if kept_until is None else kept_until  # (job, step): ms when it will have room
        # estimated ms that an attempt still needs
        self.left_ms = left_ms or (lambda attempt: constants.DEFAULT_TASK_MS)
        # shape: ms when a task of that shape last started
        self.last_grant_ms = {} if last_grant_ms is None else last_grant_ms
        self.due_tasks, self.refused_shapes, self.last_workers, self.unplaced_gangs = {}, {}, {}, {}
        # by requirements of a gang: what an empty fleet could hold of it; how many such gangs starve
        self.gang_capacities, self.starving_gangs = {}, {}
        self.limited = set()  # queues at their limit of running tasks
        self.fleet({} if cache is None else cache)
        self.open_headroom(peak_use=peak_use)
        self.open_tenants(turns=tenant_turns)

    def lane_share(self, lane):
        """A queue's dominant share of the fleet's room, divided by its weight."""
        used, row = self.lane_use.get(lane, (0, 0, 0)), self.rec.charter["rows"].get(lane)
        top = max((a / b for a, b in zip(used, self.fleet_room) if b), default=0.0)
        return top / row["weight"]

    def wait_reason_of(self, step_key):
        """Why a ready step still waits, as far as this round determined it; "turn" if it was not reached."""
        job = self.rec.jobs[step_key[0]]
        if job.lane not in self.rec.charter["rows"]:
            return "lane"
        if job.lane in self.limited:
            return "limit"
        why = self.reasons.get(step_key) or self.tenant_why(job=step_key[0], step=step_key[1])
        return why or self.refusal(lane=job.lane, shape=shape_of(job.steps[step_key[1]].spec)) or "turn"

    def run(self):
        """Decides the starts of this round and returns them as [(task id, worker id)]."""
        rows = self.rec.charter["rows"]
        self.release_unusable()
        heaps = {lane: self.heap_of(lane) for lane in self.rec.lines if lane in rows}
        earlier, tried = frozenset(self.examined), 0
        try:
            while heaps and len(self.out) + self.members_placed < self.most:
                self.cut_short = tried > 0 and self.round_time.over()
                if self.cut_short:
                    break
                lane = min(heaps, key=lambda x: (-rows[x]["urgency"], self.lane_share(x), x))
                if self.full(lane, rows[lane]):
                    del heaps[lane]
                    continue
                top = self.top_of(heaps[lane])
                skip = top.index != EXEMPT and self.refusal(lane=lane, shape=top.shape)
                skip = skip or self.tenant_refusal(job=top.job, step=top.step)
                skip = skip or (top.job, top.step) in earlier
                tried += not skip
                if skip or not self.try_waiting(top):
                    self.next(heaps[lane], lane)
                    if not heaps[lane]:
                        del heaps[lane]
        finally:
            for attempt in reversed(self.started):
                self.rec.count_attempt(attempt=attempt, sign=-1)
        return self.out

    def try_waiting(self, top):
        """Starts the next task of the step at the top of a heap; False if no more can start in this round."""
        has_more = self.step(top.stamp, top.job, top.step)
        if not has_more and (top.job, top.step) in self.reasons:
            self.examined.add((top.job, top.step))
        return has_more

    def count_start(self, attempt):
        """Counts a start of this round in the record, as if it were granted already."""
        self.rec.count_attempt(attempt=attempt, sign=1)
        self.drains.pop(attempt.worker, None)
        self.started.append(attempt)
        self.note_start_of_tenant(job=attempt.job)

    def full(self, lane, row):
        """Whether a queue runs as many tasks as its limit allows."""
        if row["limit"] and self.rec.running_by_queue.get(lane, 0) >= row["limit"]:
            self.limited.add(lane)
            return True
        return False

    def due_tasks_of(self, *, job, step):
        """The numbers of a step's ready tasks that are due, the lowest one last."""
        step_key = (job, step)
        if step_key not in self.due_tasks:
            tasks = self.rec.ready[step_key]
            later = [task.due for task in tasks.values() if task.due > self.now]
            if later:
                self.due = min(later) if self.due is None else min(self.due, *later)
                self.reasons[step_key] = "due"
            self.due_tasks[step_key] = sorted(
                (number for number, task in tasks.items() if task.due <= self.now), reverse=True
            )
        return self.due_tasks[step_key]

    def step(self, stamp, job, step):
        """Starts the next task of a step, or its whole gang; False if no further task of it can start."""
        due_tasks, step_key = self.due_tasks_of(job=job, step=step), (job, step)
        if not due_tasks:
            return False
        task, lane = self.rec.ready[step_key][due_tasks[-1]], self.rec.jobs[job].lane
        if self.rec.jobs[job].steps[step].spec.get("gang"):
            self.place_gang(step_key=step_key, due_tasks=due_tasks, lane=lane)
            return False
        reason = self.tenant_refusal(job=job, step=step)
        worker, reason = (None, reason) if reason else self.find_worker(task)
        if worker is None:
            self.reasons[step_key] = reason
            return False
        due_tasks.pop()
        self.reasons.pop(step_key, None)
        self.overdue = {key for key in self.overdue if key[0] != job}  # the job has something running now
        self.release(step_key)
        room = self.rec.jobs[job].steps[step].spec["room"]
        self.note_taken(worker=worker, room=room)
        attempt = Attempt(
            run=-len(self.started) - 1,
            task=task.id,
            job=job,
            step=step,
            worker=worker.id,
            lane=lane,
            room=room,
        )
        self.count_start(attempt)
        shape = shape_of(self.rec.jobs[job].steps[step].spec)
        self.last_grant_ms[self.effective_shape(lane=lane, shape=shape)] = self.now
        self.out.append((task.id, worker.id))
        return bool(due_tasks)

    def find_worker(self, task):
        """The worker for a task: (worker, "") or (None, reason).

        A shape that found no room in this round is not tried again, nor is one, for its queue, that was
        refused for headroom. The worker that was found last for a shape is tried first: it is the best
        fit."""
        step, lane = self.rec.jobs[task.job].steps[task.step], self.rec.jobs[task.job].lane
        spec, step_key = step.spec, (task.job, task.step)
        shape = self.effective_shape(lane=lane, shape=shape_of(spec))
        reason = self.refused_shapes.get(shape)
        kind = self.rec.kind_of(lane=lane, spec=spec)
        held = step_key in self.kept.values() or self.is_overdue(step_key)
        # leaves_headroom does not count held workers as free: a step must not be refused its own
        if reason is None and not held and not self.leaves_headroom(kind=kind, lane=lane, rooms=spec["room"]):
            self.headroom_refusals.add((lane, shape))
            return None, "headroom"
        if reason is None or held:
            worker = self.last_workers.get(shape)
            if worker is not None and not task.fails and not self.unfit(step, worker, step_key, lane):
                return worker, ""
            worker, reason, sure = self.scan_workers(
                task=task, step=step, step_key=step_key, lane=lane, shape=shape
            )
            if worker is not None:
                self.last_workers[shape] = worker
                return worker, ""
            if sure:
                self.refused_shapes[shape] = reason
        if (
            self.policy.reserve_starving
            and reason == "room"
            and self.now - max(task.at >> constants.LOGICAL_BITS, self.last_grant_ms.get(shape, 0))
            > constants.STARVATION_MS
        ):
            self.reserve(task=task, step=step, eligible=self.eligible_workers(lane=lane, spec=spec))
        return None, reason

    def unfit(self, step, worker, step_key, lane):
        """Why a step may not start on a worker now; "" if it may."""
        reason = self.rec.unfit_worker(step=step, spec=step.spec, worker=worker, now=self.now, lane=lane)
        if not reason and (worker.id in self.slow or self.trial_bars(worker=worker, step_key=step_key)):
            reason = "slow"
        if not reason and self.plan is not None and worker.id in self.plan.by_worker:
            if self.is_kept_for_others(worker=worker, step=step, job=step_key[0], lane=lane):
                return "reserved"
            if self.is_reserved_for(worker=worker, lane=lane):
                return ""
        if (
            not reason
            and self.kept.get(worker.id, step_key) != step_key
            and not self.is_overdue(step_key)
            and not self.may_borrow(worker=worker, step=step, lane=lane)
        ):
            reason = "room"
        return reason
