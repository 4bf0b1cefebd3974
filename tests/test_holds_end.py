"""What ends a hold on a worker, and what may start there meanwhile. Guards against review/15 (LOST): a worker was
held back for a large task beside a lasting attempt, for as long as that ran, and more urgent jobs that needed the
worker never started (docs/incidents/held-beside-lasting.md)."""

import pytest
from test_level_two import ROW, record_with_job, step

from hollowhall.base import constants
from hollowhall.desk.place import Round
from hollowhall.record.charter import check_job

ROWS = {"q": ROW, "urgent": ROW | {"urgency": 9}}
HOLDER = ("j", "0.0")
LARGE = step(room={"cores": 7000}, tasks=2)
STARVED_MS = 1000 + constants.STARVATION_MS + 1000
END_MS = 2000  # ms; in which attempts are expected to end


class Fleet:
    """Rounds of placement over a worker on which a job runs, while another waits for more room than is left."""

    def __init__(self, *, running, holder=LARGE, workers=3):
        self.record = record_with_job(steps=[holder | {"label": "only"}], workers=workers, rows=ROWS)
        self.record.workers["w0"].labels.append("only")
        self.kept, self.kept_until = {}, {}
        spec = check_job({"lane": "q", "steps": [running | {"room": {"cores": 4000}}]})
        self.record.do(["job", "f", *spec], ["grant", "f/0.0/0", "w0"])

    def submit(self, lane):
        small = step(room={"cores": 1000}, label="only")
        self.record.do(["job", "small", *check_job({"lane": lane, "steps": [small]})])

    def round(self, ms=STARVED_MS, *, usual=None, overdue=()):
        return Round(
            rec=self.record,
            now=ms,
            most=9,
            kept=self.kept,
            kept_until=self.kept_until,
            left_ms=lambda attempt: END_MS,
            usual=usual,
            overdue=frozenset(overdue),
        ).run()


def test_no_worker_is_held_back_for_room_that_a_lasting_attempt_holds():
    fleet = Fleet(running=step(forever=True))
    fleet.round()
    assert fleet.kept == {}
    fleet.submit("q")
    assert len(fleet.round()) == 1


def test_no_worker_is_held_back_for_a_gang_beside_lasting_attempts():
    fleet = Fleet(running=step(forever=True), holder=step(room={"cores": 7000}, gang=True))
    fleet.round()
    assert fleet.kept == {}


def test_a_hold_ends_by_the_expected_ends_and_is_not_taken_again_at_once():
    fleet = Fleet(running=step())
    fleet.round()
    assert fleet.kept == {"w0": HOLDER}
    over_ms = fleet.kept_until[HOLDER]
    assert over_ms - STARVED_MS == constants.HOLD_SLACK_FACTOR * END_MS
    fleet.round(int(over_ms) + 1)
    assert fleet.kept == {}
    fleet.round(int(over_ms) + constants.HOLD_PAUSE_MS - 1)
    assert fleet.kept == {}
    fleet.round(int(over_ms) + constants.HOLD_PAUSE_MS + 1)
    assert fleet.kept == {"w0": HOLDER}


def test_no_hold_is_longer_than_the_longest():
    fleet = Fleet(running=step())
    Round(
        rec=fleet.record,
        now=STARVED_MS,
        most=9,
        kept=fleet.kept,
        kept_until=fleet.kept_until,
        left_ms=lambda attempt: 10 * constants.HOLD_MAX_MS,
    ).run()
    assert fleet.kept_until[HOLDER] - STARVED_MS == constants.HOLD_MAX_MS


def test_the_next_task_of_a_step_that_got_its_room_may_hold_a_worker_at_once():
    fleet = Fleet(running=step())
    fleet.round()
    fleet.record.do(["end", next(iter(fleet.record.attempts)), "ok", ""])
    started = fleet.round(STARVED_MS + 100)
    assert started == [("j/0.0/0", "w0")] and HOLDER not in fleet.kept_until


@pytest.mark.parametrize("lane, usual_ms, lent", [("urgent", 500, 1), ("urgent", 9000, 0), ("q", 500, 0)])
def test_more_urgent_work_that_ends_in_time_uses_what_the_holder_cannot_use_yet(lane, usual_ms, lent):
    fleet = Fleet(running=step())
    fleet.round()
    fleet.submit(lane)
    assert len(fleet.round(STARVED_MS + 100, usual={lane: usual_ms})) == lent


@pytest.mark.parametrize("lane", ["urgent", "q"])
def test_an_overdue_step_starts_on_a_held_worker(lane):
    fleet = Fleet(running=step())
    fleet.round()
    fleet.submit(lane)
    assert fleet.round(STARVED_MS + 100) == []
    assert len(fleet.round(STARVED_MS + 200, overdue=[("small", "0.0")])) == 1
