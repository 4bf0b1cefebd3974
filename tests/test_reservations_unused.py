"""Reservations at an older level of the record, and their cost where none exists."""

import reserved_world
from reserved_world import clean


def test_an_older_level_refuses_them_as_not_yet_known():
    got = {}

    async def steps(world, operator):
        got["x"] = await operator.reserve(name="x", body=reserved_world.body(), tries=1)

    world = reserved_world.play(
        24, steps=steps, crowded=False, reserved=False, end=10, begin=9, settings={"level": 2}
    )
    clean(world)
    assert got["x"][0] == 503 and got["x"][1]["problem"] == "NotSynced"


def test_without_reservations_nothing_of_the_plan_is_run(monkeypatch):
    def broken(*a, **kw):
        raise AssertionError

    monkeypatch.setattr("hollowhall.desk.reserved_plan.Plan", broken)
    world = reserved_world.play(25, reserved=False, end=12, begin=10)
    clean(world)
    assert world.seen["ends_ok"] > 50
