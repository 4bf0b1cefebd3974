"""Headroom beside workers that are held back: a step must not be refused the room that is held back for it,
which no one else may use meanwhile."""

from test_backfill import busy
from test_level_two import ROW, record_with_job, step

from hollowhall.desk.place import Round

SOON = 1500  # ms; before anything starves
ROWS = {"q": ROW | {"urgency": 1}, "urgent": ROW | {"urgency": 9}}
PEAK = {"urgent": [16000, 0, 0]}  # peak use of the urgent queue, which uses nothing now


def run_round(*, kept, tasks=1):
    """A round in which a step waits, with one full and one idle worker."""
    record = record_with_job(steps=[step(room={"cores": 8000}, tasks=tasks)], workers=2, rows=ROWS)
    busy(record, "w0")
    placement_round = Round(rec=record, now=SOON, most=9, kept=kept, peak_use=PEAK)
    return placement_round.run(), placement_round


def test_a_step_starts_on_the_worker_that_is_held_back_for_it():
    # the holder was refused for headroom, which did not count its own worker, and urgent work could not use
    # that worker: both waited for 20 s with half of the room idle (review case 5)
    kept = {"w1": ("j", "0.0")}
    starts, placement_round = run_round(kept=kept)
    assert starts == [("j/0.0/0", "w1")] and kept == {}


def test_without_a_worker_of_its_own_it_leaves_headroom():
    starts, placement_round = run_round(kept={})
    assert starts == [] and placement_round.wait_reason_of(("j", "0.0")) == "headroom"


def test_only_one_task_starts_for_a_worker_that_was_held_back():
    starts, placement_round = run_round(kept={"w1": ("j", "0.0")}, tasks=2)
    assert len(starts) == 1
