"""Attempts on workers that leave, and attempts that are being stopped."""

import pytest
from test_level_two import record_with_job, step
from test_pace import Desk, busy, pass_time


@pytest.mark.parametrize(
    "percent, saves, left, stopped",
    [(90, False, 2000, False), (10, False, 2000, True), (10, True, 3000, False), (10, True, 1300, True)],
)
def test_what_cannot_end_before_its_worker_leaves_is_moved_in_time(percent, saves, left, stopped):
    desk = Desk(record_with_job(steps=[step(saves=saves)]))
    desk.record.do(["grant", "j/0.0/0", "w0"])
    desk.report("w0", named=[("j/0.0/0", 1, "", 0)])
    desk.now_s += 1.0
    desk.report("w0", named=[("j/0.0/0", 1, "", percent)], leaveMs=left)
    desk.record.do(["leave", "w0", "1"])
    desk.stop_before_departure(now=desk.now_s, ms=desk.clock_ms())
    assert [event[::2] for event in desk.events] == ([["stop", "leave"]] if stopped else [])


def test_attempts_that_are_being_stopped_say_nothing_of_their_worker():
    desk = busy()
    for attempt in desk.record.workers["w2"].runs.values():
        attempt.stop = "room"
    pass_time(desk, {"w0": 30, "w1": 30, "w2": 1}, to=3.0)
    assert not desk.slow and not desk.events
