"""Queues that were moved to another service. Guards against work of one service waiting because another
service is full, when jobs of both were submitted with the same requirements and the same service."""

import pytest
from test_level_two import ROW, record_with_job, step

from hollowhall.base.constants import LOGICAL_BITS
from hollowhall.desk.place import Round
from hollowhall.record.charter import check_job

SOON = 1500  # ms; after the workers and jobs were recorded, before anything starves


def placed(*, other_workers):
    """(starts, round) of a placement round. Job `j` of queue q is for a full service; the queue of job
    `moved` was moved to the service `other` after that job was submitted for the same service as j."""
    urgent, moved = ROW | {"urgency": 9, "kind": "k"}, ROW | {"kind": "k"}
    record = record_with_job(
        steps=[step(room={"cores": 8000}, tasks=9)], workers=2, rows={"q": urgent, "moved": moved}
    )
    record.do(["job", "moved", *check_job({"lane": "moved", "steps": [step(room={"cores": 8000})]})])
    for n in range(other_workers):
        record.do(["worker", f"o{n}", "1", "other", "z", "r", [8000, 8000, 4], True, []])
    record.do(*[["grant", f"j/0.0/{n}", f"w{n}"] for n in range(2)])
    version = record.charter["version"]
    rows = {"moved": moved | {"kind": "other"}}
    assert record.apply_entry(op="edit", d={"base": version, "rows": rows, "whole": False}).ok
    work = Round(rec=record, now=(record.last >> LOGICAL_BITS) + SOON, most=9)
    return work.run(), work


@pytest.mark.parametrize("workers", [1, 2])
def test_a_queue_that_moved_to_another_service_does_not_wait_for_its_former_one(workers):
    # Rule LOST: jobs of the moved queue waited beside idle workers while a job with the same requirements
    # waited for the former service, for as long as that service was full.
    starts, work = placed(other_workers=workers)
    assert [task for task, _ in starts] == ["moved/0.0/0"]
    assert work.wait_reason_of(("j", "0.0")) == "room"


def test_where_the_new_service_has_no_workers_the_job_says_so():
    starts, work = placed(other_workers=0)
    assert starts == [] and work.wait_reason_of(("moved", "0.0")) == "never"
