"""Placement, on the desk's own code: urgency, weighted shares, room kept for a large
task, impossible work that blocks nobody, retries elsewhere, workers on probation."""

import asyncio

import pytest

from hollowhall.base import constants
from hollowhall.desk.place import Round
from hollowhall.record import Record
from hollowhall.record.charter import check_job
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES

ROWS = {
    "a": {"weight": 3.0, "limit": 0, "urgency": 1},
    "b": {"weight": 1.0, "limit": 0, "urgency": 1},
    "hot": {"weight": 1.0, "limit": 0, "urgency": 9},
}


class Table:
    """A record with workers of eight cores, and jobs on it."""

    def __init__(self, workers=4, rows=ROWS):
        self.rec, self.st, self.kept = Record(), 1000 << constants.LOGICAL_BITS, {}
        self.rec.charter = {"version": 2, "rows": rows, "at": 0}
        for i in range(workers):
            self.rec.ev_worker(self.tick(), f"w{i}", "b", "tile", "z1", f"r{i % 2}", [8, 0, 0])

    def tick(self, ms=0):
        self.st += 1 + (ms << constants.LOGICAL_BITS)
        return self.st

    def job(self, name, lane="a", tasks=1, cores=1, **kw):
        spec, dg = check_job(
            {
                "lane": lane,
                "steps": [{"name": "s", "kind": "tile", "tasks": tasks, "room": {"cores": cores}, **kw}],
            }
        )
        self.rec.ev_job(self.tick(), name, spec, dg)

    def turn(self, most=400):
        r = Round(rec=self.rec, now=self.st >> constants.LOGICAL_BITS, most=most, kept=self.kept)
        out = r.run()
        runs = {}
        for t, w in out:
            res = self.rec.ev_grant(self.tick(), t, w)
            assert res[0] == "ok", res
            runs[t] = res[1]
        return r, runs

    def end(self, run, how="ok"):
        self.rec.ev_end(self.tick(), run, how, "")


def lanes_of(t, runs):
    out = {}
    for i in runs:
        lane = t.rec.jobs[i.split("/")[0]].lane
        out[lane] = out.get(lane, 0) + 1
    return out


def test_urgency_first_then_weighted_shares():
    t = Table()
    t.job("ja", "a", 100)
    t.job("jb", "b", 100)
    t.job("jh", "hot", 8)
    _, runs = t.turn()
    assert lanes_of(t, runs) == {"hot": 8, "a": 18, "b": 6}


def test_impossible_work_says_never_and_blocks_nobody():
    t = Table()
    t.job("big", cores=100)
    t.job("ok", tasks=5)
    r, runs = t.turn()
    assert lanes_of(t, runs) == {"a": 5} and r.reasons["big", "s"] == "never"


@pytest.mark.parametrize("wait, starved", [(True, False), (False, True)])
def test_a_large_task_is_not_starved_by_small_ones(wait, starved, monkeypatch):
    """Small jobs keep coming; with a reservation the large one gets its worker."""
    if not wait:
        monkeypatch.setattr(constants, "STARVE_MS", 10**9)
    t, live, started = Table(workers=2), [], False
    t.job("small-0", tasks=16)
    live += list(t.turn()[1].items())
    t.job("large", "b", cores=8)
    for k in range(1, 60):
        live += list(t.turn()[1].items())
        started = started or any(i.startswith("large") for i, _ in live)
        for _, run in live[:3]:
            t.end(run)
        live = live[3:]
        t.tick(400)
        t.job(f"small-{k}", tasks=3)
    assert started is not starved


def test_a_retry_goes_to_another_worker():
    t = Table()
    t.job("j", backoffMs=0)
    _, runs = t.turn()
    w0 = t.rec.legs[runs["j/s/0"]].worker
    t.end(runs["j/s/0"], "bad")
    _, runs = t.turn()
    assert t.rec.legs[runs["j/s/0"]].worker != w0


def test_a_worker_on_probation_gets_nothing_until_it_is_over():
    t = Table(workers=1)
    t.rec.ev_flaky(t.tick(), "w0", (t.st >> constants.LOGICAL_BITS) + 1000)
    t.job("j")
    r, runs = t.turn()
    assert runs == {} and r.reasons["j", "s"] == "probation"
    t.tick(1500)
    assert len(t.turn()[1]) == 1


def test_a_round_leaves_the_record_as_it_was():
    t = Table()
    t.job("j", tasks=50)
    was = t.rec.digest(), {w.id: list(w.used) for w in t.rec.workers.values()}
    Round(rec=t.rec, now=t.st >> constants.LOGICAL_BITS, most=400).run()
    assert was == (t.rec.digest(), {w.id: list(w.used) for w in t.rec.workers.values()})


def test_what_is_known_of_workers_survives_a_handover_and_probation_ends_with_cause():
    w, out = World(seed=3, shape=SHAPES["cymylau"], masts=1), {}
    bad = {
        "lane": "tiles",
        "steps": [{"name": "a", "kind": "tile", "tasks": 40, "maxFailures": 50, "work": {"ms": 50}}],
    }

    async def go():
        w.start_all()
        op, req = w.operator(tag="op"), w.requester(tag="r")
        await op.found(lanes=w.shape.lanes)
        w.add_crew()
        await asyncio.sleep(3)
        w.mates["tile-01"].flop = 1.0
        for _n in range(6):
            await req.send(body=bad)
            await asyncio.sleep(1)
        a = w.who("desk", "primary")[0]
        out["old"] = {i: list(x) for i, x in w.nodes[a].daemon.windows.items()}
        w.kill(a)
        await asyncio.sleep(4)
        d = w.nodes[w.who("desk", "primary")[0]].daemon
        out["relapses"] = d.health["tile-01"].times
        await req.send(body=bad)  # it is on trial by now, and fails again
        await asyncio.sleep(1)
        out["new"] = {i: list(x) for i, x in d.windows.items()}
        out["flaky"] = d.record.workers["tile-01"].flaky > d.clock_ms()
        d.judged["tile-01"] = 1.0
        for _i, x in d.windows.items():
            x.extend([True] * 20)
        await asyncio.sleep(2)
        out["lifted"] = d.record.workers["tile-01"].flaky

    w.run(go())
    assert out["relapses"] and out["flaky"] and out["lifted"] == 0 and len(out["old"]) > 2
    same = [i for i in out["old"] if out["new"].get(i, [])[: len(out["old"][i])] == out["old"][i]]
    assert len(same) > len(out["old"]) / 2
