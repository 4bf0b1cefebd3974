"""The store's core rules, model-checked: the real replica code stepped event by event. Longer
searches: `hollowhall explore` (docs/control-safety.md). Each replica that lacks a protection is
caught by a walk whose seed is kept here."""

import json

import pytest
import weak_replicas as W
from cleo.testers.command_tester import CommandTester
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hollowhall.explore.breadth import breadth_first
from hollowhall.explore.command import ExploreCommand
from hollowhall.explore.search import Setting, elected, play, shrink, step
from hollowhall.explore.walks import random_walk, walk_event


def walk_setting(members, spares, build=W.ModelReplica):
    lost = 2 if spares > 1 or members > 4 else 1
    return Setting(members=members, spares=spares, lost_disks=lost, snap_every=20, build=build)


@pytest.mark.parametrize("crashes, timeouts, depth", [(0, 1, 4), (1, 1, 3)])
def test_breadth_first_of_three_members_breaks_nothing(crashes, timeouts, depth):
    setting = Setting(crashes=crashes, timeouts=timeouts)
    report = breadth_first(setting, depth=depth)
    assert report.complete and report.found is None and report.depth == depth
    assert report.states > 300, "states visited"


@pytest.mark.parametrize("members, spares", [(3, 1), (3, 2), (4, 1), (5, 2), (9, 1)])
def test_random_walks_break_nothing(members, spares):
    for seed in range(1, 13):
        report = random_walk(walk_setting(members, spares), seed=seed, steps=400)
        assert report.found is None, (seed, report.found.violation, report.found.events)


@pytest.mark.parametrize(
    "build, members, spares, seed, rule",
    [
        (W.AnswersBeforeSync, 3, 1, 4, "unheld_is_no_majority"),
        (W.EmptyDiskVotes, 5, 1, 36, "unheld_is_no_majority"),
        (W.EmptyDiskVotes, 3, 2, 1, "one_leader_a_term"),
        (W.ForgetsOrders, 3, 1, 9, "taken_is_never_refused"),
        (W.HurriedNewcomer, 5, 1, 5, "unheld_is_no_majority"),
        (W.OldMajority, 5, 1, 35, "unheld_is_no_majority"),
        (W.ReadsAlone, 3, 2, 32, "read_holds_confirmed"),
        (W.SnapshotWithoutKeys, 3, 2, 20, "state_equal_at_equal_index"),
        (W.SnapshotWithoutMembership, 5, 1, 27, "unheld_is_no_majority"),
        (W.TakesAnyBase, 3, 2, 31, "number_confirmed_once"),
        (W.VotesForShorterLogs, 5, 1, 33, "leader_holds_committed"),
    ],
)
def test_a_replica_without_a_protection_is_caught(build, members, spares, seed, rule):
    report = random_walk(walk_setting(members, spares, build), seed=seed, steps=500)
    assert report.found is not None and report.found.violation.rule == rule


class Walks(RuleBasedStateMachine):
    """Walks whose every choice is drawn by hypothesis, so that it can shrink them."""

    members, spares = 5, 1

    def __init__(self):
        super().__init__()
        self.setting = walk_setting(self.members, self.spares)
        self.cluster = self.setting.cluster()
        self.violation = None
        for event in elected(self.setting):
            self.cluster.apply(event)

    @rule(rng=st.randoms(use_true_random=False))
    def some_events(self, rng):
        for _ in range(4):
            event = walk_event(self.cluster, self.setting, rng)
            self.violation = self.violation or step(self.cluster, event)

    @invariant()
    def nothing_is_broken(self):
        assert self.violation is None, self.violation

    def teardown(self):
        self.cluster.close()


class WalksOfNine(Walks):
    members = 9


LIMITS = settings(
    max_examples=12,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestWalksOfFive, TestWalksOfNine = Walks.TestCase, WalksOfNine.TestCase
TestWalksOfFive.settings = TestWalksOfNine.settings = LIMITS


def test_a_found_run_is_shrunk_and_plays_again_the_same():
    setting = walk_setting(3, 2, W.TakesAnyBase)
    found = random_walk(setting, seed=31, steps=500).found
    shorter = shrink(setting, found, seed=31)
    assert len(shorter.events) <= len(found.events)
    for _ in range(2):
        cluster, violation = play(setting, shorter.events, 31)
        cluster.close()
        assert violation.rule == "number_confirmed_once"


def test_the_command_searches_keeps_and_replays(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    tester = CommandTester(ExploreCommand())
    assert tester.execute("--walks 4 --steps 50 --procs 1 --save broken.json") == 0
    assert "4 walks, 200 events" in tester.io.fetch_output()
    assert tester.execute("--depth 1") == 0 and "complete" in tester.io.fetch_output()
    setting = walk_setting(3, 1)
    run = {"members": 3, "spares": 1, "seed": 1, "rule": "", "events": elected(setting)}
    (tmp_path / "run.json").write_text(json.dumps(run))
    assert tester.execute("--replay run.json") == 0
    assert "no rule is broken" in tester.io.fetch_output()


@pytest.mark.parametrize("flags", ["--walks x", "--members 0", "--members 12", "--replay none.json"])
def test_bad_flags_are_told_and_end_with_2(flags):
    tester = CommandTester(ExploreCommand())
    try:
        code = tester.execute(flags)
    except SystemExit as end:
        code = end.code
    assert code == 2
