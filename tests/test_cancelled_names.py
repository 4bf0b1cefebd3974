"""Cancels of jobs that the primary does not know yet: the name is refused afterwards, so that a submission
which a suspended gateway reads late does not run work whose cancel was acknowledged."""

import asyncio

import pytest
from platform_world import QUEUE, START, PlatformWorld, table
from test_level_two import ROW, Played, step

from hollowhall.base import constants
from hollowhall.base.problems import Forgotten
from hollowhall.desk.outcomes import job_failure
from hollowhall.record import Record
from hollowhall.record.charter import check_job

SPEC, DIGEST = check_job({"lane": "q", "steps": [step()]})
FIRST_LEVEL = 6  # the format level from which on cancelled names are kept
KEPT_MS = constants.RULES[FIRST_LEVEL]["cancelled_names_ms"]
KEPT_MAX = constants.RULES[FIRST_LEVEL]["cancelled_names_max"]


def record_at(level=FIRST_LEVEL):
    record = Played()
    for number in range(1, level + 1):
        record.apply_entry(op="level", d=number)
    record.apply_entry(op="edit", d={"base": 1, "rows": {"q": ROW}, "whole": True})
    return record


def submit(record, name="j", **when):
    return record.do(["job", name, SPEC, DIGEST], **when)[0]


def test_a_name_that_was_cancelled_before_its_submission_is_refused():
    # A submission that was read late became a job, after its cancel had been answered 410.
    record = record_at()
    assert record.do(["cancel", "j"])[0] == ["none", ""]
    assert submit(record) == ["gone", "cancelled"] and not record.jobs
    assert job_failure(name="j", result=["gone", "cancelled"]) == Forgotten(name="j", state="cancelled")
    assert submit(record, name="other") == ["new", "open"]


def test_a_cancel_goes_before_a_submission_of_the_same_batch():
    record = record_at()
    assert record.do(["cancel", "j"], ["job", "j", SPEC, DIGEST]) == [["none", ""], ["gone", "cancelled"]]


def test_a_cancelled_name_is_kept_for_a_limited_time():
    record = record_at()
    record.do(["cancel", "j"], ms=0)
    assert submit(record, ms=KEPT_MS) == ["gone", "cancelled"]
    assert submit(record, ms=KEPT_MS + 1) == ["new", "open"]


def test_a_second_cancel_counts_anew():
    record = record_at()
    record.do(["cancel", "j"], ms=0)
    record.do(["cancel", "j"], ms=KEPT_MS - 1)
    assert submit(record, ms=2 * KEPT_MS - 1) == ["gone", "cancelled"]


def test_the_number_of_cancelled_names_is_bounded_and_the_oldest_goes_first():
    record = record_at()
    for number in range(KEPT_MAX + 1):
        record.do(["cancel", f"j{number}"], ms=1)
    assert len(record.cancelled_names) == KEPT_MAX
    assert submit(record, name="j1", ms=2)[0] == "gone" and submit(record, name="j0", ms=2)[0] == "new"


def test_expired_names_leave_the_memory_with_the_next_cancel():
    record = record_at()
    record.do(["cancel", "j"], ms=0)
    record.do(["cancel", "k"], ms=KEPT_MS + 1)
    assert list(record.cancelled_names) == ["k"]


def test_cancelled_names_are_part_of_a_snapshot():
    record, copy = record_at(), Record()
    record.do(["cancel", "j"])
    copy.load(record.pack())
    assert copy.digest() == record.digest() and list(copy.cancelled_names) == ["j"]
    empty = record_at()
    assert empty.digest() != record.digest()


def test_below_its_level_nothing_is_kept():
    record = record_at(FIRST_LEVEL - 1)
    record.do(["cancel", "j"])
    assert submit(record) == ["new", "open"] and "cancelled_names" not in record.pack()


WAITS_S = {"gives up early": 1.0, "waits for its time": 3.0, "never closes": 30.0}


@pytest.mark.parametrize("jobs", [1, 20])
@pytest.mark.parametrize(
    "frozen_s", [2.5, 5.0]
)  # the gateway wakes before, or after, the client's time is over
@pytest.mark.parametrize("client", WAITS_S)
def test_a_submission_read_after_its_cancel_was_acknowledged_starts_nothing(client, frozen_s, jobs):
    # A gateway that woke submitted jobs whose cancel another gateway had answered with 410.
    world = PlatformWorld(seed=7, edges=2, workers=8)
    names = [f"{number:016x}" for number in range(0xA0, 0xA0 + jobs)]
    body = {"jobProfile": "x", "stages": [{"taskCount": 1, "cpu": 1000, "estimateMs": 500}]}
    seen = {}

    async def send(method, edge, name, content, wait):
        return await world.s.web("client").ask(
            method=method,
            addr=f"10.0.1.{edge}:8149",
            path=QUEUE.prefix + name,
            body=content,
            wait=wait,
            headers={"Host": QUEUE.host, "Time-Remaining": "3000"},
        )

    async def scenario():
        world.add_workers(8)
        world.start_all()
        assert await world.s.operator("op").put(table(), limit=START)
        await asyncio.sleep(START)
        world.pause("edge-1")
        submissions = [asyncio.ensure_future(send("POST", 1, name, body, WAITS_S[client])) for name in names]
        await asyncio.sleep(1.5)
        seen["cancels"] = [(await send("DELETE", 2, name, None, 2.0))[0] for name in names]
        await asyncio.sleep(frozen_s - 1.5)
        world.pause("edge-1", on=False)
        await asyncio.sleep(8.0)
        seen["submissions"] = [submission.result() for submission in submissions if submission.done()]
        seen["orders"] = world.s.rows("order")

    try:
        world.run(scenario(), limit=200.0)
    finally:
        for worker in world.s.nodes.values():
            worker.kill()
    assert seen["cancels"] == [410] * jobs
    assert seen["orders"] == []
    assert not any(isinstance(answer, tuple) and answer[0] == 200 for answer in seen["submissions"])
