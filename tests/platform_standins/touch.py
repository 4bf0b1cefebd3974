"""Which machines are in touch at a moment, and what trouble is near: read from the rows in
which a test notes what it does to machines. `machine` says which there are, `daemon` which
address is whose; `trouble` begins something (`what`, `m` a machine or worker) and `calm` with
the same id ends it; `cut` and `healed` are paths between two machines, one way or both."""

from dataclasses import dataclass

INF = float("inf")
DOWN = ("kill", "term", "remove", "freeze")
BRIEF = ("start", "clock", "reset", "hup")  # over at once
ITSELF = (*DOWN, "start", "clock", "reset", "slow", "disk", "loss", "closing")
UNSETTLES = (*DOWN, "start", "clock", "reset", "closing")  # a moment, not all the while
PLANNED = ("term", "hup", "config", "evacuate", "leave", "worker")


@dataclass(kw_only=True)
class Span:
    """One trouble, from its begin to its end, ms."""

    what: str
    m: str
    t0: float
    t1: float = INF
    most: bool = False  # a closing fault that took most of the core


class Touch:
    def __init__(self, *, rows, bounds):
        self.bounds, self.core, self.machines = bounds, set(), {}
        self.spans, self.cuts, self.workers = [], [], {}
        live, leaving = {}, {}
        for r in rows:
            ev, t = r["ev"], r["t"]
            if ev == "machine":
                self.core |= {r["m"]} if r.get("core") else set()
            elif ev == "daemon":
                self.machines[r["addr"]] = r["m"]
            elif ev == "trouble":
                s = Span(
                    what=r["what"],
                    m=r.get("m", ""),
                    t0=t,
                    most=r.get("most", False),
                    t1=t if r["what"] in BRIEF else INF,
                )
                self.spans.append(s)
                live[r.get("id")] = s
            elif ev in ("calm", "healed") and r.get("id") in live:
                live.pop(r["id"]).t1 = t
            elif ev == "cut":
                s = Span(what="cut", m=r["a"], t0=t)
                live[r["id"]] = s
                self.cuts.append((r["a"], r["b"], r.get("both", True), s))
            elif ev == "worker":
                self.add("worker", r["w"], t, t)
            elif ev == "draining":
                leaving[r["w"]] = self.add("leave", r["w"], t)
            elif ev == "gone":
                if r["how"] == "left" and r["w"] in leaving:
                    leaving[r["w"]].t1 = t
                else:
                    self.add("crash", r["w"], t, t)
            elif ev == "evacuation":
                self.add("evacuate", r["zone"], t, t)
            elif ev == "config":
                self.add("config", "", t, t)
        self.points = sorted({x for *_, s in self.cuts for x in (s.t0, s.t1)})

    def add(self, what, m, t0, t1=INF):
        self.spans.append(Span(what=what, m=m, t0=t0, t1=t1))
        return self.spans[-1]

    def machine(self, addr):
        return self.machines.get(addr, addr)

    def down(self, m, t):
        return any(s.m == m and s.what in DOWN and s.t0 <= t < s.t1 for s in self.spans)

    def path(self, a, b, t):
        """Whether messages pass both ways."""
        return not any({a, b} == {x, y} and s.t0 <= t < s.t1 for x, y, _, s in self.cuts)

    def reaches(self, m, t):
        """The running core machines to which a machine has a path, itself among them."""
        return [c for c in self.core if not self.down(c, t) and (c == m or self.path(m, c, t))]

    def most(self, t):
        """The running core machines that reach more than half of the core."""
        return [c for c in self.core if not self.down(c, t) and 2 * len(self.reaches(c, t)) > len(self.core)]

    def settled(self, t, t0):
        """Whether the core was settled from t0 to t; the two spans are not summed."""
        for s in self.spans:
            if s.what == "closing" and s.most and t - 2 * self.bounds.contact_ms < s.t0 <= t:
                return False
            if s.m in self.core or s.what == "closing":
                if s.what in UNSETTLES and any(t0 < x <= t for x in (s.t0, s.t1)):
                    return False
                if s.what == "slow" and s.t0 <= t and s.t1 > t0:
                    return False
        for a, b, _, s in self.cuts:
            if {a, b} <= self.core and any(t0 < x <= t for x in (s.t0, s.t1)):
                return False
        return not self.core or bool(self.most(t))

    def in_touch(self, addr, t):
        """By the address of one of a machine's daemons, or the machine's name."""
        m, t0 = self.machine(addr), t - self.bounds.contact_ms
        if any(s.m == m and s.what in ITSELF and s.t0 <= t and s.t1 > t0 for s in self.spans):
            return False
        if not self.settled(t, t0):
            return False
        for x in [t0, t, *(p for p in self.points if t0 < p <= t)]:
            if any(not self.path(m, c, x) for c in self.most(x) if c != m):
                return False
        return True

    def near(self, t0, t1, *, but=()):
        """Trouble between two moments or within contactMs before, some kinds apart."""
        t0 -= self.bounds.contact_ms
        return [
            s.what
            for s in [*self.spans, *(s for *_, s in self.cuts)]
            if s.what not in but and s.t0 <= t1 and (s.t0 if s.what == "remove" else s.t1) >= t0
        ]

    def of(self, m, *whats):
        return [s for s in self.spans if s.m == m and s.what in whats]

    def clocks_jump(self):
        return any(s.what == "clock" for s in self.spans)
