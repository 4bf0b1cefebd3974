"""Members of the store replaced while jobs run: each in turn including the leader, with faults during the
change, with concurrent operators, and requests that must be refused."""

import asyncio

import pytest

from hollowhall.check.judge import judge
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES


def make_world(seed, **options):
    return World(seed=seed, shape=SHAPES["cymylau"], masts=2, **options)


def start_joiner(world, number):
    """Starts a blank store member on a new machine, set to join; returns its address."""
    name = f"almanac-{number}"
    world.add_card(
        name, "almanac", f"core-{number}", f"10.0.0.{number}:7000", zone=number, data="/d", join=True
    )
    world.start(name)
    return f"10.0.0.{number}:7000"


async def change(operator, do, addr, by="", base=None):
    """Requests a membership change, by default based on the present version: (status, body)."""
    status, body, _ = await operator.ask("members", "GET", "/v1/members")
    status, body, _ = await operator.ask(
        "change",
        "POST",
        "/v1/members",
        {"base": body["version"] if base is None else base, "do": do, "addr": addr, "by": by},
    )
    return status, body


async def wait_for_members(world, operator, test, secs=30):
    """The membership once `test` accepts it; None after `secs` of virtual time."""
    end = world.loop.virtual_time + secs
    while world.loop.virtual_time < end:
        status, members, _ = await operator.ask("members", "GET", "/v1/members")
        if status == 200 and test(members):
            return members
        await asyncio.sleep(0.2)
    return None


def settled(members):
    return not members["learner"] and not members["out"]


def play(world, steps, *, seconds=20):
    """Runs `steps` while jobs are submitted; returns (broken rules and HH214 lines, counts of the judge)."""

    async def scenario():
        world.start_all()
        operator, client = world.operator(tag="op"), world.requester(tag="r")
        await operator.found(lanes=world.shape.lanes)
        world.add_crew()
        load = asyncio.ensure_future(client.run(mix=world.shape.mix, seconds=seconds, settle=20))
        await asyncio.sleep(3)
        await steps(operator)
        world.hist.note("fault", what="the last change")
        await client.one(body=world.shape.mix[0][0](client.rng), until=world.loop.virtual_time + 14)
        await load
        world.hist.note("calm")
        await operator.read()

    world.run(scenario())
    assert not [line for line in world.log if "HH106" in line or "HH111" in line]
    bad, seen = judge(world.hist.rows)
    return bad + [line for line in world.log if "HH214" in line], seen


@pytest.mark.parametrize("seed", [1, 2])
def test_each_of_three_is_replaced_the_leader_too(seed):
    world, results = make_world(seed), []

    async def steps(operator):
        for number in (4, 5, 6):
            leaders = world.who("almanac", "leader")
            old = (
                leaders[0]
                if leaders and number != 5
                else sorted(name for name in world.nodes if name in ("almanac-1", "almanac-2", "almanac-3"))[
                    0
                ]
            )
            if number == 6:
                old = [name for name in world.nodes if name in ("almanac-1", "almanac-2", "almanac-3")][0]
            new = start_joiner(world, number)
            addr = world.cards[old]["addr"]
            results.append((await change(operator, "replace", addr, new))[0])
            members = await wait_for_members(
                world, operator, lambda members, new=new: new in members["voters"] and settled(members)
            )
            results.append(members is not None and addr not in members["voters"])
            world.kill(old)
            await asyncio.sleep(1)
        results.append(sorted(members["voters"]))

    bad, seen = play(world, steps, seconds=24)
    assert results[:6] == [200, True] * 3 and bad == []
    assert results[6] == [f"10.0.0.{number}:7000" for number in (4, 5, 6)]
    assert seen["jobs_accepted"] > 80


@pytest.mark.parametrize("what", ["dead", "leader killed", "learner killed", "cut", "power"])
def test_a_fault_amid_the_change(what):
    world, replaced = make_world(7), []

    async def steps(operator):
        leader = world.who("almanac", "leader")[0]
        old = "almanac-1" if leader != "almanac-1" else "almanac-2"
        if what == "dead":
            world.power_off(world.cards[old]["machine"])
            world.disks[world.cards[old]["machine"]].lose()
        new = start_joiner(world, 4)
        await asyncio.sleep(0.5)
        assert (await change(operator, "replace", world.cards[old]["addr"], new))[0] == 200
        if what == "leader killed":
            world.kill(leader)
            await asyncio.sleep(4)
            world.start(leader)
        elif what == "learner killed":
            world.kill("almanac-4")
            await asyncio.sleep(4)
            world.start("almanac-4")
        elif what == "cut":
            world.net.cut("core-4", world.cards[leader]["machine"])
            await asyncio.sleep(4)
            world.net.heal()
        elif what == "power":
            names = world.power_off(world.cards[leader]["machine"])
            await asyncio.sleep(4)
            world.power_on(world.cards[leader]["machine"], names)
        members = await wait_for_members(
            world, operator, lambda members: new in members["voters"] and settled(members)
        )
        replaced.append(members is not None and world.cards[old]["addr"] not in members["voters"])

    bad, _ = play(world, steps)
    assert replaced == [True] and bad == [], bad[:4]


def test_one_taken_out_and_woken_late_disturbs_nobody():
    world, seen = make_world(5), {}

    async def steps(operator):
        leader = world.who("almanac", "leader")[0]
        old = "almanac-3" if leader != "almanac-3" else "almanac-1"
        world.pause(old)
        new = start_joiner(world, 4)
        assert (await change(operator, "replace", world.cards[old]["addr"], new))[0] == 200
        seen["v"] = await wait_for_members(world, operator, settled)
        role_changes = len([line for line in world.log if "HH200" in line])
        world.pause(old, on=False)
        await asyncio.sleep(8)
        seen["roles"] = (
            len([line for line in world.log if "HH200" in line and old not in line.split()[1]]) - role_changes
        )
        seen["lead"] = world.who("almanac", "leader")
        seen["was"] = [leader]

    bad, _ = play(world, steps)
    assert seen["v"] and seen["roles"] <= 0 and seen["lead"] == seen["was"] and bad == []


async def pause_learner(world, names):
    """Suspends the joiner that has become a learner, so that the change stays in progress."""
    while (
        not (leaders := world.who("almanac", "leader"))
        or not world.nodes[leaders[0]].daemon.membership["learner"]
    ):
        await asyncio.sleep(0.001)
    learner = world.nodes[leaders[0]].daemon.membership["learner"]
    name = next(joiner for joiner in names if world.cards[joiner]["addr"] == learner)
    world.pause(name)
    return name


@pytest.mark.parametrize("seed", [4, 6, 7])
def test_racing_operators_and_what_is_refused(seed):
    world, seen = make_world(seed), {}

    async def steps(operator):
        fourth, fifth = start_joiner(world, 4), start_joiner(world, 5)
        second_operator, third_operator = world.operator(tag="op2"), world.operator(tag="op3")
        one, two, three = (f"10.0.0.{number}:7000" for number in (1, 2, 3))
        learner = asyncio.ensure_future(pause_learner(world, ("almanac-4", "almanac-5")))
        race = await asyncio.gather(
            change(operator, "replace", one, fourth, base=0),
            change(second_operator, "replace", two, fifth, base=0),
        )
        seen["race"] = sorted(status for status, _ in race)
        seen["meanwhile"] = await change(third_operator, "remove", three)
        world.pause(await learner, on=False)
        members = await wait_for_members(world, operator, settled)
        seen["n"] = len(members["voters"])
        free = fifth if fifth not in members["voters"] else fourth
        seen["stale"] = await change(operator, "add", free, base=0)
        gone = one if one not in members["voters"] else two
        seen["unknown"] = await change(operator, "remove", "10.9.9.9:1")
        seen["past"] = await change(operator, "add", gone)
        seen["none"] = await change(operator, "replace", three, "10.9.9.9:1")
        seen["bad"] = (
            await operator.ask("change", "POST", "/v1/members", {"base": 1, "do": "replace", "addr": three})
        )[0]
        world.kill(
            [
                name
                for name in world.who("almanac", "follower")
                if world.cards[name]["addr"] in members["voters"]
            ][0]
        )
        await asyncio.sleep(2)
        leader = world.cards[world.who("almanac", "leader")[0]]["addr"]
        seen["last"] = await change(operator, "remove", leader)
        seen["add"] = (await change(operator, "add", free))[0]
        seen["four"] = await wait_for_members(world, operator, lambda members: free in members["voters"])

    bad, _ = play(world, steps)
    assert seen["race"] == [200, 409] and seen["n"] == 3 and bad == []
    assert seen["stale"][1]["problem"] == "StaleBase" and seen["unknown"][0] == 404
    for case in ("meanwhile", "past", "none", "last"):
        assert seen[case][0] == 409 and seen[case][1]["why"], (case, seen[case])
    assert seen["bad"] == 422 and seen["add"] == 200 and seen["four"]
