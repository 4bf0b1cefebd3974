"""Edge cases of the scheduler's decisions; each test failed before its fix: batches of unknown outcome,
racks that cannot be had, probation of all suitable workers, evacuations after a grant, jobs sent
again after their queue moved, malformed reports."""

import asyncio
import json
import pathlib
import sys
from functools import partial
from types import SimpleNamespace as Bag

import pytest
from test_level_two import ROW, record_with_job, runs, step
from test_pace import Desk as PaceDesk

from hollowhall.base.doors import Call
from hollowhall.base.problems import NotPrimary, Unsure
from hollowhall.desk.beats import BeatsMixin
from hollowhall.desk.care import WorkerChecksMixin
from hollowhall.desk.place import Round
from hollowhall.desk.turns import BatchesMixin
from hollowhall.desk.worker_session import WorkerSession
from hollowhall.record.charter import check_job

sys.path.insert(1, str(pathlib.Path(__file__).parent.parent / "platform"))

from control import Control
from front import Front


class Desk(BatchesMixin, BeatsMixin):
    """A primary over a record, without a store, a clock or a network."""

    def __init__(self, rec):
        self.record, self.runtime = rec, Bag(now=lambda: 1.0)
        self.settings = Bag(hold_ms=3600, margin_ms=322)
        self.epoch, self.leaving, self.until = 1, False, 99.0

    def live(self):
        return True

    def not_primary(self):
        return NotPrimary()

    def say(self, *a, **k):
        pass

    def clock_ms(self):
        return 1000

    def news(self):
        pass


def test_an_unsure_turn_that_gives_a_worker_up_keeps_it_silent_until_the_record_is_reread():
    desk = Desk(record_with_job(steps=[step()]))
    desk.open_batches()
    desk.record.do(["grant", "j/0.0/0", "w0"])
    session = WorkerSession(boot="1", names_attempts=True, status_pending=True, lost_pending=True)
    desk.sessions = {"w0": session}
    seen = []

    async def commit(*, events):
        desk.last_failure = Unsure(why="lead lost")  # it was committed, and is not applied here yet

    async def reread():
        answer = desk.beat_answer(worker_id="w0", session=session)  # a beat of w0 is answered meanwhile
        seen.append(answer.value["starts"] if answer.ok else [])
        desk.record.do(["lost", "w0", "1"], ["grant", "j/0.0/0", "w1"])  # the batch is applied
        return True

    desk.commit, desk.reread = commit, reread
    event = ["lost", "w0", "1"]

    async def commit_lost():
        await desk.commit_batch(items=[(event, partial(desk.lost, "w0", session))], events=[event])

    asyncio.run(commit_lost())
    assert seen == [[]]  # not told to start what also starts on w1


def places_near_rack(waited_ms, *, usual, far=3.0, evacuated=(), workers=5):
    """What a round places after a task has waited `waited_ms` for its rack, which is full or evacuated."""
    record = record_with_job(steps=[step(near="r1", room={"cores": 8000})], workers=workers)
    for zone in evacuated:
        record.do(["evacuate", zone, True])
    if not evacuated:  # the rack is full, the other is empty
        spec, digest = check_job({"lane": "q", "steps": [step(tasks=2, room={"cores": 8000})]})
        record.do(["job", "f", spec, digest], ["grant", "f/0.0/0", "w1"], ["grant", "f/0.0/1", "w3"])
    placement = Round(rec=record, now=1000 + waited_ms, most=9, far=far, usual={"q": usual})
    return placement.run()


def test_no_task_waits_three_seconds_for_its_rack_beside_empty_workers():
    assert places_near_rack(2900, usual=5600)


def test_where_half_of_the_kind_is_in_use_the_rack_is_waited_for_as_long_as_it_pays():
    assert not places_near_rack(2900, usual=5600, workers=4) and places_near_rack(9000, usual=5600, workers=4)


def test_a_rack_in_an_evacuated_zone_is_not_waited_for():
    assert places_near_rack(10, usual=1000, evacuated=("z1", "z3"))


def test_no_gang_waits_three_seconds_for_one_rack_beside_empty_workers():
    record = record_with_job(steps=[step(tasks=2, gang=True, tight=True, room={"cores": 8000})], workers=4)
    spec, digest = check_job({"lane": "q", "steps": [step(tasks=2)]})
    record.do(["job", "f", spec, digest], ["grant", "f/0.0/0", "w0"], ["grant", "f/0.0/1", "w1"])
    placement = Round(rec=record, now=1000 + 2900, most=9, far=3, usual={"q": 5600})
    placement.run()
    assert placement.gangs


def test_a_job_sent_again_after_its_queue_moved_is_the_same_job():
    sent = []
    row = ROW | {"kind": "k", "maxFailures": 2}
    gateway = Bag(charter={"rows": {"q": row}}, submit=lambda **keywords: sent.append(keywords["request"]))
    front = Front(mast=gateway)
    body = {"jobProfile": "x", "stages": [{"taskCount": 1, "cpu": 500, "memMb": 1}]}
    call = Call(method="POST", path="/", body=json.dumps(body).encode())
    front.submit(call, None, "q", "n", tenant="")
    gateway.charter = {"rows": {"q": row | {"kind": "other"}}}
    front.submit(call, None, "q", "n", tenant="")
    record = record_with_job(steps=[step()])
    first, second = ([request["spec"], request["digest"]] for request in sent)
    assert record.do(["job", "n", *first])[0][0] == "new"
    assert record.do(["job", "n", *second])[0][0] == "same"


def test_a_start_granted_before_its_zone_was_evacuated_is_not_told_after():
    desk = Desk(record_with_job(steps=[step()]))
    desk.record.do(["grant", "j/0.0/0", "w0"])
    desk.record.do(["evacuate", "z0", True])
    session = WorkerSession(boot="1", names_attempts=True, report_complete=True)
    assert desk.orders(worker_id="w0", session=session)[0] == []


@pytest.mark.parametrize(
    "body",
    [
        b'{"sequence":1,"targetService":"k","zone":"z","ended":[[1,"a.0.0.0",1,"odd",""]]}',
        b'{"sequence":1,"targetService":"k","zone":"z","capacity":{"cpu":Infinity}}',
    ],
)
def test_an_odd_report_gets_an_answer(body):
    answers = []
    control = Control(
        hall=Bag(desk=Bag(live=lambda: True, serve=lambda **request: request["callback"](NotPrimary()))),
        addr="10.0.0.1:1",
    )
    control.take(call=Call(method="PUT", path="/instances/i", body=body), callback=answers.append)
    assert answers


def test_a_worker_without_any_room_stops_no_round():
    record = record_with_job(steps=[step(room={"cores": 0})], room=(0, 0, 0))
    Round(rec=record, now=1100, most=9).run()


def test_an_older_job_that_waits_for_its_rack_holds_nobody_up_who_has_waited_enough():
    record = record_with_job(
        steps=[step(), step("0.1", near="r1", after=["0.0"], room={"cores": 8000})], workers=6
    )
    one = check_job({"lane": "q", "steps": [step(near="r1", room={"cores": 8000})]})
    full = check_job({"lane": "q", "steps": [step(tasks=3, room={"cores": 8000})]})
    record.do(
        ["job", "f", *one],
        ["job", "g", *full],
        ["grant", "j/0.0/0", "w0"],
        *[["grant", f"g/0.0/{n}", f"w{2 * n + 1}"] for n in range(3)],
    )
    record.do(
        ["end", next(run for run, attempt in record.attempts.items() if attempt.job == "j"), "ok", ""],
        ms=3900,
    )
    run = Round(rec=record, now=1000 + 4000, most=9, far=2.0, usual={"q": 1000})
    assert [t for t, _ in run.run()] == ["f/0.0/0"]


class Carer(WorkerChecksMixin, PaceDesk):
    """A scheduler with worker monitoring over a record."""

    def __init__(self, rec):
        super().__init__(rec)
        self.recent_failures, self.aside_failure_share = {}, {}


def test_probation_of_all_that_suit_a_step_is_lifted_once_it_has_waited():
    desk = Carer(record_with_job(steps=[step(label="r1")], workers=4))  # w1 and w3 have the label
    desk.record.do(*[["flaky", worker_id, 90_000] for worker_id in ("w1", "w3")])
    desk.retry_needed_workers(ms=1100)
    assert desk.events == []
    desk.retry_needed_workers(ms=1000 + 1600)
    assert {tuple(event) for event in desk.events} == {("flaky", "w1", 0), ("flaky", "w3", 0)}


def test_probation_stays_where_others_suit_and_half_of_the_kind_is_in_use():
    desk = Carer(record_with_job(steps=[step(room={"cores": 8000})], workers=4))
    full = check_job({"lane": "q", "steps": [step(tasks=3, room={"cores": 8000})]})
    desk.record.do(["job", "f", *full], *[["grant", f"f/0.0/{n}", f"w{n}"] for n in range(3)])
    desk.record.do(["flaky", "w3", 90_000])
    desk.retry_needed_workers(ms=1000 + 1600)
    assert desk.events == []


def test_the_failures_of_tasks_that_last_say_nothing_of_their_worker():
    desk = Carer(record_with_job(steps=[step(forever=True)], standing=True))
    desk.record.do(["grant", "j/0.0/0", "w0"])
    desk.note_ends([["end", runs(desk.record)[0], "bad", ""]])
    assert not desk.recent_failures
