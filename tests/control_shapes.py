"""Shapes of the points 1 and 2, and what all shapes share: a machine that is cut off, operators' numbers.
tests/control_points.py plays them."""

import asyncio

from platform_standins import config as F
from platform_standins.caller import Answer
from platform_world import PORTS

CUT = 12.0  # s; beyond all time-outs of the control side, as 20 s are


LOST = 0.6  # part of the answers to an operator that are lost


SYNC_S = 4.0  # s; a machine is lost for so long after its start


def addr(name):
    return f"10.0.0.{name.rsplit('-', 1)[1]}:{PORTS['control']}"


def halls(w):
    return sorted(n for n in w.cards if w.cards[n]["role"] == "hall")


def followers(w):
    return [n for n in halls(w) if n in w.nodes and n != w.primary()]


def pinned(w, name, to):
    """An operator that reaches one machine only."""
    op = w.s.operator(name, daemons=lambda: [addr(to)])
    return op


def route(n):
    return F.route(f"x{n}", host="h.example", prefix=f"/x{n}/", service="tiles")


async def change(op, n):
    """One change by name, until it has a clear answer or a few seconds have passed."""
    return await op.patch(upsert={"routeTable": [route(n)]}, limit=8.0)


async def changes(w, op, *, seconds, gap=0.4):
    """Changes and reads, one after the other."""
    end, n = w.loop.vt + seconds, 0
    while w.loop.vt < end:
        n += 1
        await change(op, n % 7)
        await op.read(limit=4.0)
        await asyncio.sleep(gap)


async def orders_at(w, op, name, *, seconds):
    """Orders and reads sent to one machine alone, on what is current at their start."""
    there = pinned(w, f"at-{name}", name)
    end = w.loop.vt + seconds
    while w.loop.vt < end:
        there.config = op.config
        await there.patch(upsert={"routeTable": [route(9)]}, limit=0.5)
        await there.read(limit=0.5)
        if there.config["revision"] > op.config["revision"]:
            op.config = there.config
        await asyncio.sleep(0.3)


def cut(w, name, others, *, both=True):
    i = w.trouble("freeze", name)  # for the checker: a machine in trouble until it is calm
    for other in others:
        w.net.cut(name, other, both=both)
    return i


async def cut_for(w, op, name, others, *, both=True, reset=False):
    i = cut(w, name, others, both=both)
    if reset:
        w.net.down_wires(w.nodes[name])
    await asyncio.gather(changes(w, op, seconds=CUT), orders_at(w, op, name, seconds=CUT + 2))
    w.net.heal()
    await asyncio.sleep(2)
    w.hist.note("calm", id=i)


async def leader_cut_from_all(w, op, cs):
    name = w.primary()
    await cut_for(w, op, name, [n for n in w.cards if n != name])


async def follower_cut_from_all(w, op, cs):
    name = followers(w)[0]
    await cut_for(w, op, name, [n for n in w.cards if n != name])


async def leader_cut_from_core(w, op, cs):
    name = w.primary()
    await cut_for(w, op, name, [n for n in halls(w) if n != name])


async def leader_cut_one_way(w, op, cs):
    name = w.primary()
    await cut_for(w, op, name, [n for n in halls(w) if n != name], both=False)


async def leader_cut_with_reset(w, op, cs):
    name = w.primary()
    await cut_for(w, op, name, [n for n in w.cards if n != name], reset=True)


async def core_in_halves(w, op, cs):
    """Five in two and three; the leader is among the two."""
    two = [w.primary(), followers(w)[0]]
    ids = [cut(w, n, [x for x in halls(w) if x not in two]) for n in two]
    await asyncio.gather(changes(w, op, seconds=6), orders_at(w, op, two[0], seconds=8))
    w.net.heal()
    await asyncio.sleep(2)
    for i in ids:
        w.hist.note("calm", id=i)


def lose_answers(w, op, *, seconds):
    """From here on answers to this operator are lost on their way, most of them."""
    real, end = op.caller.once, w.loop.vt + seconds

    async def once(**call):
        answer = await real(**call)
        if w.loop.vt < end and op.rng.random() < LOST:
            return Answer(status=0, headers={}, addr=answer.addr, why="silence")
        return answer

    op.caller.once = once


async def eight_at_once(w, op, cs):
    """Eight operators change one version at the same time, some under one number."""
    for _ in range(3):
        others = [w.s.operator(f"o{n}-{w.loop.vt:.0f}") for n in range(8)]
        base = op.config["revision"]
        for x in others:
            x.config = op.config
        done = await asyncio.gather(
            *(
                x.patch(upsert={"routeTable": [route(n)]}, revision=base + 1 + n % 3, limit=8.0)
                for n, x in enumerate(others)
            )
        )
        won = [x for x, ok in zip(others, done) if ok]
        assert len(won) == 1, [x.name for x in won]
        op.config = won[0].config
        await asyncio.sleep(0.5)


async def answers_lost(w, op, cs):
    lose_answers(w, op, seconds=12)
    await changes(w, op, seconds=12)


async def answers_lost_at_a_handover(w, op, cs):
    lose_answers(w, op, seconds=12)
    t = asyncio.ensure_future(changes(w, op, seconds=12))
    await asyncio.sleep(3)
    await w.kill_and_start(w.primary() or "core-1", power=True)
    await t


async def sent_again_at_all(w, op, cs):
    """One change, whole and by name, sent to each daemon again and again, also at once."""
    base, config = op.config["revision"], op.config
    whole = config | {"revision": base + 2}
    assert await op.put(whole)
    ops = [pinned(w, f"again-{n}", n) for n in halls(w)]
    for x in ops:
        x.config = config
    assert all(await asyncio.gather(*(x.put(whole, base=base, limit=8.0) for x in ops)))
    for x in ops:
        x.config = whole
    body = {"upsert": {"routeTable": [route(1)]}, "revision": base + 5, "limit": 8.0}
    assert all(await asyncio.gather(*(x.patch(**body) for x in ops)))
    op.config = ops[0].config


async def sent_again_after_many(w, op, cs):
    """A change that was taken comes again after 300 others: taken or unclear, never refused."""
    first, base = op.config | {"revision": op.config["revision"] + 1}, op.config["revision"]
    assert await op.put(first)
    for n in range(300):
        revision = op.config["revision"]
        assert await op.put(op.config | {"revision": revision + 1 + n % 3}, limit=8.0)
    answer = await op.caller.once(
        method="PUT", addr=addr("core-1"), path="/config", body=first, headers={"If-Match": str(base)}
    )
    assert answer.ok or answer.moves, answer.status
