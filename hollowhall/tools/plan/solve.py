"""Finds placements that satisfy the constraints in a file, with the CP-SAT solver of OR-tools (the extra `solve`;
daemons never load it). Each constraint has a name. If they cannot all be satisfied, constraints are removed one
at a time until every one that is left is needed for the conflict."""

import importlib
import json
import time

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ...base.problems import BadInput, Missing, Raised
from .change import read_picture
from .solve_file import check_placements, read_placement_problem

SCALE = 1000  # loads are counted in thousandths of a worker: the solver has integers only
MIN_TRIAL_S = 0.05  # least time for one run of the solver, also when the time limit is nearly reached


def load_cp_model():
    """The CP-SAT module. Raises Raised(Missing) if OR-tools is not installed."""
    try:
        return importlib.import_module("ortools.sat.python.cp_model")
    except ImportError:
        raise Raised(Missing(what="ortools", extra="hollowhall[solve]")) from None


class Model:
    """A placement problem as a CP-SAT model. `only`: names of the constraints to keep, None for all. `counts` has
    the variables (group, worker) -> number of tasks."""

    def __init__(self, *, problem, only=None):
        self.cp_model, self.problem, self.only, self.names = load_cp_model(), problem, only, {}
        self.model = self.cp_model.CpModel()
        self.counts, self.used = {}, {}
        for group in problem.groups:
            for host in problem.hosts:
                self.counts[group.name, host.id] = self.model.new_int_var(0, group.tasks, "")
        self.build()

    def add(self, name, constraint):
        """Adds a constraint under its name, if the name is to be kept."""
        self.names[name] = True
        if self.only is None or name in self.only:
            self.model.add(
                constraint
                if not isinstance(constraint, bool)
                else self.cp_model.LinearExpr.sum([]) == 1 - constraint
            )

    def uses(self, group, worker):
        """The variable for whether any task of a group is placed on a worker."""
        if (group, worker) not in self.used:
            used = self.used[group, worker] = self.model.new_bool_var("")
            self.model.add(self.counts[group, worker] >= 1).only_enforce_if(used)
            self.model.add(self.counts[group, worker] == 0).only_enforce_if(~used)
        return self.used[group, worker]

    def build(self):
        """Adds all constraints of the problem."""
        hosts = self.problem.hosts
        for group in self.problem.groups:
            counts = {host.id: self.counts[group.name, host.id] for host in hosts}
            self.add(f"{group.name}: tasks", sum(counts.values()) == group.tasks)
            for key in ("kind", "zone", "rack"):
                want = getattr(group, key)
                outside = [counts[host.id] for host in hosts if want not in ("", getattr(host, key))]
                if outside:
                    self.add(f"{group.name}: {key}", sum(outside) == 0)
            if group.pinned:
                self.add(
                    f"{group.name}: pinned",
                    sum(counts[host.id] for host in hosts if host.id not in group.pinned) == 0,
                )
            for host in hosts if group.spread.get("perWorker") else ():
                self.add(f"{group.name}: perWorker", counts[host.id] <= group.spread["perWorker"])
            for rack in sorted({host.rack for host in hosts}) if group.spread.get("perRack") else ():
                self.add(
                    f"{group.name}: perRack",
                    sum(counts[host.id] for host in hosts if host.rack == rack) <= group.spread["perRack"],
                )
            for other in group.apart:
                for host in hosts:
                    self.add(
                        f"{group.name}: apart from {other}",
                        self.uses(group.name, host.id) + self.uses(other, host.id) <= 1,
                    )
            for other in group.together:
                for host in hosts:
                    self.add(
                        f"{group.name}: together with {other}",
                        self.uses(group.name, host.id) == self.uses(other, host.id),
                    )
        for host in hosts:
            for resource in range(3):
                demands = [
                    (group, group.room[resource]) for group in self.problem.groups if group.room[resource]
                ]
                if demands:
                    self.add(
                        f"room of kind {host.kind}",
                        sum(amount * self.counts[group.name, host.id] for group, amount in demands)
                        <= host.room[resource],
                    )

    def set_objective(self):
        """Sets what the solver minimizes: workers in use, the highest load, or tasks moved from their worker."""
        if self.problem.favour == "fewest-workers":
            used = []
            for host in self.problem.hosts:
                is_used = self.model.new_bool_var("")
                for group in self.problem.groups:
                    self.model.add(self.counts[group.name, host.id] == 0).only_enforce_if(~is_used)
                used.append(is_used)
            self.model.minimize(sum(used))
        elif self.problem.favour == "even-load":
            highest_load = self.model.new_int_var(0, SCALE, "")
            for host in self.problem.hosts:
                for resource in range(3):
                    demand = [
                        group.room[resource] * self.counts[group.name, host.id]
                        for group in self.problem.groups
                        if group.room[resource]
                    ]
                    if demand and host.room[resource]:
                        self.model.add(SCALE * sum(demand) <= highest_load * host.room[resource])
            self.model.minimize(highest_load)
        else:
            moves = []
            for group in self.problem.groups:
                for worker, count in group.now.items():
                    moved = self.model.new_int_var(0, max(count, 1), "")
                    placed = self.counts.get((group.name, worker), 0)
                    self.model.add(moved >= count - placed)
                    moves.append(moved)
            self.model.minimize(sum(moves) if moves else 0)

    def run(self, *, seconds, seed):
        """Runs the solver; returns (solver, status)."""
        solver = self.cp_model.CpSolver()
        solver.parameters.num_workers, solver.parameters.random_seed = 1, seed
        solver.parameters.max_time_in_seconds = solver.parameters.max_deterministic_time = max(
            MIN_TRIAL_S, seconds
        )
        return solver, solver.solve(self.model)


def find_conflict(problem, *, end, seed):
    """(names of constraints that cannot all be satisfied, whether each of them is known to be needed). end: time on
    the monotonic clock at which the search stops."""
    names = list(Model(problem=problem).names)
    each_needed = True
    for name in list(names):
        if time.monotonic() > end:
            return names, False
        less = [kept for kept in names if kept != name]
        model = Model(problem=problem, only=set(less))
        _, status = model.run(seconds=end - time.monotonic(), seed=seed)
        if status == model.cp_model.INFEASIBLE:
            names = less
        elif status == model.cp_model.UNKNOWN:
            each_needed = False
    return names, each_needed


def solve(problem, *, seconds=10.0, seed=1):
    """Solves a problem within `seconds`. Returns {"status": best, found, infeasible or unknown, ...}: with
    placements for the first two, with the conflict for `infeasible`."""
    end = time.monotonic() + seconds
    model = Model(problem=problem)
    model.set_objective()
    solver, status = model.run(seconds=seconds, seed=seed)
    if status in (model.cp_model.OPTIMAL, model.cp_model.FEASIBLE):
        placed = {
            group.name: {
                host.id: solver.value(model.counts[group.name, host.id])
                for host in problem.hosts
                if solver.value(model.counts[group.name, host.id])
            }
            for group in problem.groups
        }
        return {
            "status": "best" if status == model.cp_model.OPTIMAL else "found",
            "favour": problem.favour,
            "value": round(solver.objective_value),
            "bound": round(solver.best_objective_bound),
            "placements": placed,
            "wrong": check_placements(problem, placed),
        }
    if status == model.cp_model.INFEASIBLE:
        names, sure = find_conflict(problem, end=end, seed=seed)
        return {"status": "infeasible", "conflict": names, "eachNeeded": sure}
    return {"status": "unknown"}


class SolveCommand(Command):
    """Finds placements for a file of constraints."""

    name = "solve"
    description = "Place groups of tasks by constraints written in a file (extra: solve)."
    arguments = [argument("file", "JSON file with workers, groups and the objective.", optional=True)]
    options = [
        option(
            "picture",
            None,
            "A saved snapshot: its workers, less what runs on them, and its ready steps, where the file names none.",
            flag=False,
        ),
        option("favour", None, "Objective: fewest-workers, even-load or fewest-moves.", flag=False),
        option("limit", None, "Time limit in seconds.", flag=False, default="10"),
        option("seed", None, "Random seed; the same seed gives the same result.", flag=False, default="1"),
        option("save", None, "File to write the result to, for plan --placements.", flag=False),
    ]

    def load(self, path, what):
        """The content of a JSON file. Raises Raised(BadInput) under the name `what`."""
        try:
            with open(path) as file:
                return json.load(file)
        except (OSError, ValueError) as error:
            raise Raised(BadInput(errors=[[what, str(error)]])) from None

    def number(self, name, kind, least):
        """The value of a numeric option of type `kind`. Raises Raised(BadInput) if it is less than `least`."""
        try:
            value = kind(self.option(name))
        except ValueError:
            value = least - 1
        if not least <= value < 1 << 31:
            raise Raised(BadInput(errors=[[name, f"a number from {least} is wanted"]]))
        return value

    def handle(self):
        try:
            content = self.load(self.argument("file"), "file") if self.argument("file") else {}
            if self.option("favour") and isinstance(content, dict):
                content["favour"] = self.option("favour")
            path = self.option("picture")
            record = read_picture(self.load(path, "picture"))[0] if path else None
            out = solve(
                read_placement_problem(content, record=record),
                seconds=self.number("limit", float, 0),
                seed=self.number("seed", int, 0),
            )
        except Raised as error:
            for key, why in getattr(error.failure, "errors", ()):
                self.line_error(f"{key}: {why}")
            self.line_error(repr(error.failure))
            return 2
        self.line(json.dumps(out, indent=1))
        if self.option("save"):
            with open(self.option("save"), "w") as file:
                json.dump(out, file)
        return 0 if out["status"] in ("best", "found") and not out["wrong"] else 1


SOLVE = [SolveCommand]
