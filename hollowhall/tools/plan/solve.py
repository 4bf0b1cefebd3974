"""Placements from constraints in a file, by OR-tools' CP-SAT (the extra `solve`; daemons
never carry it). Each constraint has a name; when all together cannot be met, names are
left out one at a time until every one that is left is needed for the conflict."""

import importlib
import json
import time

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ...base.problems import BadInput, Missing, Raised
from .change import read_picture
from .solve_file import check_placements, read_riddle

SCALE = 1000  # parts; an even load is counted in thousandths of a worker
LEAST = 0.05  # s; a trial to shrink a conflict is given at least this


def cp():
    try:
        return importlib.import_module("ortools.sat.python.cp_model")
    except ImportError:
        raise Raised(Missing(what="ortools", extra="hollowhall[solve]")) from None


class Model:
    """The riddle as a CP-SAT model. `only`, when given, names the constraints to keep."""

    def __init__(self, *, riddle, only=None):
        self.cp, self.r, self.only, self.names = cp(), riddle, only, {}
        self.m = self.cp.CpModel()
        self.x, self.y = {}, {}
        for g in riddle.groups:
            for w in riddle.hosts:
                self.x[g.name, w.id] = self.m.new_int_var(0, g.tasks, "")
        self.build()

    def add(self, name, c):
        """A constraint under its name, unless the name is left out."""
        self.names[name] = True
        if self.only is None or name in self.only:
            self.m.add(c if not isinstance(c, bool) else self.cp.LinearExpr.sum([]) == 1 - c)

    def on(self, g, w):
        """Whether any task of g stands on w."""
        if (g, w) not in self.y:
            b = self.y[g, w] = self.m.new_bool_var("")
            self.m.add(self.x[g, w] >= 1).only_enforce_if(b)
            self.m.add(self.x[g, w] == 0).only_enforce_if(~b)
        return self.y[g, w]

    def build(self):
        hs = self.r.hosts
        for g in self.r.groups:
            x = {w.id: self.x[g.name, w.id] for w in hs}
            self.add(f"{g.name}: tasks", sum(x.values()) == g.tasks)
            for key in ("kind", "zone", "rack"):
                want = getattr(g, key)
                off = [x[w.id] for w in hs if want not in ("", getattr(w, key))]
                if off:
                    self.add(f"{g.name}: {key}", sum(off) == 0)
            if g.pinned:
                self.add(f"{g.name}: pinned", sum(x[w.id] for w in hs if w.id not in g.pinned) == 0)
            for w in hs if g.spread.get("perWorker") else ():
                self.add(f"{g.name}: perWorker", x[w.id] <= g.spread["perWorker"])
            for r in sorted({w.rack for w in hs}) if g.spread.get("perRack") else ():
                self.add(f"{g.name}: perRack", sum(x[w.id] for w in hs if w.rack == r) <= g.spread["perRack"])
            for h in g.apart:
                for w in hs:
                    self.add(f"{g.name}: apart from {h}", self.on(g.name, w.id) + self.on(h, w.id) <= 1)
            for h in g.together:
                for w in hs:
                    self.add(f"{g.name}: together with {h}", self.on(g.name, w.id) == self.on(h, w.id))
        for w in hs:
            for a in range(3):
                gs = [(g, g.room[a]) for g in self.r.groups if g.room[a]]
                if gs:
                    self.add(
                        f"room of kind {w.kind}", sum(n * self.x[g.name, w.id] for g, n in gs) <= w.room[a]
                    )

    def favour(self):
        if self.r.favour == "fewest-workers":
            used = []
            for w in self.r.hosts:
                b = self.m.new_bool_var("")
                for g in self.r.groups:
                    self.m.add(self.x[g.name, w.id] == 0).only_enforce_if(~b)
                used.append(b)
            self.m.minimize(sum(used))
        elif self.r.favour == "even-load":
            top = self.m.new_int_var(0, SCALE, "")
            for w in self.r.hosts:
                for a in range(3):
                    u = [g.room[a] * self.x[g.name, w.id] for g in self.r.groups if g.room[a]]
                    if u and w.room[a]:
                        self.m.add(SCALE * sum(u) <= top * w.room[a])
            self.m.minimize(top)
        else:
            gone = []
            for g in self.r.groups:
                for i, n in g.now.items():
                    v = self.m.new_int_var(0, max(n, 1), "")
                    x = self.x.get((g.name, i), 0)
                    self.m.add(v >= n - x)
                    gone.append(v)
            self.m.minimize(sum(gone) if gone else 0)

    def run(self, *, secs, seed):
        s = self.cp.CpSolver()
        s.parameters.num_workers, s.parameters.random_seed = 1, seed
        s.parameters.max_time_in_seconds = s.parameters.max_deterministic_time = max(LEAST, secs)
        return s, s.solve(self.m)


def conflict(riddle, *, end, seed):
    """A small set of constraints that cannot all be met: (names, whether each is needed)."""
    names = list(Model(riddle=riddle).names)
    sure = True
    for n in list(names):
        if time.monotonic() > end:
            return names, False
        less = [x for x in names if x != n]
        m = Model(riddle=riddle, only=set(less))
        _, st = m.run(secs=end - time.monotonic(), seed=seed)
        if st == m.cp.INFEASIBLE:
            names = less
        elif st == m.cp.UNKNOWN:
            sure = False
    return names, sure


def solve(riddle, *, secs=10.0, seed=1):
    """{"status": best, found, infeasible or unknown, ...}, within `secs`."""
    end = time.monotonic() + secs
    m = Model(riddle=riddle)
    m.favour()
    s, st = m.run(secs=secs, seed=seed)
    if st in (m.cp.OPTIMAL, m.cp.FEASIBLE):
        placed = {
            g.name: {w.id: s.value(m.x[g.name, w.id]) for w in riddle.hosts if s.value(m.x[g.name, w.id])}
            for g in riddle.groups
        }
        return {
            "status": "best" if st == m.cp.OPTIMAL else "found",
            "favour": riddle.favour,
            "value": round(s.objective_value),
            "bound": round(s.best_objective_bound),
            "placements": placed,
            "wrong": check_placements(riddle, placed),
        }
    if st == m.cp.INFEASIBLE:
        names, sure = conflict(riddle, end=end, seed=seed)
        return {"status": "infeasible", "conflict": names, "eachNeeded": sure}
    return {"status": "unknown"}


class SolveCommand(Command):
    name = "solve"
    description = "Place groups of tasks by constraints written in a file (extra: solve)."
    arguments = [argument("file", "JSON file with workers, groups and what to favour.", optional=True)]
    options = [
        option(
            "picture",
            None,
            "A saved picture: its workers, less what runs, and its ready steps where the file names none.",
            flag=False,
        ),
        option("favour", None, "fewest-workers, even-load or fewest-moves.", flag=False),
        option("limit", None, "Seconds that it may take.", flag=False, default="10"),
        option("seed", None, "Seed; the same gives the same outcome.", flag=False, default="1"),
        option("save", None, "Write the outcome to a file, for plan --placements.", flag=False),
    ]

    def load(self, path, what):
        try:
            with open(path) as f:
                return json.load(f)
        except (OSError, ValueError) as e:
            raise Raised(BadInput(errors=[[what, str(e)]])) from None

    def number(self, name, kind, least):
        try:
            x = kind(self.option(name))
        except ValueError:
            x = least - 1
        if not least <= x < 1 << 31:
            raise Raised(BadInput(errors=[[name, f"a number from {least} is wanted"]]))
        return x

    def handle(self):
        try:
            d = self.load(self.argument("file"), "file") if self.argument("file") else {}
            if self.option("favour") and isinstance(d, dict):
                d["favour"] = self.option("favour")
            p = self.option("picture")
            rec = read_picture(self.load(p, "picture"))[0] if p else None
            out = solve(
                read_riddle(d, rec=rec), secs=self.number("limit", float, 0), seed=self.number("seed", int, 0)
            )
        except Raised as e:
            for key, why in getattr(e.problem, "errors", ()):
                self.line_error(f"{key}: {why}")
            self.line_error(repr(e.problem))
            return 2
        self.line(json.dumps(out, indent=1))
        if self.option("save"):
            with open(self.option("save"), "w") as f:
                json.dump(out, f)
        return 0 if out["status"] in ("best", "found") and not out["wrong"] else 1


SOLVE = [SolveCommand]
