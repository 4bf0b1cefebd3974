"""Seeds that are killed before the store is founded, and started again as replicas that are not told
of the very first start any more: the store is founded all the same, and never a second time."""

import asyncio

import pytest
from test_hall import Halls

from hollowhall.standins.shapes import SHAPES

FOUNDED_S = 12.0  # s; until the first table is taken
DOWN_S = 0.5  # s; a process that ended is started again after this
SEEDS = ("hall-1", "hall-2", "hall-3")


def first_start(lost, *, seed, after_s, power=False, disk=False):
    """The version in force after the seeds `lost` went so soon after the first start; None if none is."""
    w, out = Halls(seed=seed, n=3), {}

    async def go():
        w.start_all()
        await asyncio.sleep(after_s)
        for name in lost:
            if power or disk:
                w.power_off(w.cards[name]["machine"])
            w.kill(name)
            if disk:
                w.disks[w.cards[name]["machine"]].lose()
        await asyncio.sleep(DOWN_S)
        for name in lost:
            if power or disk:
                w.power_on(w.cards[name]["machine"], [name])
            else:
                w.start(name)
        op = w.operator(tag="op")
        taken = asyncio.ensure_future(op.found(lanes=SHAPES["cymylau"].lanes))
        await asyncio.wait([taken], timeout=FOUNDED_S)
        out["configuration"] = taken.result() if taken.done() else None
        await asyncio.sleep(3)
        out["counted"] = [n for n in SEEDS if not w.nodes[n].daemon.store.blank]

    w.run(go())
    assert not [x for x in w.log if "HH106" in x or "HH111" in x]
    return out["configuration"], out["counted"]


@pytest.mark.parametrize("after_s", [0.001, 0.01, 0.05])
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("how", ["killed", "power", "disk"])
def test_one_seed_that_is_lost_before_the_store_is_founded_keeps_nobody_waiting(how, seed, after_s):
    # Fault, a further fault of the review: 503 for ever once a seed had been killed 0.3 s after its start
    configuration, counted = first_start(
        ["hall-2"], seed=seed, after_s=after_s, power=how == "power", disk=how == "disk"
    )
    assert configuration is not None and counted == list(SEEDS)


@pytest.mark.parametrize("after_s", [0.02, 0.05])
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("lost", [SEEDS[:2], SEEDS])
def test_seeds_that_come_back_with_their_disks_are_founders_still(lost, seed, after_s):
    configuration, counted = first_start(lost, seed=seed, after_s=after_s)
    assert configuration is not None and counted == list(SEEDS)


def test_two_of_three_that_lost_their_disks_found_no_second_store():
    # both may have decided something together: what they held is gone, and nobody may begin anew
    configuration, counted = first_start(["hall-2", "hall-3"], seed=1, after_s=0.02, disk=True)
    assert configuration is None and "hall-2" not in counted and "hall-3" not in counted
