"""What silence says of a worker's pace: nothing. Progress is told by beats, so that a worker which is
cut off and works on is not taken for one whose tasks stand still, nor put on trial when it is back;
and a gang that runs across racks is not taken for a slow one."""

from test_level_two import step
from test_pace import Desk, busy, made, runs

from hollowhall.desk.health import SOUND

RATE = 15  # percents a second


def heard(d, workers, *, to):
    """Reports of these workers each 0.25 s; the others are silent."""
    while d.t < to:
        for i in workers:
            w, p = d.record.workers[i], int(RATE * (d.t - 1.0))
            d.report(i, named=[(g.task, g.no, "", min(99, p)) for g in w.runs.values()])
        d.look_at_pace(now=d.t, ms=d.clock_ms())
        d.t += 0.25


def test_a_worker_that_is_silent_and_works_on_is_neither_set_aside_nor_put_on_trial():
    d = busy(n=3, tasks=6)
    heard(d, ("w0", "w1", "w2"), to=3.0)
    heard(d, ("w0", "w1"), to=6.0)
    assert "w2" not in d.slow and d.health_of("w2").state == SOUND
    heard(d, ("w0", "w1", "w2"), to=7.0)
    assert not d.slow and not d.events and d.health_of("w2").state == SOUND


def test_one_that_tells_of_no_progress_is_set_aside_as_before():
    d = busy(n=3, tasks=6)
    heard(d, ("w0", "w1", "w2"), to=3.0)
    while d.t < 6.0:
        for i in ("w0", "w1", "w2"):
            p = int(RATE * (d.t - 1.0)) if i != "w2" else 30
            runs_on = d.record.workers[i].runs.values()
            d.report(i, named=[(g.task, g.no, "", min(99, p)) for g in runs_on])
        d.look_at_pace(now=d.t, ms=d.clock_ms())
        d.t += 0.25
    assert "w2" in d.slow


def test_a_gang_across_racks_does_not_lengthen_what_its_queue_is_taken_to_need():
    d = Desk(made(steps=[step(tasks=2, gang=True, tight=True, room={"cores": 8000})], workers=2))
    d.record.do(["gang", "j", "0.0", ["w0", "w1"]])
    first = d.record.legs[runs(d.record)[0]]
    assert d.stretch(first) == d.params.far_times
