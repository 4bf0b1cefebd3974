"""Shapes of the points 3 to 5: losses that follow each other, members that fall behind, connections
that break. tests/control_points.py plays them."""

import asyncio

from control_shapes import SYNC_S, change, changes, followers, halls
from platform_standins import jobs
from platform_world import AGAIN


async def wipe(w, name, *, down=0.5):
    i = w.trouble("kill", name)
    w.power_off(name)
    w.disks[name].lose()
    await asyncio.sleep(down)
    w.net.dark.discard(name)
    w.start(name)
    return i


def newcomer(w, n):
    w.add_machine("hall", f"core-{n}", f"10.0.0.{n}", zone=1, first=False)
    w.start(f"core-{n}")


async def replaced_then_wiped(w, op, cs):
    """One is gone for good, a new one comes; `syncS` after its start another loses its disk."""
    gone = w.rng.choice(halls(w))
    w.trouble("kill", gone)
    w.power_off(gone)
    await asyncio.sleep(w.rng.choice((0.5, 1.0, 2.0)))
    newcomer(w, 9)
    await asyncio.sleep(SYNC_S + w.rng.random() * 5)
    i = await wipe(w, w.rng.choice([n for n in followers(w) if n != "core-9"] or ["core-9"]))
    await changes(w, op, seconds=6)
    w.hist.note("calm", id=i)


async def planned_then_lost(w, op, cs):
    """The newcomer first; as the one it replaces ends in order, another is gone for good."""
    newcomer(w, 9)
    await asyncio.sleep(SYNC_S + 1)
    old, lost = [n for n in halls(w) if n != "core-9"][:2]
    w.trouble("term", old)
    node = w.nodes[old]

    async def leave():
        await node.daemon.leave()
        node.daemon.ended.set()

    node.run(leave())
    while node.alive:
        await asyncio.sleep(0.05)
    w.trouble("kill", lost)
    w.power_off(lost)
    await changes(w, op, seconds=8)
    assert w.primary(), "no majority is left"


async def newcomer_killed(w, op, cs):
    """A newcomer is killed at some stage of being let in, and comes back."""
    gone = followers(w)[0]
    w.trouble("kill", gone)
    w.power_off(gone)
    await asyncio.sleep(1)
    newcomer(w, 9)
    await asyncio.sleep(w.rng.random() * 3)
    await w.kill_and_start("core-9", power=w.rng.random() < 0.5)
    await changes(w, op, seconds=6)


async def replaced_three_times(w, op, cs):
    for n in (7, 8, 9):
        gone = next(x for x in halls(w) if x in w.nodes)
        w.trouble("kill", gone)
        w.power_off(gone)
        await asyncio.sleep(1)
        newcomer(w, n)
        await changes(w, op, seconds=SYNC_S + 1)
    assert w.primary()


async def dark_at_once(w, names, *, lost=""):
    """All these lose power at the same moment, one its disk with it, and come back."""
    ids = [w.trouble("kill", n) for n in names]
    for n in names:
        w.power_off(n)
    if lost:
        w.disks[lost].lose()
    await asyncio.sleep(AGAIN)
    for n in names:
        w.net.dark.discard(n)
        w.start(n)
    await asyncio.sleep(3)
    for i in ids:
        w.hist.note("calm", id=i)


async def all_dark_and_one_disk_lost(w, op, cs):
    """All lose power at once, and one its disk with it."""
    await change(op, 1)
    await dark_at_once(w, halls(w), lost=w.rng.choice(halls(w)))
    await changes(w, op, seconds=3)


async def behind(w, op, cs, *, back, n=120):
    """One misses many changes, comes back in some way, and soon the others end at once."""
    name = followers(w)[0]
    others = [x for x in halls(w) if x != name]
    i = w.trouble("kill", name)
    w.power_off(name) if back != "frozen" else w.pause(name)
    for k in range(n):
        await op.put(op.config | {"revision": op.config["revision"] + 1 + k % 3}, limit=8.0)
    if back == "frozen":
        w.pause(name, on=False)
    else:
        if back == "wiped":
            w.disks[name].lose()
        w.net.dark.discard(name)
        w.start(name)
    if back == "again":
        await asyncio.sleep(w.rng.random() * 0.5)
        w.power_off(name)
        w.net.dark.discard(name)
        w.start(name)
    await asyncio.sleep(2.0)
    store = w.nodes[name].daemon.store
    if back != "wiped":
        newest = op.config["revision"]
        assert store.record.charter.get("chosen") == newest, "not current within 2 s"
    w.hist.note("calm", id=i)
    if back == "wiped":
        await asyncio.sleep(SYNC_S)
    await dark_at_once(w, others)
    await changes(w, op, seconds=2)


async def behind_and_restarted(w, op, cs):
    await behind(w, op, cs, back="restarted")


async def behind_and_frozen(w, op, cs):
    await behind(w, op, cs, back="frozen")


async def behind_and_wiped(w, op, cs):
    await behind(w, op, cs, back="wiped")


async def behind_and_restarted_again(w, op, cs):
    await behind(w, op, cs, back="again")


async def connections_reset(w, op, cs):
    """Connections between and to our machines are reset again and again."""
    end = w.loop.vt + 8
    t = asyncio.ensure_future(changes(w, op, seconds=8))
    while w.loop.vt < end:
        name = w.rng.choice(sorted(w.nodes))
        i = w.trouble("freeze", name)
        w.net.down_wires(w.nodes[name])
        await asyncio.sleep(0.1 + 0.5 * w.rng.random())
        w.hist.note("calm", id=i)
    await t


async def silences(w, op, cs):
    """Machines stand still for less or more than what waits for them waits."""
    for _ in range(4):
        name = w.rng.choice(sorted(w.nodes))
        await asyncio.gather(w.freeze(name, w.rng.choice((0.4, 0.9, 1.4, 2.5))), changes(w, op, seconds=2.5))


async def address_taken_over(w, op, cs):
    """A worker ends and another one, with another name, is at its place at once."""
    for n in range(4):
        i = sorted(w.s.workers)[0]
        w.s.crash(i)
        w.s.add_worker(f"i-8{n}", rack="r1-1", guards=False, capacity=w.capacity, pace=0.98)
        await changes(w, op, seconds=1.5)


async def edge_gone_after_it_accepted(w, op, cs):
    """An edge machine loses power right after it accepted a job and never comes back."""
    c = cs[0]
    job, body = c.new(jobs.simple)
    assert await c.submit(job, body) == "accepted"
    accepted = [r for r in w.hist.rows if r["ev"] == "submit_out" and r["job"] == job]
    machine = next(
        (r["m"] for r in w.hist.rows if r["ev"] == "daemon" and r["addr"] == accepted[-1]["by"]), "edge-1"
    )
    w.trouble("kill", machine)
    w.power_off(machine)
    await changes(w, op, seconds=4)
