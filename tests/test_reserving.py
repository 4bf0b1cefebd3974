"""The plan of which workers serve the reservations, on the scheduler's own placement over a record: the
mapping stays and lost room is mapped again, gangs and urgent work leave reserved room free, owners get it
whatever else waits, and lent room is given back at the least loss."""

from types import SimpleNamespace

import pytest
from test_reservations_record import T, record_with_workers, reserve

from hollowhall.desk.pace import ProgressMixin
from hollowhall.desk.placing import PlacementMixin
from hollowhall.record.charter import check_job

ROWS = {a: {"weight": 1.0, "limit": 0, "urgency": u} for a, u in (("a", 3), ("b", 5), ("hot", 9))}


class Primary(PlacementMixin, ProgressMixin):
    """Only the placement of a scheduler: `run_round` applies what a round decides at a time."""

    def __init__(self, **kw):
        self.record, self.said = record_with_workers(**kw), []
        self.record.charter = {"version": 2, "rows": ROWS, "at": 0}
        self.settings, self.slow, self.usual_ms_by_lane = SimpleNamespace(far_times=2), {}, {}
        self.sessions, self.work = {}, SimpleNamespace(set=lambda: None)
        self.runtime = SimpleNamespace(now=lambda: 0.0, spend=lambda s: 0.0)
        self.open_place()

    def clock_ms(self):
        return self.ms

    def say(self, event, **fields):
        self.said.append((event.number, fields))

    def job(self, name, lane, tasks=1, *, gpus=1, **kw):
        job = {key: kw.pop(key) for key in ("standing",) if key in kw}
        spec, digest = check_job(
            {
                "lane": lane,
                **job,
                "steps": [
                    {"name": "s", "kind": "k", "tasks": tasks, "room": {"cores": 1, "gpus": gpus}, **kw}
                ],
            }
        )
        assert self.record.do(["job", name, spec, digest], ms=self.ms - T)[0][0] == "new"

    def run_round(self, ms):
        """Runs a round at T + ms: ({job: tasks started}, [job of each stopped attempt])."""
        self.ms = T + ms
        events = self.place_tasks(most=400)
        results, starts, stops = self.record.do(*events, ms=ms), {}, []
        for event, result in zip(events, results):
            assert result[0] in ("ok", "late"), (event, result)
            if event[0] == "stop":
                attempt = self.record.attempts[event[1]]
                stops.append(attempt.job)
            else:
                count = len(event[3]) if event[0] == "gang" else 1
                job = event[1].split("/")[0]
                starts[job] = starts.get(job, 0) + count
        return starts, stops

    def end_stopped(self, ms):
        """Ends the attempts that the workers were told to stop."""
        for attempt in [attempt for attempt in self.record.attempts.values() if attempt.stop]:
            self.record.do(["end", attempt.run, "stopped", ""], ms=ms)

    def used(self):
        return sum(worker.used[2] for worker in self.record.workers.values())


@pytest.fixture
def primary():
    """Four workers of 8 accelerators, of which 16 are reserved for queue a from T + 10 s to T + 20 s."""
    primary = Primary()
    primary.ms = T
    assert reserve(primary.record, "x", count=16)[0] == "new"
    return primary


def test_before_the_window_room_goes_to_what_ends_in_time_or_can_be_given_back(primary):
    primary.job("unknown", "b", 40)
    assert primary.run_round(0)[0] == {"unknown": 16}
    primary.job("short", "b", 6, estimateMs=4000)
    primary.job("long", "b", 6, estimateMs=5000)
    primary.job("bound", "b", 2, runMs=8000)
    primary.job("saved", "b", 4, saves=True, estimateMs=60_000)
    primary.job("ever", "b", 4, saves=True, forever=True)
    assert primary.run_round(10)[0] == {"short": 6, "bound": 2, "saved": 4}


def test_a_step_that_only_reservations_hold_back_says_so(primary):
    reserve(primary.record, "all", 100, count=16)
    primary.job("b", "b")
    assert primary.run_round(0) == ({}, []) and primary.wait_reason(("b", "s")) == "reserved"


def test_in_the_window_owners_have_it_whatever_waits_and_no_one_else(primary):
    primary.job("hot", "hot", 40, estimateMs=900)
    primary.job("mine", "a", 30)
    starts, _ = primary.run_round(10_000)
    assert starts == {"hot": 16, "mine": 16} and primary.used() == 32
    # urgent work stops no attempt of the owners, with checkpoints or without
    assert primary.run_round(10_400) == ({}, [])


def test_what_the_owners_do_not_want_is_lent_and_given_back_at_once(primary):
    primary.job("saved", "b", 40, saves=True)
    assert primary.run_round(10_100)[0] == {"saved": 32}
    primary.job("mine", "a", 6)
    starts, stops = primary.run_round(10_200)
    assert starts == {} and stops == ["saved"] * 6
    primary.end_stopped(10_300)
    assert primary.run_round(10_400) == ({"mine": 6}, [])
    assert primary.record.jobs["saved"].tasks["saved/s/0"].fails == 0


def test_what_cannot_be_given_back_is_stopped_last_and_a_moment_into_the_window():
    primary = Primary()
    primary.ms = T
    primary.job("fixed", "b", 24)
    primary.job("saved", "b", 8, saves=True)
    assert sum(primary.run_round(0)[0].values()) == 32  # before anything was reserved
    reserve(primary.record, "x", count=16)
    primary.job("mine", "a", 16)
    assert primary.run_round(7_900) == ({}, [])
    assert set(primary.run_round(8_100)[1]) == {"saved"}
    primary.end_stopped(8_200)
    started = primary.run_round(10_000)[0].get("mine", 0)
    assert started == 8 and primary.run_round(10_900)[1] == []
    for n in range(3):
        primary.run_round(11_100 + 200 * n)
        primary.end_stopped(11_200 + 200 * n)
    assert sum(attempt.lane == "a" for attempt in primary.record.attempts.values()) == 16


def test_gangs_keep_off_and_owners_gangs_start(primary):
    primary.job("gang", "b", 20, gang=True)
    primary.job("other", "b", 16, gang=True)
    assert primary.run_round(10_000)[0] == {"other": 16}
    primary.job("mine", "a", 12, gang=True)
    assert primary.run_round(10_100)[0] == {"mine": 12}


def test_a_gang_that_borrowed_is_stopped_whole():
    primary = Primary()
    primary.ms = T
    primary.job("gang", "b", 32, gang=True)
    assert primary.run_round(0)[0] == {"gang": 32}
    reserve(primary.record, "x", count=16)
    primary.job("mine", "a", 1)
    assert primary.run_round(10_500)[1] == [] and primary.run_round(11_100)[1] == ["gang"] * 32


def test_a_worker_kept_for_a_large_task_still_serves_owners(primary):
    primary.kept = {worker_id: ("large", "s") for worker_id in primary.record.workers}
    primary.job("large", "b", 1, gpus=8)
    primary.job("mine", "a", 16)
    assert primary.run_round(10_000)[0]["mine"] == 16


def test_a_copy_keeps_off(primary):
    primary.job("c", "b", 16, copies=True)
    primary.run_round(10_000)
    attempt = next(iter(primary.record.attempts.values()))
    workers, step = list(primary.record.workers.values()), primary.record.jobs["c"].steps["s"]
    assert not primary.copy(attempt=attempt, step=step, workers=workers, ms=T + 10_000) and primary.run_round(
        20_000
    ) == ({}, [])
    primary.queue_event = lambda event: primary.said.append(event)
    assert primary.copy(attempt=attempt, step=step, workers=workers, ms=T + 20_000)


def test_the_plan_stays_and_what_is_lost_is_mapped_anew_the_first_confirmed_first(primary):
    reserve(primary.record, "y", 100, count=8, fromMs=T + 5_000)
    primary.run_round(0)
    assigned = {name: dict(workers) for name, workers in primary.reserving.assigned.items()}
    assert {name: sum(workers.values()) for name, workers in assigned.items()} == {"x": 16, "y": 8}
    primary.run_round(300)
    assert primary.reserving.assigned == assigned
    gone = sorted(assigned["x"])[0]
    primary.record.do(["leave", gone, "1"])
    primary.run_round(600)
    remapped = primary.reserving.assigned
    assert (
        gone not in remapped["x"] and sum(remapped["x"].values()) == 16 and sum(remapped["y"].values()) == 8
    )
    primary.record.do(["evacuate", "z1", True])
    primary.run_round(900)
    assert sum(primary.reserving.assigned["x"].values()) == 8 and primary.reserving.assigned["y"] == {}
    assert [(no, fields["missing"]) for no, fields in primary.said] == [(420, 8), (420, 8)]
    primary.record.do(["evacuate", "z1", False])
    primary.run_round(1_200)
    assert [no for no, _ in primary.said[2:]] == [421, 421]


def test_owners_elsewhere_count_and_more_than_the_count_is_not_kept(primary):
    primary.job("mine", "a", 12)
    assert primary.run_round(9_000)[0] == {"mine": 12}  # before the window, on any worker with room
    primary.job("hot", "hot", 40, estimateMs=100_000)
    primary.run_round(10_000)
    assert (
        primary.used() == 28
        and sum(attempt.lane == "hot" for attempt in primary.record.attempts.values()) == 16
    )


def test_windows_that_follow_each_other_share_workers(primary):
    reserve(primary.record, "y", count=16, fromMs=T + 20_000, untilMs=T + 30_000, lanes=["b"])
    primary.job("hot", "hot", 40)
    assert primary.run_round(0)[0] == {"hot": 16}
    primary.job("mine", "b", 16, estimateMs=1000)
    assert primary.run_round(18_400)[0] == {}
    assert primary.run_round(20_000)[0] == {"mine": 16}


def test_owners_of_a_little_keep_that_and_give_back_what_is_more():
    primary = Primary()
    primary.ms = T
    primary.job("other", "b", 32)
    primary.run_round(0)
    reserve(primary.record, "y", count=2, lanes=["b"], fromMs=T + 5_000)
    reserve(primary.record, "x", count=14)
    primary.job("mine", "a", 16)
    for n in range(12):
        primary.run_round(11_100 + 200 * n)
        primary.end_stopped(11_200 + 200 * n)
    lanes = [attempt.lane for attempt in primary.record.attempts.values()]
    assert (lanes.count("a"), lanes.count("b")) == (14, 18)


def test_two_reservations_of_one_lane_are_counted_once_each():
    primary = Primary()
    primary.ms = T
    reserve(primary.record, "x", count=8)
    reserve(primary.record, "y", count=8)
    primary.job("mine", "a", 8)
    primary.job("hot", "hot", 40, estimateMs=900)
    assert primary.run_round(10_000)[0] == {"hot": 16, "mine": 8}
    primary.job("more", "a", 9)
    assert primary.run_round(10_300)[0] == {"more": 8}


def test_owners_work_without_accelerators_takes_nothing_of_what_is_kept(primary):
    primary.job("plain", "a", 32, gpus=0)
    assert primary.run_round(9_500)[0] == {"plain": 32}
    primary.job("hot", "hot", 40)
    assert primary.run_round(10_000)[0] == {"hot": 16}
