"""Workers that are held back for a step which may not start now are released for others."""

from test_level_two import ROW, record_with_job, step

from hollowhall.base.constants import LOGICAL_BITS
from hollowhall.desk.place import Round
from hollowhall.record.charter import check_job

SOON = 1500  # ms after the last event, before any step counts as starved
URGENT = ROW | {"urgency": 9}


def held(*, steps=None, row=ROW):
    """(record, kept): one idle worker, held back for job `j`, while an urgent job waits for a worker."""
    record = record_with_job(
        steps=steps or [step(room={"cores": 8000})], workers=1, rows={"q": row, "urgent": URGENT}
    )
    record.do(["job", "u", *check_job({"lane": "urgent", "steps": [step(room={"cores": 8000})]})])
    return record, {"w0": ("j", "0.0")}


def placed(record, kept):
    """Tasks that one placement round starts."""
    now = (record.last >> LOGICAL_BITS) + SOON
    return [task for task, _ in Round(rec=record, now=now, most=9, kept=kept).run()]


def configure(record, **rows):
    version = record.charter["version"]
    assert record.apply_entry(op="edit", d={"base": version, "rows": rows, "whole": False}).ok


def test_a_worker_held_back_for_a_job_of_a_removed_queue_is_given_free():
    # guards against the worker staying idle until the primary changed
    record, kept = held()
    configure(record, q=None)
    assert placed(record, kept) == ["u/0.0/0"] and kept == {}


def test_one_held_back_for_a_queue_at_its_limit_is_given_free():
    record, kept = held(row=ROW | {"limit": 1})
    record.do(["worker", "other", "1", "k", "z", "r", [8000, 8000, 4], True, []])
    record.do(["job", "runs", *check_job({"lane": "q", "steps": [step(room={"cores": 8000})]})])
    record.do(["grant", "runs/0.0/0", "other"])
    assert placed(record, kept) == ["u/0.0/0"] and kept == {}


def test_one_held_back_for_a_task_that_is_not_due_is_given_free():
    later = step(room={"cores": 8000}, backoffMs=60_000)
    record, kept = held(steps=[later])
    record.do(["grant", "j/0.0/0", "w0"])
    record.do(["end", record.jobs["j"].tasks["j/0.0/0"].run, "bad", ""])
    assert placed(record, kept) == ["u/0.0/0"] and kept == {}


def test_a_worker_stays_held_back_for_what_may_start():
    record, kept = held(row=ROW | {"urgency": 1})
    assert placed(record, kept) == ["j/0.0/0"]
