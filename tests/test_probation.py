"""Workers that were set aside because their tasks stood still are tried again where work waits for
them. The time aside doubles with each relapse; accepted work must not wait for its end."""

import pytest
from test_desk_edges import Carer
from test_level_two import record_with_job, step

from hollowhall.base import constants
from hollowhall.desk.health import ASIDE, TRIAL
from hollowhall.record.charter import check_job

SIGN_MS = 60_000  # ms; when tasks were last seen to stand still
CALM_MS = SIGN_MS + int(constants.SLOW_WORKER_ASIDE_S * 1000)
RELAPSES = 4


def stood_still(record, *workers):
    """A scheduler that has set workers aside RELAPSES times, last at SIGN_MS."""
    desk = Carer(record)
    for number in reversed(range(RELAPSES)):
        desk.now_s = (SIGN_MS - number * 10_000) / 1000
        for worker_id in workers:
            if desk.health_of(worker_id).state == ASIDE:
                desk.start_trial(worker_id=worker_id, ms=desk.clock_ms())
            desk.set_aside(worker_id=worker_id, now=desk.now_s, ratio=1.0, stuck=2)
    return desk


def test_the_only_workers_with_a_label_are_tried_again_once_they_gave_no_more_sign():
    # guards against a breach of rule LOST: both stood still four times, then got no tasks for 24 s while
    # accepted jobs waited for them and most of the room was free
    desk = stood_still(record_with_job(steps=[step(label="r1")], workers=20), "w1", "w3")
    for worker_id in [
        worker.id
        for worker in desk.record.workers.values()
        if "r1" in worker.labels and worker.id not in ("w1", "w3")
    ]:
        desk.record.workers[worker_id].labels.remove("r1")
    assert {"w1", "w3"} == set(desk.slow)
    desk.retry_needed_workers(ms=CALM_MS - 1)
    assert {"w1", "w3"} == set(desk.slow)
    desk.retry_needed_workers(ms=CALM_MS)
    assert desk.slow == {} and desk.health_of("w1").state == desk.health_of("w3").state == TRIAL


@pytest.mark.parametrize("busy, again", [(3, False), (1, True)])
def test_others_are_no_reason_while_half_of_the_kind_stands_idle(busy, again):
    desk = stood_still(record_with_job(steps=[step(room={"cores": 8000})], workers=5), "w0")
    full = check_job({"lane": "q", "steps": [step(tasks=busy, room={"cores": 8000})]})
    desk.record.do(
        ["job", "f", *full], *[["grant", f"f/0.0/{number}", f"w{number + 1}"] for number in range(busy)]
    )
    desk.retry_needed_workers(ms=CALM_MS)
    assert ("w0" not in desk.slow) is again
