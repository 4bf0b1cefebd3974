"""A worker's silence is no evidence of its pace. Progress comes with heartbeats, so a worker that is
partitioned and keeps running must not be taken for one whose tasks have stalled, nor be put on trial when it
is back. A gang that runs across racks must not be taken for a slow one either."""

from test_level_two import step
from test_pace import Desk, busy, record_with_job, runs

from hollowhall.desk.health import SOUND

RATE = 15  # percent per second


def send_reports(desk, workers, *, to):
    """Sends reports of these workers every 0.25 s; the others are silent."""
    while desk.now_s < to:
        for worker_id in workers:
            worker, percent = desk.record.workers[worker_id], int(RATE * (desk.now_s - 1.0))
            desk.report(
                worker_id,
                named=[(attempt.task, attempt.no, "", min(99, percent)) for attempt in worker.runs.values()],
            )
        desk.judge_progress(now=desk.now_s, ms=desk.clock_ms())
        desk.now_s += 0.25


def test_a_worker_that_is_silent_and_works_on_is_neither_set_aside_nor_put_on_trial():
    desk = busy(workers=3, tasks=6)
    send_reports(desk, ("w0", "w1", "w2"), to=3.0)
    send_reports(desk, ("w0", "w1"), to=6.0)
    assert "w2" not in desk.slow and desk.health_of("w2").state == SOUND
    send_reports(desk, ("w0", "w1", "w2"), to=7.0)
    assert not desk.slow and not desk.events and desk.health_of("w2").state == SOUND


def test_one_that_tells_of_no_progress_is_set_aside_as_before():
    desk = busy(workers=3, tasks=6)
    send_reports(desk, ("w0", "w1", "w2"), to=3.0)
    while desk.now_s < 6.0:
        for worker_id in ("w0", "w1", "w2"):
            percent = int(RATE * (desk.now_s - 1.0)) if worker_id != "w2" else 30
            runs_on = desk.record.workers[worker_id].runs.values()
            desk.report(
                worker_id, named=[(attempt.task, attempt.no, "", min(99, percent)) for attempt in runs_on]
            )
        desk.judge_progress(now=desk.now_s, ms=desk.clock_ms())
        desk.now_s += 0.25
    assert "w2" in desk.slow


def test_a_gang_across_racks_does_not_lengthen_what_its_queue_is_taken_to_need():
    desk = Desk(
        record_with_job(steps=[step(tasks=2, gang=True, tight=True, room={"cores": 8000})], workers=2)
    )
    desk.record.do(["gang", "j", "0.0", ["w0", "w1"]])
    first = desk.record.attempts[runs(desk.record)[0]]
    assert desk.stretch(first) == desk.settings.far_times
