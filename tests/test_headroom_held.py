"""Headroom beside workers that are held back: a step is not refused room that is kept for itself,
which nobody else may use meanwhile."""

from test_backfill import busy
from test_level_two import ROW, made, step

from hollowhall.desk.place import Round

SOON = 1500  # ms; before anything starves
ROWS = {"q": ROW | {"urgency": 1}, "urgent": ROW | {"urgency": 9}}
PEAK = {"urgent": [16000, 0, 0]}  # what the urgent queue used lately; it uses nothing now


def played(*, kept, tasks=1):
    """A round in which a step waits beside one full and one idle worker."""
    record = made(steps=[step(room={"cores": 8000}, tasks=tasks)], workers=2, rows=ROWS)
    busy(record, "w0")
    work = Round(rec=record, now=SOON, most=9, kept=kept, peak_use=PEAK)
    return work.run(), work


def test_a_step_starts_on_the_worker_that_is_held_back_for_it():
    # LOST, review case 5: the holder was refused for headroom, which left its own worker out, and
    # urgent work was kept off that worker: both stood for 20 s with half of the room idle
    kept = {"w1": ("j", "0.0")}
    starts, work = played(kept=kept)
    assert starts == [("j/0.0/0", "w1")] and kept == {}


def test_without_a_worker_of_its_own_it_leaves_headroom():
    starts, work = played(kept={})
    assert starts == [] and work.why_of(("j", "0.0")) == "headroom"


def test_only_one_task_starts_for_a_worker_that_was_held_back():
    starts, work = played(kept={"w1": ("j", "0.0")}, tasks=2)
    assert len(starts) == 1
