"""A primary is lost while gangs starve, on slow processors whose time is counted. Guards against takeovers that do not
end (mandina-lima-large, docs/incidents/started-after-done.md): each new primary's first round kept its loop until its own
leases and the store's lead were gone. `PYTHONPATH=. python tests/test_takeover_backlog.py FIRST-LAST` plays more seeds."""

import asyncio
import sys

from platform_standins import jobs
from platform_standins.registry import Work
from platform_world import PlatformWorld

from hollowhall.desk.backfill import BackfillMixin
from hollowhall.desk.round_time import RoundTime

TIMES = 40.0  # times; the processors are slower than the one on which a round's costs were measured
WORKERS, MEMBERS = 24, 8
AFTER = 12.0  # s; that takeovers are counted for after the kill


def starving(rng):
    """A gang for a third of the fleet, of a shape of its own."""
    s = jobs.step(MEMBERS, gangScheduled=True, cpu=4500 + rng.randrange(1500), estimateMs=6000)
    return jobs.job(rng, "starving", [s]), [Work(ms=6000)]


async def primary_is_lost(w, op, cs):
    await asyncio.sleep(9.0)
    w.mark = len(w.log)
    await w.kill_and_start(w.primary() or "core-1")
    await asyncio.sleep(AFTER)
    w.primaries = [x.split()[1] for x in w.log[w.mark :] if "HH400" in x]


def takeovers(seed):
    """Who became primary in the AFTER seconds from the kill on."""
    w = PlatformWorld(seed=seed, workers=WORKERS)
    w.step_s, w.cpu_times = 1e-6, TIMES
    w.play(mix=[(starving, 1)], rate=8.0, seconds=14.0, settle=8.0, faults=primary_is_lost)
    return w.primaries


def test_one_takeover_follows_the_loss_of_a_primary_however_long_the_backlog():
    assert [len(takeovers(seed)) for seed in (1, 2)] == [1, 1]


def test_rounds_without_a_time_lose_one_primary_after_the_other(monkeypatch):
    order = BackfillMixin.drain_order

    def worked_out_anew(self, w):
        self.drains.pop(w.id, None)
        return order(self, w)

    monkeypatch.setattr(BackfillMixin, "drain_order", worked_out_anew)
    monkeypatch.setattr(RoundTime, "over", lambda self: False)
    assert len(takeovers(1)) > 2


if __name__ == "__main__":
    first, last = map(int, sys.argv[1].split("-"))
    for seed in range(first, last + 1):
        print(seed, takeovers(seed), flush=True)
