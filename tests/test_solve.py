"""Placements from a file: best by brute force on small cases, conflicts in which each
constraint is needed, the same outcome for the same seed, bad files told whole. The plain
checker that judges them catches a planted violation of each rule."""

import itertools
import json
import random

import pytest
from cleo.testers.command_tester import CommandTester

from hollowhall.base.problems import Raised
from hollowhall.record import Record
from hollowhall.standins.shapes import CYMYLAU, crew_of
from hollowhall.tools.plan.change import Change
from hollowhall.tools.plan.plan import plan
from hollowhall.tools.plan.solve import Model, SolveCommand, solve
from hollowhall.tools.plan.solve_file import FAVOURS, check_placements, read_riddle


def riddle(r, favour):
    ws = [
        {
            "id": f"w{i}",
            "kind": r.choice("aab"),
            "zone": f"z{i % 2}",
            "rack": f"r{i % 2}",
            "cores": r.randint(2, 5),
            "memMb": 10,
        }
        for i in range(3)
    ]
    gs = []
    for k in range(2):
        g = {
            "name": f"g{k}",
            "tasks": r.randint(1, 3),
            "kind": r.choice("aab"),
            "room": {"cores": r.randint(1, 2), "memMb": r.randint(0, 4)},
            "now": {"w0": r.randint(0, 2), "w1": 1},
        }
        x = r.random()
        if x < 0.3:
            g["spread"] = {"perWorker": r.randint(1, 2)}
        elif x < 0.5:
            g["spread"] = {"perRack": r.randint(1, 2)}
        elif x < 0.6:
            g["zone"] = "z0"
        elif x < 0.7:
            g["pinned"] = ["w1", "w2"]
        if k and r.random() < 0.5:
            g[r.choice(["apart", "together"])] = ["g0"]
        gs.append(g)
    return read_riddle({"workers": ws, "groups": gs, "favour": favour})


def every(x):
    """All ways to place all tasks."""
    ids = [w.id for w in x.hosts]
    per = [
        [
            dict(zip(ids, c))
            for c in itertools.product(range(g.tasks + 1), repeat=len(ids))
            if sum(c) == g.tasks
        ]
        for g in x.groups
    ]
    for c in itertools.product(*per):
        yield {g.name: d for g, d in zip(x.groups, c)}


def worth(x, p):
    if x.favour == "fewest-workers":
        return len({w for d in p.values() for w, n in d.items() if n})
    if x.favour == "fewest-moves":
        return sum(max(0, n - p[g.name].get(w, 0)) for g in x.groups for w, n in g.now.items())
    top = 0
    for w in x.hosts:
        for a in range(3):
            u = sum(g.room[a] * p[g.name].get(w.id, 0) for g in x.groups)
            top = max(top, -(-1000 * u // w.room[a]) if w.room[a] else 0)
    return top


@pytest.mark.parametrize("favour", FAVOURS)
def test_as_good_as_brute_force(favour):
    r, seen = random.Random(FAVOURS.index(favour)), {"best": 0, "infeasible": 0}
    for _ in range(60):
        x = riddle(r, favour)
        good = [worth(x, p) for p in every(x) if not check_placements(x, p)]
        out = solve(x, secs=20)
        seen[out["status"]] += 1
        assert (out["status"] == "best") == bool(good)
        if good:
            assert out["wrong"] == [] and out["value"] == out["bound"] == min(good)
        else:
            needed(x, out)
    assert min(seen.values()) >= 8, seen


def needed(x, out):
    """The conflict cannot be met, and without any one of its names it can."""
    names = set(out["conflict"])
    assert out["eachNeeded"] and names <= set(Model(riddle=x).names)
    for less, want in [(names, False)] + [(names - {n}, True) for n in names]:
        m = Model(riddle=x, only=less)
        assert (m.run(secs=5, seed=1)[1] != m.cp.INFEASIBLE) == want


def test_a_conflict_by_name():
    x = read_riddle(
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
    assert set(solve(x)["conflict"]) == {"web: tasks", "web: kind", "web: perRack"}


def test_the_same_seed_is_the_same_outcome_and_the_limit_is_kept():
    r = random.Random(3)
    gs = [
        {
            "name": f"g{i}",
            "tasks": r.randint(1, 9),
            "kind": r.choice(["tile", "nowcast"]),
            "room": {"cores": r.randint(1, 9), "memMb": r.randint(1, 9000)},
            "spread": {"perWorker": 2},
        }
        for i in range(12)
    ]
    ws = [{"id": i, "kind": k, "zone": z, "rack": rk, **rm} for i, k, z, rk, rm in crew_of(CYMYLAU)]
    d = {"workers": ws, "groups": gs, "favour": "even-load"}
    a, b = [solve(read_riddle(d), secs=2, seed=5) for _ in range(2)]
    assert a["wrong"] == [] and a["status"] in ("best", "found")
    assert a["status"] != "best" or a == b
    x = Model(riddle=read_riddle(d))
    x.favour()
    s, _ = x.run(secs=0.2, seed=5)
    assert s.wall_time < 10


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
    d = json.loads(json.dumps(BASE))
    d["groups"][0] |= more
    x = read_riddle(d)
    assert rule in {a for a, _ in check_placements(x, {"g": placed, "h": {"w1": 1}})}
    assert check_placements(read_riddle(BASE), {"g": {"w1": 1, "w2": 1}, "h": {"w1": 1}}) == []


def test_every_fault_of_a_file_is_told(tmp_path):
    bad = {
        "workers": [{"id": "w", "kind": "a"}, {"id": "v", "kind": 3, "cores": "many"}],
        "groups": [{"name": "g", "tasks": 0, "kind": "a", "what": 1}],
        "favour": "luck",
    }
    with pytest.raises(Raised) as e:
        read_riddle(bad)
    assert {k for k, _ in e.value.problem.errors} == {
        "workers.1.kind",
        "workers.1.cores",
        "groups.0.tasks",
        "groups.0.what",
        "favour",
    }
    for d in (
        [],
        {},
        {"workers": BASE["workers"]},
        BASE | {"groups": [{"name": "g", "kind": "a", "apart": ["g", "x"], "pinned": ["w9"]}] * 2},
    ):
        with pytest.raises(Raised):
            read_riddle(d)
    f = tmp_path / "f.json"
    f.write_text(json.dumps(bad))
    t = CommandTester(SolveCommand())
    assert t.execute(str(f)) == 2 and "workers.1.cores" in t.io.fetch_error()
    assert t.execute(f"{f} --limit soon") == 2 and t.execute(str(tmp_path / "none")) == 2
    f.write_text(json.dumps(BASE))
    out = tmp_path / "out.json"
    assert t.execute(f"{f} --save {out}") == 0 and json.loads(out.read_text())["value"] == 1
    f.write_text(json.dumps(BASE | {"favour": "fewest-moves", "groups": [{"name": "g", "kind": "none"}]}))
    assert t.execute(str(f)) == 1


def test_a_picture_is_solved_and_handed_to_plan():
    from test_pictures import go_on, grown

    r = random.Random(4)
    rec, st, evs = grown(Record, r)
    for ev in evs:
        st += 1
        getattr(rec, "ev_" + ev[0])(st, *ev[1:])
    go_on(rec, st, r)
    x = read_riddle({"favour": "even-load"}, rec=rec)
    out = solve(x, secs=5)
    assert out["wrong"] == [] and len(x.groups) == len(rec.ready) > 20
    p = plan(picture={"record": rec.pack(), "at": st >> 18}, change=Change(), placements=out)
    n = sum(len(v) for k in ("starts", "moves") for v in p[k].values()) + p["unchanged"]
    assert n >= sum(len(ts) for ts in rec.ready.values()) and p["moves"]
    with pytest.raises(Raised):
        plan(
            picture={"record": rec.pack(), "at": 0},
            change=Change(),
            placements={"placements": {"no/such": {"w": 1}}},
        )
