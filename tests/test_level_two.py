"""The record from level 2 on: gangs start whole or not at all and are done with one success; copies;
numbered attempts; checkpoints passed to the next attempt; labels; evacuated zones; and configurations under
versions that the operator chose."""

import pytest

from hollowhall.base import constants
from hollowhall.record import Record
from hollowhall.record.charter import check_job, required_level

ROW = {"weight": 1.0, "limit": 0, "urgency": 5}


class Played(Record):
    """A record that applies batches with ascending stamps."""

    def do(self, *events, ms=0):
        stamp = max(self.last + 1, (1000 + ms) << constants.LOGICAL_BITS)
        return self.apply_entry(op="turn", d={"e": 1, "c": 1, "s": stamp, "v": list(events)}).value


def record_with_job(*, steps, workers=3, room=(8000, 8000, 4), rows=None, **job):
    record = Played()
    for level in (1, 2):
        record.apply_entry(op="level", d=level)
    record.apply_entry(op="edit", d={"base": 1, "rows": rows or {"q": ROW}, "whole": True})
    for index in range(workers):
        record.do(
            [
                "worker",
                f"w{index}",
                "1",
                "k",
                f"z{index}",
                f"r{index % 2}",
                list(room),
                True,
                ["a", f"r{index % 2}"],
            ]
        )
    spec, digest = check_job({"lane": "q", "steps": steps, **job})
    assert record.do(["job", "j", spec, digest])[0] == ["new", "open"]
    return record


def step(name="0.0", **kw):
    return {"name": name, "kind": "k", "room": {"cores": 1000}, "backoffMs": 0} | kw


def runs(record):
    return sorted(record.attempts)


def test_a_gang_starts_whole_or_not_at_all():
    record = record_with_job(steps=[step(tasks=3, gang=True, room={"cores": 8000})])
    assert record.do(["gang", "j", "0.0", ["w0", "w1", "w1"]])[0] == ["no", "room"]
    assert not record.attempts and all(worker.used == [0, 0, 0] for worker in record.workers.values())
    assert record.do(["grant", "j/0.0/0", "w0"])[0] == ["no", "gang"]
    assert record.do(["gang", "j", "0.0", ["w0", "w1"]])[0] == ["no", "gone"]
    before = record.last
    assert record.do(["gang", "j", "0.0", ["w0", "w1", "w2"]])[0][0] == "ok"
    assert record.last - before >= 3 and len(record.attempts) == 3  # one stamp per member
    assert {attempt.no for attempt in record.attempts.values()} == {1} and len(
        {attempt.gang for attempt in record.attempts.values()}
    ) == 1


def test_one_good_end_is_the_end_of_all_and_room_goes_with_each():
    record = record_with_job(steps=[step(tasks=2, gang=True), step("0.1", after=["0.0"])])
    record.do(["gang", "j", "0.0", ["w0", "w1"]])
    first, second = runs(record)
    record.do(["end", first, "ok", ""])
    job = record.jobs["j"]
    assert [task.state for task in job.tasks.values()] == ["done", "done", "ready"]
    assert record.workers["w1"].used[0] == 1000 and job.state == "open"
    record.do(["end", second, "broken", ""])
    assert record.workers["w1"].used[0] == 0 and job.tasks["j/0.0/1"].state == "done"
    assert record.do(["end", second, "bad", ""])[0][0] == "late"


def test_a_gang_fails_once_an_attempt_and_waits_for_its_last_member():
    record = record_with_job(steps=[step(tasks=3, gang=True, maxFailures=2)])
    for failures in (1, 2):
        assert record.do(["gang", "j", "0.0", ["w0", "w1", "w2"]])[0][0] == "ok"
        members = runs(record)
        record.do(["end", members[0], "bad", "a"], ["end", members[1], "bad", "b"])
        assert record.do(["gang", "j", "0.0", ["w0", "w1", "w2"]])[0][0] == "no"
        assert {task.state for task in record.jobs["j"].tasks.values()} == {"running"}
        record.do(["end", members[2], "broken", ""])
        assert {task.fails for task in record.jobs["j"].tasks.values()} == {failures}
    assert record.jobs["j"].state == "failed"


def test_checkpoints_go_to_every_member_and_to_the_next_attempt():
    record = record_with_job(steps=[step(tasks=2, gang=True, saves=True)])
    record.do(["gang", "j", "0.0", ["w0", "w1"]])
    first, second = runs(record)
    record.do(["lost", "w0", "1", {first: "half"}])
    record.do(["end", second, "broken", "", "older"])
    tasks = record.jobs["j"].tasks.values()
    assert {task.saved for task in tasks} == {"older"} and {task.state for task in tasks} == {"ready"}
    record.do(["gang", "j", "0.0", ["w1", "w2"]])
    assert {attempt.no for attempt in record.attempts.values()} == {2}


def test_a_copy_runs_beside_and_the_first_good_end_counts():
    record = record_with_job(steps=[step(copies=True, maxFailures=3)])
    record.do(["grant", "j/0.0/0", "w0"])
    assert record.do(["copy", "j/0.0/0", "w0"])[0] == ["no", "spread"]
    assert record.do(["copy", "j/0.0/0", "w1"])[0][0] == "ok"
    first, second = runs(record)
    record.do(["end", first, "bad", ""])
    task = record.jobs["j"].tasks["j/0.0/0"]
    assert (task.state, task.fails, task.live) == ("running", 1, 1)
    assert record.do(["copy", "j/0.0/0", "w2"])[0][0] == "ok"
    third = runs(record)[-1]
    record.do(["end", second, "ok", ""])
    assert task.state == "done" and record.attempts[third].stop == "copy" and record.jobs["j"].state == "done"
    assert record.do(["end", third, "ok", ""])[0] == ["ok", third] and not record.attempts


def test_no_copy_where_the_step_does_not_allow_it():
    record = record_with_job(steps=[step()])
    record.do(["grant", "j/0.0/0", "w0"])
    assert record.do(["copy", "j/0.0/0", "w1"])[0][0] == "no"


def test_a_task_that_runs_for_ever_starts_again_however_it_ends():
    record = record_with_job(steps=[step(forever=True, maxFailures=1)], standing=True)
    for number, how in enumerate(("ok", "bad", "bad", "lost", "stopped"), 1):
        assert record.do(["grant", "j/0.0/0", "w0"])[0][0] == "ok"
        assert record.attempts[runs(record)[0]].no == number
        record.do(["end", runs(record)[0], how, ""])
        assert record.jobs["j"].tasks["j/0.0/0"].state == "ready" and record.jobs["j"].state == "open"


@pytest.mark.parametrize(
    "more, worker, why",
    [({"label": "b"}, "w0", "kind"), ({"label": "r1"}, "w0", "kind"), ({"label": "r1"}, "w1", "")],
)
def test_a_label_is_looked_at_when_a_start_is_granted(more, worker, why):
    record = record_with_job(steps=[step(**more)])
    assert record.do(["grant", "j/0.0/0", worker])[0][0 if not why else 1] == (why or "ok")


def test_an_evacuated_zone_takes_no_starts_until_that_is_taken_back():
    record = record_with_job(steps=[step(tasks=2, gang=True)])
    record.do(["evacuate", "z0", True])
    assert record.do(["gang", "j", "0.0", ["w0", "w1"]])[0] == ["no", "evacuated"]
    record.do(["evacuate", "z0", False])
    assert record.do(["gang", "j", "0.0", ["w0", "w1"]])[0][0] == "ok"


def test_a_step_has_a_due_time_of_its_own():
    record = record_with_job(steps=[step(notBefore=5000)])
    assert record.do(["grant", "j/0.0/0", "w0"])[0] == ["no", "due"]
    assert record.do(["grant", "j/0.0/0", "w0"], ms=5000)[0][0] == "ok"


def test_the_lanes_kind_holds_over_the_steps():
    record = record_with_job(steps=[step()], rows={"q": ROW | {"kind": "other"}})
    assert record.do(["grant", "j/0.0/0", "w0"])[0] == ["no", "kind"]


def edit(record, chosen, on, mark, rows=None):
    return record.apply_entry(
        op="edit",
        d={"chosen": chosen, "on": on, "mark": mark, "kinds": {}, "notes": {}, "rows": rows or {"q": ROW}},
    )


def test_an_operators_own_versions_race_resend_and_never_go_back():
    record = record_with_job(steps=[step()])
    assert edit(record, 5, 0, "a").ok and edit(record, 5, 0, "a").ok
    assert (
        not edit(record, 5, 0, "b").ok and not edit(record, 4, 5, "c").ok and not edit(record, 9, 3, "d").ok
    )
    assert edit(record, 7, 5, "e").ok and not edit(record, 8, 5, "f").ok
    assert (
        edit(record, 5, 0, "a").ok and record.charter["chosen"] == 7
    )  # applied before, so it succeeds again
    version = record.charter["version"]
    assert edit(record, 7, 5, "e").value["version"] == version == record.charter["version"]


def test_a_picture_holds_all_of_it():
    record = record_with_job(steps=[step(tasks=2, gang=True, maxFailures=3), step("0.1", copies=True)])
    record.do(
        ["gang", "j", "0.0", ["w0", "w1"]],
        ["grant", "j/0.1/0", "w2"],
        ["copy", "j/0.1/0", "w1"],
        ["evacuate", "z2", True],
    )
    record.do(["end", runs(record)[0], "bad", "", "some"])
    edit(record, 5, 0, "a")
    loaded = Record()
    loaded.load(record.pack())
    assert loaded.digest() == record.digest()
    assert loaded.jobs["j"].tasks["j/0.1/0"].live == 2 and loaded.jobs["j"].steps["0.0"].failed == 1
    assert loaded.evacuated and loaded.taken == {5: "a"} and loaded.workers["w0"].labels == ["a", "r0"]


def test_jobs_of_older_levels_keep_their_digest_and_newer_ones_say_so():
    plain, plain_digest = check_job({"lane": "q", "steps": [step()]})
    with_defaults, other_digest = check_job({"lane": "q", "steps": [step(gang=False, near="", notBefore=0)]})
    assert plain_digest == other_digest and required_level(plain) == 0 and required_level(with_defaults) == 0
    assert required_level(check_job({"lane": "q", "steps": [step(gang=True)]})[0]) == 2
