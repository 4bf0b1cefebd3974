"""A store restored from one surviving disk: nothing on this disk is lost, the lost members stay removed,
and blank ones can be added. A disk that is not a counting member's is refused."""

import asyncio
import random

import pytest
from test_members import change, settled, start_joiner, wait_for_members

from hollowhall.base.problems import Raised, Refused
from hollowhall.check.judge import judge
from hollowhall.sim.disk import SimDisk
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES
from hollowhall.tools.operate.restore import restore


def test_all_that_one_disk_has_is_served_again():
    world, seen = World(seed=8, shape=SHAPES["cymylau"], masts=2), {}

    async def scenario():
        world.start_all()
        operator, client = world.operator(tag="op"), world.requester(tag="r")
        await operator.found(lanes=world.shape.lanes)
        world.add_crew()
        await client.run(mix=world.shape.mix, seconds=6, settle=8)
        params = world.nodes["almanac-1"].daemon.settings
        record = world.nodes["almanac-1"].daemon.record
        seen["before"] = {member: j.state for member, j in record.jobs.items()}, record.charter
        for member in ("almanac-1", "almanac-2", "almanac-3"):
            world.kill(member)
        await asyncio.sleep(1)
        world.disks["core-2"].lose()
        world.disks["core-3"].lose()
        disk = world.disks["core-1"]
        seen["seen"] = await restore(disk=disk, settings=params, write=False)
        seen["again"] = await restore(disk=disk, settings=params, write=False)
        world.start("almanac-1")
        await asyncio.sleep(4)
        seen["alone"] = world.who("almanac", "leader")
        world.kill("almanac-1")
        seen["written"] = await restore(disk=disk, settings=params, write=True)
        world.start("almanac-1")
        await asyncio.sleep(6)
        seen["leads"] = world.who("almanac", "leader")
        record = world.nodes["almanac-1"].daemon.record
        seen["after"] = {member: record.jobs[member].state for member in seen["before"][0]}, record.charter
        world.hist.note("fault", what="restored")
        for member in (4, 5):
            seen[member] = (await change(operator, "add", start_joiner(world, member)))[0]
            seen["v"] = await wait_for_members(
                world,
                operator,
                lambda members, member=member: settled(members) and len(members["voters"]) == member - 2,
            )
        world.start("almanac-2")  # blank, at an address that was removed
        world.kill("almanac-1")
        await client.run(mix=world.shape.mix, seconds=4, settle=10)
        seen["two"] = world.who("almanac", "leader"), world.nodes["almanac-2"].daemon.blank

    world.run(scenario())
    assert seen["seen"] == seen["again"] and seen["alone"] == [] and not seen["seen"]["written"]
    assert seen["written"]["lost"] == ["10.0.0.2:7000", "10.0.0.3:7000"]
    assert seen["written"]["jobs"] == len(seen["before"][0]) > 20
    assert seen["leads"] == ["almanac-1"] and seen["after"] == seen["before"]
    assert seen[4] == seen[5] == 200 and len(seen["v"]["voters"]) == 3
    assert seen["two"][0] in (["almanac-4"], ["almanac-5"]) and seen["two"][1]
    assert judge(world.hist.rows)[0] == []


@pytest.mark.parametrize("hard", [None, {"t": 3, "v": "", "m": False}])
def test_a_disk_without_a_member_is_refused(hard):
    from hollowhall.almanac.ring import LogSegments
    from hollowhall.base.params import DaemonSettings

    disk, params = SimDisk(rng=random.Random(1)), DaemonSettings(id="a", addr="10.0.0.1:7000", seeds=[])

    async def scenario():
        if hard:
            ring = LogSegments(disk=disk, files=params.ring_files, size=params.ring_bytes)
            ring.load()
            await ring.put(hard=hard, entries=[])
        with pytest.raises(Raised) as caught:
            await restore(disk=disk, settings=params, write=True)
        return caught.value.failure

    assert isinstance(asyncio.run(scenario()), Refused)
