"""Reservations in the record: resources on a kind of worker, as a shape times a count, for a
window of stamped time and for some queues. A request is decided when its entry is applied: it is
confirmed if the available workers of its kind can hold it, beside all reservations confirmed
before it, at every moment of its window, and if all reservations that overlap stay within a
share of the kind's resources. The primary plans which workers serve it (desk/reserving.py).
Only `reservation_to` changes the state of a reservation."""

from dataclasses import asdict, dataclass

from ..base import constants
from .kinds import UP

CONFIRMED, RELEASED = "confirmed", "released"


@dataclass(kw_only=True, slots=True)
class Reservation:
    """A reservation that is not forgotten yet."""

    id: str
    digest: str
    stamp: int
    kind: str
    zone: str
    label: str
    lanes: list
    room: list  # [cores, memMb, gpus] of each of `count`
    count: int
    begin: int  # ms of stamped time
    until: int  # ms; the first moment after the window
    state: str = CONFIRMED
    ended: int = 0  # ms; when it was released

    def wants(self, worker):
        """Whether the reservation may be served by a worker, by its kind, zone and label."""
        return (
            worker.kind == self.kind
            and self.zone in ("", worker.zone)
            and (not self.label or self.label in worker.labels)
        )

    def phase(self, now):
        """released, or else waiting, open or over at `now` ms of stamped time."""
        if self.state == RELEASED:
            return RELEASED
        return "waiting" if now < self.begin else "open" if now < self.until else "over"


def slots(*, free, room):
    """How many tasks with resources `room` fit into the free resources; at least one of room is not 0."""
    return max(0, min(free[resource] // room[resource] for resource in range(3) if room[resource]))


def peak(*, taken, begin, until):
    """The most of each resource, [cores, memMb, gpus], that is taken at any moment of a window;
    taken: [(begin, until, room)]. The maxima may be at different moments."""
    overlapping = [use for use in taken if use[0] < until and begin < use[1]]
    if not overlapping:
        return [0, 0, 0]
    # all overlap at one moment
    if len(overlapping) == 1 or max(use[0] for use in overlapping) < min(use[1] for use in overlapping):
        return [sum(use[2][resource] for use in overlapping) for resource in range(3)]
    most = [0, 0, 0]
    for moment in {begin, *(use[0] for use in overlapping if use[0] > begin)}:
        for resource in range(3):
            most[resource] = max(
                most[resource], sum(use[2][resource] for use in overlapping if use[0] <= moment < use[1])
            )
    return most


def fill(*, reservation, workers, taken, most=None):
    """Assigns as much of reservation r as fits to workers, in their order, and adds it to
    taken, {worker: [(begin, until, room)]}. Gives {worker: count}; most: {worker: highest count}."""
    assigned, left = {}, reservation.count
    for worker in workers:
        if left == 0:
            break
        in_use = taken.get(worker.id)
        peak_use = (
            peak(taken=in_use, begin=reservation.begin, until=reservation.until) if in_use else (0, 0, 0)
        )
        count = min(
            left,
            slots(
                free=[worker.room[resource] - peak_use[resource] for resource in range(3)],
                room=reservation.room,
            ),
        )
        count = count if most is None else min(count, most.get(worker.id, 0))
        if count:
            taken.setdefault(worker.id, []).append(
                (reservation.begin, reservation.until, [count * amount for amount in reservation.room])
            )
            assigned[worker.id], left = count, left - count
    return assigned


class ReservationsMixin:
    """The part of the record that holds reservations."""

    def clear_reservations(self):
        self.reservations = {}  # by id, in the order of their stamps
        self.reservation_changes = 0  # counts their changes; not part of a snapshot

    def pack_reservations(self):
        return (
            {"reservations": [asdict(reservation) for reservation in self.reservations.values()]}
            if self.level > 2
            else {}
        )

    def load_reservations(self, snapshot):
        self.reservations = {
            fields["id"]: Reservation(**fields) for fields in snapshot.get("reservations", ())
        }
        self.reservation_changes += 1

    def reservation_to(self, *, reservation, state, now):
        """Changes a reservation's state; asserts that the transition is allowed."""
        assert reservation.state == CONFIRMED and state == RELEASED, (
            reservation.id,
            reservation.state,
            state,
        )
        reservation.state, reservation.ended = state, now
        self.reservation_changes += 1

    def reserved(self, *, now, kind=""):
        """Confirmed reservations (of a kind) that are not over, in the order of confirmation."""
        return [
            reservation
            for reservation in self.reservations.values()
            if reservation.state == CONFIRMED and now < reservation.until and kind in ("", reservation.kind)
        ]

    def is_available(self, worker):
        """Whether a worker counts for reservations: it is up and its zone is not evacuated."""
        return worker.state == UP and worker.zone not in self.evacuated

    def refusal_of(self, reservation, *, now, percent):
        """(why a reservation is not confirmed at `now` ms, the highest count that could be); the reason
        is empty if it is confirmed. percent: the share of the kind's resources that may be reserved."""
        rule = self.rule
        if now >= reservation.until or reservation.begin < now - rule["reserve_late_ms"]:
            return "past", 0
        if (
            reservation.begin > now + rule["reserve_far_ms"]
            or reservation.until - reservation.begin > rule["reserve_long_ms"]
        ):
            return "far", 0
        if any(lane not in self.charter["rows"] for lane in reservation.lanes):
            return "lane", 0
        if (
            len(self.reservations) >= rule["reservations_kept"]
            or len(self.reserved(now=now)) >= rule["reservations_max"]
        ):
            return "many", 0
        of_kind = [
            worker
            for _, worker in sorted(self.workers.items())
            if worker.kind == reservation.kind and self.is_available(worker)
        ]
        candidates = [worker for worker in of_kind if reservation.wants(worker)]
        if not candidates:
            return "kind", 0
        if all(slots(free=worker.room, room=reservation.room) == 0 for worker in candidates):
            return "room", 0
        taken, others = {}, self.beside(reservation, now=now)
        for other in others:
            fill(
                reservation=other, workers=[worker for worker in of_kind if other.wants(worker)], taken=taken
            )
        fits = sum(fill(reservation=reservation, workers=candidates, taken=taken).values())
        most = [sum(worker.room[resource] for worker in of_kind) * percent // 100 for resource in range(3)]
        peak_use = peak(
            begin=reservation.begin,
            until=reservation.until,
            taken=[
                (other.begin, other.until, [other.count * amount for amount in other.room])
                for other in others
            ],
        )
        fits = min(
            fits,
            slots(free=[most[resource] - peak_use[resource] for resource in range(3)], room=reservation.room),
        )
        return ("", fits) if fits >= reservation.count else ("capacity", fits)

    def beside(self, reservation, *, now):
        """The reservations of the same kind that overlap this one, that overlap those, and so on.
        The workers that any other one is assigned to make no difference to it."""
        remaining, found, begin, until = (
            self.reserved(now=now, kind=reservation.kind),
            [],
            reservation.begin,
            reservation.until,
        )
        while True:
            overlapping = [other for other in remaining if other.begin < until and begin < other.until]
            if not overlapping:
                return sorted(found, key=lambda other: other.stamp)
            found += overlapping
            remaining = [other for other in remaining if other not in overlapping]
            begin, until = (
                min(begin, *(other.begin for other in overlapping)),
                max(until, *(other.until for other in overlapping)),
            )

    def ev_reserve(self, stamp, name, spec, digest, percent):
        """Confirms or refuses a reservation. The same name and digest again is the same reservation.
        percent: the share of a kind's resources that all reservations together may take."""
        reservation, now = self.reservations.get(name), stamp >> constants.LOGICAL_BITS
        if self.level < 3:
            return ["no", "level", 0]
        if reservation is not None:
            return ["same" if reservation.digest == digest else "other", reservation.state]
        reservation = Reservation(
            id=name,
            digest=digest,
            stamp=stamp,
            begin=spec["fromMs"],
            until=spec["untilMs"],
            **{field: spec[field] for field in ("kind", "zone", "label", "lanes", "room", "count")},
        )
        why, fits = self.refusal_of(reservation, now=now, percent=percent)
        if why:
            return ["no", why, fits]
        self.reservations[name] = reservation
        self.reservation_changes += 1
        return ["new", reservation.state]

    def ev_release(self, stamp, name):
        """Releases a reservation; one that is released already stays so."""
        reservation = self.reservations.get(name)
        if reservation is None:
            return ["none", ""]
        if reservation.state == CONFIRMED:
            self.reservation_to(reservation=reservation, state=RELEASED, now=stamp >> constants.LOGICAL_BITS)
        return ["ok", reservation.state]

    def ev_shorten(self, stamp, name, until, count):
        """Reduces a reservation to an earlier end or a lower count; None keeps either."""
        reservation, now = self.reservations.get(name), stamp >> constants.LOGICAL_BITS
        if reservation is None:
            return ["none", ""]
        until, count = until or reservation.until, count or reservation.count
        if reservation.phase(now) not in ("waiting", "open"):
            return ["no", "over", 0]
        if until > reservation.until or count > reservation.count or until <= reservation.begin:
            return ["no", "larger" if until > reservation.begin else "window", 0]
        reservation.until, reservation.count = until, count
        self.reservation_changes += 1
        return ["ok", reservation.state]

    def old_reservations(self, *, now):
        """Ids of the reservations to forget, which ended long enough ago. A released one is also kept
        until its window is over, so that a late resend of the request does not confirm it again."""
        kept = self.rule.get("reservation_kept_ms", 0)
        return [
            reservation.id
            for reservation in self.reservations.values()
            if max(reservation.until, reservation.ended) + kept < now
        ]

    def forget_reservations(self, *, now):
        """Removes the reservations that ended long enough ago."""
        for name in self.old_reservations(now=now):
            del self.reservations[name]
            self.reservation_changes += 1
