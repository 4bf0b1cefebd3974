"""The platform's protocol at the size of the grown sites, in virtual time: 350 workers, 30 edge
machines and 5 core machines serve their first seconds, no rule breaks, and two core machines
are lost at once in the midst of it."""

import asyncio

import pytest
from platform_standins import jobs
from platform_world import PlatformWorld


async def two_lost(w, op, cs):
    await asyncio.sleep(1)
    first = w.primary()
    other = next(n for n in w.nodes if n.startswith("core") and n != first)
    await asyncio.gather(w.kill_and_start(first, power=True), w.kill_and_start(other))


@pytest.mark.parametrize("faults", [None, two_lost])
def test_a_fleet_of_350_workers(faults):
    w = PlatformWorld(seed=21, cores=5, edges=30, workers=350)
    mix = jobs.mix(wall_ms=w.true_ms, racks=["r1-1", "r2-1"], label="a")
    bad, states = w.play(mix=mix, rate=20.0, seconds=4.0, settle=8.0, faults=faults)
    assert bad == [] and w.loop.complaints == []
    assert len(states) > 50
    assert sum(x in ("complete", "failed", "cancelled") for x in states.values()) > 0.85 * len(states)
