"""Reservations in a round of placement: asks the plan which room a step must leave free, sends owners to
their reserved room first, and reports the steps that only reservations keep waiting."""

from ..record.reservations import slots


class ReservedMixin:
    """Adds a plan to the rules of a round; without a plan nothing changes."""

    plan = None

    def open_plan(self, plan):
        """plan: the Plan that this round obeys, or None."""
        self.plan = plan
        self.reserved_refusals, self.demand, self.withheld, self.gang_lane = {}, {}, False, ()

    def demand_of(self, reservation):
        """Whether a reservation's owners have tasks waiting, 0 or 1; computed once per round."""
        if reservation.id not in self.demand:
            self.demand[reservation.id] = self.plan.owner_demand(reservation=reservation, ms=self.now)
        return self.demand[reservation.id]

    def is_reserved_for(self, *, worker, lane):
        """Whether room on a worker is reserved for this queue now, whoever else waits for it."""
        return any(
            count and lane in reservation.lanes and reservation.begin <= self.now < reservation.until
            for reservation, count in self.plan.by_worker.get(worker.id, ())
        )

    def unused_reserved_rooms(self, lane):
        """How many rooms of this queue's open reservations none of the owners uses yet."""
        if self.plan is None or lane not in self.plan.open_lanes:
            return 0
        unused = 0
        for reservation in self.plan.reservations:
            if lane in reservation.lanes and reservation.begin <= self.now < reservation.until:
                started = sum(attempt.lane in reservation.lanes for attempt in self.started)
                unused += max(0, sum(self.plan.unclaimed[reservation.id].values()) - started)
        return unused

    def room_left(self, *, worker, step, job, lane):
        """The free room on a worker that a step may use, by resource."""
        free = [worker.room[i] - worker.used[i] for i in range(3)]
        if worker.id not in self.plan.by_worker:
            return free
        lasts_ms = self.plan.ends_within_ms(
            spec=step.spec, lane=lane, usual=self.usual_ms, standing=self.rec.jobs[job].spec["standing"]
        )
        kept = self.plan.room_kept_from(
            worker=worker,
            spec=step.spec,
            lane=lane,
            ms=self.now,
            wanted=self.demand_of,
            ends=None if lasts_ms is None else self.now + lasts_ms,
        )
        return [free[i] - kept[i] for i in range(3)] if kept else free

    def free_for(self, *, worker, step_key, lane):
        """As room_left, also for a round without a plan."""
        if self.plan is None or worker.id not in self.plan.by_worker:
            return [worker.room[i] - worker.used[i] for i in range(3)]
        return self.room_left(
            worker=worker, step=self.rec.jobs[step_key[0]].steps[step_key[1]], job=step_key[0], lane=lane
        )

    def is_kept_for_others(self, *, worker, step, job, lane):
        """Whether a worker that has room for a step keeps it for owners of reservations."""
        left = self.room_left(worker=worker, step=step, job=job, lane=lane)
        kept_off = any(step.spec["room"][i] > left[i] for i in range(3) if step.spec["room"][i])
        self.withheld = self.withheld or kept_off
        return kept_off

    def ranked_workers(self, *, step, lane, near):
        """Owners prefer the workers on which room is reserved for them."""
        ranked, reasons, any_eligible = super().ranked_workers(step=step, lane=lane, near=near)
        if self.plan is not None and lane in self.plan.open_lanes:
            ranked.sort(key=lambda entry: self.is_reserved_for(worker=entry[1], lane=lane))
        return ranked, reasons, any_eligible

    def scan_workers(self, *, task, step, step_key, lane, shape):
        if self.plan is None:
            return super().scan_workers(task=task, step=step, step_key=step_key, lane=lane, shape=shape)
        spec = step.spec
        key = (shape, lane, spec.get("saves"), spec["runMs"], spec.get("estimateMs"))
        if key in self.reserved_refusals:
            return None, self.reserved_refusals[key], False
        self.withheld = False
        worker, reason, same_for_shape = super().scan_workers(
            task=task, step=step, step_key=step_key, lane=lane, shape=shape
        )
        if worker is None and self.withheld:
            if same_for_shape and spec["perWorker"] == spec["perRack"] == 0:
                self.reserved_refusals[key] = reason
            return None, reason, False  # others of this shape may own the reserved room
        return worker, reason, same_for_shape

    def place_gang(self, *, step_key, due_tasks, lane):
        self.gang_lane = (step_key[0], lane)
        return super().place_gang(step_key=step_key, due_tasks=due_tasks, lane=lane)

    def member_places(self, *, step, worker, empty=False):
        places = super().member_places(step=step, worker=worker, empty=empty)
        if (
            self.plan is None
            or empty
            or not places
            or worker.id not in self.plan.by_worker
            or not self.gang_lane
        ):
            return places
        left = self.room_left(worker=worker, step=step, job=self.gang_lane[0], lane=self.gang_lane[1])
        return min(places, slots(free=left, room=step.spec["room"])) if any(step.spec["room"]) else places
