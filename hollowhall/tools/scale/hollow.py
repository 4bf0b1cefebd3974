"""One shared process of hollow ones: workers, callers, an operator, or masts (a mast's own
code, many in one process, which nobody calls). Run as a module with one JSON object that
says what it plays. A line on its standard input is answered with a line of figures; the end
of the input ends it, so none outlives the run."""

import asyncio
import json
import os
import random
import sys
import threading
import time

from ...base.params import check
from ...base.seam import Runtime
from ...mast import Mast
from . import sizes as S
from .callers import Caller
from .counted import COUNTS, count_bytes, count_frames, moment
from .http import Http, Pool
from .workers import Seen, Worker


def boot_now():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def workers(d, rng):
    seen = Seen()
    for i in range(d["first"], d["first"] + d["count"]):
        w = Worker(card=S.card(i), masts=d["masts"], web=Http(), rng=rng, now=boot_now, seen=seen)
        KEPT.add(asyncio.ensure_future(w.live()))
    return seen.told


async def masts(d, rng):
    count_bytes()
    count_frames()
    for c in d["cards"]:
        m = Mast(settings=check(c), runtime=Runtime())
        await m.start()
        KEPT.add(m)
    return lambda: dict(COUNTS)


async def callers(d, rng):
    c = Caller(masts=d["masts"], web=Pool(), rng=rng, now=boot_now, tag=d["tag"])
    c.spawn(
        {
            "starts": lambda: c.churn(rate=d["count"], urgent=d["urgent"]),
            "running": lambda: c.stand(tasks=d["count"]),
            "kept": lambda: c.keep(tasks=d["count"]),
        }[d["axis"]]()
    )
    KEPT.add(c)
    return lambda: dict(c.seen)


async def operator(d, rng):
    c = Caller(masts=d["masts"], web=Pool(), rng=rng, now=boot_now, tag=d["tag"])
    if not await c.found(rows=S.lanes()):
        raise TimeoutError("the daemons did not come up")
    c.spawn(c.edit())
    KEPT.add(c)
    return lambda: dict(c.seen)


KEPT = set()  # what this process plays, lest it be collected
PLAYS = {
    "workers": workers,
    "masts": masts,
    "operator": operator,
    "starts": callers,
    "running": callers,
    "kept": callers,
}


async def play(d):
    told = await PLAYS[d["axis"]](d, random.Random(d["seed"]))
    loop = asyncio.get_running_loop()

    def tell():
        print(json.dumps(moment() | told()), flush=True)

    def read():
        for _ in sys.stdin:
            loop.call_soon_threadsafe(tell)
        os._exit(0)

    threading.Thread(target=read, daemon=True).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(play(json.loads(sys.argv[1])))
