"""The operator's planner beside reservations, and the plan after the last window."""

from test_reservations_record import T
from test_reserving import primary  # noqa: F401 (a fixture)

from hollowhall.base import constants
from hollowhall.tools.plan.plan import next_round


def test_the_planner_keeps_off_what_is_reserved(primary):  # noqa: F811
    primary.job("b", "b", 40)
    starts, why = next_round(primary.record, T)
    assert len(starts) == 16 and len(why) == 24


def test_after_the_last_window_the_plan_is_gone(primary):  # noqa: F811
    primary.run_round(0)
    assert primary.reserving is not None
    primary.run_round(20_000)
    assert primary.reserving is None and constants.RESERVED_PERCENT == 50
