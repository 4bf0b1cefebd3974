"""The gateway's requests about reservations: PUT, GET, PATCH (to shorten or reduce it) and DELETE of
one, and GET of all. Validated here, then forwarded to the primary; see docs/http.md."""

from ..record.charter import check_name
from ..record.reservation_bodies import check_reduction, check_reservation


class ReservationsMixin:
    """Handlers of the HTTP requests about reservations."""

    def reservation_put(self, call, slot, name):
        check_name(name)
        spec, digest = check_reservation(self.body(call))
        self.forward(
            op="reserve",
            request={"name": name, "spec": spec, "digest": digest},
            slot=slot,
            convert=lambda result: result,
        )

    def reservation_get(self, call, slot, name):
        self.forward(op="reservation", request={"name": name}, slot=slot, convert=lambda result: result)

    def reservation_patch(self, call, slot, name):
        change = check_reduction(self.body(call))
        self.forward(
            op="shorten",
            slot=slot,
            convert=lambda result: result,
            request={"name": name, "untilMs": change.get("untilMs"), "count": change.get("count")},
        )

    def reservation_drop(self, call, slot, name):
        self.forward(op="release", request={"name": name}, slot=slot, convert=lambda result: result)

    def reservation_list(self, call, slot):
        self.forward(
            op="reservations",
            request={"lane": call.query.get("lane", "")},
            slot=slot,
            convert=lambda result: result,
        )
