"""Faults of a fleet behind the platform's adapter, each a coroutine that takes the world, the operator
and the clients; and a day of traffic with one of them."""

import asyncio

from platform_queue_faults import QUEUE_FAULTS
from platform_standins import config as F
from platform_standins import jobs
from platform_standins.clients import Queue
from platform_world import PlatformWorld


def play(*, seed, faults=None, rate=4.0, extra=()):
    """Plays a day with faults: the world, the violations, and the final states by job."""
    world = PlatformWorld(seed=seed)
    mix = jobs.mix(wall_ms=world.true_ms, racks=["r1-1", "r2-1"], label="a") + list(extra)
    violations, states = world.play(mix=mix, rate=rate, faults=faults)
    return world, violations, states


async def nothing(world, operator, clients):
    pass


async def workers_crash(world, operator, clients):
    for n in range(3):
        await asyncio.sleep(3)
        world.s.crash(world.rng.choice(sorted(world.s.workers)))
        await asyncio.sleep(1)
        world.s.add_worker(f"i-9{n}", rack="r1-1", guards=False, capacity=world.capacity, pace=0.98)


async def workers_leave(world, operator, clients):
    for n in range(3):
        await asyncio.sleep(2)
        worker_id = sorted(world.s.workers)[n]
        await world.s.workers[worker_id].leave(notice_ms=(0, 3000, 6000)[n])


async def workers_cut_off(world, operator, clients):
    await asyncio.sleep(3)
    lost = sorted(world.s.workers)[:3]
    for worker_id in lost:
        world.hist.note("trouble", what="worker_cut", m=worker_id, id="cut" + worker_id)
        for machine in world.cards:
            world.net.cut("w-" + worker_id, machine)
    await asyncio.sleep(9)
    world.net.heal()
    for worker_id in lost:
        world.hist.note("calm", id="cut" + worker_id)


async def workers_slow(world, operator, clients):
    await asyncio.sleep(2)
    workers = [world.s.workers[i] for i in sorted(world.s.workers)[:4]]
    for worker in workers[:3]:
        worker.turn(slow=4.0)
    workers[3].turn(stuck=True)
    await asyncio.sleep(8)
    for worker in workers:
        worker.turn(slow=1.0, stuck=False)


async def evacuation(world, operator, clients):
    await asyncio.sleep(3)
    assert await operator.evacuate("z2")
    await asyncio.sleep(8)
    assert await operator.evacuate("z2", withdraw=True)


async def primary_killed(world, operator, clients):
    await asyncio.sleep(5)
    await world.kill_and_start(world.primary() or "core-1")
    await asyncio.sleep(6)
    await world.kill_and_start(world.primary() or "core-1", power=True)


async def primary_frozen(world, operator, clients):
    await asyncio.sleep(5)
    await world.freeze(world.primary() or "core-1", world.rng.choice([2, 5, 9]))


async def primary_cut_off(world, operator, clients):
    await asyncio.sleep(5)
    await world.cut_off(world.primary() or "core-1", world.rng.choice([3, 7]))


async def disk_lost(world, operator, clients):
    """The primary's machine loses power after it acknowledged jobs, and comes back with an empty disk."""
    await asyncio.sleep(5)
    primary = world.primary()
    trouble = world.trouble("kill", primary)
    world.power_off(primary)
    world.disks[primary].lose()
    await asyncio.sleep(1)
    world.net.dark.discard(primary)
    world.start(primary)
    world.hist.note("calm", id=trouble)


async def machine_replaced(world, operator, clients):
    """A core machine is lost for good; an empty one at another address joins."""
    await asyncio.sleep(4)
    primary = world.primary()
    world.trouble("kill", primary)
    world.power_off(primary)
    await asyncio.sleep(2)
    world.add_machine("hall", "core-9", "10.0.0.9", zone=1, first=False)
    world.start("core-9")


async def all_lose_power(world, operator, clients):
    await asyncio.sleep(5)
    await asyncio.gather(*(world.kill_and_start(f"core-{n}", power=True) for n in (1, 2, 3)))


async def stopped_in_turn(world, operator, clients):
    await asyncio.sleep(2)
    for name in sorted(world.cards):
        await world.roll(name)
        await asyncio.sleep(1.5)


async def edges(world, operator, clients):
    await asyncio.sleep(3)
    await world.kill_and_start("edge-1")
    await world.freeze("edge-2", 4)
    await world.cut_off("edge-3", 4)


async def cancels(world, operator, clients):
    client = clients[0]
    for _ in range(25):
        job, body = client.new(
            world.rng.choice([jobs.simple, jobs.chain, jobs.gang, jobs.saving, jobs.lasting, jobs.long])
        )
        if await client.submit(job, body) == "accepted":
            await asyncio.sleep(world.rng.random())
            assert await client.cancel(job) == 200


def add(name, prefix):
    return F.route(name, host="h.example", prefix=prefix, service="tiles")


async def configurations(world, operator, clients):
    """Valid, invalid and concurrent changes, and counts of queues that were added, removed or never existed."""
    other = world.s.operator("op2")
    for n in range(3):
        assert await operator.patch(upsert={"routeTable": [add(f"r-{n}", f"/n{n}/")]})
        for spoiling in F.INVALID:
            assert 400 <= await operator.spoiled(spoiling) < 500
        won = await operator.race(other, upserts=[add("r-x", f"/x{n}/"), add("r-y", f"/y{n}/")])
        assert len(won) == 1
        queues = [Queue(host="h.example", prefix=prefix) for prefix in (f"/n{n}/", f"/n{n - 1}/", "/never/")]
        for _ in range(6):
            for address in list(world.s.balancer.fronts):
                counts = [await clients[0].count(addr=address, queue=queue) for queue in queues]
                assert counts[2] is None
            await asyncio.sleep(0.6)
        if n:
            assert await operator.patch(withdraw={"routeTable": [f"r-{n - 1}"]})


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
