"""Placement: which ready tasks start where. Lanes go by urgency, then by weighted
dominant share; inside a lane older jobs first. What is decided is counted into the
record while the round lasts and taken out again at its end, so that room, spread
and lane limits are looked at by the record's own rule. A task that has waited long
for room gets a worker reserved; one that no worker could ever hold is skipped and
says so. `hollowhall plan` runs this same code on a copy of the record."""

from ..base import consts as C
from ..record.kinds import UP, Leg
from ..record.legs import suits


def total_room(rec):
    t = [0, 0, 0]
    for w in rec.workers.values():
        if w.state == UP:
            t = [a + b for a, b in zip(t, w.room)]
    return t


def lane_use(rec):
    u = {}
    for g in rec.legs.values():
        a = u.setdefault(g.lane, [0, 0, 0])
        for i in range(3):
            a[i] += g.room[i]
    return u


class Round:
    """One round over a record at `now` ms. `why` says, by job and step, what kept
    its next task waiting; `due` is the nearest moment a waiting task comes due."""

    def __init__(self, *, rec, now, most, kept=None):
        self.rec, self.now, self.most = rec, now, most
        self.out, self.trial, self.why, self.due = [], [], {}, None
        self.total, self.use = total_room(rec), lane_use(rec)
        self.kept = {} if kept is None else kept    # worker: (job, step) it is reserved for
        self.kinds = {}
        for w in sorted(rec.workers.values(), key=lambda w: w.id):
            self.kinds.setdefault(w.kind, []).append(w)

    def share(self, lane):
        u, row = self.use.get(lane, (0, 0, 0)), self.rec.charter["rows"].get(lane)
        top = max((a / b for a, b in zip(u, self.total) if b), default=0.0)
        return top / row["weight"]

    def run(self):
        lanes = {}
        for t in self.rec.ready.values():
            j = self.rec.jobs[t.job]
            if j.lane not in self.rec.charter["rows"]:
                self.why[t.job, t.step] = "lane"
            elif t.due > self.now:
                self.due = t.due if self.due is None else min(self.due, t.due)
                self.why[t.job, t.step] = "due"
            else:
                lanes.setdefault(j.lane, {}).setdefault((j.stamp, t.job, t.step), []).append(t)
        asked = {(k[1], k[2]) for g in lanes.values() for k in g}
        for w in [w for w, x in self.kept.items() if x not in asked or w not in self.rec.workers]:
            del self.kept[w]
        heads = {a: sorted(((k, sorted(ts, key=lambda t: t.n)) for k, ts in g.items()),
                           key=lambda x: x[0], reverse=True) for a, g in lanes.items()}
        rows = self.rec.charter["rows"]
        try:
            while heads and len(self.out) < self.most:
                a = min(heads, key=lambda x: (-rows[x]["urgency"], self.share(x), x))
                if not self.step(heads[a]):
                    heads[a].pop()
                if not heads[a]:
                    del heads[a]
        finally:
            for g in reversed(self.trial):
                self.rec.take_room(g, -1)
        return self.out

    def step(self, head):
        """Places the next task of the lane's oldest step; False if the step is over."""
        (_, job, step), ts = head[-1]
        t = ts[0]
        w, why = self.find(t)
        if w is None:
            self.why[job, step] = why
            return False
        ts.pop(0)
        self.why.pop((job, step), None)
        for x in [x for x, y in self.kept.items() if y == (job, step)]:
            del self.kept[x]
        sp = self.rec.jobs[job].steps[step].spec
        g = Leg(run=-len(self.trial) - 1, task=t.id, job=job, step=step, worker=w.id,
                lane=self.rec.jobs[job].lane, room=sp["room"])
        self.rec.take_room(g, 1)
        self.trial.append(g)
        u = self.use.setdefault(g.lane, [0, 0, 0])
        for i in range(3):
            u[i] += g.room[i]
        self.out.append((t.id, w.id))
        return bool(ts)

    def find(self, t):
        """(worker, '') or (None, why)."""
        rec, j = self.rec, self.rec.jobs[t.job]
        s, row = j.steps[t.step], rec.charter["rows"][j.lane]
        if row["limit"] and rec.lane_run.get(j.lane, 0) >= row["limit"]:
            return None, "limit"
        best, key, whys, could = None, None, set(), []
        for w in self.kinds.get(s.spec["kind"], ()):
            if not suits(s.spec, w):
                continue
            could.append(w)
            why = rec.unfit_worker(s, s.spec, w, now=self.now)
            if not why and self.kept.get(w.id, (t.job, t.step)) != (t.job, t.step):
                why = "room"
            if why:
                whys.add(why)
                continue
            left = max((w.room[i] - w.used[i] - s.spec["room"][i]) / w.room[i]
                       for i in range(3) if w.room[i])
            c = (w.id in t.bad, left, w.id)
            if best is None or c < key:
                best, key = w, c
        if best is not None:
            return best, ""
        if not could:
            return None, "never"
        why = next(x for x in ("room", "spread", "probation", "worker") if x in whys)
        if why == "room" and self.now - (t.at >> C.LOGICAL_BITS) > C.STARVE_MS:
            self.reserve(t, s, could)
        return None, why

    def reserve(self, t, s, could):
        """Keeps the worker nearest to having room for t; one a step, half of a kind."""
        if (t.job, t.step) in self.kept.values():
            return
        ws = [w for w in could if w.state == UP and w.id not in self.kept]
        mine = [w for w in self.kinds[s.spec["kind"]] if w.id in self.kept]
        if ws and len(mine) * 2 < len(self.kinds[s.spec["kind"]]):
            w = min(ws, key=lambda w: (max(w.used[i] + s.spec["room"][i] - w.room[i]
                                           for i in range(3)), w.id))
            self.kept[w.id] = (t.job, t.step)


class PlaceMixin:
    def open_place(self):
        self.whys, self.kept = {}, {}

    def place_all(self, *, most):
        r = Round(rec=self.record, now=self.clock_ms(), most=most, kept=self.kept)
        out = r.run()
        self.whys, self.due_at = r.why, r.due
        return out
