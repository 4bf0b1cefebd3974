"""Requests about reservations.

An event of a decision batch confirms a reservation, refuses it with a reason, shortens it or releases it;
the answer is sent once that is committed. Reads are answered from the record by a primary whose lease has
not expired."""

from ..base import constants
from ..base.circuit import pack
from ..base.problems import Full, NotReserved, NotSynced, OtherBody, Success, Unknown


class ReservationRequestsMixin:
    """The scheduler's handlers of requests about reservations."""

    reserves_pending = 0  # new reservations that wait for a decision batch or are in one

    def reservation_ready(self, callback):
        """Whether a change of a reservation can be accepted now; if not, the callback may have been called
        with the reason."""
        if self.check_primary(callback) and self.record.level < 3:
            callback(NotSynced(tries=0))  # some daemons are of a version without reservations
            return False
        return self.live() and not self.leaving

    def reservation_callback(self, *, name, callback, answers):
        """A function that passes the result of a batch's event on a reservation to `callback`. answers: by
        result, what is added to the view of the reservation."""

        def then(result, stamp):
            if stamp is None:
                callback(result)
            elif result[0] in answers:
                callback(Success(value=self.reservation_view(name) | answers[result[0]]))
            elif result[0] == "other":
                callback(OtherBody(name=name))
            elif result[0] == "no":
                callback(NotReserved(why=result[1], free=result[2]))
            else:
                callback(Unknown(what="reservation", id=name))

        return then

    def on_reserve(self, *, request, callback, caller):
        """request: name, spec and digest, as check_reservation returns them."""
        if not self.reservation_ready(callback):
            return
        name = request["name"]
        reservation = self.record.reservations.get(name)
        if reservation is not None:  # a repeated request for a recorded reservation needs no event
            callback(
                Success(value=self.reservation_view(name) | {"new": False})
                if reservation.digest == request["digest"]
                else OtherBody(name=name)
            )
            return
        if self.reserves_pending >= constants.PENDING_RESERVATIONS_MAX:  # checking a reservation takes long
            callback(Full(where="desk", after=constants.RETRY_AFTER))
            return
        self.reserves_pending += 1
        then = self.reservation_callback(
            name=name, callback=callback, answers={"new": {"new": True}, "same": {"new": False}}
        )

        def back(result, stamp):
            self.reserves_pending -= 1
            then(result, stamp)

        self.queue_event(
            event=["reserve", name, request["spec"], request["digest"], self.settings.reserved_percent],
            size=len(pack(request["spec"])) + 256,
            callback=back,
        )

    def on_release(self, *, request, callback, caller):
        if self.reservation_ready(callback):
            self.queue_event(
                event=["release", request["name"]],
                callback=self.reservation_callback(
                    name=request["name"], callback=callback, answers={"ok": {}}
                ),
            )

    def on_shorten(self, *, request, callback, caller):
        """request: name, untilMs and count; None for either of these keeps it."""
        if self.reservation_ready(callback):
            self.queue_event(
                event=["shorten", request["name"], request["untilMs"], request["count"]],
                callback=self.reservation_callback(
                    name=request["name"], callback=callback, answers={"ok": {}}
                ),
            )

    def on_reservation(self, *, request, callback, caller):
        if self.check_primary(callback):
            name = request["name"]
            callback(
                Success(value=self.reservation_view(name))
                if name in self.record.reservations
                else Unknown(what="reservation", id=name)
            )

    def on_reservations(self, *, request, callback, caller):
        """The reservations of a queue, or all, by the begin of their windows."""
        if self.check_primary(callback):
            reservations = [
                reservation
                for reservation in self.record.reservations.values()
                if request["lane"] in ("", *reservation.lanes)
            ]
            callback(
                Success(
                    value={
                        "reservations": [
                            self.reservation_view(reservation.id)
                            for reservation in sorted(
                                reservations, key=lambda reservation: (reservation.begin, reservation.id)
                            )
                        ]
                    }
                )
            )

    def reservation_view(self, name):
        """A reservation as clients see it. planned: how many of its rooms the workers that are healthy now
        can serve; fewer than count after the fleet shrank."""
        reservation, workers = self.record.reservations[name], {}
        if (plan := self.plan_now(ms=self.clock_ms())) is not None:
            workers = plan.assigned.get(name, {})
        return {
            "name": name,
            "kind": reservation.kind,
            "zone": reservation.zone,
            "label": reservation.label,
            "lanes": reservation.lanes,
            "room": dict(zip(("cores", "memMb", "gpus"), reservation.room)),
            "count": reservation.count,
            "fromMs": reservation.begin,
            "untilMs": reservation.until,
            "state": reservation.phase(self.clock_ms()),
            "stamp": str(reservation.stamp),
            "planned": sum(workers.values()),
            "workers": workers,
        }
