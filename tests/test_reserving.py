"""The plan of who serves the reservations, on the desk's own placement over a record: it
stays and is mapped anew, gangs and urgent work keep off what is reserved, owners have it
whatever waits, and what was lent is given back at the least loss."""

from types import SimpleNamespace

import pytest
from test_reservations_record import T, made, reserve

from hollowhall.desk.pace import PaceMixin
from hollowhall.desk.placing import PlaceMixin
from hollowhall.record.charter import check_job

ROWS = {a: {"weight": 1.0, "limit": 0, "urgency": u} for a, u in (("a", 3), ("b", 5), ("hot", 9))}


class Primary(PlaceMixin, PaceMixin):
    """A desk's placement alone: `turn` does what it decides at a moment."""

    def __init__(self, **kw):
        self.record, self.said = made(**kw), []
        self.record.charter = {"version": 2, "rows": ROWS, "at": 0}
        self.params, self.slow, self.lane_ms = SimpleNamespace(far_times=2), {}, {}
        self.sessions, self.work = {}, SimpleNamespace(set=lambda: None)
        self.seam = SimpleNamespace(now=lambda: 0.0, spend=lambda s: 0.0)
        self.open_place()

    def clock_ms(self):
        return self.ms

    def say(self, e, **f):
        self.said.append((e.no, f))

    def job(self, name, lane, tasks=1, *, gpus=1, **kw):
        job = {x: kw.pop(x) for x in ("standing",) if x in kw}
        spec, dg = check_job(
            {
                "lane": lane,
                **job,
                "steps": [
                    {"name": "s", "kind": "k", "tasks": tasks, "room": {"cores": 1, "gpus": gpus}, **kw}
                ],
            }
        )
        assert self.record.do(["job", name, spec, dg], ms=self.ms - T)[0][0] == "new"

    def turn(self, ms):
        """What starts and what is stopped at T + ms: ({job: how many}, [stopped jobs])."""
        self.ms = T + ms
        evs = self.place_all(most=400)
        out, starts, stops = self.record.do(*evs, ms=ms), {}, []
        for ev, r in zip(evs, out):
            assert r[0] in ("ok", "late"), (ev, r)
            if ev[0] == "stop":
                g = self.record.legs[ev[1]]
                stops.append(g.job)
            else:
                n = len(ev[3]) if ev[0] == "gang" else 1
                j = ev[1].split("/")[0]
                starts[j] = starts.get(j, 0) + n
        return starts, stops

    def stopped(self, ms):
        """The workers have carried out what they were told."""
        for g in [g for g in self.record.legs.values() if g.stop]:
            self.record.do(["end", g.run, "stopped", ""], ms=ms)

    def used(self):
        return sum(w.used[2] for w in self.record.workers.values())


@pytest.fixture
def p():
    """Four workers of 8, of which 16 are reserved for lane a from T + 10 s to T + 20 s."""
    p = Primary()
    p.ms = T
    assert reserve(p.record, "x", count=16)[0] == "new"
    return p


def test_before_the_window_room_goes_to_what_ends_in_time_or_can_be_given_back(p):
    p.job("unknown", "b", 40)
    assert p.turn(0)[0] == {"unknown": 16}
    p.job("short", "b", 6, estimateMs=4000)
    p.job("long", "b", 6, estimateMs=5000)
    p.job("bound", "b", 2, runMs=8000)
    p.job("saved", "b", 4, saves=True, estimateMs=60_000)
    p.job("ever", "b", 4, saves=True, forever=True)
    assert p.turn(10)[0] == {"short": 6, "bound": 2, "saved": 4}


def test_a_step_that_only_reservations_hold_back_says_so(p):
    reserve(p.record, "all", 100, count=16)
    p.job("b", "b")
    assert p.turn(0) == ({}, []) and p.why_waits(("b", "s")) == "reserved"


def test_in_the_window_owners_have_it_whatever_waits_and_no_one_else(p):
    p.job("hot", "hot", 40, estimateMs=900)
    p.job("mine", "a", 30)
    starts, _ = p.turn(10_000)
    assert starts == {"hot": 16, "mine": 16} and p.used() == 32
    assert p.turn(10_400) == ({}, [])  # urgent work stops no owner, saved or not


def test_what_the_owners_do_not_want_is_lent_and_given_back_at_once(p):
    p.job("saved", "b", 40, saves=True)
    assert p.turn(10_100)[0] == {"saved": 32}
    p.job("mine", "a", 6)
    starts, stops = p.turn(10_200)
    assert starts == {} and stops == ["saved"] * 6
    p.stopped(10_300)
    assert p.turn(10_400) == ({"mine": 6}, [])
    assert p.record.jobs["saved"].tasks["saved/s/0"].fails == 0


def test_what_cannot_be_given_back_is_stopped_last_and_a_moment_into_the_window():
    p = Primary()
    p.ms = T
    p.job("fixed", "b", 24)
    p.job("saved", "b", 8, saves=True)
    assert sum(p.turn(0)[0].values()) == 32  # before anything was reserved
    reserve(p.record, "x", count=16)
    p.job("mine", "a", 16)
    assert p.turn(7_900) == ({}, [])
    assert set(p.turn(8_100)[1]) == {"saved"}
    p.stopped(8_200)
    n = p.turn(10_000)[0].get("mine", 0)
    assert n == 8 and p.turn(10_900)[1] == []
    for k in range(3):
        p.turn(11_100 + 200 * k)
        p.stopped(11_200 + 200 * k)
    assert sum(g.lane == "a" for g in p.record.legs.values()) == 16


def test_gangs_keep_off_and_owners_gangs_start(p):
    p.job("gang", "b", 20, gang=True)
    p.job("other", "b", 16, gang=True)
    assert p.turn(10_000)[0] == {"other": 16}
    p.job("mine", "a", 12, gang=True)
    assert p.turn(10_100)[0] == {"mine": 12}


def test_a_gang_that_borrowed_is_stopped_whole():
    p = Primary()
    p.ms = T
    p.job("gang", "b", 32, gang=True)
    assert p.turn(0)[0] == {"gang": 32}
    reserve(p.record, "x", count=16)
    p.job("mine", "a", 1)
    assert p.turn(10_500)[1] == [] and p.turn(11_100)[1] == ["gang"] * 32


def test_a_worker_kept_for_a_large_task_still_serves_owners(p):
    p.kept = {i: ("large", "s") for i in p.record.workers}
    p.job("large", "b", 1, gpus=8)
    p.job("mine", "a", 16)
    assert p.turn(10_000)[0]["mine"] == 16


def test_a_copy_keeps_off(p):
    p.job("c", "b", 16, copies=True)
    p.turn(10_000)
    g = next(iter(p.record.legs.values()))
    ws, s = list(p.record.workers.values()), p.record.jobs["c"].steps["s"]
    assert not p.copy(attempt=g, step=s, workers=ws, ms=T + 10_000) and p.turn(20_000) == ({}, [])
    p.hold_event = lambda event: p.said.append(event)
    assert p.copy(attempt=g, step=s, workers=ws, ms=T + 20_000)


def test_the_plan_stays_and_what_is_lost_is_mapped_anew_the_first_confirmed_first(p):
    reserve(p.record, "y", 100, count=8, fromMs=T + 5_000)
    p.turn(0)
    at = {i: dict(x) for i, x in p.reserving.assigned.items()}
    assert {i: sum(x.values()) for i, x in at.items()} == {"x": 16, "y": 8}
    p.turn(300)
    assert p.reserving.assigned == at
    gone = sorted(at["x"])[0]
    p.record.do(["leave", gone, "1"])
    p.turn(600)
    new = p.reserving.assigned
    assert gone not in new["x"] and sum(new["x"].values()) == 16 and sum(new["y"].values()) == 8
    p.record.do(["evacuate", "z1", True])
    p.turn(900)
    assert sum(p.reserving.assigned["x"].values()) == 8 and p.reserving.assigned["y"] == {}
    assert [(no, f["missing"]) for no, f in p.said] == [(420, 8), (420, 8)]
    p.record.do(["evacuate", "z1", False])
    p.turn(1_200)
    assert [no for no, _ in p.said[2:]] == [421, 421]


def test_owners_elsewhere_count_and_more_than_the_count_is_not_kept(p):
    p.job("mine", "a", 12)
    assert p.turn(9_000)[0] == {"mine": 12}  # before the window, wherever there is room
    p.job("hot", "hot", 40, estimateMs=100_000)
    p.turn(10_000)
    assert p.used() == 28 and sum(g.lane == "hot" for g in p.record.legs.values()) == 16


def test_windows_that_follow_each_other_share_workers(p):
    reserve(p.record, "y", count=16, fromMs=T + 20_000, untilMs=T + 30_000, lanes=["b"])
    p.job("hot", "hot", 40)
    assert p.turn(0)[0] == {"hot": 16}
    p.job("mine", "b", 16, estimateMs=1000)
    assert p.turn(18_400)[0] == {}
    assert p.turn(20_000)[0] == {"mine": 16}


def test_owners_of_a_little_keep_that_and_give_back_what_is_more():
    p = Primary()
    p.ms = T
    p.job("other", "b", 32)
    p.turn(0)
    reserve(p.record, "y", count=2, lanes=["b"], fromMs=T + 5_000)
    reserve(p.record, "x", count=14)
    p.job("mine", "a", 16)
    for k in range(12):
        p.turn(11_100 + 200 * k)
        p.stopped(11_200 + 200 * k)
    lanes = [g.lane for g in p.record.legs.values()]
    assert (lanes.count("a"), lanes.count("b")) == (14, 18)


def test_two_reservations_of_one_lane_are_counted_once_each():
    p = Primary()
    p.ms = T
    reserve(p.record, "x", count=8)
    reserve(p.record, "y", count=8)
    p.job("mine", "a", 8)
    p.job("hot", "hot", 40, estimateMs=900)
    assert p.turn(10_000)[0] == {"hot": 16, "mine": 8}
    p.job("more", "a", 9)
    assert p.turn(10_300)[0] == {"more": 8}


def test_owners_work_without_accelerators_takes_nothing_of_what_is_kept(p):
    p.job("plain", "a", 32, gpus=0)
    assert p.turn(9_500)[0] == {"plain": 32}
    p.job("hot", "hot", 40)
    assert p.turn(10_000)[0] == {"hot": 16}
