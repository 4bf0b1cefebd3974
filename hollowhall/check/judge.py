"""The history checker. It shares no code with the daemons and believes nobody: it
judges only what requesters, workers and operators saw. Each rule is one "never" of
the brief, with the brief's bound. docs/check.md lists them."""

from dataclasses import dataclass

from .jobs import JobRules
from .lanes import LaneRules
from .reservations import ReservationRules
from .workers import WorkerRules


@dataclass(frozen=True, kw_only=True)
class Violation:
    rule: str
    t: float
    text: str
    at: str = ""  # file and line of the row that shows it, where rows have such


class Checker(JobRules, WorkerRules, LaneRules, ReservationRules):
    def __init__(self, rows):
        self.rows, self.bad = sorted(rows, key=lambda r: r["t"]), []
        self.row = {}
        self.puts, self.cards, self.runs = {}, {}, {}
        self.seen = {
            "rows": len(rows),
            "puts": 0,
            "starts": 0,
            "ends_ok": 0,
            "ends_bad": 0,
            "void_ends": 0,
            "void_reruns": 0,
            "jobs_accepted": 0,
            "jobs_ended": 0,
            "edits": 0,
        }

    def flag(self, rule, t, text):
        self.bad.append(Violation(rule=rule, t=t, text=text, at=self.row.get("_at", "")))

    def see_unreadable(self, r):
        self.flag("unreadable", r["t"], f"no row of a history: {r['line']!r}")

    def judge(self):
        for r in self.rows:
            h = getattr(self, "see_" + r["ev"].replace(".", "_"), None)
            self.row = r
            if self.reserved:
                self.look_at_served(r)
            if h is not None:
                try:
                    h(r)
                except (KeyError, TypeError, ValueError, AttributeError, IndexError) as e:
                    self.flag("unreadable", r["t"], f"a row of {r['ev']} that cannot be: {e!r}")
        self.row = {}
        self.end_jobs()
        self.end_lanes()
        self.bad.sort(key=lambda b: b.t)
        return self.bad, self.seen


def judge(rows):
    """(violations, what was seen)."""
    c = Checker(rows)
    c.open_jobs()
    c.open_workers()
    c.open_lanes()
    c.open_reservations()
    return c.judge()
