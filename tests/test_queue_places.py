"""Which queue a job belongs to, in the record: a queue's name and its place diverge when operators rename,
swap, move, remove and restore queues. Guards against jobs that were accepted at a place and never continued
once a queue of another name was there."""

import asyncio

import pytest
from queue_store import AWAY, HERE, THERE, Store, row
from test_level_two import step

from hollowhall.base import problems
from hollowhall.base.constants import LOGICAL_BITS
from hollowhall.record import Record

TWO_STEPS = [step(kind="svc"), step(kind="svc", name="0.1", after=["0.0"], tasks=2)]


@pytest.mark.parametrize("restart", [False, True])
def test_a_job_goes_on_in_the_queue_that_replaced_its_own(restart):
    # guards against a second step that never started once the queue had another name
    store = Store(a=row(HERE))
    store.job(steps=TWO_STEPS)
    assert store.grants() == ["j/0.0/0"]
    store.configure(b=row(HERE))
    if restart:
        store.restarted()
    store.end("j/0.0/0")
    assert store.queue() == "b" and store.grants() == ["j/0.1/0", "j/0.1/1"]
    assert store.record.running_by_queue == {"a": 0, "b": 2} or store.record.running_by_queue == {"b": 2}


def test_below_the_level_a_job_follows_the_name_alone():
    # replicas of an older release apply the same entries and must not diverge
    store = Store(level=3, a=row(HERE))
    store.job(steps=TWO_STEPS)
    store.configure(b=row(HERE))
    assert store.queue() == "a" and store.grants() == []
    store.record.to_level(4)
    assert store.queue() == "b" and store.grants() == ["j/0.0/0"]


def test_a_job_of_an_older_version_takes_over_the_place_of_its_queue():
    # accepted by a daemon that did not send a place
    store = Store(level=3, a=row(HERE))
    store.job(place=None)
    store.record.to_level(4)
    store.configure(b=row(HERE), a=row(AWAY))
    assert store.queue() == "b" and store.record.jobs["j"].home == HERE
    assert store.restarted().record.jobs["j"].home == HERE


def test_a_queue_without_a_place_is_known_by_its_name():
    store = Store(a=row(), b=row())
    store.job(place=None)
    store.configure(b=row())
    assert store.queue() == "a" and store.grants() == []
    store.configure(b=row(), a=row())
    assert store.grants() == ["j/0.0/0"]


def test_exchanged_queues_keep_the_jobs_that_were_handed_in_at_their_places():
    store = Store(a=row(HERE), b=row(THERE))
    store.job("j", lane="a", place=HERE)
    store.job("k", lane="b", place=THERE)
    store.configure(a=row(THERE), b=row(HERE))
    assert (store.queue("j"), store.queue("k")) == ("b", "a")
    store.configure(a=row(HERE), b=row(THERE))
    assert (store.queue("j"), store.queue("k")) == ("a", "b")


def test_jobs_wait_for_a_withdrawn_queue_and_go_on_when_it_is_back_under_another_name():
    store = Store(a=row(HERE), z=row(AWAY))
    store.job()
    store.configure(z=row(AWAY))
    assert store.queue() == "a" and store.grants() == []
    store.restarted().configure(z=row(AWAY), b=row(HERE))
    assert store.queue() == "b" and store.grants() == ["j/0.0/0"]


def test_jobs_of_a_withdrawn_queue_go_on_when_its_name_is_back_elsewhere():
    store = Store(a=row(HERE), z=row(AWAY))
    store.job()
    store.configure(z=row(AWAY))
    store.configure(z=row(AWAY), a=row(THERE))
    assert store.grants() == ["j/0.0/0"]


def test_jobs_follow_a_queue_that_moved_and_then_got_another_name():
    store = Store(a=row(HERE))
    store.job()
    store.configure(a=row(THERE))
    assert store.queue() == "a" and store.record.jobs["j"].last_place == THERE
    store.restarted().configure(c=row(THERE))
    assert store.queue() == "c"
    store.configure(c=row(AWAY))
    assert store.queue() == "c"
    store.configure(c=row(AWAY), d=row(HERE))  # the place of the job itself takes precedence again
    assert store.queue() == "d" and store.record.jobs["j"].last_place == ""


def test_a_job_sent_under_a_name_that_has_gone_meets_the_queue_at_its_place():
    # the gateway did not have the change yet
    store = Store(a=row(HERE))
    store.configure(b=row(HERE))
    assert store.job(lane="a")[0] == "new" and store.queue() == "b"
    assert store.job("k", lane="a", place=None) == ["nolane", "a"]
    assert store.record.queue_named(name="a", place=HERE) == "b"


def test_the_limit_of_a_queue_counts_what_it_ran_under_another_name():
    store = Store(a=row(HERE, limit=2), b=row(THERE, limit=3))
    store.job(steps=[step(kind="svc", tasks=5)])
    assert len(store.grants()) == 2
    store.configure(c=row(HERE, limit=2), b=row(THERE, limit=3))
    assert store.grants() == []
    store.configure(b=row(HERE, limit=3), c=row(THERE, limit=2))  # swapped: one more may run
    assert len(store.grants()) == 1
    for restart in (False, True):
        record = (store.restarted() if restart else store).record
        assert {queue: count for queue, count in record.running_by_queue.items() if count} == {"b": 3}
        assert {queue: count for queue, count in record.used_by_queue.items() if any(count)} == {
            "b": [3000, 0, 0]
        }


def test_tasks_go_to_the_service_of_the_queue_at_their_place():
    store = Store(a=row(HERE, kind="svc"))
    store.do(["worker", "other", "1", "other", "z", "r", [8000, 1000, 0], True, ["a"]])
    store.job(steps=TWO_STEPS)
    store.configure(b=row(HERE, kind="other"))
    task = "j/0.0/0"
    assert store.do(["grant", task, "w0"])[0] == ["no", "kind"]
    assert store.do(["grant", task, "other"])[0][0] == "ok"


def test_a_gang_starts_whole_in_the_queue_that_replaced_its_own():
    store = Store(a=row(HERE))
    store.job(steps=[step(kind="svc", tasks=2, gang=True)])
    store.do(["gang", "j", "0.0", ["w0", "w1"]])
    store.configure(b=row(HERE, limit=2))
    assert store.record.running_by_queue["b"] == 2
    store.end("j/0.0/0", "lost")
    store.end("j/0.0/1", "lost")
    assert store.do(["gang", "j", "0.0", ["w0", "w1"]])[0][0] == "ok"


def test_timed_and_lasting_jobs_go_on_in_the_queue_that_replaced_their_own():
    store = Store(a=row(HERE))
    due = (store.stamp >> LOGICAL_BITS) + 20_000
    store.job("timed", steps=[step(kind="svc", notBefore=due)])
    store.job("lasting", steps=[step(kind="svc", forever=True)], standing=True)
    assert store.grants() == ["lasting/0.0/0"]
    store.configure(b=row(HERE))
    store.end("lasting/0.0/0")
    store.stamp = due + 1 << LOGICAL_BITS
    assert sorted(store.grants()) == ["lasting/0.0/0", "timed/0.0/0"]


def test_a_cancelled_job_still_ends_in_the_queue_that_replaced_its_own():
    store = Store(a=row(HERE))
    store.job()
    store.grants()
    store.do(["cancel", "j"])
    store.configure(b=row(HERE))
    store.end("j/0.0/0", "stopped")
    assert store.record.jobs["j"].state == "cancelled" and store.record.running_by_queue["b"] == 0


def test_a_snapshot_under_way_keeps_a_job_as_it_was():
    store = Store(a=row(HERE))
    for index in range(3):
        store.job(f"j{index}")
    before = store.record.digest()

    async def go():
        taken = asyncio.ensure_future(store.record.picture(spend=lambda s: None, now=lambda: 0.0))
        await asyncio.sleep(0)
        store.configure(b=row(HERE))
        return await taken

    snapshot, _ = asyncio.run(go())
    record = Record()
    record.load(snapshot)
    assert record.digest() == before and store.queue("j1") == "b"


def test_two_queues_at_one_place_are_refused():
    store = Store(a=row(HERE))
    rows = {"a": row(HERE), "b": row(HERE)}
    version = store.record.charter["version"]
    whole = store.record.apply_entry(op="edit", d={"base": version, "rows": rows, "whole": True})
    change = store.record.apply_entry(
        op="edit", d={"base": version, "rows": {"b": row(HERE)}, "whole": False}
    )
    assert isinstance(whole, problems.BadInput) and isinstance(change, problems.BadInput)
    assert store.record.charter["version"] == version and list(store.record.charter["rows"]) == ["a"]
    assert store.record.apply_entry(
        op="edit", d={"base": version, "rows": {"a": None, "b": row(HERE)}, "whole": False}
    ).ok
