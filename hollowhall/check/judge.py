"""The history checker. It shares no code with the daemons and trusts none of their state: it
judges only what callers, workers and operators observed. Each rule is one thing that the
specification says must never happen, with its bound. docs/check.md lists the rules."""

from dataclasses import dataclass

from .jobs import JobRules
from .lanes import QueueRules
from .reservations import ReservationRules
from .workers import WorkerRules


@dataclass(frozen=True, kw_only=True)
class Violation:
    """A rule that a history breaks: when, and what was observed."""

    rule: str
    t: float
    text: str
    at: str = ""  # file and line of the row that shows it, if rows have them


class Checker(JobRules, WorkerRules, QueueRules, ReservationRules):
    """Applies the rules to the rows of a history, in the order of their times. A row of event `x` is
    passed to the method `see_x`; `end_` methods run after the last row."""

    def __init__(self, rows):
        self.rows, self.violations = sorted(rows, key=lambda row: row["t"]), []
        self.row = {}
        self.puts, self.workers, self.runs = {}, {}, {}
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

    def flag(self, rule, time, text):
        self.violations.append(Violation(rule=rule, t=time, text=text, at=self.row.get("_at", "")))

    def see_unreadable(self, row):
        self.flag("unreadable", row["t"], f"line is not a history row: {row['line']!r}")

    def judge(self):
        """(violations by time, counts of what was seen)."""
        for row in self.rows:
            handler = getattr(self, "see_" + row["ev"].replace(".", "_"), None)
            self.row = row
            if self.reserved:
                self.check_served(row)
            if handler is not None:
                try:
                    handler(row)
                except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
                    self.flag("unreadable", row["t"], f"malformed row of event {row['ev']}: {error!r}")
        self.row = {}
        self.end_jobs()
        self.end_queues()
        self.violations.sort(key=lambda violation: violation.t)
        return self.violations, self.seen


def judge(rows):
    """(violations by time, counts of what was seen) for the rows of a history."""
    checker = Checker(rows)
    checker.open_jobs()
    checker.open_workers()
    checker.open_queues()
    checker.open_reservations()
    return checker.judge()
