"""Sick workers in virtual time, without a network: a simulated fleet and the figures of its runs."""

import pytest

from hollowhall.tools.measure.sick import KINDS, VERSIONS, alone_after, figures, play


def run(kind, version="now", *, seed=4, workers=60, load=0.6):
    fleet, sick = play(seed=seed, kind=kind, judge=VERSIONS[version], workers=workers, load=load)
    return fleet, figures(fleet, sick)


def test_a_fleet_that_is_sound_serves_all_and_puts_nobody_aside():
    fleet, result = run("none")
    assert (
        result["on time"] > 0.99 and result["failed"] == 0 and result["wrong"] <= 1 and len(fleet.jobs) > 300
    )


@pytest.mark.parametrize("kind", ["fails", "wide"])
def test_care_saves_jobs_that_would_fail_without_it(kind):
    """Compares two runs of one seed: without worker monitoring jobs fail."""
    without, with_care = run(kind, "off")[1], run(kind)[1]
    assert with_care["failed"] < 0.5 * without["failed"] and with_care["starts"] < 0.5 * without["starts"]


def test_what_is_told_of_starts_on_a_sick_worker():
    assert alone_after([5.1, 6.0, 7.5, 12.0], since=5.0, until=17.0) == 2.5
    assert alone_after([4.0], since=5.0, until=17.0) == 0.0
    assert alone_after([5.0 + n for n in range(12)], since=5.0, until=17.0) == 11.0
    assert {"fails", "hang", "slow", "flap", "poison"} < set(KINDS)
