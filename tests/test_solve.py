"""Placements for a file of constraints: as good as those of brute force on small cases, conflicts in which each
constraint is needed, the same result for the same seed, all errors of a bad file reported. The checker of
placements detects a violation of each rule."""

import itertools
import json
import random

import pytest
from cleo.testers.command_tester import CommandTester

from hollowhall.base.problems import Raised
from hollowhall.record import Record
from hollowhall.standins.shapes import CYMYLAU, workers_of
from hollowhall.tools.plan.change import Change
from hollowhall.tools.plan.plan import plan
from hollowhall.tools.plan.solve import Model, SolveCommand, solve
from hollowhall.tools.plan.solve_file import OBJECTIVES, check_placements, read_placement_problem


def random_problem(generator, favour):
    """A problem of three workers and two groups."""
    workers = [
        {
            "id": f"w{i}",
            "kind": generator.choice("aab"),
            "zone": f"z{i % 2}",
            "rack": f"r{i % 2}",
            "cores": generator.randint(2, 5),
            "memMb": 10,
        }
        for i in range(3)
    ]
    groups = []
    for number in range(2):
        group = {
            "name": f"g{number}",
            "tasks": generator.randint(1, 3),
            "kind": generator.choice("aab"),
            "room": {"cores": generator.randint(1, 2), "memMb": generator.randint(0, 4)},
            "now": {"w0": generator.randint(0, 2), "w1": 1},
        }
        choice = generator.random()
        if choice < 0.3:
            group["spread"] = {"perWorker": generator.randint(1, 2)}
        elif choice < 0.5:
            group["spread"] = {"perRack": generator.randint(1, 2)}
        elif choice < 0.6:
            group["zone"] = "z0"
        elif choice < 0.7:
            group["pinned"] = ["w1", "w2"]
        if number and generator.random() < 0.5:
            group[generator.choice(["apart", "together"])] = ["g0"]
        groups.append(group)
    return read_placement_problem({"workers": workers, "groups": groups, "favour": favour})


def all_placements(problem):
    """All ways to place all tasks, with or without violations."""
    ids = [host.id for host in problem.hosts]
    ways = [
        [
            dict(zip(ids, counts))
            for counts in itertools.product(range(group.tasks + 1), repeat=len(ids))
            if sum(counts) == group.tasks
        ]
        for group in problem.groups
    ]
    for counts in itertools.product(*ways):
        yield {group.name: way for group, way in zip(problem.groups, counts)}


def objective_value(problem, placements):
    """What the solver is to minimize, computed without it."""
    if problem.favour == "fewest-workers":
        return len({host for counts in placements.values() for host, count in counts.items() if count})
    if problem.favour == "fewest-moves":
        return sum(
            max(0, count - placements[group.name].get(host, 0))
            for group in problem.groups
            for host, count in group.now.items()
        )
    highest = 0
    for host in problem.hosts:
        for resource in range(3):
            used = sum(
                group.room[resource] * placements[group.name].get(host.id, 0) for group in problem.groups
            )
            highest = max(highest, -(-1000 * used // host.room[resource]) if host.room[resource] else 0)
    return highest


@pytest.mark.parametrize("favour", OBJECTIVES)
def test_as_good_as_brute_force(favour):
    generator, seen = random.Random(OBJECTIVES.index(favour)), {"best": 0, "infeasible": 0}
    for _ in range(60):
        problem = random_problem(generator, favour)
        values = [
            objective_value(problem, placements)
            for placements in all_placements(problem)
            if not check_placements(problem, placements)
        ]
        out = solve(problem, seconds=20)
        seen[out["status"]] += 1
        assert (out["status"] == "best") == bool(values)
        if values:
            assert out["wrong"] == [] and out["value"] == out["bound"] == min(values)
        else:
            assert_each_needed(problem, out)
    assert min(seen.values()) >= 8, seen


def assert_each_needed(problem, out):
    """Asserts that the constraints of a conflict cannot all be satisfied, and that they can without any one of them."""
    names = set(out["conflict"])
    assert out["eachNeeded"] and names <= set(Model(problem=problem).names)
    for kept, satisfiable in [(names, False)] + [(names - {name}, True) for name in names]:
        model = Model(problem=problem, only=kept)
        assert (model.run(seconds=5, seed=1)[1] != model.cp_model.INFEASIBLE) == satisfiable


def test_a_conflict_by_name():
    problem = read_placement_problem(
        {
            "workers": [
                {"id": "w1", "kind": "a", "cores": 8, "rack": "r1"},
                {"id": "w2", "kind": "a", "cores": 8, "rack": "r1"},
                {"id": "w3", "kind": "b", "cores": 8, "rack": "r2"},
            ],
            "groups": [
                {"name": "web", "kind": "a", "tasks": 4, "spread": {"perRack": 3}},
                {"name": "other", "kind": "b", "tasks": 2},
            ],
        }
    )
    assert set(solve(problem)["conflict"]) == {"web: tasks", "web: kind", "web: perRack"}


def test_the_same_seed_is_the_same_outcome_and_the_limit_is_kept():
    generator = random.Random(3)
    groups = [
        {
            "name": f"g{number}",
            "tasks": generator.randint(1, 9),
            "kind": generator.choice(["tile", "nowcast"]),
            "room": {"cores": generator.randint(1, 9), "memMb": generator.randint(1, 9000)},
            "spread": {"perWorker": 2},
        }
        for number in range(12)
    ]
    workers = [
        {"id": worker, "kind": kind, "zone": zone, "rack": rack, **room}
        for worker, kind, zone, rack, room in workers_of(CYMYLAU)
    ]
    content = {"workers": workers, "groups": groups, "favour": "even-load"}
    first, second = [solve(read_placement_problem(content), seconds=2, seed=5) for _ in range(2)]
    assert first["wrong"] == [] and first["status"] in ("best", "found")
    assert first["status"] != "best" or first == second
    model = Model(problem=read_placement_problem(content))
    model.set_objective()
    solver, _ = model.run(seconds=0.2, seed=5)
    assert solver.wall_time < 10


BASE = {
    "workers": [
        {"id": "w1", "kind": "a", "zone": "z1", "rack": "r1", "cores": 4},
        {"id": "w2", "kind": "a", "zone": "z2", "rack": "r1", "cores": 4},
        {"id": "w3", "kind": "b", "zone": "z1", "rack": "r2", "cores": 9},
    ],
    "groups": [{"name": "g", "kind": "a", "tasks": 2}, {"name": "h", "kind": "a"}],
}


@pytest.mark.parametrize(
    "rule, more, placed",
    [
        ("tasks", {}, {"w1": 1}),
        ("worker", {}, {"w9": 2}),
        ("kind", {}, {"w3": 2}),
        ("zone", {"zone": "z1"}, {"w2": 2}),
        ("rack", {"rack": "r2"}, {"w1": 2}),
        ("pinned", {"pinned": ["w1"]}, {"w2": 2}),
        ("room", {"room": {"cores": 3}}, {"w1": 2}),
        ("perWorker", {"spread": {"perWorker": 1}}, {"w1": 2}),
        ("perRack", {"spread": {"perRack": 1}}, {"w1": 1, "w2": 1}),
        ("apart", {"apart": ["h"]}, {"w1": 2}),
        ("together", {"together": ["h"]}, {"w2": 2}),
    ],
)
def test_the_checker_catches(rule, more, placed):
    content = json.loads(json.dumps(BASE))
    content["groups"][0] |= more
    problem = read_placement_problem(content)
    assert rule in {found for found, _ in check_placements(problem, {"g": placed, "h": {"w1": 1}})}
    assert check_placements(read_placement_problem(BASE), {"g": {"w1": 1, "w2": 1}, "h": {"w1": 1}}) == []


def test_every_fault_of_a_file_is_told(tmp_path):
    bad = {
        "workers": [{"id": "w", "kind": "a"}, {"id": "v", "kind": 3, "cores": "many"}],
        "groups": [{"name": "g", "tasks": 0, "kind": "a", "what": 1}],
        "favour": "luck",
    }
    with pytest.raises(Raised) as raised:
        read_placement_problem(bad)
    assert {key for key, _ in raised.value.failure.errors} == {
        "workers.1.kind",
        "workers.1.cores",
        "groups.0.tasks",
        "groups.0.what",
        "favour",
    }
    for content in (
        [],
        {},
        {"workers": BASE["workers"]},
        BASE | {"groups": [{"name": "g", "kind": "a", "apart": ["g", "x"], "pinned": ["w9"]}] * 2},
    ):
        with pytest.raises(Raised):
            read_placement_problem(content)
    file = tmp_path / "f.json"
    file.write_text(json.dumps(bad))
    tester = CommandTester(SolveCommand())
    assert tester.execute(str(file)) == 2 and "workers.1.cores" in tester.io.fetch_error()
    assert tester.execute(f"{file} --limit soon") == 2 and tester.execute(str(tmp_path / "none")) == 2
    file.write_text(json.dumps(BASE))
    out = tmp_path / "out.json"
    assert tester.execute(f"{file} --save {out}") == 0 and json.loads(out.read_text())["value"] == 1
    file.write_text(json.dumps(BASE | {"favour": "fewest-moves", "groups": [{"name": "g", "kind": "none"}]}))
    assert tester.execute(str(file)) == 1


def test_a_picture_is_solved_and_handed_to_plan():
    from test_pictures import go_on, grown

    generator = random.Random(4)
    record, stamp, events = grown(Record, generator)
    for event in events:
        stamp += 1
        getattr(record, "ev_" + event[0])(stamp, *event[1:])
    go_on(record, stamp, generator)
    problem = read_placement_problem({"favour": "even-load"}, record=record)
    out = solve(problem, seconds=5)
    assert out["wrong"] == [] and len(problem.groups) == len(record.ready) > 20
    planned = plan(picture={"record": record.pack(), "at": stamp >> 18}, change=Change(), placements=out)
    count = (
        sum(len(rows) for key in ("starts", "moves") for rows in planned[key].values()) + planned["unchanged"]
    )
    assert count >= sum(len(tasks) for tasks in record.ready.values()) and planned["moves"]
    with pytest.raises(Raised):
        plan(
            picture={"record": record.pack(), "at": 0},
            change=Change(),
            placements={"placements": {"no/such": {"w": 1}}},
        )
