"""What a desk answers of reservations: one is confirmed, refused with a reason, shortened
or released by an event of a turn, and told once that is committed; reads are answered by
a primary whose lease has not run out, from the record."""

from ..base import consts as C
from ..base.circuit import pack
from ..base.problems import Done, Full, NotReserved, NotSynced, OtherBody, Unknown


class ReservationRequestsMixin:
    reserve_n = 0  # reservations held for a turn, or in one

    def reservation_ready(self, k):
        if self.ready_to(k) and self.record.level < 3:
            k(NotSynced(tries=0))  # not every daemon knows reservations yet
            return False
        return self.live() and not self.leaving

    def reservation_told(self, *, n, k, good):
        """What k is told of reservation n once the turn is over."""

        def then(r, st):
            if st is None:
                k(r)
            elif r[0] in good:
                k(Done(v=self.reservation_view(n) | good[r[0]]))
            elif r[0] == "other":
                k(OtherBody(name=n))
            elif r[0] == "no":
                k(NotReserved(why=r[1], free=r[2]))
            else:
                k(Unknown(what="reservation", id=n))

        return then

    def on_reserve(self, *, b, k, who):
        """b: name, spec and digest, as check_reservation gives them."""
        if not self.reservation_ready(k):
            return
        n = b["name"]
        r = self.record.reservations.get(n)
        if r is not None:  # a resend of what is recorded needs no turn
            k(
                Done(v=self.reservation_view(n) | {"new": False})
                if r.digest == b["digest"]
                else OtherBody(name=n)
            )
            return
        if self.reserve_n >= C.RESERVE_HELD:  # each takes a while to be judged
            k(Full(where="desk", after=C.RETRY_AFTER))
            return
        self.reserve_n += 1
        then = self.reservation_told(n=n, k=k, good={"new": {"new": True}, "same": {"new": False}})

        def back(r, st):
            self.reserve_n -= 1
            then(r, st)

        self.hold_event(
            ev=["reserve", n, b["spec"], b["digest"], self.params.reserved_percent],
            size=len(pack(b["spec"])) + 256,
            k=back,
        )

    def on_release(self, *, b, k, who):
        if self.reservation_ready(k):
            self.hold_event(
                ev=["release", b["name"]], k=self.reservation_told(n=b["name"], k=k, good={"ok": {}})
            )

    def on_shorten(self, *, b, k, who):
        """b: name, untilMs and count, either of them None to stay."""
        if self.reservation_ready(k):
            self.hold_event(
                ev=["shorten", b["name"], b["untilMs"], b["count"]],
                k=self.reservation_told(n=b["name"], k=k, good={"ok": {}}),
            )

    def on_reservation(self, *, b, k, who):
        if self.ready_to(k):
            n = b["name"]
            k(
                Done(v=self.reservation_view(n))
                if n in self.record.reservations
                else Unknown(what="reservation", id=n)
            )

    def on_reservations(self, *, b, k, who):
        """Those of a lane, or all; by their windows."""
        if self.ready_to(k):
            rs = [r for r in self.record.reservations.values() if b["lane"] in ("", *r.lanes)]
            k(
                Done(
                    v={
                        "reservations": [
                            self.reservation_view(r.id) for r in sorted(rs, key=lambda r: (r.begin, r.id))
                        ]
                    }
                )
            )

    def reservation_view(self, n):
        """A reservation as clients see it. planned: how many of the count the workers that
        are well now would serve; fewer than the count after the fleet shrank."""
        r, at = self.record.reservations[n], {}
        if (plan := self.plan_now(ms=self.clock_ms())) is not None:
            at = plan.at.get(n, {})
        return {
            "name": n,
            "kind": r.kind,
            "zone": r.zone,
            "label": r.label,
            "lanes": r.lanes,
            "room": dict(zip(("cores", "memMb", "gpus"), r.room)),
            "count": r.count,
            "fromMs": r.begin,
            "untilMs": r.until,
            "state": r.phase(self.clock_ms()),
            "stamp": str(r.stamp),
            "planned": sum(at.values()),
            "workers": at,
        }
