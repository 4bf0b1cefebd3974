"""The order in which waiting jobs get room, headroom for urgent work, and short work on held workers: what
each is for, and what it must not do."""

from test_backfill import busy, gang
from test_level_two import record_with_job, step

from hollowhall.base import constants
from hollowhall.desk.aims import Aims, aim_ms, tails_ms
from hollowhall.desk.place import Round
from hollowhall.desk.placing import PlacementMixin
from hollowhall.desk.policy import read_policy
from hollowhall.desk.standings import IN_AIM, LATE, TOO_LATE
from hollowhall.record.charter import check_job

ROW = {"weight": 1.0, "limit": 0, "urgency": 5, "stretch": 1.5, "aimMs": 600}
URGENT = ROW | {"urgency": 9}
WIDE = step(room={"cores": 8000}, estimateMs=600)


def aims(record):
    return Aims(rows=lambda: record.charter["rows"])


def submit(record, name, *, ms, lane="q", **kw):
    record.do(["job", name, *check_job({"lane": lane, "steps": [WIDE | kw]})], ms=ms)


def queue_of_three():
    """One worker, and jobs j, b and c that arrived at 0, 1.2 and 2.9 s, each with an aim of 1.5 s."""
    record = record_with_job(steps=[WIDE], workers=1, rows={"q": ROW})
    submit(record, "b", ms=1200)
    submit(record, "c", ms=2900)
    return record


def first_started(record, *, at, off=""):
    placement_round = Round(rec=record, now=1000 + at, most=1, aims=aims(record), policy=read_policy(off=off))
    return [task.split("/")[0] for task, _ in placement_round.run()]


def test_what_can_still_be_in_time_goes_before_what_is_late():
    record = queue_of_three()
    assert first_started(record, at=500) == ["j"]  # all can still end by their aim: the oldest one
    assert first_started(record, at=3000) == ["c"]
    assert first_started(record, at=3000, off="order_by_aim") == ["j"]


def test_what_is_of_no_use_any_more_goes_last_and_still_runs():
    record = queue_of_three()
    assert first_started(record, at=4400) == [
        "b"
    ]  # by now c is late as well, and j is beyond three times its aim
    record = record_with_job(steps=[WIDE], workers=1, rows={"q": ROW})
    assert first_started(record, at=60_000) == ["j"]


def test_a_queue_that_names_no_aim_keeps_the_oldest_first():
    record = record_with_job(steps=[WIDE], workers=1)
    submit(record, "b", ms=1200)
    assert first_started(record, at=9000) == ["j"]


def test_standings_and_aims_follow_the_longest_chain():
    spec, _ = check_job(
        {
            "lane": "q",
            "steps": [
                step("a", estimateMs=1000),
                step("b", estimateMs=3000),
                step("c", estimateMs=500, after=["a"]),
            ],
        }
    )
    assert tails_ms(spec=spec) == {"a": 1500, "b": 3000, "c": 500}
    assert aim_ms(tails=tails_ms(spec=spec), row=ROW) == 1.5 * 3000 + 600
    assert aim_ms(tails={"a": 1}, row={}) == 0
    record = record_with_job(steps=[WIDE], rows={"q": ROW})
    job_aims = aims(record)
    standings = [
        job_aims.standing(job=record.jobs["j"], step="0.0", now=1000 + ms) for ms in (0, 900, 901, 3900, 3901)
    ]
    assert standings == [IN_AIM, IN_AIM, LATE, LATE, TOO_LATE]


def test_a_chain_of_hundreds_of_steps_is_added_up():
    names = [f"s{n}" for n in range(constants.CHAIN_STEPS_MAX + 5)]
    steps = [step(name, estimateMs=10, after=[earlier]) for name, earlier in zip(names[1:], names)]
    spec, _ = check_job({"lane": "q", "steps": [step(names[0], estimateMs=10), *steps]})
    assert tails_ms(spec=spec)[names[0]] == 10 * len(names)


def two_queues(workers=10):
    record = record_with_job(steps=[step()], workers=workers, rows={"u": URGENT, "q": ROW})
    spec = check_job({"lane": "q", "steps": [step(tasks=workers * 8)]})
    record.do(["job", "many", *spec])
    return record


def test_less_urgent_work_leaves_the_room_that_urgent_work_used_at_its_peak():
    record = two_queues()
    peak = {"u": [4000, 0, 0]}
    assert len(Round(rec=record, now=1100, most=99, peak_use=peak).run()) == 76
    assert (
        len(Round(rec=record, now=1100, most=99, peak_use=peak, policy=read_policy(off="headroom")).run())
        == 80
    )


def test_headroom_is_a_part_of_the_room_at_most_and_never_kept_from_the_urgent():
    record = two_queues()
    peak = {"u": [80_000, 0, 0]}
    assert (
        len(Round(rec=record, now=1100, most=99, peak_use=peak).run())
        == 80 - 80 * constants.HEADROOM_FRACTION
    )
    record.do(["job", "now", *check_job({"lane": "u", "steps": [step(tasks=8)]})])
    starts = Round(rec=record, now=1100, most=99, peak_use=peak).run()
    assert sum(task.startswith("now/") for task, _ in starts) == 8


def test_use_is_remembered_for_a_while_only():
    class Place(PlacementMixin):
        """The placement of a scheduler over a record with two queues."""

        record = two_queues()

    place = Place()
    place.open_use()
    place.record.used_by_queue = {"u": [5000, 0, 0]}
    place.note_use(ms=1000)
    place.record.used_by_queue = {"u": [1000, 0, 0]}
    for n in range(1, constants.USAGE_SAMPLES_KEPT + 1):
        assert place.peaks()["u"] == [5000, 0, 0]
        place.note_use(ms=1000 + n * constants.USAGE_SAMPLE_PERIOD_MS)
    assert place.peaks()["u"] == [1000, 0, 0]


def starts_beside_gang(*, wanted, usual, urgency=5):
    """The starts of a short task while two workers are held back for a gang that needs them in `wanted`
    ms."""
    rows = {"q": ROW, "s": ROW | {"urgency": urgency}}
    record = record_with_job(steps=[gang()], workers=2, rows=rows)
    busy(record, "w0")
    record.do(["job", "short", *check_job({"lane": "s", "steps": [step()]})])
    step_key = ("j", "0.0")
    now = 1000 + 1200
    placement_round = Round(
        rec=record,
        now=now,
        most=9,
        kept={"w0": step_key, "w1": step_key},
        kept_until={step_key: now + wanted},
        usual={"s": usual},
    )
    return [task for task, _ in placement_round.run() if task.startswith("short")]


def test_a_held_worker_is_lent_to_what_ends_before_it_is_wanted():
    assert starts_beside_gang(wanted=2000, usual=1000) and not starts_beside_gang(wanted=1400, usual=1000)


def test_what_is_more_urgent_needs_no_margin_but_does_not_put_the_gang_off_for_good():
    assert starts_beside_gang(wanted=1400, usual=1000, urgency=9) and not starts_beside_gang(
        wanted=900, usual=1000, urgency=9
    )


def test_when_a_gang_would_have_had_its_room_is_forgotten_with_it():
    record = record_with_job(steps=[gang()], workers=2)
    until = {("gone", "0.0"): 9000, ("j", "0.0"): 9000}
    Round(rec=record, now=1100, most=9, kept_until=until).run()
    assert list(until) == [("j", "0.0")]


def test_aims_are_remembered_for_so_many_jobs_only(monkeypatch):
    monkeypatch.setattr(constants, "TARGET_TIMES_CACHED_MAX", 1)
    record = queue_of_three()
    job_aims = aims(record)
    for name in ("j", "b", "c"):
        job_aims.of(record.jobs[name])
    assert len(job_aims.known) == 1
