"""Rounds of placement on the scheduler's own code: urgency, weighted shares, a worker held back for a large
task, tasks that no worker can run, retries on other workers, workers on probation."""

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


class SmallFleet:
    """A record with workers of eight cores and jobs; `turn` runs a round and grants its starts."""

    def __init__(self, workers=4, rows=ROWS):
        self.rec, self.stamp, self.kept = Record(), 1000 << constants.LOGICAL_BITS, {}
        self.rec.charter = {"version": 2, "rows": rows, "at": 0}
        for i in range(workers):
            self.rec.ev_worker(self.tick(), f"w{i}", "b", "tile", "z1", f"r{i % 2}", [8, 0, 0])

    def tick(self, ms=0):
        self.stamp += 1 + (ms << constants.LOGICAL_BITS)
        return self.stamp

    def job(self, name, lane="a", tasks=1, cores=1, **kw):
        spec, digest = check_job(
            {
                "lane": lane,
                "steps": [{"name": "s", "kind": "tile", "tasks": tasks, "room": {"cores": cores}, **kw}],
            }
        )
        self.rec.ev_job(self.tick(), name, spec, digest)

    def run_round(self, most=400):
        placement_round = Round(
            rec=self.rec, now=self.stamp >> constants.LOGICAL_BITS, most=most, kept=self.kept
        )
        starts = placement_round.run()
        runs = {}
        for task, worker in starts:
            result = self.rec.ev_grant(self.tick(), task, worker)
            assert result[0] == "ok", result
            runs[task] = result[1]
        return placement_round, runs

    def end(self, run, how="ok"):
        self.rec.ev_end(self.tick(), run, how, "")


def lanes_of(table, runs):
    counts = {}
    for task in runs:
        lane = table.rec.jobs[task.split("/")[0]].lane
        counts[lane] = counts.get(lane, 0) + 1
    return counts


def test_urgency_first_then_weighted_shares():
    table = SmallFleet()
    table.job("ja", "a", 100)
    table.job("jb", "b", 100)
    table.job("jh", "hot", 8)
    _, runs = table.run_round()
    assert lanes_of(table, runs) == {"hot": 8, "a": 18, "b": 6}


def test_impossible_work_says_never_and_blocks_nobody():
    table = SmallFleet()
    table.job("big", cores=100)
    table.job("ok", tasks=5)
    placement_round, runs = table.run_round()
    assert lanes_of(table, runs) == {"a": 5} and placement_round.reasons["big", "s"] == "never"


@pytest.mark.parametrize("wait, starved", [(True, False), (False, True)])
def test_a_large_task_is_not_starved_by_small_ones(wait, starved, monkeypatch):
    """Small jobs keep arriving; if a worker is held back, the large task starts."""
    if not wait:
        monkeypatch.setattr(constants, "STARVATION_MS", 10**9)
    table, running, started = SmallFleet(workers=2), [], False
    table.job("small-0", tasks=16)
    running += list(table.run_round()[1].items())
    table.job("large", "b", cores=8)
    for n in range(1, 60):
        running += list(table.run_round()[1].items())
        started = started or any(task.startswith("large") for task, _ in running)
        for _, run in running[:3]:
            table.end(run)
        running = running[3:]
        table.tick(400)
        table.job(f"small-{n}", tasks=3)
    assert started is not starved


def test_a_retry_goes_to_another_worker():
    table = SmallFleet()
    table.job("j", backoffMs=0)
    _, runs = table.run_round()
    first_worker = table.rec.attempts[runs["j/s/0"]].worker
    table.end(runs["j/s/0"], "bad")
    _, runs = table.run_round()
    assert table.rec.attempts[runs["j/s/0"]].worker != first_worker


def test_a_worker_on_probation_gets_nothing_until_it_is_over():
    table = SmallFleet(workers=1)
    table.rec.ev_flaky(table.tick(), "w0", (table.stamp >> constants.LOGICAL_BITS) + 1000)
    table.job("j")
    placement_round, runs = table.run_round()
    assert runs == {} and placement_round.reasons["j", "s"] == "probation"
    table.tick(1500)
    assert len(table.run_round()[1]) == 1


def test_a_round_leaves_the_record_as_it_was():
    table = SmallFleet()
    table.job("j", tasks=50)
    before = table.rec.digest(), {worker.id: list(worker.used) for worker in table.rec.workers.values()}
    Round(rec=table.rec, now=table.stamp >> constants.LOGICAL_BITS, most=400).run()
    assert before == (
        table.rec.digest(),
        {worker.id: list(worker.used) for worker in table.rec.workers.values()},
    )


def test_what_is_known_of_workers_survives_a_handover_and_probation_ends_with_cause():
    world, seen = World(seed=3, shape=SHAPES["cymylau"], masts=1), {}
    failing_job = {
        "lane": "tiles",
        "steps": [{"name": "a", "kind": "tile", "tasks": 40, "maxFailures": 50, "work": {"ms": 50}}],
    }

    async def go():
        world.start_all()
        operator, client = world.operator(tag="op"), world.requester(tag="r")
        await operator.found(lanes=world.shape.lanes)
        world.add_crew()
        await asyncio.sleep(3)
        world.mates["tile-01"].flop = 1.0
        for _round in range(6):
            await client.send(body=failing_job)
            await asyncio.sleep(1)
        primary = world.who("desk", "primary")[0]
        seen["old"] = {
            worker_id: list(results)
            for worker_id, results in world.nodes[primary].daemon.recent_failures.items()
        }
        world.kill(primary)
        await asyncio.sleep(4)
        desk = world.nodes[world.who("desk", "primary")[0]].daemon
        seen["relapses"] = desk.health["tile-01"].relapses
        await client.send(body=failing_job)  # by now the worker is on trial, and fails again
        await asyncio.sleep(1)
        seen["new"] = {worker_id: list(results) for worker_id, results in desk.recent_failures.items()}
        seen["flaky"] = desk.record.workers["tile-01"].flaky > desk.clock_ms()
        desk.aside_failure_share["tile-01"] = 1.0
        for _i, results in desk.recent_failures.items():
            results.extend([True] * 20)
        await asyncio.sleep(2)
        seen["lifted"] = desk.record.workers["tile-01"].flaky

    world.run(go())
    assert seen["relapses"] and seen["flaky"] and seen["lifted"] == 0 and len(seen["old"]) > 2
    unchanged = [
        worker_id
        for worker_id in seen["old"]
        if seen["new"].get(worker_id, [])[: len(seen["old"][worker_id])] == seen["old"][worker_id]
    ]
    assert len(unchanged) > len(seen["old"]) / 2
