"""Which workers a step may start on. Who would do if it were empty changes only with the
fleet, and is kept from round to round; who has room is ranked once for each shape in a
round, best last, and looked at again when it is used, for room only shrinks in a round.
So the cost of a round is that of the shapes that wait, and not of each task and worker."""

from ..base import consts as C
from ..record.kinds import UP
from ..record.legs import suits

WHYS = ("room", "spread", "reserved", "probation", "worker", "evacuated", "slow")


def has_room(*, w, room):
    u, r = w.used, w.room
    return u[0] + room[0] <= r[0] and u[1] + room[1] <= r[1] and u[2] + room[2] <= r[2]


class FitMixin:
    def fleet(self, cache):
        """Workers by kind, and what is kept of them, as long as the fleet is the same."""
        if cache.get("fleet") != self.rec.fleet or "kinds" not in cache:
            cache.clear()
            cache["fleet"], kinds = self.rec.fleet, {}
            for w in sorted(self.rec.workers.values(), key=lambda w: w.id):
                kinds.setdefault(w.kind, []).append(w)
            cache["kinds"] = kinds
        self.cache, self.kinds, self.ranked = cache, cache["kinds"], {}

    def could(self, *, lane, sp):
        """The workers that would do for a step if they were empty."""
        kind = self.rec.kind_of(lane=lane, sp=sp)
        key = (kind, sp.get("label", ""), sp["zone"], sp["rack"], *sp["room"])
        ws = self.cache.get(key)
        if ws is None:
            ws = self.cache[key] = [w for w in self.kinds.get(kind, ())
                                    if suits(sp=sp, w=w, kind=kind)]
        return ws

    def sound(self, w):
        """Whether a worker takes starts at all now; one that does not is not waited for."""
        return w.state == UP and w.zone not in self.rec.evacuated and self.now >= w.flaky \
            and w.id not in self.slow

    def rank(self, *, s, lane, near):
        """([key, worker], best last; what keeps the others) for one shape."""
        sp, out, whys, rec = s.spec, [], set(), self.rec
        room, rack, evacuated = sp["room"], sp.get("near"), rec.evacuated
        ws = self.could(lane=lane, sp=sp)
        if near:
            ws = [w for w in ws if w.rack == rack and self.sound(w)] or ws
        for w in ws:
            if w.state != UP:
                whys.add("worker")
            elif w.zone in evacuated:
                whys.add("evacuated")
            elif self.now < w.flaky:
                whys.add("probation")
            elif w.id in self.slow:
                whys.add("slow")
            elif not has_room(w=w, room=room):
                whys.add("room")
            else:
                left = max((w.room[i] - w.used[i] - room[i]) / w.room[i]
                           for i in range(3) if w.room[i]) if any(w.room) else 0.0
                out.append(((bool(rack) and w.rack != rack, w.id in self.doubt, left, w.id), w))
        out.sort(key=lambda x: x[0], reverse=True)
        return out, whys, bool(ws)

    def trusts(self, *, t, w):
        """Whether t may go to w first of all: what has failed goes where nothing is doubted."""
        return w.id not in t.bad and not (t.fails and (w.id in self.doubt or w.id in self.trials))

    def scan(self, *, t, s, k, lane, shape):
        """The best worker for t: (it, '', _) or (None, why, whether any other step of this
        shape would fare alike)."""
        sp = s.spec
        near = bool(sp.get("near")) and self.now - (t.at >> C.LOGICAL_BITS) < self.patience(
            sp=sp, lane=lane)
        key = (shape, lane, near)
        if key not in self.ranked:
            self.ranked[key] = self.rank(s=s, lane=lane, near=near)
        xs, whys, any_ = self.ranked[key]
        if not any_:
            return None, "never", True
        first = second = None
        here, i = set(), len(xs)
        while i:
            i -= 1
            w = xs[i][1]
            if not has_room(w=w, room=sp["room"]):
                del xs[i]
                whys.add("room")
                continue
            why = self.unfit(s, w, k, lane)
            if why:
                here.add(why)
            elif not self.trusts(t=t, w=w):
                second = second or w
            elif not t.fails or not self.proven or w.id in self.proven:
                return w, "", True
            else:
                first = first or w
        if first is not None:
            return first, "", True
        if second is not None:
            if t.fails + 1 >= sp["maxFailures"] and self.now - (
                    t.at >> C.LOGICAL_BITS) < C.RETRY_WAIT_MS and second.id in self.doubt:
                return None, "slow", False
            return second, "", True
        here |= whys
        return None, next((x for x in WHYS if x in here), "room"), \
            not near and "spread" not in here and k not in self.kept.values()
