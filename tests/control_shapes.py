"""Fault scenarios of kinds 1 and 2, a machine that is cut off and operators' version numbers, and what all
scenarios share. tests/control_points.py plays them. A scenario takes the simulated world, an operator and callers."""

import asyncio

from platform_standins import config as F
from platform_standins.caller import Answer
from platform_world import PORTS

CUT = 12.0  # s; longer than all time-outs of the control plane, so as good as longer cuts


LOST = 0.6  # share of the answers to an operator that are lost


SYNC_S = 4.0  # s; a new machine has this long to sync before the next fault


def addr(name):
    return f"10.0.0.{name.rsplit('-', 1)[1]}:{PORTS['control']}"


def halls(world):
    return sorted(name for name in world.cards if world.cards[name]["role"] == "hall")


def followers(world):
    return [name for name in halls(world) if name in world.nodes and name != world.primary()]


def pinned(world, name, to):
    """An operator that talks to one machine only."""
    operator = world.s.operator(name, daemons=lambda: [addr(to)])
    return operator


def route(number):
    return F.route(f"x{number}", host="h.example", prefix=f"/x{number}/", service="tiles")


async def change(operator, number):
    """Sends one change, until it has a definite answer or a few seconds have passed."""
    return await operator.patch(upsert={"routeTable": [route(number)]}, limit=8.0)


async def changes(world, operator, *, seconds, gap=0.4):
    """Sends changes and reads alternately for `seconds`."""
    deadline, number = world.loop.virtual_time + seconds, 0
    while world.loop.virtual_time < deadline:
        number += 1
        await change(operator, number % 7)
        await operator.read(limit=4.0)
        await asyncio.sleep(gap)


async def orders_at(world, operator, name, *, seconds):
    """Sends changes and reads to one machine alone, each based on the newest known configuration."""
    pinned_operator = pinned(world, f"at-{name}", name)
    deadline = world.loop.virtual_time + seconds
    while world.loop.virtual_time < deadline:
        pinned_operator.config = operator.config
        await pinned_operator.patch(upsert={"routeTable": [route(9)]}, limit=0.5)
        await pinned_operator.read(limit=0.5)
        if pinned_operator.config["revision"] > operator.config["revision"]:
            operator.config = pinned_operator.config
        await asyncio.sleep(0.3)


def cut(world, name, others, *, both=True):
    trouble_id = world.trouble("freeze", name)  # the checker treats the machine as faulty until `calm`
    for other in others:
        world.net.cut(name, other, both=both)
    return trouble_id


async def cut_for(world, operator, name, others, *, both=True, reset=False):
    trouble_id = cut(world, name, others, both=both)
    if reset:
        world.net.down_wires(world.nodes[name])
    await asyncio.gather(
        changes(world, operator, seconds=CUT), orders_at(world, operator, name, seconds=CUT + 2)
    )
    world.net.heal()
    await asyncio.sleep(2)
    world.hist.note("calm", id=trouble_id)


async def leader_cut_from_all(world, operator, callers):
    name = world.primary()
    await cut_for(world, operator, name, [other for other in world.cards if other != name])


async def follower_cut_from_all(world, operator, callers):
    name = followers(world)[0]
    await cut_for(world, operator, name, [other for other in world.cards if other != name])


async def leader_cut_from_core(world, operator, callers):
    name = world.primary()
    await cut_for(world, operator, name, [other for other in halls(world) if other != name])


async def leader_cut_one_way(world, operator, callers):
    name = world.primary()
    await cut_for(world, operator, name, [other for other in halls(world) if other != name], both=False)


async def leader_cut_with_reset(world, operator, callers):
    name = world.primary()
    await cut_for(world, operator, name, [other for other in world.cards if other != name], reset=True)


async def core_in_halves(world, operator, callers):
    """Five members split into two and three; the leader is among the two."""
    two = [world.primary(), followers(world)[0]]
    trouble_ids = [cut(world, name, [other for other in halls(world) if other not in two]) for name in two]
    await asyncio.gather(changes(world, operator, seconds=6), orders_at(world, operator, two[0], seconds=8))
    world.net.heal()
    await asyncio.sleep(2)
    for trouble_id in trouble_ids:
        world.hist.note("calm", id=trouble_id)


def lose_answers(world, operator, *, seconds):
    """Loses the share LOST of the answers to this operator for `seconds` from here on."""
    real, deadline = operator.caller.once, world.loop.virtual_time + seconds

    async def once(**call):
        answer = await real(**call)
        if world.loop.virtual_time < deadline and operator.rng.random() < LOST:
            return Answer(status=0, headers={}, addr=answer.addr, why="silence")
        return answer

    operator.caller.once = once


async def eight_at_once(world, operator, callers):
    """Eight operators change one version at the same time, some with the same new version number."""
    for _ in range(3):
        others = [world.s.operator(f"o{number}-{world.loop.virtual_time:.0f}") for number in range(8)]
        base = operator.config["revision"]
        for other in others:
            other.config = operator.config
        done = await asyncio.gather(
            *(
                other.patch(upsert={"routeTable": [route(number)]}, revision=base + 1 + number % 3, limit=8.0)
                for number, other in enumerate(others)
            )
        )
        won = [other for other, ok in zip(others, done) if ok]
        assert len(won) == 1, [other.name for other in won]
        operator.config = won[0].config
        await asyncio.sleep(0.5)


async def answers_lost(world, operator, callers):
    lose_answers(world, operator, seconds=12)
    await changes(world, operator, seconds=12)


async def answers_lost_at_a_handover(world, operator, callers):
    lose_answers(world, operator, seconds=12)
    changing = asyncio.ensure_future(changes(world, operator, seconds=12))
    await asyncio.sleep(3)
    await world.kill_and_start(world.primary() or "core-1", power=True)
    await changing


async def sent_again_at_all(world, operator, callers):
    """One change, as a whole configuration and as a patch, sent to every daemon repeatedly and at once."""
    base, config = operator.config["revision"], operator.config
    whole = config | {"revision": base + 2}
    assert await operator.put(whole)
    operators = [pinned(world, f"again-{name}", name) for name in halls(world)]
    for pinned_operator in operators:
        pinned_operator.config = config
    assert all(
        await asyncio.gather(
            *(pinned_operator.put(whole, base=base, limit=8.0) for pinned_operator in operators)
        )
    )
    for pinned_operator in operators:
        pinned_operator.config = whole
    body = {"upsert": {"routeTable": [route(1)]}, "revision": base + 5, "limit": 8.0}
    assert all(await asyncio.gather(*(pinned_operator.patch(**body) for pinned_operator in operators)))
    operator.config = operators[0].config


async def sent_again_after_many(world, operator, callers):
    """A change that was taken is sent again after 300 others: the answer is success or unknown, never refusal."""
    first, base = operator.config | {"revision": operator.config["revision"] + 1}, operator.config["revision"]
    assert await operator.put(first)
    for number in range(300):
        revision = operator.config["revision"]
        assert await operator.put(operator.config | {"revision": revision + 1 + number % 3}, limit=8.0)
    answer = await operator.caller.once(
        method="PUT", addr=addr("core-1"), path="/config", body=first, headers={"If-Match": str(base)}
    )
    assert answer.ok or answer.moves, answer.status
