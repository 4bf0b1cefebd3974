"""The counts that docs/CAPACITY.md rests on, in virtual time from fixed seeds: messages a
beat, entries and stamps a turn, bytes a worker, a task and a kept task, pulses a daemon. A
change that bends one of these slopes is seen here; nothing is judged by how fast it is. And
the command: what it refuses, that it ends by itself, and its arithmetic."""

import asyncio
import json
import subprocess
import sys

import pytest

from hollowhall.base.problems import Raised
from hollowhall.tools.scale import NUMBERS
from hollowhall.tools.scale import sizes as S
from hollowhall.tools.scale.fit import fit
from hollowhall.tools.scale.ramp import Ramp
from hollowhall.tools.scale.report import plot, slopes, table
from hollowhall.tools.scale.virtual import virtual_ramp, virtual_size

GOOD = NUMBERS | {"vary": "workers", "sizes": "10,20,40", "hold": "12", "workers": "20"}


def plan(**kw):
    return S.read_plan(GOOD | kw)


def ramp(**kw):
    """(rows, {(duty, measure): slope}) of a run in virtual time."""
    p = plan(**kw)
    rows, _ = virtual_ramp(plan=p, say=lambda s: None)
    return rows, {(d["duty"], d["measure"]): d for d in slopes(rows=rows, vary=p.vary, front=p.front)}


def near(d, slope, part=0.05):
    """A slope as the page has it, and a straight line."""
    assert d["slope"] == pytest.approx(slope, rel=part), d
    assert d["off"] < 0.05, d


# --- counts


def test_a_worker_costs_two_messages_a_beat_and_so_many_bytes():
    rows, s = ramp()
    for r in rows:
        assert r["ops"]["beat"]["n"] == pytest.approx(r["seen"]["beats"], rel=0.03)
        assert r["seen"]["beats"] / r["size"] == pytest.approx(2.8, rel=0.03)
        assert r["seen"]["late"] == 0
    near(s["primary desk", "messages"], 5.61)  # an ask and its outcome, 2.8 times a second
    near(s["primary desk", "kb"], 0.676)
    near(s["primary desk", "state_b"], 115)
    # quiet workers write nothing: of the clock's bounds one more or less lies in the 12 s
    assert (
        max(r["by"]["primary desk"]["entries"] for r in rows)
        - min(r["by"]["primary desk"]["entries"] for r in rows)
        <= 1.01 / 12
    )


def test_a_running_task_costs_its_run_in_every_beat_and_outcome():
    _, s = ramp(vary="running", sizes="0,200,400")
    near(s["primary desk", "kb"], 0.0505)
    near(s["primary desk", "state_b"], 141)  # 129 before attempts had numbers
    assert abs(s["primary desk", "messages"]["slope"]) < 0.01
    assert abs(s["primary desk", "entries"]["slope"]) < 0.001


def test_a_turn_is_one_stamp_ask_one_entry_and_two_events_a_start():
    rows, _ = ramp(vary="starts", sizes="25,50,75", hold="20")  # a gang lies over an edge
    for r in rows:
        d = r["by"]["primary desk"]
        follower = r["by"].get("store leader") or r["by"]["store leader with clock"]
        assert r["ops"]["stamp"]["n"] == pytest.approx(r["ops"]["turn"]["n"], rel=0.02)
        assert d["turns"] == pytest.approx(r["ops"]["turn"]["n"], rel=0.02)
        # bounds of the clock, one in 0.45 s since leases are shorter (one in 0.7 s before, and
        # 1.6 entries), and an edit in four seconds are the rest
        assert follower["entries"] - d["turns"] == pytest.approx(2.4, abs=0.1)
        jobs = r["ops"]["job"]["n"]
        assert d["events"] - jobs == pytest.approx(2 * r["seen"]["starts"], rel=0.05)


def test_a_kept_task_costs_bytes_and_no_messages():
    _, s = ramp(vary="kept", sizes="0,2000,4000")
    near(s["primary desk", "state_b"], 35)
    assert abs(s["primary desk", "messages"]["slope"]) < 0.001


def test_a_mast_costs_three_watchers_and_two_polls():
    # over 48 s, for the poll that is cut by an edge is one of twelve then; of three it was a third
    rows, s = ramp(vary="masts", sizes="4,8,16", hold="48")
    for r in rows:
        n = 3 + 3 + 2 + r["size"]
        assert r["ops"]["pulse"]["n"] / n == pytest.approx(3 / 0.4, rel=0.02)
        assert r["ops"]["charter"]["n"] / (2 + r["size"]) == pytest.approx(0.25, rel=0.1)
    assert s["hollow masts", "messages"]["slope"] == pytest.approx(35, rel=0.1)


def test_one_seed_is_one_table():
    p = plan(sizes="2,4,6", hold="4")
    assert virtual_size(plan=p, size=4) == virtual_size(plan=p, size=4)


# --- the command


@pytest.mark.parametrize(
    "change, key",
    [
        ({"vary": "moon"}, "vary"),
        ({"sizes": "1,2"}, "sizes"),
        ({"sizes": "3,2,1"}, "sizes"),
        ({"sizes": "1,x,3"}, "sizes.1"),
        ({"sizes": "1,2,3000"}, "sizes"),
        ({"workers": "-1"}, "workers"),
        ({"hold": "0"}, "hold"),
        ({"limit": "9999"}, "limit"),
        ({"hold": "100"}, "limit"),
        ({"seed": "x"}, "seed"),
        ({"front": "0"}, "front"),
    ],
)
def test_bad_options_are_refused_with_their_names(change, key):
    with pytest.raises(Raised) as e:
        plan(**change)
    assert key in [k for k, _ in e.value.failure.errors], e.value.failure


def test_no_run_may_take_more_than_its_processes(monkeypatch):
    big = {"workers": "2000", "starts": "500", "running": "20000", "vary": "masts", "sizes": "1,100,200"}
    p = plan(**big)
    assert S.processes(plan=p, load=p.load(200)) <= S.PROCESSES_MOST
    monkeypatch.setattr(S, "PROCESSES_MOST", 40)
    with pytest.raises(Raised) as e:
        plan(**big)
    assert "processes" in e.value.failure.errors[0][1]


def test_the_command_refuses_with_2_and_a_typed_error():
    p = subprocess.run(
        [sys.executable, "-m", "hollowhall", "scale", "--sizes", "1"],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert p.returncode == 2 and json.loads(p.stderr)["problem"] == "BadInput"


def test_a_small_run_on_real_processes_ends_by_itself_with_slopes(tmp_path):
    out = tmp_path / "figures.json"
    p = subprocess.run(
        [
            sys.executable,
            "-m",
            "hollowhall",
            "scale",
            "--sizes",
            "2,4,6",
            "--hold",
            "1",
            "--busy",
            "1000",
            "--json",
            str(out),
        ],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert p.returncode == 0, p.stderr
    d = json.loads(out.read_text())
    assert [r["size"] for r in d["rows"]] == [2, 4, 6]
    got = {x["duty"] for x in d["slopes"]}
    assert {"primary desk", "mast", "understudy", "hollow workers"} <= got
    assert "+---" in p.stdout and all(r["seen"]["lapses"] == 0 for r in d["rows"])


def test_a_run_past_its_limit_says_so_and_ends(tmp_path):
    p = subprocess.run(
        [
            sys.executable,
            "-m",
            "hollowhall",
            "scale",
            "--sizes",
            "1,2,3",
            "--hold",
            "3.5",
            "--limit",
            "11",
            "--busy",
            "1000",
        ],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert p.returncode == 1 and "ended early" in p.stderr


def test_nothing_is_begun_on_a_busy_machine(monkeypatch):
    monkeypatch.setattr("os.getloadavg", lambda: (1000.0, 1.0, 1.0))
    r = Ramp(plan=plan(), say=lambda s: None)
    rows, why = asyncio.run(r.run())
    assert rows == [] and "load" in why and r.d.procs == {}


def test_a_line_is_fitted_with_its_error():
    f = fit(xs=[0, 1, 2, 3], ys=[1, 3, 5, 7])
    assert (f.slope, f.start, f.error) == (2, 1, 0) and f.at(10) == 21
    f = fit(xs=[0, 1, 2, 3], ys=[1, 3.5, 4.5, 7])  # by hand: 1.9, 1.15, sqrt(0.45/2/5)
    assert f.slope == pytest.approx(1.9) and f.start == pytest.approx(1.15)
    assert f.error == pytest.approx(0.2121, abs=1e-3) and f.error_at(30) > f.error_at(1.5)
    with pytest.raises(Raised):
        fit(xs=[1, 2], ys=[1, 2])


def test_a_mast_is_judged_by_its_share_and_hollow_ones_by_no_budget():
    rows = [
        {
            "size": n,
            "by": {
                "mast": {"cpu": n * 0.1},
                "primary desk": {"cpu": n * 0.1},
                "hollow workers": {"cpu": n * 1.0},
            },
        }
        for n in (10, 20, 40)
    ]
    s = {d["duty"]: d for d in slopes(rows=rows, vary="workers", front=2)}
    assert s["primary desk"]["at"] == pytest.approx(140)
    assert s["mast"]["at"] == pytest.approx(0.2 * 1400 / S.TARGET.masts)
    assert s["hollow workers"]["times"] is None
    assert len(list(table(rows=rows, vary="workers", front=2))) == 5
    assert any("*" in x for x in plot(rows=rows))
