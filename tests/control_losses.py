"""Fault scenarios of kinds 3 to 5: consecutive losses, members that fall behind, broken connections.
tests/control_points.py plays them. A scenario takes the simulated world, an operator and callers."""

import asyncio

from control_shapes import SYNC_S, change, changes, followers, halls
from platform_standins import jobs
from platform_world import AGAIN


async def wipe(world, name, *, down=0.5):
    trouble_id = world.trouble("kill", name)
    world.power_off(name)
    world.disks[name].lose()
    await asyncio.sleep(down)
    world.net.dark.discard(name)
    world.start(name)
    return trouble_id


def newcomer(world, number):
    world.add_machine("hall", f"core-{number}", f"10.0.0.{number}", zone=1, first=False)
    world.start(f"core-{number}")


async def replaced_then_wiped(world, operator, callers):
    """One member is lost for good and replaced; after the time that the replacement has to sync, another
    member loses its disk."""
    gone = world.rng.choice(halls(world))
    world.trouble("kill", gone)
    world.power_off(gone)
    await asyncio.sleep(world.rng.choice((0.5, 1.0, 2.0)))
    newcomer(world, 9)
    await asyncio.sleep(SYNC_S + world.rng.random() * 5)
    trouble_id = await wipe(
        world, world.rng.choice([name for name in followers(world) if name != "core-9"] or ["core-9"])
    )
    await changes(world, operator, seconds=6)
    world.hist.note("calm", id=trouble_id)


async def planned_then_lost(world, operator, callers):
    """A new member joins; while the one that it replaces shuts down in order, another is lost for good."""
    newcomer(world, 9)
    await asyncio.sleep(SYNC_S + 1)
    old, lost = [name for name in halls(world) if name != "core-9"][:2]
    world.trouble("term", old)
    node = world.nodes[old]

    async def leave():
        await node.daemon.leave()
        node.daemon.ended.set()

    node.run(leave())
    while node.alive:
        await asyncio.sleep(0.05)
    world.trouble("kill", lost)
    world.power_off(lost)
    await changes(world, operator, seconds=8)
    assert world.primary(), "no majority is left"


async def newcomer_killed(world, operator, callers):
    """A new member is killed at some stage of joining, and restarts."""
    gone = followers(world)[0]
    world.trouble("kill", gone)
    world.power_off(gone)
    await asyncio.sleep(1)
    newcomer(world, 9)
    await asyncio.sleep(world.rng.random() * 3)
    await world.kill_and_start("core-9", power=world.rng.random() < 0.5)
    await changes(world, operator, seconds=6)


async def replaced_three_times(world, operator, callers):
    for number in (7, 8, 9):
        gone = next(name for name in halls(world) if name in world.nodes)
        world.trouble("kill", gone)
        world.power_off(gone)
        await asyncio.sleep(1)
        newcomer(world, number)
        await changes(world, operator, seconds=SYNC_S + 1)
    assert world.primary()


async def lose_power_at_once(world, names, *, lost=""):
    """These members lose power at the same moment, one of them its disk as well, and restart."""
    trouble_ids = [world.trouble("kill", name) for name in names]
    for name in names:
        world.power_off(name)
    if lost:
        world.disks[lost].lose()
    await asyncio.sleep(AGAIN)
    for name in names:
        world.net.dark.discard(name)
        world.start(name)
    await asyncio.sleep(3)
    for trouble_id in trouble_ids:
        world.hist.note("calm", id=trouble_id)


async def all_dark_and_one_disk_lost(world, operator, callers):
    """All members lose power at once, and one loses its disk as well."""
    await change(operator, 1)
    await lose_power_at_once(world, halls(world), lost=world.rng.choice(halls(world)))
    await changes(world, operator, seconds=3)


async def behind(world, operator, callers, *, back, changes_missed=120):
    """A member misses many changes and returns as `back` says; soon after, the others lose power at once."""
    name = followers(world)[0]
    others = [other for other in halls(world) if other != name]
    trouble_id = world.trouble("kill", name)
    world.power_off(name) if back != "frozen" else world.pause(name)
    for number in range(changes_missed):
        await operator.put(
            operator.config | {"revision": operator.config["revision"] + 1 + number % 3}, limit=8.0
        )
    if back == "frozen":
        world.pause(name, on=False)
    else:
        if back == "wiped":
            world.disks[name].lose()
        world.net.dark.discard(name)
        world.start(name)
    if back == "again":
        await asyncio.sleep(world.rng.random() * 0.5)
        world.power_off(name)
        world.net.dark.discard(name)
        world.start(name)
    await asyncio.sleep(2.0)
    store = world.nodes[name].daemon.store
    if back != "wiped":
        newest = operator.config["revision"]
        assert store.record.charter.get("chosen") == newest, "not current within 2 s"
    world.hist.note("calm", id=trouble_id)
    if back == "wiped":
        await asyncio.sleep(SYNC_S)
    await lose_power_at_once(world, others)
    await changes(world, operator, seconds=2)


async def behind_and_restarted(world, operator, callers):
    await behind(world, operator, callers, back="restarted")


async def behind_and_frozen(world, operator, callers):
    await behind(world, operator, callers, back="frozen")


async def behind_and_wiped(world, operator, callers):
    await behind(world, operator, callers, back="wiped")


async def behind_and_restarted_again(world, operator, callers):
    await behind(world, operator, callers, back="again")


async def connections_reset(world, operator, callers):
    """Connections between and to our machines are reset repeatedly."""
    deadline = world.loop.virtual_time + 8
    changing = asyncio.ensure_future(changes(world, operator, seconds=8))
    while world.loop.virtual_time < deadline:
        name = world.rng.choice(sorted(world.nodes))
        trouble_id = world.trouble("freeze", name)
        world.net.down_wires(world.nodes[name])
        await asyncio.sleep(0.1 + 0.5 * world.rng.random())
        world.hist.note("calm", id=trouble_id)
    await changing


async def silences(world, operator, callers):
    """Machines freeze for less and for more than the time-outs of what waits for them."""
    for _ in range(4):
        name = world.rng.choice(sorted(world.nodes))
        await asyncio.gather(
            world.freeze(name, world.rng.choice((0.4, 0.9, 1.4, 2.5))), changes(world, operator, seconds=2.5)
        )


async def address_taken_over(world, operator, callers):
    """A worker ends and another one with another name takes its address at once."""
    for number in range(4):
        worker_id = sorted(world.s.workers)[0]
        world.s.crash(worker_id)
        world.s.add_worker(f"i-8{number}", rack="r1-1", guards=False, capacity=world.capacity, pace=0.98)
        await changes(world, operator, seconds=1.5)


async def edge_gone_after_it_accepted(world, operator, callers):
    """An edge machine loses power right after it accepted a job, and never returns."""
    caller = callers[0]
    job, body = caller.new(jobs.simple)
    assert await caller.submit(job, body) == "accepted"
    accepted = [row for row in world.hist.rows if row["ev"] == "submit_out" and row["job"] == job]
    machine = next(
        (row["m"] for row in world.hist.rows if row["ev"] == "daemon" and row["addr"] == accepted[-1]["by"]),
        "edge-1",
    )
    world.trouble("kill", machine)
    world.power_off(machine)
    await changes(world, operator, seconds=4)
