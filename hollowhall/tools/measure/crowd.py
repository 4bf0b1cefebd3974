"""A crowd in virtual time, against daemons whose processors take time: what is taken
and ended a second below and past saturation, how long urgent sends take, whether a
worker's hold ran out meanwhile, and how soon all is as before when the crowd goes."""

import asyncio

from ...check.judge import judge
from ...sim.world import World
from ...standins.shapes import SHAPES


def crowd(seed, shape, *, times, build=None, slow=8.0, secs=8.0):
    w = World(seed=seed, shape=SHAPES[shape], masts=3, build=build)
    w.slow_cpus(times=slow)
    out, sh = {}, w.shape
    top = max(sh.lanes, key=lambda a: (a != "watchers", sh.lanes[a]["urgency"]))

    async def go():
        w.start_all()
        op, req, calm = w.operator(tag="op"), w.requester(tag="c"), w.requester(tag="u")
        await op.found(lanes=sh.lanes)
        w.add_crew()
        await asyncio.sleep(6)
        t1ms = w.hist.now()
        load = asyncio.ensure_future(req.run(mix=sh.mix, seconds=secs, times=times, settle=12, cancels=0.02))
        mine = [m for m, r in sh.mix if m(req.rng)["lane"] == top]
        urgent = asyncio.ensure_future(calm.run(mix=[(mine[0], 4.0)], seconds=secs, settle=12))
        await asyncio.sleep(secs)
        out["taken a second"] = req.figures["accepted"] / secs
        out["ended a second"] = req.figures["ended"] / secs
        out["tasks ended well a second"] = (
            sum(1 for r in w.hist.rows if r["ev"] == "end" and r["how"] == "ok" and r["t"] > t1ms) / secs
        )
        out["asks a second"] = req.requests / secs
        out["refused or unsure a second"] = req.figures["unsure"] / secs
        ls = sorted(calm.latency) or [secs]
        out["urgent taken, s, median"] = ls[len(ls) // 2]
        out["urgent taken, part"] = calm.figures["accepted"] / max(1, calm.n)
        t1, probe = w.loop.virtual_time, w.requester(tag="p")
        while True:
            t = w.loop.virtual_time
            if await probe.send(body=mine[0](probe.rng), tries=1) and w.loop.virtual_time - t < 0.1:
                break
            await asyncio.sleep(0.1)
        out["as before after, s"] = w.loop.virtual_time - t1
        await load
        await urgent
        rows = [r for r in w.hist.rows if r["t"] > t1ms]
        out["holds that ran out"] = sum(1 for r in rows if r["ev"] in ("lapse", "lone"))

    w.run(go())
    bad, _ = judge(w.hist.rows)
    out["violations"] = len(bad)
    return out
