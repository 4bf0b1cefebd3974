"""The experiment tool: workload files are checked whole, runs repeat by their seed, policies meet the
same day, and figures follow the brief's measures."""

import pathlib
from dataclasses import replace

import pytest
from cleo.testers.command_tester import CommandTester

from hollowhall.base.problems import Raised
from hollowhall.desk.policy import DEFAULT, NAMES, read_policy
from hollowhall.tools.experiment.command import ExperimentCommand, seeds_of
from hollowhall.tools.experiment.compare import Run, differences, play
from hollowhall.tools.experiment.fleet import Fleet
from hollowhall.tools.experiment.measures import figures_of
from hollowhall.tools.experiment.workload import read_workload

ROOT = pathlib.Path(__file__).parent.parent
WORKLOADS = sorted((ROOT / "deploy/workloads").glob("*.toml"))
SMALL = """
name = "small"
workers = 8
room = [8000, 16000, 0]
rack = 4
send_s = 4.0
finish_s = 8.0
waste_price = 0.01

[[queues]]
name = "batch"
urgency = 3
per_s = 1.0
stretch = 3.0
work_ms = { mean = 900 }
tasks = { mean = 4 }
cores = { mean = 2000 }
saves = 1.0

[[queues]]
name = "gang"
urgency = 5
per_s = 0.5
work_ms = { mean = 700 }
tasks = { mean = 3 }
cores = { mean = 6000 }
gang = 1.0
"""
FAULT = '\n[[faults]]\nkind = "{}"\nat = 1.0\nfor_s = 2.0\nshare = 0.25\n'


def small(tmp_path, text=SMALL):
    path = tmp_path / "w.toml"
    path.write_text(text)
    return read_workload(path=path)


@pytest.mark.parametrize("path", WORKLOADS, ids=lambda p: p.stem)
def test_the_workloads_that_stand_are_valid(path):
    assert read_workload(path=path).queues


def test_every_bad_field_is_named(tmp_path):
    bad = SMALL.replace("per_s = 1.0", "per_s = -1.0").replace("gang = 1.0", "gang = 7.0")
    with pytest.raises(Raised) as e:
        small(tmp_path, bad + FAULT.format("nonsense"))
    assert {x[0] for x in e.value.failure.errors} >= {"queues.0.per_s", "queues.1.gang", "faults.0.kind"}


@pytest.mark.parametrize("text", ["name = ", SMALL + '\n[[faults]]\nkind="burst"\nat=1.0\nqueue="none"\n'])
def test_what_cannot_be_read_or_names_no_queue_is_refused(tmp_path, text):
    with pytest.raises(Raised):
        small(tmp_path, text)


def test_a_run_repeats_by_its_seed_and_all_jobs_end(tmp_path):
    load = small(tmp_path)
    a, b = (figures_of(Fleet(workload=load, seed=3, policy=DEFAULT).play()) for _ in range(2))
    assert a == b and a.worth > 0.8
    assert sum(q.jobs for q in a.queues.values()) > 3 and all(q.lost == 0 for q in a.queues.values())


def test_two_policies_meet_the_same_jobs(tmp_path):
    load = small(tmp_path)
    fleets = [Fleet(workload=load, seed=5, policy=p).play() for p in (DEFAULT, read_policy(off="backfill"))]
    assert [sorted(f.jobs) for f in fleets][0] == sorted(fleets[1].jobs)


@pytest.mark.parametrize("kind", ["crash", "cut", "slow", "errors", "hang", "leave", "outage", "burst"])
def test_each_kind_of_fault_is_played_and_what_was_accepted_ends(tmp_path, kind):
    load = replace(small(tmp_path, SMALL + FAULT.format(kind)), finish_s=20.0)
    fleet = Fleet(workload=load, seed=1, policy=DEFAULT).play()
    assert not fleet.open, [fleet.jobs[n] for n in fleet.open]


def test_work_that_a_crash_takes_along_is_counted_once(tmp_path):
    load = small(tmp_path, SMALL + FAULT.format("crash"))
    fleet = Fleet(workload=load, seed=1, policy=DEFAULT).play()
    assert fleet.thrown_away.get("crashed", 0) > 0
    assert figures_of(fleet).price > 0


def test_differences_are_paired_and_few_seeds_claim_little(tmp_path):
    load = small(tmp_path)
    a = [play(Run(workload=load, seed=s, policy=DEFAULT)) for s in (1, 2)]
    worse = [replace(f, worth=f.worth - 0.1) for f in a]
    found = {d.figure: d for d in differences(a=a, b=worse)}
    assert abs(found["worth"].mean + 0.1) < 1e-9 and found["worth"].sure
    alone = {d.figure: d for d in differences(a=a[:1], b=worse[:1])}
    assert not alone["worth"].sure


def test_switches_are_checked_by_name():
    assert read_policy(off="preemption, backfill").off() == ["preemption", "backfill"]
    assert DEFAULT.off() == [] and set(read_policy(off=NAMES).off()) == set(NAMES)
    with pytest.raises(Raised) as e:
        read_policy(off="preemtion")
    assert "preemption" in e.value.failure.errors[0][1]


@pytest.mark.parametrize("name", NAMES)
def test_a_day_with_faults_ends_with_each_switch_off(tmp_path, name):
    load = replace(small(tmp_path, SMALL + FAULT.format("hang") + FAULT.format("cut")), finish_s=40.0)
    fleet = Fleet(workload=load, seed=2, policy=read_policy(off=name)).play()
    assert not fleet.open


def test_the_command_shows_both_policies_and_names_bad_flags(tmp_path):
    path = tmp_path / "w.toml"
    path.write_text(SMALL)
    command = CommandTester(ExperimentCommand())
    assert command.execute(f"{path} --seeds 1-2 --procs 1 --off preemption --json {tmp_path}/o.json") == 0
    assert "B - A" in command.io.fetch_output() and (tmp_path / "o.json").exists()
    for flags in ("--off nonsense", "--seeds x"):
        assert command.execute(f"{path} {flags}") == 2
    assert command.execute(f"{tmp_path}/none.toml") == 2


def test_seeds():
    assert seeds_of("2-4") == [2, 3, 4] and seeds_of("1,7") == [1, 7]
