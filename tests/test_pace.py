"""What the scheduler learns from workers' reports: ends are acknowledged once recorded, checkpoints are kept,
workers are set aside by the progress of their attempts, room is made for urgent work, gangs are placed in
racks."""

from types import SimpleNamespace as Bag

import pytest
from test_level_two import ROW, record_with_job, runs, step

from hollowhall.base import constants
from hollowhall.desk.leaving import LeavingMixin
from hollowhall.desk.pace import ProgressMixin
from hollowhall.desk.place import Round
from hollowhall.desk.placing import PlacementMixin
from hollowhall.desk.reports import ReportsMixin
from hollowhall.desk.worker_session import WorkerSession
from hollowhall.record.charter import check_job


class Desk(LeavingMixin, ReportsMixin, ProgressMixin, PlacementMixin):
    """The placement and progress code of a scheduler over a record, with a clock of its own (`t`, in s)."""

    def __init__(self, record):
        self.record, self.now_s, self.said, self.events, self.sessions = record, 1.0, [], [], {}
        self.settings = Bag(far_times=3.0, hold_ms=3600)
        self.runtime, self.work = Bag(now=lambda: self.now_s, spend=lambda s: 0.0), Bag(set=lambda: None)
        self.epoch = 4
        self.open_pace()
        self.open_place()

    def say(self, event, **fields):
        self.said.append((event.number, fields))

    def queue_event(self, *, event, callback=None, size=64):
        self.events.append(event)

    def lease_s(self):
        return 3.8

    def clock_ms(self):
        return int(self.now_s * 1000)

    def report(self, worker_id, named=(), ends=(), **more):
        session = self.sessions.setdefault(
            worker_id, WorkerSession(boot="1", names_attempts=True, since=-9.0)
        )
        session.until, session.last_beat_at, session.seq = (
            self.now_s + self.lease_s(),
            self.now_s,
            session.seq + 1,
        )
        return self.read_report(
            request={"boot": "1", "named": named, "ends": ends, **more},
            session=session,
            worker=self.record.workers.get(worker_id),
        )


def test_an_end_is_acknowledged_once_it_is_recorded_or_void():
    desk = Desk(record_with_job(steps=[step(tasks=2, maxFailures=9)]))
    desk.record.do(["grant", "j/0.0/0", "w0"], ["grant", "j/0.0/1", "w0"])
    first_run, second_run = runs(desk.record)
    ends = desk.report(
        "w0",
        ends=[(3, "j/0.0/1", 1, "ok", ""), (2, "j/0.0/0", 1, "bad", "cp"), (1, "j/9.9/0", 4, "lost", "")],
    )
    assert ends == [[first_run, "bad", "bad", "cp"], [second_run, "ok", "ok", ""]]
    session = desk.sessions["w0"]
    assert desk.acknowledged_up_to(session) == 1
    desk.record.do(["end", *ends[1]])
    assert (
        desk.acknowledged_up_to(session) == 1
    )  # the second end is not recorded yet, so the third is not acknowledged
    desk.record.do(["end", *ends[0]])
    assert desk.acknowledged_up_to(session) == 3 and desk.record.jobs["j"].tasks["j/0.0/0"].saved == "cp"


def test_what_the_record_does_not_know_is_stopped_and_checkpoints_stay():
    desk = Desk(record_with_job(steps=[step(saves=True)]))
    desk.record.do(["grant", "j/0.0/0", "w0"])
    (run,) = runs(desk.record)
    desk.report("w0", named=[("j/0.0/0", 1, "cp1", 10), ("j/0.0/0", 7, "", 1)])
    session = desk.sessions["w0"]
    answer = desk.named_answer(worker=desk.record.workers["w0"], session=session, starts=[], stops=[])
    assert answer["stops"] == [["j/0.0/0", 7]] and answer["holdMs"] == 3600 and session.running == {run}
    desk.report("w0", named=[("j/0.0/0", 1, "", 12)])
    assert session.saved == {run: "cp1"}
    assert "holdMs" not in desk.named_answer(worker=None, session=session, starts=[], stops=[])


def test_an_attempt_that_never_began_ends_only_when_it_cannot_begin_any_more():
    desk = Desk(record_with_job(steps=[step()]))
    desk.record.do(["grant", "j/0.0/0", "w0"])
    (run,) = runs(desk.record)
    desk.report("w0")
    session, worker = desk.sessions["w0"], desk.record.workers["w0"]
    desk.named_answer(worker=worker, session=session, starts=[run], stops=[])
    desk.record.do(["cancel", "j"])
    desk.now_s += 5.0
    # silent since then: it may be partitioned and running
    assert desk.never_began(session=session, worker=worker) == []
    desk.now_s = 2.2
    desk.report("w0")
    assert desk.never_began(session=session, worker=worker) == []  # the order to start may still be in flight
    desk.now_s += 0.2
    desk.report("w0")
    assert desk.never_began(session=session, worker=worker) == [run]
    session.since = desk.now_s
    # a new primary does not know which starts were sent
    assert desk.never_began(session=session, worker=worker) == []


def busy(workers=3, tasks=6, **kw):
    """A scheduler whose workers run an equal part of one step's tasks each."""
    desk = Desk(record_with_job(steps=[step(tasks=tasks, maxFailures=9, **kw)], workers=workers))
    for i in range(tasks):
        desk.record.do(["grant", f"j/0.0/{i}", f"w{i % workers}"])
    return desk


def pass_time(desk, rates, *, to, begin=0):
    """Sends reports every 0.25 s; rates: progress of each worker's attempts in percent per second."""
    while desk.now_s < to:
        for worker_id, worker in desk.record.workers.items():
            percent = int(begin + rates[worker_id] * (desk.now_s - 1.0))
            desk.report(
                worker_id,
                named=[(attempt.task, attempt.no, "", min(99, percent)) for attempt in worker.runs.values()],
            )
        desk.judge_progress(now=desk.now_s, ms=desk.clock_ms())
        desk.now_s += 0.25


def test_a_slow_worker_is_set_aside_and_its_work_begun_elsewhere():
    desk = busy()
    pass_time(desk, {"w0": 30, "w1": 30, "w2": 4}, to=3.0)
    assert list(desk.slow) == ["w2"] and desk.said[0][0] == 419
    assert {event[0] for event in desk.events} == {"stop"}
    assert {desk.record.attempts[event[1]].worker for event in desk.events} == {"w2"}
    desk.now_s += constants.SLOW_WORKER_ASIDE_S
    desk.sessions.clear()
    desk.judge_progress(now=desk.now_s, ms=desk.clock_ms())
    assert not desk.slow  # no more evidence against it: it is tried again


@pytest.mark.parametrize(
    "rates, begin", [({"w0": 30, "w1": 26, "w2": 17}, 0), ({"w0": 30, "w1": 30, "w2": 30}, 50)]
)
def test_workers_that_differ_a_little_and_attempts_that_resume_are_left_alone(rates, begin):
    desk = busy()
    pass_time(desk, rates, to=2.5, begin=begin)
    assert not desk.slow and not desk.events


def test_standing_still_is_seen_and_a_copy_made_where_allowed():
    desk = busy(copies=True)
    pass_time(desk, {"w0": 30, "w1": 30, "w2": 30}, to=1.8)
    stalled = {"w2": 24}
    for _ in range(6):
        for worker_id, worker in desk.record.workers.items():
            percent = stalled.get(worker_id, int(30 * (desk.now_s - 1)))
            desk.report(
                worker_id, named=[(attempt.task, attempt.no, "", percent) for attempt in worker.runs.values()]
            )
        desk.judge_progress(now=desk.now_s, ms=desk.clock_ms())
        desk.now_s += 0.25
    assert list(desk.slow) == ["w2"]
    assert {event[0] for event in desk.events} == {"copy"} and all(event[2] != "w2" for event in desk.events)


def test_no_more_than_a_part_is_set_aside():
    desk = busy(workers=6, tasks=12)
    pass_time(desk, {f"w{i}": 30 if i < 3 else 3 for i in range(6)}, to=3.0)
    assert 1 <= len(desk.slow) <= 6 * constants.ASIDE_MAX_FRACTION + 1


def urgent(*, saves=True, **kw):
    """Less urgent work fills all workers; then an urgent task arrives."""
    desk = Desk(
        record_with_job(
            steps=[step(tasks=24, saves=saves)], workers=3, rows={"q": ROW, "hot": ROW | {"urgency": 9}}
        )
    )
    for i in range(24):
        assert desk.record.do(["grant", f"j/0.0/{i}", f"w{i % 3}"])[0][0] == "ok"
    spec, digest = check_job({"lane": "hot", "steps": [step(room={"cores": 2000}, **kw)]})
    desk.record.do(["job", "h", spec, digest], ms=1000)
    return desk


def placement_events(desk, ms):
    desk.now_s = (ms + 1000) / 1000
    return desk.place_tasks(most=100)


def test_less_urgent_work_makes_room_once_and_no_more_than_is_needed():
    desk = urgent()
    assert placement_events(desk, 1100) == []
    out = placement_events(desk, 1400)
    assert [event[0] for event in out] == ["stop", "stop"]
    assert len({desk.record.attempts[event[1]].worker for event in out}) == 1
    assert placement_events(desk, 1500) == []  # the stopped attempts have not ended yet: no more are stopped
    desk.record.do(*out, ms=1500)
    desk.record.do(*[["end", event[1], "stopped", "", "cp"] for event in out], ms=1500)
    assert placement_events(desk, 1600)[0][:2] == ["grant", "h/0.0/0"]


@pytest.mark.parametrize("kw", [{"saves": False}, {"label": "nobody"}])
def test_nothing_is_stopped_that_would_lose_much_or_for_what_cannot_run(kw):
    desk = urgent(**kw)
    assert placement_events(desk, 1500) == []


def gang(tight, near_full, estimate=1000):
    """Four workers in two racks, and a gang of four that fits into one empty rack. near_full: one worker of
    each rack is full."""
    record = record_with_job(
        steps=[step(tasks=4, gang=True, tight=tight, estimateMs=estimate, room={"cores": 4000})], workers=4
    )
    if near_full:
        spec, digest = check_job({"lane": "q", "steps": [step(tasks=2, room={"cores": 8000})]})
        record.do(["job", "f", spec, digest], ["grant", "f/0.0/0", "w0"], ["grant", "f/0.0/1", "w1"])
    return record


def round_of(record, ms):
    placement_round = Round(rec=record, now=1000 + ms, most=100, far=3)
    placement_round.run()
    return placement_round


def test_a_gang_goes_into_one_rack_and_waits_for_one_for_a_while():
    racks = lambda record, done: {record.workers[i].rack for i in done.gangs[0][2]}  # noqa: E731
    record = gang(True, False)
    assert len(racks(record, round_of(record, 10))) == 1
    record = gang(True, True)
    assert round_of(record, 10).gangs == []
    assert (
        len(racks(record, round_of(record, 10 + int(constants.REMOTE_COST_WAIT_FRACTION * 2 * 1000) + 10)))
        == 2
    )
    record = gang(False, True)
    assert len(racks(record, round_of(record, 10))) == 2


def test_a_gang_that_no_fleet_could_hold_says_so_and_keeps_nobody():
    record = record_with_job(steps=[step(tasks=9, gang=True, room={"cores": 4000})], workers=4)
    placement_round = round_of(record, 9000)
    assert (
        placement_round.gangs == []
        and placement_round.wait_reason_of(("j", "0.0")) == "never"
        and not placement_round.kept
    )


def test_a_task_waits_for_its_rack_as_long_as_running_far_away_would_cost():
    record = record_with_job(steps=[step(near="r1", room={"cores": 8000})], workers=2)
    spec, digest = check_job({"lane": "q", "steps": [step(room={"cores": 8000})]})
    record.do(["job", "f", spec, digest], ["grant", "f/0.0/0", "w1"])
    usual = {"q": 1000}
    for ms, starts in ((100, 0), (1500, 0), (1700, 1)):
        placement_round = Round(rec=record, now=1000 + ms, most=9, far=3, usual=usual)
        assert len(placement_round.run()) == starts
