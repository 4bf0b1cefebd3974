"""A primary is lost while gangs starve, on slow simulated processors. Guards against endless takeovers
(docs/incidents/started-after-done.md): each new primary's first placement round blocked its event loop until its
own lease and the store's leadership had expired. `PYTHONPATH=. python tests/test_takeover_backlog.py FIRST-LAST`
plays more seeds."""

import asyncio
import sys

from platform_standins import jobs
from platform_standins.registry import Work
from platform_world import PlatformWorld

from hollowhall.desk.backfill import BackfillMixin
from hollowhall.desk.round_time import RoundTime

TIMES = 40.0  # times slower than the processor that the costs of a round refer to
WORKERS, MEMBERS = 24, 8
AFTER = 12.0  # s; takeovers are counted for this long after the kill


def starving(rng):
    """A job with a gang for a third of the fleet, of a shape that no other job has."""
    step = jobs.step(MEMBERS, gangScheduled=True, cpu=4500 + rng.randrange(1500), estimateMs=6000)
    return jobs.job(rng, "starving", [step]), [Work(ms=6000)]


async def primary_is_lost(world, operator, callers):
    await asyncio.sleep(9.0)
    world.mark = len(world.log)
    await world.kill_and_start(world.primary() or "core-1")
    await asyncio.sleep(AFTER)
    world.primaries = [line.split()[1] for line in world.log[world.mark :] if "HH400" in line]


def takeovers(seed):
    """The schedulers that became primary within AFTER seconds of the kill."""
    world = PlatformWorld(seed=seed, workers=WORKERS)
    world.step_s, world.cpu_times = 1e-6, TIMES
    world.play(mix=[(starving, 1)], rate=8.0, seconds=14.0, settle=8.0, faults=primary_is_lost)
    return world.primaries


def test_one_takeover_follows_the_loss_of_a_primary_however_long_the_backlog():
    assert [len(takeovers(seed)) for seed in (1, 2)] == [1, 1]


def test_rounds_without_a_time_lose_one_primary_after_the_other(monkeypatch):
    order = BackfillMixin.drain_order

    def worked_out_anew(self, worker):
        self.drains.pop(worker.id, None)
        return order(self, worker)

    monkeypatch.setattr(BackfillMixin, "drain_order", worked_out_anew)
    monkeypatch.setattr(RoundTime, "over", lambda self: False)
    assert len(takeovers(1)) > 2


if __name__ == "__main__":
    first, last = map(int, sys.argv[1].split("-"))
    for seed in range(first, last + 1):
        print(seed, takeovers(seed), flush=True)
