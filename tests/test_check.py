"""The checker finds violations: a history that breaks no rule is clean, and for every rule a planted
violation is reported."""

import copy

import pytest
from planted_histories import (
    T0,
    again_after_good,
    at,
    before_backoff,
    before_its_step,
    before_its_time,
    cancelled_runs,
    cancelled_starts,
    charter_back,
    charter_lost_row,
    charter_twice,
    crowded,
    done_too_soon,
    failed_without_cause,
    forgotten,
    goes_back,
    history,
    leaving_starts,
    never_ended,
    no_service,
    off_rack,
    over_failures,
    over_limit,
    over_room,
    ran_on_after_it_was_heard,
    ran_on_and_elsewhere,
    refused_runs,
    second_new,
    stamps_back,
    twice,
    two_holders,
    unsent_runs,
    woke_and_went_on,
    wrong_kind,
)

from hollowhall.check.judge import judge

PLANTED = [
    (two_holders, "two-holders"),
    (stamps_back, "stamp-order"),
    (ran_on_and_elsewhere, "twice"),
    (ran_on_after_it_was_heard, "cancelled-runs"),
    (second_new, "second-job"),
    (twice, "twice"),
    (again_after_good, "twice"),
    (before_its_step, "too-early"),
    (before_its_time, "too-early"),
    (before_backoff, "too-early"),
    (over_room, "over-room"),
    (wrong_kind, "wrong-worker"),
    (off_rack, "wrong-worker"),
    (crowded, "crowded"),
    (over_failures, "over-failures"),
    (refused_runs, "refused-runs"),
    (unsent_runs, "unsent-runs"),
    (cancelled_starts, "cancelled-starts"),
    (cancelled_runs, "cancelled-runs"),
    (leaving_starts, "leaving-starts"),
    (forgotten, "forgotten"),
    (never_ended, "forgotten"),
    (failed_without_cause, "failed-without-cause"),
    (goes_back, "goes-back"),
    (done_too_soon, "done-too-soon"),
    (charter_back, "charter"),
    (charter_lost_row, "charter"),
    (charter_twice, "charter"),
    (over_limit, "over-limit"),
    (no_service, "no-service"),
    (woke_and_went_on, "twice"),
]


def test_a_lawful_history_is_clean():
    violations, seen = judge(history())
    assert violations == [] and seen["starts"] == 3 and seen["jobs_ended"] == 1


def test_a_cut_off_worker_cannot_be_told_and_restart_may_run_twice():
    rows, again = history(), history()
    ran_on_after_it_was_heard(rows)
    at(rows, "heard")["t"] = T0 + 16_900
    assert "cancelled-runs" not in {violation.rule for violation in judge(rows)[0]}
    ran_on_and_elsewhere(again)
    for row in [row for row in again if "body" in row]:
        row["body"]["steps"][0]["ifLost"] = "restart"
    assert "twice" not in {violation.rule for violation in judge(again)[0]}


@pytest.mark.parametrize("plant, rule", PLANTED, ids=[p.__name__ for p, _ in PLANTED])
def test_a_planted_violation_is_caught(plant, rule):
    rows = copy.deepcopy(history())
    plant(rows)
    assert rule in {violation.rule for violation in judge(rows)[0]}
