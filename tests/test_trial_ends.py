"""What ends a worker's trial, and what may start there meanwhile. Guards against review/14 (LOST): a lasting
attempt kept a worker on trial for as long as it ran, and other jobs that needed the worker never started
(docs/incidents/trial-without-end.md)."""

from test_health import Desk, flush, new_desk
from test_level_two import record_with_job, step

from hollowhall.base import constants
from hollowhall.desk.health import ASIDE, SOUND, SUSPECTED, TRIAL
from hollowhall.desk.place import Round
from hollowhall.record.charter import check_job

SHORT = step(room={"cores": 1000}, tasks=4)
LASTING = step(room={"cores": 1000}, forever=True)


def fleet(*, running, waiting, **more):
    """A record with one worker, on which a job `f` of this step runs while a job `j` waits."""
    record = record_with_job(steps=[waiting], workers=1, **more)
    spec = check_job({"lane": "q", "steps": [running]})
    record.do(["job", "f", *spec], ["grant", "f/0.0/0", "w0"])
    return record


def starts(record, **more):
    """What a round starts while the worker is on trial."""
    return Round(rec=record, now=1100, most=9, trials={"w0"}, **more).run()


def test_a_lasting_attempt_does_not_keep_others_from_a_worker_on_trial():
    assert len(starts(fleet(running=LASTING, waiting=SHORT))) == 1  # one at a time, as the only attempt


def test_an_attempt_whose_end_tells_something_keeps_others_away():
    assert starts(fleet(running=SHORT, waiting=SHORT)) == []


def test_a_worker_on_trial_takes_no_lasting_attempt_beside_another_one():
    assert starts(fleet(running=LASTING, waiting=LASTING)) == []


def test_an_overdue_step_starts_one_task_beside_the_attempt_of_a_trial():
    record = fleet(running=SHORT, waiting=SHORT)
    assert len(starts(record, overdue=frozenset([("j", "0.0")]))) == 1


def on_trial():
    desk = new_desk()
    desk.note_slow_worker(worker_id="w0", ms=desk.clock_ms())
    desk.start_trial(worker_id="w0", ms=desk.clock_ms())
    return desk


def test_a_trial_ends_by_time_where_no_attempt_ends():
    desk = on_trial()
    desk.check_health(ms=desk.clock_ms() + constants.TRIAL_MAX_MS - 1)
    assert desk.state("w0") == TRIAL
    desk.check_health(ms=desk.clock_ms() + constants.TRIAL_MAX_MS)
    assert desk.state("w0") == SUSPECTED
    desk.check_health(ms=desk.clock_ms() + constants.TRIAL_MAX_MS + 2 * constants.EVIDENCE_HALF_LIFE_MS)
    assert desk.state("w0") == SOUND


def test_a_worker_that_fails_after_a_trial_that_ended_by_time_is_set_aside_again():
    desk = on_trial()
    desk.now_s += constants.TRIAL_MAX_MS / 1000
    desk.check_health(ms=desk.clock_ms())
    desk.ends("w1", "ok", ["0.0/0", "0.1/0"])
    desk.ends("w0", "bad", ["0.0/1"])
    flush(desk)
    assert desk.state("w0") == ASIDE


def overdue_after(desk, *, ms):
    return set(desk.overdue_steps(ms=ms))


def test_a_step_is_overdue_once_nothing_of_its_job_ran_for_a_while():
    desk = Desk(record_with_job(steps=[SHORT], workers=2))
    assert overdue_after(desk, ms=1000 + constants.OVERDUE_WAIT_MS - 1) == set()
    late_ms = 1000 + constants.OVERDUE_WAIT_MS + constants.OVERDUE_CHECK_PERIOD_MS
    assert overdue_after(desk, ms=late_ms) == {("j", "0.0")}
    desk.do(["grant", "j/0.0/0", "w0"])
    assert overdue_after(desk, ms=late_ms + constants.OVERDUE_CHECK_PERIOD_MS) == set()


def test_no_step_is_overdue_where_half_of_the_kind_is_in_use_or_none_has_room():
    late_ms = 1000 + constants.OVERDUE_WAIT_MS
    full = step(room={"cores": 8000})
    busy = fleet(running=full, waiting=SHORT)
    assert overdue_after(Desk(busy), ms=late_ms) == set()
    beside = fleet(running=step(room={"cores": 1000}), waiting=full)
    assert overdue_after(Desk(beside), ms=late_ms) == set()


def test_overdue_steps_take_turns_where_there_are_many():
    desk = Desk(record_with_job(steps=[SHORT], workers=2))
    spec = check_job({"lane": "q", "steps": [SHORT]})
    desk.record.do(*[["job", f"k{number}", *spec] for number in range(2 * constants.OVERDUE_STEPS_PER_CHECK)])
    seen, ms = set(), 1000 + constants.OVERDUE_WAIT_MS
    for _ in range(3):
        ms += constants.OVERDUE_CHECK_PERIOD_MS
        found = overdue_after(desk, ms=ms)
        assert len(found) <= constants.OVERDUE_STEPS_PER_CHECK
        seen |= found
    assert len(seen) == 2 * constants.OVERDUE_STEPS_PER_CHECK + 1


def test_a_worker_set_aside_as_slow_is_tried_again_though_its_mark_was_replaced():
    # a moment of silence replaces the mark of slowness by one that ends within a second
    desk = Desk(record_with_job(steps=[SHORT], workers=1))
    for _ in range(4):
        desk.note_slow_worker(worker_id="w0", ms=desk.clock_ms())
        desk.start_trial(worker_id="w0", ms=desk.clock_ms())
    desk.note_slow_worker(worker_id="w0", ms=desk.clock_ms())
    assert desk.slow == {} and desk.state("w0") == ASIDE
    desk.retry_needed_workers(ms=desk.clock_ms() + int(constants.SLOW_WORKER_ASIDE_S * 1000))
    assert desk.state("w0") == TRIAL
