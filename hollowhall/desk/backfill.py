"""Holds workers back for steps that starve, and runs short work on them meanwhile (backfill).

A task that has waited long for room gets the worker that lacks the least room for it; a gang gets workers
for all its members, or none. Only workers on which the step could start are held back: a worker that has
become unfit is released, and another one takes its place. `kept_until` is the deadline of each hold, by the
expected ends of what runs on the held workers; attempts that last free no room. Once it has passed, a gang's
workers are chosen anew, and a single task's worker is released for a while."""

from ..base import constants
from ..record.kinds import UP


class BackfillMixin:
    """The workers that a round holds back: `kept` is {worker id: (job, step)}."""

    def release_unusable(self):
        """Releases workers held back for a step that no longer waits or may not start now, and workers that
        are gone or on which the step could not start now even if they had room."""
        for step_key in [key for key in self.kept_until if key not in self.rec.ready]:
            del self.kept_until[step_key]
        for worker_id, step_key in list(self.kept.items()):
            worker = self.rec.workers.get(worker_id)
            if (
                worker is None
                or not self.may_start(step_key)
                or not self.usable(worker=worker, step_key=step_key)
            ):
                del self.kept[worker_id]
                self.kept_until.pop(step_key, None)
            elif self.hold_is_over(step_key):
                del self.kept[worker_id]

    def release(self, step_key):
        """Releases all workers held back for a step that starts; its next task may hold one at once."""
        for worker_id in [worker_id for worker_id, holder in self.kept.items() if holder == step_key]:
            del self.kept[worker_id]
        if not self.is_gang(step_key):
            self.kept_until.pop(step_key, None)

    def hold_is_over(self, step_key):
        """Whether the worker held back for a single task should have had room for it by now."""
        return not self.is_gang(step_key) and self.kept_until.get(step_key, self.now) < self.now

    def may_hold(self, step_key):
        """Whether a worker may be held back for a single task: none is, and HOLD_PAUSE_MS have passed since
        its last hold was over."""
        over_ms = self.kept_until.get(step_key)
        paused = over_ms is not None and self.now < over_ms + constants.HOLD_PAUSE_MS
        return not paused and step_key not in self.kept.values()

    def is_gang(self, step_key):
        """Whether a step is a gang."""
        return bool(self.rec.jobs[step_key[0]].steps[step_key[1]].spec.get("gang"))

    def may_start(self, step_key):
        """Whether a task of the step could start now if it had room: one is ready and due, its queue is
        configured, and its queue and tenant are below their limits. Workers held back for any other step
        would stand idle for nothing."""
        if step_key not in self.rec.ready or self.tenant_refusal(job=step_key[0], step=step_key[1]):
            return False
        lane = self.rec.jobs[step_key[0]].lane
        row = self.rec.charter["rows"].get(lane)
        if row is None or self.full(lane, row):
            return False
        return bool(self.due_tasks_of(job=step_key[0], step=step_key[1]))

    def usable(self, *, worker, step_key):
        """Whether the step could start on a worker once that has room."""
        return self.accepts_starts(worker) and not self.trial_bars(
            worker=worker, step_key=step_key, empty=True
        )

    def trial_bars(self, *, worker, step_key, empty=False):
        """Whether a worker is on trial and refuses a start of this step. It takes one attempt at a time of
        those whose ends tell something, and a member of a gang only if the gang has waited long: if one
        member fails, the whole gang fails. An overdue step is never refused."""
        if worker.id not in self.trials or self.is_overdue(step_key):
            return False
        spec = self.rec.jobs[step_key[0]].steps[step_key[1]].spec
        if not empty and self.trial_is_busy(worker=worker, spec=spec):
            return True
        return self.is_gang(step_key) and not self.waits_long(step_key)

    def trial_is_busy(self, *, worker, spec):
        """Whether what a worker on trial runs keeps a step from it. An attempt that lasts may never end, and
        its end tells nothing of the worker, so it keeps only further ones like it away."""
        return any(spec.get("forever") or not self.lasts(attempt) for attempt in worker.runs.values())

    def lasts(self, attempt):
        """Whether an attempt may run without an end."""
        return bool(self.rec.jobs[attempt.job].steps[attempt.step].spec.get("forever"))

    def is_overdue(self, step_key):
        """Whether a step is exempt from what keeps it from workers with room, until something of it runs."""
        return step_key in self.overdue and not self.rec.jobs[step_key[0]].live

    def waits_long(self, step_key):
        """Whether a ready step has waited so long that workers on trial are better than none."""
        task = next(iter(self.rec.ready[step_key].values()))
        return self.now - max(task.at >> constants.LOGICAL_BITS, task.due) > constants.PROBATION_WAIT_MAX_MS

    def reserve(self, *, task, step, eligible):
        """Holds back the worker that lacks the least room for a task, of those that will have it by the
        expected ends of what runs there; one per step, and at most half of the workers of a kind."""
        step_key = (task.job, task.step)
        kind = self.kinds[eligible[0].kind] if eligible else ()
        held = [worker for worker in kind if worker.id in self.kept]
        if len(held) * 2 >= len(kind) or not self.may_hold(step_key):
            return
        room = step.spec["room"]
        candidates = [
            (max(worker.used[i] + room[i] - worker.room[i] for i in range(3)), worker.id, worker)
            for worker in eligible
            if worker.state == UP
            and worker.id not in self.kept
            and self.usable(worker=worker, step_key=step_key)
        ]
        for _, worker_id, worker in sorted(candidates, key=lambda candidate: candidate[:2]):
            times = self.drain_times(worker=worker, room=room, limit=1)
            if times:
                self.kept[worker_id] = step_key
                self.kept_until[step_key] = self.now + self.hold_ms(times[0])
                return

    def hold_ms(self, drain_ms):
        """For how many ms workers are held back that are expected to have room in `drain_ms`."""
        return min(
            constants.HOLD_MAX_MS,
            max(constants.DRAIN_CHOICE_PERIOD_MS, constants.HOLD_SLACK_FACTOR * drain_ms),
        )

    def reserve_gang(self, *, step_key, step, sets, lane):
        """Holds back workers for all members of a gang, or none: two gangs that each held a part of what they
        need would wait for each other. Chooses the one of the worker sets that has room for all members
        first."""
        if self.kept_until.get(step_key, 0) > self.now and step_key in self.kept.values():
            return
        held_ids = {worker_id for worker_id, key in self.kept.items() if key == step_key}
        plans = [
            plan
            for workers in sets
            if (plan := self.places_by_drain(step_key=step_key, step=step, workers=workers, lane=lane))
            is not None
        ]
        if not plans:
            for worker_id in held_ids:
                del self.kept[worker_id]
            return
        wait_ms, chosen_ids = min(plans, key=lambda plan: (plan[0], sorted(plan[1])))
        for worker_id in held_ids - chosen_ids:
            del self.kept[worker_id]
        self.kept.update((worker_id, step_key) for worker_id in chosen_ids)
        wait_ms = min(constants.HOLD_MAX_MS, max(constants.DRAIN_CHOICE_PERIOD_MS, wait_ms))
        self.kept_until[step_key] = self.now + wait_ms

    def places_by_drain(self, *, step_key, step, workers, lane):
        """(ms until all members have room, worker ids), by the expected ends of the running attempts; None if
        too few workers of the set may be held back."""
        kind = self.kinds[workers[0].kind]
        allowance = len(kind) // 2 - sum(self.kept.get(worker.id, step_key) != step_key for worker in kind)
        places = []
        for worker in workers:
            if self.kept.get(worker.id, step_key) != step_key or not self.usable(
                worker=worker, step_key=step_key
            ):
                continue
            member_limit = self.member_places(step=step, worker=worker, empty=True)
            times = self.drain_times(worker=worker, room=step.spec["room"], limit=member_limit)
            places += [(ms, worker.id in self.suspected, worker.id) for ms in times]
        places.sort()
        chosen = places[: step.spec["tasks"]]
        chosen_ids = {worker_id for _, _, worker_id in chosen}
        if len(chosen) < step.spec["tasks"] or len(chosen_ids) > allowance:
            return None
        return chosen[-1][0], chosen_ids

    def drain_times(self, *, worker, room, limit):
        """In how many ms a worker will have room for one, two, ... `limit` tasks of this size."""
        free = [worker.room[i] - worker.used[i] for i in range(3)]
        ends = [(0, (0, 0, 0))]
        if any(free[i] < limit * room[i] for i in range(3)):
            ends += self.drain_order(worker)
        times = []
        for ms, freed in ends:
            free = [free[i] + freed[i] for i in range(3)]
            places = min((free[i] // room[i] for i in range(3) if room[i]), default=limit)
            times += [ms] * (min(places, limit) - len(times))
            if len(times) >= limit:
                break
        return times

    def drain_order(self, worker):
        """[(ms until it ends, the room it frees)] of the attempts on a worker that end, the first to end
        first. Computed once per round, unless an attempt is started there."""
        if worker.id not in self.drains:
            self.round_time.spend(s=constants.DRAIN_ESTIMATE_CPU_S)
            ends = (
                (self.left_ms(attempt), attempt.room)
                for attempt in worker.runs.values()
                if not self.lasts(attempt)
            )
            self.drains[worker.id] = sorted(ends, key=lambda end: end[0])
        return self.drains[worker.id]

    def may_borrow(self, *, worker, step, lane):
        """Whether a step may run on a worker that is held back for another step: by the usual duration of its
        queue's tasks it ends before the worker is needed. More urgent work needs no safety margin, but must
        still end by then, so that it cannot delay the holder for ever. A single task's worker is lent to
        more urgent work only."""
        usual_ms = self.usual_ms.get(lane)
        if not self.policy.backfill or usual_ms is None or step.spec.get("forever"):
            return False
        rows, key = self.rec.charter["rows"], self.kept[worker.id]
        holder = rows.get(self.rec.jobs[key[0]].lane)
        more_urgent = holder is not None and rows[lane]["urgency"] > holder["urgency"]
        if not more_urgent and not self.is_gang(key):
            return False
        margin = 1.0 if more_urgent and self.policy.urgent_borrow else constants.BACKFILL_DURATION_FACTOR
        return self.now + margin * usual_ms <= self.kept_until.get(key, 0)
