"""Seeds that are killed before the store is founded, and restarted without the setting for a first start:
the store is founded all the same, and never a second time."""

import asyncio

import pytest
from test_hall import ControllerWorld

from hollowhall.standins.shapes import SHAPES

FOUNDED_S = 12.0  # s; time limit for the first configuration to be accepted
DOWN_S = 0.5  # s; restart delay of a process that ended
SEEDS = ("hall-1", "hall-2", "hall-3")


def play_first_start(lost, *, seed, after_s, power=False, disk=False):
    """Kills the seeds `lost` `after_s` after the first start, optionally with power or disk, and restarts
    them: (configuration version or None, seeds that count at the end)."""
    world, seen = ControllerWorld(seed=seed, count=3), {}

    async def scenario():
        world.start_all()
        await asyncio.sleep(after_s)
        for name in lost:
            if power or disk:
                world.power_off(world.cards[name]["machine"])
            world.kill(name)
            if disk:
                world.disks[world.cards[name]["machine"]].lose()
        await asyncio.sleep(DOWN_S)
        for name in lost:
            if power or disk:
                world.power_on(world.cards[name]["machine"], [name])
            else:
                world.start(name)
        operator = world.operator(tag="op")
        founding = asyncio.ensure_future(operator.found(lanes=SHAPES["cymylau"].lanes))
        await asyncio.wait([founding], timeout=FOUNDED_S)
        seen["configuration"] = founding.result() if founding.done() else None
        await asyncio.sleep(3)
        seen["counted"] = [name for name in SEEDS if not world.nodes[name].daemon.store.blank]

    world.run(scenario())
    assert not [line for line in world.log if "HH106" in line or "HH111" in line]
    return seen["configuration"], seen["counted"]


@pytest.mark.parametrize("after_s", [0.001, 0.01, 0.05])
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("how", ["killed", "power", "disk"])
def test_one_seed_that_is_lost_before_the_store_is_founded_keeps_nobody_waiting(how, seed, after_s):
    # The API answered 503 for ever after a seed had been killed 0.3 s after its start.
    configuration, counted = play_first_start(
        ["hall-2"], seed=seed, after_s=after_s, power=how == "power", disk=how == "disk"
    )
    assert configuration is not None and counted == list(SEEDS)


@pytest.mark.parametrize("after_s", [0.02, 0.05])
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("lost", [SEEDS[:2], SEEDS])
def test_seeds_that_come_back_with_their_disks_are_founders_still(lost, seed, after_s):
    configuration, counted = play_first_start(lost, seed=seed, after_s=after_s)
    assert configuration is not None and counted == list(SEEDS)


def test_two_of_three_that_lost_their_disks_found_no_second_store():
    # The two may have committed something together, which is lost, so no new store may be founded.
    configuration, counted = play_first_start(["hall-2", "hall-3"], seed=1, after_s=0.02, disk=True)
    assert configuration is None and "hall-2" not in counted and "hall-3" not in counted
