"""Reservations at an older level, and what they cost where none is made."""

import reserved_world as V
from reserved_world import clean


def test_an_older_level_refuses_them_as_not_yet_known():
    got = {}

    async def steps(w, op):
        got["x"] = await op.reserve(name="x", body=V.body(), tries=1)

    w = V.play(24, steps=steps, crowded=False, reserved=False, end=10, begin=9, params={"level": 2})
    clean(w)
    assert got["x"][0] == 503 and got["x"][1]["problem"] == "NotSynced"


def test_without_reservations_nothing_of_the_plan_is_run(monkeypatch):
    def broken(*a, **kw):
        raise AssertionError

    monkeypatch.setattr("hollowhall.desk.reserved_plan.Plan", broken)
    w = V.play(25, reserved=False, end=12, begin=10)
    clean(w)
    assert w.seen["ends_ok"] > 50
