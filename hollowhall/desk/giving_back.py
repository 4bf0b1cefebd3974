"""Gives lent reserved room back to its owners.

Shortly before a window and within it, attempts of others are stopped on the workers that are to serve it:
those that lose least first, and only as many as the owners have tasks ready for. Attempts without
checkpoints are stopped last, RESERVATION_GRACE_MS into the window: they began before the reservation was
confirmed, or took longer than estimated. Such a stop is not a failure; the task starts again elsewhere."""

from ..base import constants, log_events
from ..record.reservations import slots
from .reserved_plan import gives_back, plan_of


class GiveBackMixin:
    """Keeps the plan of reservations, and stops what runs in reserved room that its owners want."""

    def open_reserving(self):
        self.reserving, self.stopped_at_ms, self.logged_missing = None, 0, {}

    def plan_now(self, *, ms):
        """The current plan; None without reservations."""
        self.reserving = plan_of(rec=self.record, ms=ms, previous=self.reserving, slow=self.slow)
        if self.reserving is None:
            self.logged_missing = {}
        elif self.reserving.missing != self.logged_missing:
            self.log_missing(was=self.logged_missing, now=self.reserving.missing)
        return self.reserving

    def log_missing(self, *, was, now):
        """Logs reservations that came to lack workers, and those that have all of them again."""
        for reservation_id in sorted(set(now) - set(was)):
            self.say(log_events.RESERVED_SHORT, reservation=reservation_id, missing=now[reservation_id])
        for reservation_id in sorted((set(was) - set(now)) & set(self.reserving.assigned)):
            self.say(log_events.RESERVED_WHOLE, reservation=reservation_id)
        self.logged_missing = dict(now)

    def give_back(self, *, placement_round, ms):
        """Stop events for the attempts that keep the owners' ready tasks from starting, after a round."""
        plan, stops = placement_round.plan, []
        if plan is None or ms - self.stopped_at_ms < constants.PREEMPTION_CHECK_PERIOD_MS:
            return stops
        started_tasks, served, claimed = {task_id for task_id, _ in placement_round.out}, {}, {}
        for reservation in plan.reservations:
            unclaimed = sum(plan.unclaimed[reservation.id].values())
            if (
                not unclaimed
                or reservation.begin - constants.RESERVATION_RECLAIM_MS > ms
                or len(stops) >= constants.PREEMPTIONS_PER_CHECK
            ):
                continue
            # tasks that reservations earlier in this loop make room for
            served_before = sum(served.get(lane, 0) for lane in reservation.lanes)
            missing = (
                plan.owner_demand(
                    reservation=reservation, ms=ms, placed=started_tasks, limit=served_before + unclaimed
                )
                - served_before
            )
            if missing > 0:
                served[reservation.lanes[0]] = served.get(reservation.lanes[0], 0) + missing
                stops += self.attempts_to_stop(
                    reservation=reservation,
                    count=missing,
                    ms=ms,
                    plan=plan,
                    claimed=claimed,
                    gone={attempt.run for attempt in stops},
                    most=constants.PREEMPTIONS_PER_CHECK - len(stops),
                )
        if stops:
            self.stopped_at_ms = ms
        return [["stop", attempt.run, "reserved"] for attempt in stops]

    def copy_fits(self, *, worker, step, attempt, ms):
        """Whether a copy of an attempt fits on a worker beside the room that is reserved for others."""
        plan = self.reserving
        if plan is None or worker.id not in plan.by_worker:
            return True
        lasts_ms = plan.ends_within_ms(
            spec=step.spec,
            lane=attempt.lane,
            standing=self.record.jobs[attempt.job].spec["standing"],
            usual=self.usual_ms_by_lane,
        )
        kept = plan.room_kept_from(
            worker=worker,
            spec=step.spec,
            lane=attempt.lane,
            ms=ms,
            wanted=lambda reservation: plan.owner_demand(reservation=reservation, ms=ms),
            ends=None if lasts_ms is None else ms + lasts_ms,
        )
        return kept is None or all(
            worker.used[i] + step.spec["room"][i] + kept[i] <= worker.room[i] for i in range(3)
        )

    def attempts_to_stop(self, *, reservation, count, ms, plan, most, claimed, gone):
        """The attempts to stop so that `count` more rooms of a reservation are free. claimed: {worker id:
        room that is to be freed for other reservations}; gone: runs that are to be stopped already."""
        record, stops, options = self.record, [], []
        for worker_id, slot_count in plan.unclaimed[reservation.id].items():
            worker = record.workers.get(worker_id)
            if worker is None or slot_count <= 0:
                continue
            stopping, claimed_here = (
                [attempt for attempt in worker.runs.values() if attempt.stop or attempt.run in gone],
                claimed.get(worker_id, (0, 0, 0)),
            )
            free = [
                worker.room[i]
                - worker.used[i]
                - claimed_here[i]
                + sum(attempt.room[i] for attempt in stopping)
                for i in range(3)
            ]
            options.append(
                (
                    -min(slot_count, slots(free=free, room=reservation.room)),
                    worker_id,
                    worker,
                    slot_count,
                    free,
                )
            )
        for _ready, _, worker, slot_count, free in sorted(options, key=lambda entry: entry[:2]):
            slot_count = min(slot_count, count)
            if slot_count <= 0 or len(stops) >= most:
                break
            count -= slot_count
            claimed_here = claimed.setdefault(worker.id, [0, 0, 0])
            claimed_here[:] = [claimed_here[i] + slot_count * reservation.room[i] for i in range(3)]
            candidates = [
                entry
                for entry in self.stoppable(worker=worker, reservation=reservation, ms=ms)
                if entry[1] not in gone
            ]
            for _, _, attempt in sorted(candidates, key=lambda entry: entry[:2]):
                lacking = [slot_count * reservation.room[i] - free[i] for i in range(3)]
                if all(lack <= 0 for lack in lacking) or len(stops) >= most:
                    break
                if any(lacking[i] > 0 and attempt.room[i] > 0 for i in range(3)) and not plan.is_owed(
                    attempt=attempt, ms=ms, gone=gone | {entry.run for entry in stops}
                ):
                    stops += self.with_its_gang(attempt)
                    free = [free[i] + attempt.room[i] for i in range(3)]
        return stops

    def with_its_gang(self, attempt):
        """An attempt, or all members of its gang that are not being stopped."""
        return (
            [
                member
                for member in self.record.attempts_of(self.record.jobs[attempt.job])
                if member.gang == attempt.gang and not member.stop
            ]
            if attempt.gang
            else [attempt]
        )

    def stoppable(self, *, worker, reservation, ms):
        """The attempts on a worker that may be stopped for a reservation: [(loss, run, attempt)]."""
        found = []
        for attempt in worker.runs.values():
            spec = self.record.jobs[attempt.job].steps[attempt.step].spec
            young = (
                ms - (attempt.run >> constants.LOGICAL_BITS) < constants.PREEMPTION_YOUNG_MS
                and not attempt.gang
            )
            cheap = gives_back(spec) or young and ms >= reservation.begin
            if (
                not attempt.stop
                and attempt.lane not in reservation.lanes
                and (cheap or ms >= reservation.begin + constants.RESERVATION_GRACE_MS)
            ):
                found.append((self.loss(attempt=attempt, ms=ms), attempt.run, attempt))
        return found
