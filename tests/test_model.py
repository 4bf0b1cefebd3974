"""Model checking of the store's core rules on the real replica code. Longer searches:
`hollowhall explore` (docs/control-safety.md). For each replica of weak_replicas.py, which lacks one
protection, a walk with a known seed finds the violation."""

import json

import pytest
import weak_replicas as weak
from cleo.testers.command_tester import CommandTester
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hollowhall.explore.breadth import breadth_first
from hollowhall.explore.command import ExploreCommand
from hollowhall.explore.search import Setting, first_election, play, play_event, shrink
from hollowhall.explore.walks import random_event, random_walk


def walk_setting(members, spares, replica_class=weak.ModelReplica):
    lost = 2 if spares > 1 or members > 4 else 1
    return Setting(
        members=members, spares=spares, lost_disks=lost, snap_every=20, replica_class=replica_class
    )


@pytest.mark.parametrize("crashes, timeouts, depth", [(0, 1, 4), (1, 1, 3)])
def test_breadth_first_of_three_members_breaks_nothing(crashes, timeouts, depth):
    setting = Setting(crashes=crashes, timeouts=timeouts)
    report = breadth_first(setting, depth=depth)
    assert report.complete and report.counterexample is None and report.depth == depth
    assert report.states > 300, "states visited"


@pytest.mark.parametrize("members, spares", [(3, 1), (3, 2), (4, 1), (5, 2), (9, 1)])
def test_random_walks_break_nothing(members, spares):
    for seed in range(1, 13):
        report = random_walk(walk_setting(members, spares), seed=seed, steps=400)
        assert report.counterexample is None, (
            seed,
            report.counterexample.violation,
            report.counterexample.events,
        )


@pytest.mark.parametrize(
    "replica_class, members, spares, seed, rule",
    [
        (weak.AnswersBeforeSync, 3, 1, 4, "unheld_is_no_majority"),
        (weak.EmptyDiskVotes, 5, 1, 36, "unheld_is_no_majority"),
        (weak.EmptyDiskVotes, 3, 2, 1, "one_leader_a_term"),
        (weak.ForgetsOrders, 3, 1, 9, "taken_is_never_refused"),
        (weak.HurriedNewcomer, 5, 1, 5, "unheld_is_no_majority"),
        (weak.FoundersMajority, 5, 1, 35, "unheld_is_no_majority"),
        (weak.ReadsAlone, 3, 2, 32, "read_holds_confirmed"),
        (weak.SnapshotWithoutKeys, 3, 2, 20, "state_equal_at_equal_index"),
        (weak.SnapshotWithoutMembership, 5, 1, 27, "unheld_is_no_majority"),
        (weak.TakesAnyBase, 3, 2, 31, "number_confirmed_once"),
        (weak.VotesForShorterLogs, 5, 1, 33, "leader_holds_committed"),
    ],
)
def test_a_replica_without_a_protection_is_caught(replica_class, members, spares, seed, rule):
    report = random_walk(walk_setting(members, spares, replica_class), seed=seed, steps=500)
    assert report.counterexample is not None and report.counterexample.violation.rule == rule


class Walks(RuleBasedStateMachine):
    """Random walks with all choices drawn by hypothesis, which can shrink them."""

    members, spares = 5, 1

    def __init__(self):
        super().__init__()
        self.setting = walk_setting(self.members, self.spares)
        self.cluster = self.setting.cluster()
        self.violation = None
        for event in first_election(self.setting):
            self.cluster.apply(event)

    @rule(rng=st.randoms(use_true_random=False))
    def play_events(self, rng):
        for _ in range(4):
            event = random_event(self.cluster, self.setting, rng)
            self.violation = self.violation or play_event(self.cluster, event)

    @invariant()
    def no_rule_is_broken(self):
        assert self.violation is None, self.violation

    def teardown(self):
        self.cluster.close()


class WalksOfNine(Walks):
    """Walks of a store with the largest number of members."""

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


def test_a_counterexample_is_shrunk_and_replays_identically():
    setting = walk_setting(3, 2, weak.TakesAnyBase)
    counterexample = random_walk(setting, seed=31, steps=500).counterexample
    shorter = shrink(setting, counterexample, seed=31)
    assert len(shorter.events) <= len(counterexample.events)
    for _ in range(2):
        cluster, violation = play(setting, shorter.events, 31)
        cluster.close()
        assert violation.rule == "number_confirmed_once"


def test_the_command_searches_saves_and_replays(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    tester = CommandTester(ExploreCommand())
    assert tester.execute("--walks 4 --steps 50 --procs 1 --save broken.json") == 0
    assert "4 walks, 200 events" in tester.io.fetch_output()
    assert tester.execute("--depth 1") == 0 and "complete" in tester.io.fetch_output()
    setting = walk_setting(3, 1)
    run = {"members": 3, "spares": 1, "seed": 1, "rule": "", "events": first_election(setting)}
    (tmp_path / "run.json").write_text(json.dumps(run))
    assert tester.execute("--replay run.json") == 0
    assert "no rule is broken" in tester.io.fetch_output()


@pytest.mark.parametrize("flags", ["--walks x", "--members 0", "--members 12", "--replay none.json"])
def test_bad_flags_exit_with_2(flags):
    tester = CommandTester(ExploreCommand())
    try:
        code = tester.execute(flags)
    except SystemExit as end:
        code = end.code
    assert code == 2
