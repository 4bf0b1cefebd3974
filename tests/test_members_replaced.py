"""Members of the store that are replaced, lose their disk or are killed while another one is gone: nine
voters and one lost for good, a newcomer that loses its disk or is killed while it joins, a member with an
empty disk while another is down. None of these may stop the store for good."""

import asyncio

import pytest
from test_hall import ControllerWorld, all_members_up

from hollowhall.almanac.vote import LEADER
from hollowhall.sim.disk import SimDisk


async def lose_one_and_add_another(world, *, leads, wait):
    """Starts all members and waits until the membership is in the log. Then one, the leader or another, is
    lost for good, and after `wait` s a blank one at another address asks to join."""
    world.start_all()
    await world.until(all_members_up(world, 3))
    await world.until(lambda: all(replica.store.membership["v"] >= 1 for replica in world.halls()))
    gone = next(
        name
        for name in world.nodes
        if name.startswith("hall") and (world.nodes[name].daemon.store.election_role == LEADER) == leads
    )
    world.power_off(world.cards[gone]["machine"])
    await asyncio.sleep(wait)
    world.add_controller(9)
    world.start("hall-9")


def test_of_nine_voters_one_gone_for_good_is_replaced():
    world = ControllerWorld(seed=9, count=9)

    async def scenario():
        world.start_all()
        await world.until(all_members_up(world, 9), limit=40)
        gone = next(
            name
            for name in world.nodes
            if name.startswith("hall") and world.nodes[name].daemon.store.election_role != LEADER
        )
        world.power_off(world.cards[gone]["machine"])
        world.add_controller(12)
        world.start("hall-12")
        await world.until(
            lambda: all(
                "10.0.0.12:7000" in replica.store.voters and not replica.store.blank
                for replica in world.halls()
            ),
            limit=40,
        )
        await world.until(
            lambda: all(world.cards[gone]["addr"] not in replica.store.voters for replica in world.halls()),
            limit=40,
        )

    world.run(scenario())


def test_of_nine_after_a_replacement_a_wiped_one_counts_again():
    world = ControllerWorld(seed=9, count=9)

    async def scenario():
        world.start_all()
        await world.until(all_members_up(world, 9), limit=40)
        gone, wiped = [
            name
            for name in world.nodes
            if name.startswith("hall") and world.nodes[name].daemon.store.election_role != LEADER
        ][:2]
        world.power_off(world.cards[gone]["machine"])
        world.add_controller(12)
        world.start("hall-12")
        await asyncio.sleep(20)
        world.kill(wiped)
        world.disks[world.cards[wiped]["machine"]] = SimDisk(rng=world.rng)
        world.start(wiped)
        await world.until(lambda: not world.nodes[wiped].daemon.store.blank, limit=60)

    world.run(scenario())


def test_of_five_one_wiped_while_one_is_down_and_then_a_third():
    """Two members may be down at once. One that came back with an empty disk 8 s ago is up again."""
    world = ControllerWorld(seed=5, count=5)

    async def scenario():
        world.start_all()
        await world.until(all_members_up(world, 5))
        await world.until(lambda: all(replica.store.membership["v"] >= 1 for replica in world.halls()))
        down, wiped, third = [
            name
            for name in world.nodes
            if name.startswith("hall") and world.nodes[name].daemon.store.election_role != LEADER
        ][:3]
        world.power_off(world.cards[down]["machine"])
        world.kill(wiped)
        world.disks[world.cards[wiped]["machine"]] = SimDisk(rng=world.rng)
        world.start(wiped)
        await asyncio.sleep(8)
        world.kill(third)
        await asyncio.sleep(6)
        assert len(world.primary()) == 1

    world.run(scenario())


@pytest.mark.parametrize("seed", range(4))
def test_of_three_one_replaced_and_then_another_loses_its_disk(seed):
    """The new member has been up for syncS (4 s), so one more may be lost, with its disk."""
    world = ControllerWorld(seed=seed, count=3)

    async def scenario():
        await lose_one_and_add_another(world, leads=True, wait=0.6)
        await asyncio.sleep(4.3)
        wiped = next(
            name
            for name in world.nodes
            if name.startswith("hall")
            and name != "hall-9"
            and world.nodes[name].daemon.store.election_role != LEADER
        )
        world.kill(wiped)
        world.disks[world.cards[wiped]["machine"]] = SimDisk(rng=world.rng)
        await asyncio.sleep(0.5)
        world.start(wiped)
        await asyncio.sleep(2)
        await world.until(lambda: len(world.primary()) == 1, limit=40)

    world.run(scenario())


@pytest.mark.parametrize("ms", [0, 20, 40, 60, 80, 100, 120, 140, 160, 180, 200, 250, 300])
def test_a_newcomer_killed_while_it_is_let_in_does_not_stop_the_store(ms):
    world = ControllerWorld(seed=ms, count=3)

    async def scenario():
        await lose_one_and_add_another(world, leads=False, wait=1.0)
        await world.until(
            lambda: any(
                "10.0.0.9:7000" in getattr(replica.store, "store_addresses", ())
                and replica.store.election_role == LEADER
                for replica in world.halls()
            )
        )
        await asyncio.sleep(ms / 1000)
        world.kill("hall-9")
        await asyncio.sleep(0.5)
        world.start("hall-9")
        await asyncio.sleep(15)
        await world.until(
            lambda: (
                len(world.primary()) == 1
                and all(
                    not replica.store.blank and "10.0.0.9:7000" in replica.store.voters
                    for replica in world.halls()
                )
            ),
            limit=30,
        )

    world.run(scenario())


@pytest.mark.parametrize("ms", range(200, 5000, 400))
def test_a_newcomer_that_loses_its_disk_at_once_does_not_stop_the_store(ms):
    world = ControllerWorld(seed=ms, count=3)

    async def scenario():
        await lose_one_and_add_another(world, leads=True, wait=1.0)
        await asyncio.sleep(ms / 1000)
        world.kill("hall-9")
        world.disks["core-9"] = SimDisk(rng=world.rng)
        await asyncio.sleep(0.5)
        world.start("hall-9")
        await asyncio.sleep(10)
        await world.until(lambda: len(world.primary()) == 1, limit=30)

    world.run(scenario())
