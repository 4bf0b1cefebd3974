"""What is done to a fleet behind the platform's adapter, each as a coroutine of the world, the
operator and the clients; and a day with one of them."""

import asyncio

from platform_queue_faults import QUEUE_FAULTS
from platform_standins import config as F
from platform_standins import jobs
from platform_standins.clients import Queue
from platform_world import PlatformWorld


def play(*, seed, faults=None, rate=4.0, extra=()):
    w = PlatformWorld(seed=seed)
    mix = jobs.mix(wall_ms=w.true_ms, racks=["r1-1", "r2-1"], label="a") + list(extra)
    bad, states = w.play(mix=mix, rate=rate, faults=faults)
    return w, bad, states


async def nothing(w, op, cs):
    pass


async def workers_crash(w, op, cs):
    for n in range(3):
        await asyncio.sleep(3)
        w.s.crash(w.rng.choice(sorted(w.s.workers)))
        await asyncio.sleep(1)
        w.s.add_worker(f"i-9{n}", rack="r1-1", guards=False, capacity=w.capacity, pace=0.98)


async def workers_leave(w, op, cs):
    for n in range(3):
        await asyncio.sleep(2)
        i = sorted(w.s.workers)[n]
        await w.s.workers[i].leave(notice_ms=(0, 3000, 6000)[n])


async def workers_cut_off(w, op, cs):
    await asyncio.sleep(3)
    lost = sorted(w.s.workers)[:3]
    for i in lost:
        w.hist.note("trouble", what="worker_cut", m=i, id="cut" + i)
        for n in w.cards:
            w.net.cut("w-" + i, n)
    await asyncio.sleep(9)
    w.net.heal()
    for i in lost:
        w.hist.note("calm", id="cut" + i)


async def workers_slow(w, op, cs):
    await asyncio.sleep(2)
    some = [w.s.workers[i] for i in sorted(w.s.workers)[:4]]
    for x in some[:3]:
        x.turn(slow=4.0)
    some[3].turn(stuck=True)
    await asyncio.sleep(8)
    for x in some:
        x.turn(slow=1.0, stuck=False)


async def evacuation(w, op, cs):
    await asyncio.sleep(3)
    assert await op.evacuate("z2")
    await asyncio.sleep(8)
    assert await op.evacuate("z2", withdraw=True)


async def primary_killed(w, op, cs):
    await asyncio.sleep(5)
    await w.kill_and_start(w.primary() or "core-1")
    await asyncio.sleep(6)
    await w.kill_and_start(w.primary() or "core-1", power=True)


async def primary_frozen(w, op, cs):
    await asyncio.sleep(5)
    await w.freeze(w.primary() or "core-1", w.rng.choice([2, 5, 9]))


async def primary_cut_off(w, op, cs):
    await asyncio.sleep(5)
    await w.cut_off(w.primary() or "core-1", w.rng.choice([3, 7]))


async def disk_lost(w, op, cs):
    """The primary's machine comes back with an empty disk, just after it acknowledged."""
    await asyncio.sleep(5)
    n = w.primary()
    i = w.trouble("kill", n)
    w.power_off(n)
    w.disks[n].lose()
    await asyncio.sleep(1)
    w.net.dark.discard(n)
    w.start(n)
    w.hist.note("calm", id=i)


async def machine_replaced(w, op, cs):
    """A core machine is gone for good; an empty one comes at another address."""
    await asyncio.sleep(4)
    n = w.primary()
    w.trouble("kill", n)
    w.power_off(n)
    await asyncio.sleep(2)
    w.add_machine("hall", "core-9", "10.0.0.9", zone=1, first=False)
    w.start("core-9")


async def all_lose_power(w, op, cs):
    await asyncio.sleep(5)
    await asyncio.gather(*(w.kill_and_start(f"core-{n}", power=True) for n in (1, 2, 3)))


async def stopped_in_turn(w, op, cs):
    await asyncio.sleep(2)
    for n in sorted(w.cards):
        await w.roll(n)
        await asyncio.sleep(1.5)


async def edges(w, op, cs):
    await asyncio.sleep(3)
    await w.kill_and_start("edge-1")
    await w.freeze("edge-2", 4)
    await w.cut_off("edge-3", 4)


async def cancels(w, op, cs):
    c = cs[0]
    for _ in range(25):
        job, body = c.new(
            w.rng.choice([jobs.simple, jobs.chain, jobs.gang, jobs.saving, jobs.lasting, jobs.long])
        )
        if await c.submit(job, body) == "accepted":
            await asyncio.sleep(w.rng.random())
            assert await c.cancel(job) == 200


def add(name, prefix):
    return F.route(name, host="h.example", prefix=prefix, service="tiles")


async def configurations(w, op, cs):
    """Changes, invalid ones, races, and counts of queues added, removed, never there."""
    other = w.s.operator("op2")
    for n in range(3):
        assert await op.patch(upsert={"routeTable": [add(f"r-{n}", f"/n{n}/")]})
        for how in F.INVALID:
            assert 400 <= await op.spoiled(how) < 500
        won = await op.race(other, upserts=[add("r-x", f"/x{n}/"), add("r-y", f"/y{n}/")])
        assert len(won) == 1
        qs = [Queue(host="h.example", prefix=p) for p in (f"/n{n}/", f"/n{n - 1}/", "/never/")]
        for _ in range(6):
            for a in list(w.s.balancer.fronts):
                got = [await cs[0].count(addr=a, queue=q) for q in qs]
                assert got[2] is None
            await asyncio.sleep(0.6)
        if n:
            assert await op.patch(withdraw={"routeTable": [f"r-{n - 1}"]})


FAULTS = (
    nothing,
    workers_crash,
    workers_leave,
    workers_cut_off,
    workers_slow,
    evacuation,
    primary_killed,
    primary_frozen,
    primary_cut_off,
    all_lose_power,
    stopped_in_turn,
    edges,
    cancels,
    configurations,
    disk_lost,
    machine_replaced,
    *QUEUE_FAULTS,
)
