"""Placement of gangs: all members at once or none.

A gang that wants a single rack waits for one about as long as running across racks would cost it.
Workers are held back for a gang that waits long; otherwise small tasks would take all room that becomes
free."""

from ..base import constants
from ..record.kinds import UP, Attempt
from .fit import has_room, in_use


def rooms_that_fit(*, worker, room, empty=False):
    """How many tasks of this size a worker has room for now, or would have if it were empty."""
    return (
        min((worker.room[i] - (0 if empty else worker.used[i])) // room[i] for i in range(3) if room[i])
        if any(room)
        else constants.GANG_MAX
    )


class GangPlacementMixin:
    """Placement of gangs within a round."""

    def member_places(self, *, step, worker, empty=False):
        """How many members of a gang a worker can take, by its room and the step's limit per worker."""
        count, limit = (
            rooms_that_fit(worker=worker, room=step.spec["room"], empty=empty),
            step.spec["perWorker"],
        )
        return max(0, min(count, limit - (0 if empty else step.on.get(worker.id, 0))) if limit else count)

    def place_gang(self, *, step_key, due_tasks, lane):
        """Starts all members of a gang; True if it was placed."""
        step = self.rec.jobs[step_key[0]].steps[step_key[1]]
        spec, size = step.spec, step.spec["tasks"]
        if len(due_tasks) < size:
            self.reasons[step_key] = "due"
            return False
        reason = self.tenant_refusal(job=step_key[0], step=step_key[1])
        if reason:
            self.reasons[step_key] = reason
            return False
        waited = self.now - (self.rec.ready[step_key][0].at >> constants.LOGICAL_BITS)
        across_racks = not spec.get("tight") or self.may_cross_racks(
            step_key=step_key, spec=spec, lane=lane, waited=waited
        )
        # once a gang of this shape has found no room in this round, none of at least its size finds any
        key = (*self.requirements_of(spec=spec, lane=lane), spec["perWorker"], across_racks)
        held = step_key in self.kept.values()
        exempt = held or self.is_overdue(step_key)
        if (
            size >= self.unplaced_gangs.get(key, size + 1)
            and not exempt
            and (
                waited <= constants.GANG_STARVATION_MS
                or self.starving_gangs.get(key, 0) >= constants.STARVING_GANGS_PER_ROUND
            )
        ):
            self.reasons[step_key] = "room"
            return False
        if not exempt and not self.leaves_headroom(
            kind=self.rec.kind_of(lane=lane, spec=spec),
            lane=lane,
            rooms=[size * amount for amount in spec["room"]],
        ):
            self.reasons[step_key] = "headroom"
            return False
        eligible, capacity, racks = self.gang_capacity(step=step, lane=lane)
        if capacity < size:
            self.reasons[step_key] = "never"
            return False
        worker_sets = [workers for count, workers in racks if count >= size]
        places = {
            worker.id: count
            for worker in eligible
            if has_room(worker=worker, room=spec["room"])
            and (count := self.member_places(step=step, worker=worker)) > 0
            and not self.unfit(step, worker, step_key, lane)
        }
        trusted = {worker_id: count for worker_id, count in places.items() if worker_id not in self.suspected}
        if sum(trusted.values()) >= size:
            places = trusted  # if one member fails, the whole gang fails
        across_racks = across_racks or not worker_sets
        fitting = [
            (sum(places.get(worker.id, 0) for worker in workers), index)
            for index, workers in enumerate(worker_sets)
        ]
        fitting = [entry for entry in fitting if entry[0] >= size]
        if fitting:
            self.start_gang(
                step_key=step_key, step=step, workers=worker_sets[min(fitting)[1]], places=places, lane=lane
            )
            return True
        if across_racks and sum(places.values()) >= size:
            self.start_gang(step_key=step_key, step=step, workers=eligible, places=places, lane=lane)
            return True
        self.reasons[step_key] = "room"
        if not held:
            self.unplaced_gangs[key] = min(size, self.unplaced_gangs.get(key, size))
        if waited > constants.GANG_STARVATION_MS:
            self.starving_gangs[key] = self.starving_gangs.get(key, 0) + (not held)
            if self.policy.reserve_gangs:
                self.reserve_gang(
                    step_key=step_key, step=step, sets=[eligible] if across_racks else worker_sets, lane=lane
                )
        return False

    def may_cross_racks(self, *, step_key, spec, lane, waited):
        """Whether a gang that wants one rack may run across racks: it has waited as long as waiting pays, and
        the workers held back for it in one rack will not be free soon."""
        wait_ms = self.rack_wait_ms(spec=spec, lane=lane)
        if waited <= wait_ms:
            return False
        usual_ms = self.usual_ms.get(lane) or spec.get("estimateMs") or constants.DEFAULT_TASK_MS
        drain_ms = self.kept_until.get(step_key, 0) - self.now
        held = self.policy.drain_estimates and 0 < drain_ms < (self.far_factor - 1) * usual_ms
        return not held or self.is_half_idle(self.rec.kind_of(lane=lane, spec=spec))

    def gang_capacity(self, *, step, lane):
        """What an empty fleet could hold of a gang, computed once per round: (the eligible workers, the
        members they can hold in total, [[members that fit on workers that accept starts, workers]] by
        rack)."""
        spec = step.spec
        key = (*self.requirements_of(spec=spec, lane=lane), spec["perWorker"])
        if key not in self.gang_capacities:
            eligible, racks, total = [], {}, 0
            for worker in self.eligible_workers(lane=lane, spec=spec):
                if worker.state == UP and worker.zone not in self.rec.evacuated:
                    places, rack = (
                        self.member_places(step=step, worker=worker, empty=True),
                        racks.setdefault(worker.rack, [0, []]),
                    )
                    eligible.append(worker)
                    total += places
                    rack[0] += places if self.accepts_starts(worker) else 0
                    rack[1].append(worker)
            self.gang_capacities[key] = eligible, total, [rack for _, rack in sorted(racks.items())]
        return self.gang_capacities[key]

    def rack_wait_ms(self, *, spec, lane):
        """How many ms to wait for room in the preferred rack, instead of running slower elsewhere."""
        if not self.policy.rack_patience:
            return 0
        ms = (
            constants.REMOTE_COST_WAIT_FRACTION
            * (self.far_factor - 1)
            * (self.usual_ms.get(lane) or spec.get("estimateMs") or constants.DEFAULT_TASK_MS)
        )
        if ms <= constants.LOCALITY_WAIT_MAX_MS or not self.is_half_idle(
            self.rec.kind_of(lane=lane, spec=spec)
        ):
            return ms
        return constants.LOCALITY_WAIT_MAX_MS

    def is_half_idle(self, kind):
        """Whether less than half of a kind's room is in use: then no job needs to wait for a rack. In a
        fuller fleet, running slower in another rack only makes the backlog longer."""
        if kind not in self.idle_kinds:
            self.idle_kinds[kind] = in_use(self.kinds.get(kind, ())) < 0.5
        return self.idle_kinds[kind]

    def start_gang(self, *, step_key, step, workers, places, lane):
        """Starts a gang on as few of the workers as possible. places: {worker id: members it can take}."""
        chosen = []
        for worker in sorted(workers, key=lambda worker: (-places.get(worker.id, 0), worker.id)):
            chosen += [worker] * min(places.get(worker.id, 0), step.spec["tasks"] - len(chosen))
        for number, worker in enumerate(chosen):
            member = Attempt(
                run=-len(self.started) - 1,
                task=f"{step_key[0]}/{step_key[1]}/{number}",
                job=step_key[0],
                step=step_key[1],
                worker=worker.id,
                lane=lane,
                room=step.spec["room"],
            )
            self.note_taken(worker=worker, room=step.spec["room"])
            self.count_start(member)
        self.release(step_key)
        self.reasons.pop(step_key, None)
        self.gangs.append((*step_key, [worker.id for worker in chosen]))
        self.members_placed += len(chosen)
