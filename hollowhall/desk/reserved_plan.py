"""Which workers serve the reservations.

The record holds room on a kind of worker; the primary's Plan maps that room onto healthy workers, the
first confirmed reservation first, keeps the mapping as long as it can, and maps again what was lost. A
round of placement asks the plan which room to leave free. Before a window, only work that is sure to end
in time or that writes checkpoints starts in reserved room; within the window, only work that can be stopped
at little loss, and only while the owners want nothing. Lent room is given back by stopping the attempts
that lose least. The plan is not part of the record: another primary makes its own, and no confirmation
depends on it."""

from ..base import constants
from ..record.reservations import fill, peak, slots


def take_owned(*, lane_use, reservation, limit):
    """How many of a reservation's rooms its owners' attempts use on one worker, at most `limit`.

    lane_use: {queue: room that its attempts use there}, from which the counted room is subtracted. Where
    accelerators are reserved, attempts without any count for nothing."""
    count, uses = 0, [lane_use[lane] for lane in reservation.lanes if lane in lane_use] if lane_use else []
    if uses:
        count = min(
            limit,
            max(
                -(-sum(used[i] for used in uses) // reservation.room[i])
                for i in ((2,) if reservation.room[2] else (0, 1))
                if reservation.room[i]
            ),
        )
        for i in range(3):
            rest = count * reservation.room[i]
            for used in uses:
                used[i], rest = max(0, used[i] - rest), max(0, rest - used[i])
    return count


def gives_back(spec):
    """Whether an attempt of a step can be stopped at little loss: it writes checkpoints."""
    return bool(spec.get("saves")) and not spec.get("gang") and not spec.get("forever")


class Plan:
    """The mapping of reservations onto workers.

    assigned: {reservation id: {worker id: rooms}}; unclaimed: the same without the rooms that the owners
    use already; by_worker: {worker id: [(reservation, unclaimed rooms)]}."""

    def __init__(self, *, rec):
        self.rec, self.assigned, self.unclaimed, self.by_worker, self.reservations = rec, {}, {}, {}, []
        self.seen_state, self.next_check_ms, self.remapped, self.open_lanes = None, 0, set(), set()
        self.missing = {}  # reservation id: rooms for which no healthy worker is left
        self.next_retry_ms, self.seen_counts = 0, None

    def refresh(self, *, ms, slow=()):
        """Updates the plan if the reservations or the fleet changed, and every RESERVATION_PLAN_PERIOD_MS."""
        rec = self.rec
        state = (rec.reservation_changes, rec.fleet, *rec.evacuated)
        if state != self.seen_state or ms >= self.next_check_ms:
            self.reservations = rec.reserved(now=ms)
            if state != self.seen_state or self.needs_remap(ms=ms):
                self.remap(ms=ms, slow=slow)
            self.seen_state, self.next_check_ms, self.seen_counts = (
                state,
                ms + constants.RESERVATION_PLAN_PERIOD_MS,
                None,
            )
            self.open_lanes = {
                lane
                for reservation in self.reservations
                if reservation.begin <= ms
                for lane in reservation.lanes
            }
        counts = [rec.running_by_queue.get(lane, 0) for lane in sorted(self.open_lanes)]
        if counts != self.seen_counts:
            self.seen_counts = counts
            self.count_unclaimed(ms=ms)

    def is_usable(self, worker, *, ms):
        """Whether a worker can serve a reservation at `ms`."""
        return worker is not None and self.rec.is_available(worker) and ms >= worker.flaky

    def needs_remap(self, *, ms):
        """Whether a reservation is over, is near its window, or is mapped to a worker that is not healthy;
        while rooms are missing, also every RESERVATION_REASSIGN_MS."""
        worker_ids = {worker_id for counts in self.assigned.values() for worker_id in counts}
        return (
            len(self.assigned) != len(self.reservations)
            or bool(self.missing)
            and ms >= self.next_retry_ms
            or any(
                reservation.id not in self.remapped
                and ms >= reservation.begin - constants.RESERVATION_FINAL_CHOICE_MS
                for reservation in self.reservations
            )
            or any(not self.is_usable(self.rec.workers.get(worker_id), ms=ms) for worker_id in worker_ids)
        )

    def remap(self, *, ms, slow):
        """Keeps the existing mapping where it can and maps the rest beside it. If that does not suffice, maps
        all reservations anew, the first confirmed one first."""
        rec, kinds = self.rec, {reservation.kind: [] for reservation in self.reservations}
        for _, worker in sorted(rec.workers.items()):
            if worker.kind in kinds and self.is_usable(worker, ms=ms):
                kinds[worker.kind].append(worker)
        eligible = {
            reservation.id: [worker for worker in kinds[reservation.kind] if reservation.wants(worker)]
            for reservation in self.reservations
        }
        previous, taken = (
            {
                reservation.id: self.previous_mapping(
                    reservation=reservation, workers=eligible[reservation.id], ms=ms
                )
                for reservation in self.reservations
            },
            {},
        )
        assigned = {
            reservation.id: fill(
                reservation=reservation,
                workers=[
                    worker for worker in eligible[reservation.id] if worker.id in previous[reservation.id]
                ],
                taken=taken,
                most=previous[reservation.id],
            )
            for reservation in self.reservations
        }
        fixed_use = {}
        for reservation in self.reservations:
            self.map_missing(
                reservation=reservation,
                workers=eligible[reservation.id],
                taken=taken,
                assigned=assigned[reservation.id],
                slow=slow,
                fixed_use=fixed_use,
            )
        if any(self.total(assigned[reservation.id]) < reservation.count for reservation in self.reservations):
            taken_anew = {}  # the same way as the record confirmed them
            anew = {
                reservation.id: fill(
                    reservation=reservation, workers=eligible[reservation.id], taken=taken_anew
                )
                for reservation in self.reservations
            }
            assigned = max(
                anew,
                assigned,
                key=lambda mapping: [
                    self.total(mapping[reservation.id]) for reservation in self.reservations
                ],
            )
        self.assigned, self.remapped = assigned, self.remapped & set(assigned)
        self.missing = {
            reservation.id: missing
            for reservation in self.reservations
            if (missing := reservation.count - self.total(assigned[reservation.id]))
        }
        self.next_retry_ms = ms + constants.RESERVATION_REASSIGN_MS

    def previous_mapping(self, *, reservation, workers, ms):
        """Where a reservation was mapped. Once, when its window is near, nothing: by then other workers may
        be freer."""
        if (
            reservation.id not in self.remapped
            and ms >= reservation.begin - constants.RESERVATION_FINAL_CHOICE_MS
        ):
            self.remapped.add(reservation.id)
            return {}
        return self.assigned.get(reservation.id, {})

    def total(self, counts):
        return sum(counts.values())

    def map_missing(self, *, reservation, workers, taken, assigned, slow, fixed_use):
        """Maps the rooms of a reservation that have no worker yet, into `assigned`. For a window that is
        near, prefers workers on which the owners run, then those with the most room that is free or can be
        given back. fixed_use: a cache of this by worker and queues."""
        missing = reservation.count - self.total(assigned)
        if not missing:
            return

        def rank(worker):
            if (worker.id, *reservation.lanes) not in fixed_use:
                rooms = [
                    attempt.room
                    for attempt in worker.runs.values()
                    if attempt.lane not in reservation.lanes and not gives_back(self.spec_of(attempt))
                ]
                fixed_use[worker.id, *reservation.lanes] = (
                    [worker.room[i] - sum(room[i] for room in rooms) for i in range(3)],
                    sum(attempt.lane in reservation.lanes for attempt in worker.runs.values()),
                )
            free, owned = fixed_use[worker.id, *reservation.lanes]
            return worker.id in slow, -owned, -slots(free=free, room=reservation.room), worker.id

        part = Unmapped(
            begin=reservation.begin, until=reservation.until, room=reservation.room, count=missing
        )
        workers = sorted(workers, key=rank) if reservation.id in self.remapped else workers
        for worker_id, count in fill(reservation=part, workers=workers, taken=taken).items():
            assigned[worker_id] = assigned.get(worker_id, 0) + count

    def spec_of(self, attempt):
        return self.rec.jobs[attempt.job].steps[attempt.step].spec

    def count_unclaimed(self, *, ms):
        """Computes how many rooms are kept free on each worker: those mapped there less those that the owners
        use there; within a window, in total not more than the count less all that they use."""
        rec, owner_lanes = self.rec, {lane for reservation in self.reservations for lane in reservation.lanes}
        use_by_worker = {}  # worker id: {queue: room that its attempts use and that is not counted yet}
        for attempt in rec.attempts.values():
            if attempt.lane in owner_lanes and attempt.run in rec.workers[attempt.worker].runs:
                used = use_by_worker.setdefault(attempt.worker, {}).setdefault(attempt.lane, [0, 0, 0])
                used[:] = [used[i] + attempt.room[i] for i in range(3)]
        by_window = sorted(self.reservations, key=lambda reservation: reservation.begin > ms)
        self.unclaimed = {
            reservation.id: {
                worker_id: count
                - take_owned(lane_use=use_by_worker.get(worker_id), reservation=reservation, limit=count)
                for worker_id, count in self.assigned[reservation.id].items()
            }
            for reservation in by_window
        }
        for reservation in by_window:
            unclaimed = self.unclaimed[reservation.id]
            if reservation.begin > ms or not any(unclaimed.values()):
                continue
            elsewhere = 0  # rooms that the owners use on other workers count as well
            for worker_id in [
                worker_id
                for worker_id, used in use_by_worker.items()
                if any(lane in used for lane in reservation.lanes)
            ]:
                if reservation.wants(rec.workers[worker_id]) and elsewhere < sum(unclaimed.values()):
                    elsewhere += take_owned(
                        lane_use=use_by_worker[worker_id],
                        reservation=reservation,
                        limit=sum(unclaimed.values()) - elsewhere,
                    )
            for worker_id in sorted(
                unclaimed, key=lambda worker_id: (rec.workers[worker_id].used[2], worker_id), reverse=True
            ):
                covered = min(elsewhere, unclaimed[worker_id])
                unclaimed[worker_id], elsewhere = unclaimed[worker_id] - covered, elsewhere - covered
        self.by_worker = {}
        for reservation in self.reservations:
            for worker_id, count in self.unclaimed[reservation.id].items():
                self.by_worker.setdefault(worker_id, []).append((reservation, count))

    def owner_demand(self, *, reservation, ms, placed=(), limit=1):
        """How many of the owners' tasks are ready for such workers and due soon, up to `limit`. placed: ids
        of the tasks that this round starts."""
        rec, count, rows = self.rec, 0, self.rec.charter["rows"]
        for lane in reservation.lanes:
            row = rows.get(lane)
            if row is None or row["limit"] and rec.running_by_queue.get(lane, 0) >= row["limit"]:
                continue
            for (shape, _), line in rec.lines.get(lane, {}).items():
                if (
                    (row.get("kind") or shape[0]) != reservation.kind
                    or shape[1] not in ("", reservation.zone)
                    and reservation.zone
                ):
                    continue
                for _, job, step in line:
                    count += sum(
                        task.due <= ms + constants.RESERVATION_RECLAIM_MS and task.id not in placed
                        for task in rec.ready[job, step].values()
                    )
                    if count >= limit:
                        return limit
        return count

    def is_owed(self, *, attempt, ms, gone=()):
        """Whether an attempt runs in room reserved for its queue: without it, the queue would have less on
        the worker than is mapped there in an open window. gone: runs that are to be stopped already."""
        owed = [
            reservation
            for reservation, _ in self.by_worker.get(attempt.worker, ())
            if attempt.lane in reservation.lanes and reservation.begin <= ms < reservation.until
        ]
        if not owed:
            return False
        others = [
            other.room
            for other in self.rec.workers[attempt.worker].runs.values()
            if other.lane == attempt.lane
            and not other.stop
            and other.run not in gone
            and other.run != attempt.run
        ]
        return any(
            sum(room[i] for room in others)
            < sum(self.assigned[reservation.id][attempt.worker] * reservation.room[i] for reservation in owed)
            for i in range(3)
            if attempt.room[i]
        )

    def ends_within_ms(self, *, spec, lane, standing, usual):
        """In how many ms an attempt of a step is sure to have ended; None if that is never sure."""
        if spec.get("forever") or standing:
            return None
        if spec["runMs"]:
            return spec["runMs"] + constants.LENT_SLACK_MS
        estimate = max(spec.get("estimateMs") or 0, usual.get(lane) or 0)
        return (
            estimate * constants.LENT_DURATION_FACTOR + constants.LENT_SLACK_MS
            if estimate
            else constants.UNKNOWN_DURATION_MS
        )

    def room_kept_from(self, *, worker, spec, lane, ms, ends, wanted):
        """The room on a worker that an attempt of this queue must leave free, [cores, memory, accelerators],
        or None. ends: ms at which the attempt is sure to have ended, or None; wanted: a function that tells
        how many tasks of a reservation's owners wait."""
        taken = []
        for reservation, count in self.by_worker.get(worker.id, ()):
            if (
                not count
                or lane in reservation.lanes
                or ms >= reservation.until
                or ends is not None
                and ends <= reservation.begin
            ):
                continue
            if gives_back(spec) and (
                ms < reservation.begin - constants.RESERVATION_RECLAIM_MS or not wanted(reservation)
            ):
                continue
            taken.append(
                (reservation.begin, reservation.until, [count * amount for amount in reservation.room])
            )
        return (
            peak(taken=taken, begin=ms, until=1 << 62 if ends is None else max(ends, ms + 1))
            if taken
            else None
        )


def plan_of(*, rec, ms, previous=None, slow=()):
    """The plan of a record at `ms`, updated from the one before (`have`); None if nothing is reserved."""
    if not rec.reservations or not rec.reserved(now=ms):
        return None
    plan = previous if previous is not None and previous.rec is rec else Plan(rec=rec)
    plan.refresh(ms=ms, slow=slow)
    return plan


class Unmapped:
    """The rooms of a reservation that are not mapped yet, as `fill` takes them."""

    def __init__(self, *, begin, until, room, count):
        self.begin, self.until, self.room, self.count = begin, until, room, count
