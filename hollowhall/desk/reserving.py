"""Who serves the reservations. The record holds room on a kind of worker; the primary's
Plan maps it onto workers that are well, the first confirmed first, keeps that as it is
while it can, and maps anew what was lost. A round asks it what to keep off: before a
window only work that surely ends in time, or leaves checkpoints, starts in reserved room;
in it only such that can be given back, and only while the owners want nothing. What was
lent is given back by stopping what loses least. The plan is no part of the record: another
primary makes its own, and nothing that was confirmed hangs on it."""

from ..base import consts as C
from ..record.reservations import fill, peak, slots


def uses(*, w, lanes, room):
    """How many rooms of one shape the lanes' attempts take on a worker, begun ones whole."""
    gs = [g.room for g in w.runs.values() if g.lane in lanes]
    u = [sum(x[i] for x in gs) for i in range(3)]
    return max(-(-u[i] // room[i]) for i in range(3) if room[i])


def gives_back(sp):
    """Whether an attempt of a step can be stopped at little loss."""
    return bool(sp.get("saves")) and not sp.get("gang") and not sp.get("forever")


class Plan:
    """at: {reservation's id: {worker's id: how many}}; on: the same by worker, with
    the reservation and how many of it are kept for owners that are not yet there."""

    def __init__(self, *, rec):
        self.rec, self.at, self.on, self.live = rec, {}, {}, []
        self.key, self.next_ms, self.chosen, self.lanes = None, 0, set(), set()
        self.short = {}     # reservation's id: how many no well worker is left for

    def refresh(self, *, ms, slow=()):
        """Looks at the plan again when the reservations or the fleet changed, and at times."""
        rec = self.rec
        key = (rec.reserved_n, rec.fleet, len(rec.evacuated))
        if key == self.key and ms < self.next_ms:
            if self.lanes:
                self.keep(ms=ms)
            return
        self.key, self.next_ms = key, ms + C.RESERVED_PLAN_MS
        self.live, taken, at = rec.reserved(now=ms), {}, {}
        kinds = {r.kind: [] for r in self.live}
        for _, w in sorted(rec.workers.items()):
            if w.kind in kinds and rec.well(w) and ms >= w.flaky:
                kinds[w.kind].append(w)
        for r in self.live:
            ws = [w for w in kinds[r.kind] if r.wants(w)]
            at[r.id] = self.map_one(r=r, ws=ws, ms=ms, taken=taken, slow=slow)
        if any(self.total(at[r.id]) < r.count for r in self.live):
            tried, again = {}, {}       # as the record did it, if that serves more
            for r in self.live:
                again[r.id] = fill(r=r, taken=tried, ws=[w for w in kinds[r.kind] if r.wants(w)])
            if sum(map(self.total, again.values())) > sum(map(self.total, at.values())):
                at = again
        self.at = at
        self.short = {r.id: n for r in self.live if (n := r.count - self.total(at[r.id]))}
        self.chosen &= set(at)
        self.lanes = {a for r in self.live if r.begin <= ms for a in r.lanes}
        self.keep(ms=ms)

    def total(self, d):
        return sum(d.values())

    def map_one(self, *, r, ws, ms, taken, slow):
        """The workers that serve r, those that did so before first. Chosen anew once as the
        window nears: by then others may be freer."""
        have = self.at.get(r.id, {})
        if r.id not in self.chosen and ms >= r.begin - C.RESERVED_NEAR_MS:
            self.chosen.add(r.id)
            have = {}
        out = fill(r=r, ws=[w for w in ws if w.id in have], taken=taken, most=have) if have else {}
        left = r.count - sum(out.values())
        if left:
            def rank(w):
                held = [sum(g.room[i] for g in w.runs.values() if g.lane not in r.lanes
                            and not gives_back(self.spec_of(g))) for i in range(3)]
                free = slots(free=[w.room[i] - held[i] for i in range(3)], room=r.room)
                return (w.id in slow, -uses(w=w, lanes=r.lanes, room=r.room), -free, w.id)
            ranked = sorted(ws, key=rank)
            part = Part(begin=r.begin, until=r.until, room=r.room, count=left)
            for i, n in fill(r=part, ws=ranked, taken=taken).items():
                out[i] = out.get(i, 0) + n
        return out

    def spec_of(self, g):
        return self.rec.jobs[g.job].steps[g.step].spec

    def keep(self, *, ms):
        """How much of each worker is kept: what is mapped there without what the owners
        have there; and in a window, not more in all than the count less all they have."""
        self.on, rec = {}, self.rec
        for r in self.live:
            left = {i: max(0, n - uses(w=rec.workers[i], lanes=r.lanes, room=r.room))
                    for i, n in self.at[r.id].items()}
            if r.begin <= ms:
                over = sum(left.values()) - max(0, r.count - sum(
                    uses(w=w, lanes=r.lanes, room=r.room) for w in rec.workers.values()
                    if r.wants(w)))
                for i in sorted(left, key=lambda i: (rec.workers[i].used[2], i), reverse=True):
                    less = max(0, min(over, left[i]))
                    left[i], over = left[i] - less, over - less
            for i, n in left.items():
                self.on.setdefault(i, []).append((r, n))

    def wanted(self, *, r, ms, placed=()):
        """How many tasks of the owners are ready for such workers, and due soon. placed: the
        tasks that this round starts."""
        rec, n, rows = self.rec, 0, self.rec.charter["rows"]
        for lane in r.lanes:
            row = rows.get(lane)
            if row is None or row["limit"] and rec.lane_run.get(lane, 0) >= row["limit"]:
                continue
            for shape, line in rec.lines.get(lane, {}).items():
                if (row.get("kind") or shape[0]) != r.kind or shape[1] not in ("", r.zone) and r.zone:
                    continue
                for _, job, step in line:
                    n += sum(t.due <= ms + C.RESERVED_BACK_MS and t.id not in placed
                             for t in rec.ready[job, step].values())
                    if n >= r.count:
                        return r.count
        return n

    def serves(self, *, g, ms):
        """Whether an attempt is an owner's, where its reservation is now served."""
        return any(g.lane in r.lanes and r.begin <= ms < r.until
                   for r, _ in self.on.get(g.worker, ()))

    def lasts(self, *, sp, lane, standing, usual):
        """ms after which work of a step has surely ended; None if that is never sure."""
        if sp.get("forever") or standing:
            return None
        if sp["runMs"]:
            return sp["runMs"] + C.RESERVED_SLACK_MS
        e = max(sp.get("estimateMs") or 0, usual.get(lane) or 0)
        return e * C.RESERVED_TIMES + C.RESERVED_SLACK_MS if e else C.RESERVED_UNKNOWN_MS

    def kept_from(self, *, w, sp, lane, ms, ends, wanted):
        """The room on w that an attempt of another lane must leave free: cores, mem, gpus.
        ends: ms when it has surely ended, or None."""
        taken = []
        for r, n in self.on.get(w.id, ()):
            if not n or lane in r.lanes or ms >= r.until or ends is not None and ends <= r.begin:
                continue
            if gives_back(sp) and (ms < r.begin - C.RESERVED_BACK_MS or not wanted(r)):
                continue
            taken.append((r.begin, r.until, [n * x for x in r.room]))
        return peak(taken=taken, begin=ms, until=1 << 62 if ends is None else max(
            ends, ms + 1)) if taken else None


class Part:
    """What is left of a reservation to be mapped."""

    def __init__(self, *, begin, until, room, count):
        self.begin, self.until, self.room, self.count = begin, until, room, count


class ReservedMixin:
    """What a round does where there is a plan; without one it does nothing more."""
    plan = None

    def open_plan(self, plan):
        self.plan = plan
        self.held_out, self.demand, self.withheld, self.lane_now = {}, {}, False, ()

    def wanted(self, r):
        if r.id not in self.demand:
            self.demand[r.id] = self.plan.wanted(r=r, ms=self.now)
        return self.demand[r.id]

    def owns(self, *, w, lane):
        """Whether room on w is now kept for this lane, whoever else waits for it."""
        return any(n and lane in r.lanes and r.begin <= self.now < r.until
                   for r, n in self.plan.on.get(w.id, ()))

    def room_left(self, *, w, s, job, lane):
        """The free room on w for a step, without what is kept from it."""
        free = [w.room[i] - w.used[i] for i in range(3)]
        if w.id not in self.plan.on:
            return free
        lasts = self.plan.lasts(sp=s.spec, lane=lane, usual=self.usual,
                                standing=self.rec.jobs[job].spec["standing"])
        kept = self.plan.kept_from(w=w, sp=s.spec, lane=lane, ms=self.now, wanted=self.wanted,
                                   ends=None if lasts is None else self.now + lasts)
        return [free[i] - kept[i] for i in range(3)] if kept else free

    def free_for(self, *, w, k, lane):
        """The same, of a round with or without a plan."""
        if self.plan is None or w.id not in self.plan.on:
            return [w.room[i] - w.used[i] for i in range(3)]
        return self.room_left(w=w, s=self.rec.jobs[k[0]].steps[k[1]], job=k[0], lane=lane)

    def keeps_off(self, *, w, s, job, lane):
        """Whether w has room for the step, but keeps it for others."""
        left = self.room_left(w=w, s=s, job=job, lane=lane)
        off = any(s.spec["room"][i] > left[i] for i in range(3) if s.spec["room"][i])
        self.withheld = self.withheld or off
        return off

    def rank(self, *, s, lane, near):
        """Owners go first to where room is kept for them."""
        out, whys, some = super().rank(s=s, lane=lane, near=near)
        if self.plan is not None and lane in self.plan.lanes:
            out.sort(key=lambda x: self.owns(w=x[1], lane=lane))
        return out, whys, some

    def scan(self, *, t, s, k, lane, shape):
        if self.plan is None:
            return super().scan(t=t, s=s, k=k, lane=lane, shape=shape)
        sp = s.spec
        key = (shape, lane, sp.get("saves"), sp["runMs"], sp.get("estimateMs"))
        if key in self.held_out:
            return None, self.held_out[key], False
        self.withheld = False
        w, why, sure = super().scan(t=t, s=s, k=k, lane=lane, shape=shape)
        if w is None and self.withheld:
            if sure and sp["perWorker"] == sp["perRack"] == 0:
                self.held_out[key] = why
            return None, why, False     # others of this shape may own what is kept
        return w, why, sure

    def gang(self, *, k, q, lane):
        self.lane_now = (k[0], lane)
        return super().gang(k=k, q=q, lane=lane)

    def members_of(self, *, s, w, empty=False):
        n = super().members_of(s=s, w=w, empty=empty)
        if self.plan is None or empty or not n or w.id not in self.plan.on or not self.lane_now:
            return n
        left = self.room_left(w=w, s=s, job=self.lane_now[0], lane=self.lane_now[1])
        return min(n, slots(free=left, room=s.spec["room"])) if any(s.spec["room"]) else n
