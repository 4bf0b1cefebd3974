"""The checker of the platform's rules: judges the rows that clients, workers and operators
noted, and the test's own rows about trouble. A rule has the name that the page gives it and
is as exact as the page, with its exceptions. Not judged here, for these stand-ins cannot see
it: RECOVER, the share of LOST that counts requests cut by configurations, worth and prices."""

from dataclasses import dataclass

from .bounds import Bounds
from .idle import IdleRules
from .index import Index
from .rules_config import ConfigRules
from .rules_jobs import JobRules
from .rules_starts import StartRules
from .rules_tenants import TenantRules
from .touch import Touch

INF = float("inf")
NAMES = (
    "LIMIT",
    "TWICE",
    "ORDER",
    "ROUTE",
    "BUDGET",
    "GANG",
    "UNASKED",
    "REFUSED",
    "DRAIN",
    "EVAC",
    "MIXED",
    "LOST",
    "CONFIG",
    "QUOTA",
)


@dataclass(frozen=True, kw_only=True)
class Violation:
    rule: str
    t: float
    text: str


class Rules(StartRules, JobRules, IdleRules, ConfigRules, TenantRules):
    def __init__(self, rows, *, bounds=None):
        self.rows, self.bounds = sorted(rows, key=lambda r: r["t"]), bounds or Bounds()
        self.bad, self.ix, self.tenants = [], Index(self.rows), {}  # tenants: by job
        self.touch = Touch(rows=self.rows, bounds=self.bounds)
        self.drains, self.finals, self.broken_off, self.evacuations = {}, {}, [], []
        for r in self.rows:
            if r["ev"] == "drain_acked":
                self.drains.setdefault(r["w"], []).append(r)
            elif r["ev"] == "state_out" and r.get("final"):
                self.finals.setdefault(r["job"], []).append(r)
            if r["ev"].endswith("_out") and r.get("why") == "cut" and "sent" in r:
                self.broken_off.append(r)
        self.open_evacuations()
        self.open_config()

    def open_evacuations(self):
        """(zone, acknowledged, withdrawn): the sending of a withdrawal ends it."""
        live = {}
        for r in self.rows:
            if r["ev"] == "evacuation" and r["withdraw"] and r["zone"] in live:
                self.evacuations.append((r["zone"], live.pop(r["zone"]), r["t"]))
            elif r["ev"] == "evacuation_out" and not r["withdraw"] and 200 <= r["status"] < 300:
                live.setdefault(r["zone"], r["t"])
        self.evacuations += [(z, t, INF) for z, t in live.items()]

    def flag(self, rule, t, text):
        self.bad.append(Violation(rule=rule, t=t, text=text))

    def judge(self):
        self.judge_starts()
        self.judge_jobs()
        self.judge_cuts()
        self.judge_idle()
        self.judge_config()
        self.judge_tenants()
        self.bad.sort(key=lambda b: b.t)
        return self.bad


def judge(rows, *, bounds=None):
    """The violations of a history, by time."""
    return Rules(rows, bounds=bounds).judge()
