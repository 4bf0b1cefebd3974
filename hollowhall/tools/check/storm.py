"""storm runs seeds through the simulation, many at a time; replay runs one seed
again, or reads a history, stops at the first violation and shows what stood around
it, and can shrink the schedule."""

import json
import time
from multiprocessing import Pool

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ...check.judge import judge
from ...sim import faults, storm
from ...sim.world import BASE_MS
from ...standins.history import read
from ...standins.shapes import SHAPES

GROUPS = {
    "all": faults.ALL,
    "core": faults.CORE,
    "net": faults.NET,
    "work": faults.WORK,
    "crowd": faults.CROWD,
    "large": faults.LARGE,
}


def kinds_of(s):
    out = []
    for x in s.split(","):
        out += GROUPS.get(x, [x])
    known = faults.ALL + faults.LARGE
    bad = [x for x in out if x not in known]
    if bad:
        raise ValueError(f"unknown fault {bad[0]}; known: {', '.join(known)}")
    return out


def one(a):
    seed, shape, kinds, n = a
    s = storm.run(seed=seed, shape=shape, kinds=kinds, n=n)
    broken = [x for x in s.log if "HH106" in x or "HH111" in x]
    return seed, [(b.rule, b.text) for b in s.bad], s.seen, broken


class StormCommand(Command):
    name = "storm"
    description = "Run seeded fault simulations of a whole fleet and check each."
    options = [
        option("seeds", None, "FIRST-LAST.", flag=False, default="1-20"),
        option("shape", None, "cymylau or memoria.", flag=False, default="cymylau"),
        option("faults", None, "all, core, net, work, crowd, large or names.", flag=False, default="all"),
        option("count", None, "Faults in a run.", flag=False, default="10"),
        option("procs", None, "Runs at the same time.", flag=False, default="4"),
    ]

    def handle(self):
        try:
            a, b = map(int, self.option("seeds").split("-"))
            kinds, n = kinds_of(self.option("faults")), int(self.option("count"))
            shape = SHAPES[self.option("shape")].name
        except (ValueError, KeyError) as e:
            self.line_error(f"bad option: {e}")
            return 2
        failing, rules, t = [], {}, time.monotonic()
        with Pool(int(self.option("procs"))) as p:
            for seed, bad, _, broken in p.imap(one, [(s, shape, kinds, n) for s in range(a, b + 1)]):
                for r, _ in bad:
                    rules[r] = rules.get(r, 0) + 1
                if bad or broken:
                    failing.append(seed)
                    self.line_error(f"seed {seed}: {(bad + broken)[:3]}")
        self.line(
            f"storm: {len(failing)} of {b - a + 1} seeds failing {failing} {rules} "
            f"in {time.monotonic() - t:.0f} s"
        )
        return 1 if failing else 0


class ReplayCommand(Command):
    name = "replay"
    description = "Run a seed again, or read a history, up to its first violation."
    arguments = [argument("what", "A seed, or a history file.")]
    options = [
        option("shape", None, "cymylau or memoria.", flag=False, default="cymylau"),
        option("faults", None, "As for storm.", flag=False, default="all"),
        option("count", None, "Faults in the run.", flag=False, default="10"),
        option("around", None, "Rows to show around it.", flag=False, default="12"),
        option("shrink", None, "Leave faults out while it still fails.", flag=True),
    ]

    def handle(self):
        w, log, plan = self.argument("what"), [], None
        kw = {"shape": self.option("shape")}
        try:
            kinds, n = kinds_of(self.option("faults")), int(self.option("count"))
            rows = None if w.isdigit() else read([w])
        except (ValueError, OSError) as e:
            self.line_error(str(e))
            return 2
        if rows is None:
            s = storm.run(seed=int(w), kinds=kinds, n=n, **kw)
            rows, log, plan = s.rows, s.log, s.plan
            self.line(f"schedule: {plan}")
        bad, seen = judge(rows)
        self.line(json.dumps(seen))
        if not bad:
            self.line("no violation")
            return 0
        b, k = bad[0], int(self.option("around"))
        self.line_error(f"{b.rule} at {b.t:.0f}: {b.text}")
        i = next((i for i, r in enumerate(rows) if r["t"] >= b.t), len(rows))
        for r in rows[max(0, i - k) : i + k // 2]:
            self.line(json.dumps(r)[:300])
        at = (b.t - BASE_MS) / 1000
        for x in [x for x in log if abs(float(x.split()[0]) - at) < 3 and "HH501" not in x][: k * 2]:
            self.line(x)
        if self.option("shrink") and plan is not None:
            plan = storm.shrink(seed=int(w), plan=plan, rule=b.rule, say=self.line, **kw)
            self.line(f"shrunk: {plan}")
        return 1


STORM = [StormCommand, ReplayCommand]
