"""Changes of the configuration under which a queue's name and its place come apart, beside losses
of the machine that decides, as they are played in a PlatformWorld. Whatever was accepted at a place
is to go on there."""

import asyncio

from platform_standins import config as F
from platform_world import QUEUE, URGENT


def at(queue, name, *, priority):
    return F.route(name, host=queue.host, prefix=queue.prefix, service="tiles", priority=priority)


async def change(op, *routes):
    """Puts a whole table with these routes in force."""
    table = op.config | {"revision": op.config["revision"] + 2, "routeTable": list(routes)}
    assert await op.put(table)


async def queue_renamed(w, op, cs):
    """Both queues get new names, by change and by whole table, while the primary is lost, too."""
    await asyncio.sleep(3)
    assert await op.patch(
        upsert={"routeTable": [at(QUEUE, "r-new", priority=1)]}, withdraw={"routeTable": ["r-q"]}
    )
    await asyncio.sleep(1)
    await w.kill_and_start(w.primary() or "core-1")
    await change(op, at(QUEUE, "r-newer", priority=1), at(URGENT, "r-u2", priority=0))
    await asyncio.sleep(2)
    await change(op, at(QUEUE, "r-q", priority=1), at(URGENT, "r-u2", priority=0))


async def queues_exchanged(w, op, cs):
    """Two queues take each other's place, again and again; then the core loses its power."""
    for n in range(4):
        await asyncio.sleep(2)
        names = ("r-u", "r-q") if n % 2 else ("r-q", "r-u")
        await change(op, at(URGENT, names[0], priority=0), at(QUEUE, names[1], priority=1))
    await asyncio.gather(*(w.kill_and_start(f"core-{n}", power=True) for n in (1, 2, 3)))
    await change(op, at(URGENT, "r-q", priority=0), at(QUEUE, "r-z", priority=1))


async def queue_withdrawn_and_back(w, op, cs):
    """A queue is gone for a while in which the primary is killed, and comes back under another name."""
    await asyncio.sleep(4)
    assert await op.patch(withdraw={"routeTable": ["r-q"]})
    await w.kill_and_start(w.primary() or "core-1")
    await asyncio.sleep(1)
    assert await op.patch(upsert={"routeTable": [at(QUEUE, "r-back", priority=1)]})


QUEUE_FAULTS = (queue_renamed, queues_exchanged, queue_withdrawn_and_back)
