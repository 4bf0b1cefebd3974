"""Safety of the store in small seeded scenarios: an empty disk, a suspended leader, a leader that hands
over, and replicas that agree."""

import asyncio

import pytest
import weak as weaker
from weak_parts import UnconfirmedReads

from hollowhall.almanac import StoreMember
from hollowhall.sim import storm
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES


class CountsWhenBlank(StoreMember):
    """Counts and votes with an empty disk, as if nothing had ever been on it."""

    async def recover_blank(self):
        self.blank, self.hard_dirty = False, True
        self.become(role="follower", why="eager")


def make_world(build=StoreMember, seed=4):
    return World(seed=seed, shape=SHAPES["cymylau"], desks=1, masts=1, build=weaker.REAL | {"almanac": build})


def put(world, name, key, value):
    """Proposes a put at one member; its outcome is appended to the returned list."""
    outcomes = []
    node = world.nodes[name]

    async def scenario():
        node.daemon.on_txn(
            request={"cmp": [], "then": [["put", key, value, 0]]}, caller="t", callback=outcomes.append
        )

    node.run(scenario())
    return outcomes


def read(world, name, key):
    """Reads a prefix at one member; the outcome is appended to the returned list."""
    outcomes, node = [], world.nodes[name]

    async def scenario():
        node.daemon.on_get(request={"p": key}, caller="t", callback=outcomes.append)

    node.run(scenario())
    return outcomes


def play_lost_disk(build):
    """A put is confirmed by the leader and one other member, which then loses its disk while the leader
    is cut off. Returns what was confirmed, what is read at the end, and which members are blank."""
    world, seen = make_world(build), {}

    async def scenario():
        world.start_all()
        await asyncio.sleep(3)
        leader = world.who("almanac", "leader")[0]
        other, wiped = sorted({"almanac-1", "almanac-2", "almanac-3"} - {leader})
        machines = {name: world.cards[name]["machine"] for name in (leader, other, wiped)}
        world.net.cut(machines[leader], machines[other])
        world.net.cut(machines[wiped], machines[other])
        await asyncio.sleep(0.3)
        outcomes = put(world, leader, "k/x", 7)
        await asyncio.sleep(0.2)
        seen["confirmed"] = bool(outcomes and outcomes[0].ok)
        world.power_off(machines[wiped])
        world.disks[machines[wiped]].lose()
        world.net.heal()
        world.net.cut(machines[leader], machines[other])
        world.net.cut(machines[leader], machines[wiped])
        world.power_on(machines[wiped], [wiped])
        await asyncio.sleep(6)
        seen["early"] = world.who("almanac", "leader")
        world.net.heal()
        await asyncio.sleep(8)
        new_leader = world.who("almanac", "leader")[0]
        answers = read(world, new_leader, "k/x")
        await asyncio.sleep(1)
        seen["value"] = answers[0].value["kv"].get("k/x", {}).get("v") if answers and answers[0].ok else None
        seen["blank"] = [
            name
            for name in (leader, other, wiped)
            if name not in world.nodes or world.nodes[name].daemon.blank
        ]

    world.run(scenario())
    return seen


def test_a_blank_disk_does_not_vote_a_confirmed_put_away():
    """If a member with an empty disk votes, a leader without a confirmed put can be elected."""
    weak, real = play_lost_disk(CountsWhenBlank), play_lost_disk(StoreMember)
    assert weak["confirmed"] and weak["value"] is None
    assert real["confirmed"] and real["value"] == 7
    assert real["blank"] == []


@pytest.mark.parametrize("build, past", [(UnconfirmedReads, True), (StoreMember, False)])
def test_a_woken_leader_does_not_answer_reads_from_the_past(build, past):
    world, seen = make_world(build), {}

    async def scenario():
        world.start_all()
        await asyncio.sleep(3)
        leader = world.who("almanac", "leader")[0]
        outcomes = put(world, leader, "k/x", 1)
        await asyncio.sleep(0.2)
        assert outcomes[0].ok
        world.pause(leader)
        answers = read(world, leader, "k/x")  # arrives while the leader is suspended
        await asyncio.sleep(4)
        successor = [name for name in world.who("almanac", "leader") if name != leader][0]
        assert put(world, successor, "k/x", 2) is not None
        await asyncio.sleep(0.3)
        world.pause(leader, on=False)
        await asyncio.sleep(2)
        seen["r"], seen["now"] = answers[0], read(world, world.who("almanac", "leader")[0], "k/x")
        await asyncio.sleep(1)

    world.run(scenario())
    assert (seen["r"].ok and seen["r"].value["kv"]["k/x"]["v"] == 1) == past
    assert seen["now"][0].value["kv"]["k/x"]["v"] == 2


def test_a_leader_that_leaves_names_its_successor():
    world, seen = make_world(), {}

    async def scenario():
        world.start_all()
        await asyncio.sleep(3)
        leader, left_at = world.who("almanac", "leader")[0], world.loop.virtual_time
        world.leave(leader)
        while not [name for name in world.who("almanac", "leader") if name != leader]:
            await asyncio.sleep(0.01)
        seen["gap"] = world.loop.virtual_time - left_at

    world.run(scenario())
    assert seen["gap"] < 0.5


def test_members_that_applied_the_same_entries_hold_the_same_record():
    result = storm.run(seed=9, n=6, load=12.0, kinds=["kill_any", "slow_disk", "lose_disk", "burst"])
    digests = {
        ended.daemon.record.digest()
        for ended in result.world.ended_nodes
        if ended.name.startswith("almanac")
        and ended.daemon.applied
        == max(other.daemon.applied for other in result.world.ended_nodes if other.name.startswith("almanac"))
    }
    assert result.bad == [] and len(digests) == 1
    assert sum(1 for ended in result.world.ended_nodes if ended.name.startswith("almanac")) >= 3
