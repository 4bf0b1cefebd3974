"""The trial of a fleet: workers join, requesters send a shape's mix through every
mast, an operator edits the charter, the primary desk and the leading almanac are
each killed once and started again, and the history is checked."""

import asyncio
import os
import random
import time

from ...standins.crew import Mate
from ...standins.crowd import Operator, Requester
from ...standins.history import History
from ...standins.http_client import HttpClient
from ...standins.shapes import workers_of
from .faults import Faults


def boot_now():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Crew:
    """All workers of a shape, in this process."""

    def __init__(self, *, shape, masts, hist, seed=1):
        self.web, self.rng = HttpClient(), random.Random(seed)
        self.mates = [
            Mate(
                card=c,
                masts=masts,
                web=self.web,
                hist=hist,
                now=boot_now,
                rng=random.Random(self.rng.getrandbits(60)),
            )
            for c in workers_of(shape)
        ]
        self.tasks = []

    def start(self):
        self.tasks = [asyncio.ensure_future(m.live()) for m in self.mates]

    async def stop(self):
        for m in self.mates:
            m.over = True
        for t in self.tasks:
            t.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.web.close()


async def status(web, op):
    st, v, _ = await op.ask("fleet", "GET", "/v1/fleet")
    return v if st == 200 else None


async def trial(*, fleet, seconds, say, seed=1, kinds=(), script=None):
    """Runs a trial; returns (history paths, figures). Without kinds the primary and the
    leading almanac are killed; `script` takes the place of both."""
    hp = os.path.join(fleet.folder, "history.jsonl")
    if os.path.exists(hp):
        os.unlink(hp)
    hist, rng, web = History(path=hp), random.Random(seed), HttpClient()
    shape, kw = fleet.shape, dict(masts=fleet.masts, web=web, hist=hist, now=boot_now)
    op = Operator(rng=random.Random(seed + 1), tag="op", **kw)
    req = Requester(rng=rng, tag=f"job{int(time.time())}", **kw)
    for c in fleet.cards.values() if fleet.relays is not None else ():
        await fleet.relays.add(c)
    say("waiting for the fleet, then writing the lanes")
    if await op.found(lanes=shape.lanes) is None:
        raise TimeoutError("the fleet did not come up")
    crew = Crew(shape=shape, masts=fleet.masts, hist=hist, seed=seed)
    crew.start()
    say(f"{len(crew.mates)} workers join, requesters send for {seconds} s")
    load = asyncio.ensure_future(req.run(mix=shape.mix, seconds=seconds, settle=30.0))
    edit = asyncio.ensure_future(op.change_rows_periodically(lanes=shape.lanes, seconds=seconds))
    faults = Faults(
        fleet=fleet,
        op=op,
        hist=hist,
        say=say,
        seed=seed,
        kinds=list(kinds),
        op2=Operator(rng=random.Random(seed + 2), tag="op2", **kw),
    )
    if script is not None:
        await script(faults)
    elif kinds:
        await asyncio.sleep(2)
        say(f"{await faults.run(seconds - 8)} faults")
    else:
        await asyncio.sleep(seconds * 0.3)
        v = await status(web, op)
        n = fleet.by_addr(v["primary"]) if v else "desk-1"
        say(f"killing the primary desk {n}")
        hist.note("fault", what=f"kill {n}")
        fleet.kill(n)
        fleet.start(n)
        await asyncio.sleep(seconds * 0.3)
        n = await lead_almanac(fleet)
        say(f"killing the leading almanac {n}")
        hist.note("fault", what=f"kill {n}")
        fleet.kill(n)
        fleet.start(n)
    await edit
    await load
    hist.note("calm")
    await op.read()
    if fleet.relays is not None:
        say(f"held back {fleet.relays.held} times by cuts")
        await fleet.relays.close()
    await crew.stop()
    await web.close()
    return [hp], req.summary(seconds)


async def lead_almanac(fleet):
    """Asks the almanacs, over our own circuits, which of them leads the store."""
    from ...base.probe import probe

    for a in fleet.seeds:
        o = await probe(addr=a, op="status", request={})
        if o.ok and o.value["state"] == "leader":
            return fleet.by_addr(a)
    return "almanac-1"
