"""Measurements in virtual time, over seeds: handovers, what a turn costs the disk,
how long an edit takes to every mast, and what placement costs with many workers.
docs/measurements.md keeps what was seen."""

import asyncio
import json
from multiprocessing import Pool

from cleo.commands.command import Command
from cleo.helpers import option

from ...check.judge import judge
from ...sim.world import World
from ...standins.shapes import SHAPES
from .cpu import cpu
from .crowd import crowd
from .place import place, quality


def spread(xs):
    xs = sorted(xs)
    if not xs:
        return {"n": 0}
    return {
        "n": len(xs),
        "min": round(xs[0], 3),
        "median": round(xs[len(xs) // 2], 3),
        "worst": round(xs[-1], 3),
    }


async def probe_gap(w, req, hit, secs=14.0):
    """Sends a small job every 20 ms through it all; the longest silence, in s."""
    body = {"lane": sorted(w.shape.lanes)[0], "steps": [{"name": "a", "kind": "none"}]}
    good = [w.loop.virtual_time]

    async def one(n):
        st, _, _ = await req.ask("put", "PUT", f"/v1/jobs/probe-{n}", body, name=f"probe-{n}", body=body)
        if st == 201:
            good.append(w.loop.virtual_time)

    end, n, ts, t0 = w.loop.virtual_time + secs, 0, [], None
    while w.loop.virtual_time < end:
        if t0 is None and w.loop.virtual_time > end - secs + 1:
            t0 = w.loop.virtual_time
            hit()
        n += 1
        ts.append(asyncio.ensure_future(one(n)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*ts)
    g = sorted(x for x in good if x >= t0 - 0.5)
    return max(b - a for a, b in zip(g, g[1:]))


async def gather_duties(w):
    """Until store, clock and primary are on one core machine; that machine's name."""
    for _ in range(40):
        n = (w.who("almanac", "leader") or [""])[0]
        m = w.cards[n]["machine"] if n else ""
        off = [
            x
            for x, y in w.nodes.items()
            if y.machine != m
            and (getattr(y.daemon, "clk", None) or getattr(y.daemon, "part", "") == "primary")
        ]
        if m and not off and w.who("desk", "primary"):
            return m
        for x in off[:1] if m else []:
            await w.leave(x)
            w.start(x)
        await asyncio.sleep(2.5)
    return m


def handover(
    seed,
    shape,
    whats=("core machine lost", "desk killed", "desk leaves", "clock killed", "store killed", "store leaves"),
):
    """Longest silence after: a whole core machine lost with all three duties, desk
    killed, desk leaving, clock leader killed, store leader killed, leaving."""
    out = {}
    for what in whats:
        w = World(seed=seed, shape=SHAPES[shape], masts=2)

        def hit(w=w, what=what):
            if what.startswith("core"):
                w.power_off(w.cards[w.who("almanac", "leader")[0]]["machine"])
                return
            if what.startswith("desk"):
                n = w.who("desk", "primary")[0]
            elif what.startswith("clock"):
                n = [n for n, x in w.nodes.items() if getattr(x.daemon, "clk", None)][0]
            else:
                n = w.who("almanac", "leader")[0]
            (w.kill if what.endswith("killed") else w.leave)(n)

        async def go(w=w, what=what, hit=hit):
            w.start_all()
            op, req = w.operator(tag="op"), w.requester(tag="r")
            await op.found(lanes=w.shape.lanes)
            if what.startswith("core"):
                await gather_duties(w)
            await asyncio.sleep(2 + seed % 10 / 10)
            out[what] = await probe_gap(w, req, hit)

        w.run(go())
    return out


def heard(seed, shape):
    """After the primary is killed: from its successor's first moment, until every worker
    was heard there, with what it runs and what ended; and what was rebuilt wrongly."""
    w, out = World(seed=seed, shape=SHAPES[shape], masts=2), {}

    async def go():
        w.start_all()
        op, req = w.operator(tag="op"), w.requester(tag="r")
        await op.found(lanes=w.shape.lanes)
        w.add_crew()
        load = asyncio.ensure_future(req.run(mix=w.shape.mix, seconds=8, settle=12))
        await asyncio.sleep(3 + seed % 7 / 7)
        w.kill(w.who("desk", "primary")[0])
        while not w.who("desk", "primary"):
            await asyncio.sleep(0.005)
        d, t = w.nodes[w.who("desk", "primary")[0]].daemon, w.loop.virtual_time
        while any(i not in d.sessions or d.sessions[i].seq < 0 for i in d.record.workers):
            await asyncio.sleep(0.005)
        out["every worker heard, s"] = w.loop.virtual_time - t
        await load

    w.run(go())
    out["violations"] = len(judge(w.hist.rows)[0])
    return out


def turns(seed, shape):
    """Disk and stamps under today's load, and edits to every mast."""
    w, out = World(seed=seed, shape=SHAPES[shape]), {}

    async def go():
        w.start_all()
        op, req = w.operator(tag="op"), w.requester(tag="r")
        await op.found(lanes=w.shape.lanes)
        w.add_crew()
        await asyncio.sleep(2)
        alm = [x.daemon for n, x in w.nodes.items() if n.startswith("almanac")]
        desk = w.nodes[w.who("desk", "primary")[0]].daemon
        t0 = [(a.segments.syncs, a.segments.bytes) for a in alm], desk.batch_count, desk.event_count
        load = asyncio.ensure_future(req.run(mix=w.shape.mix, seconds=20, settle=5))
        far = []
        for _ in range(8):
            c = await op.read()
            st, v = await op.edit(
                base=c["version"], rows={sorted(w.shape.lanes)[0]: {"weight": w.rng.randint(1, 9)}}
            )
            t = w.loop.virtual_time
            while any(
                x.daemon.charter["version"] < v["version"] for n, x in w.nodes.items() if n.startswith("mast")
            ):
                await asyncio.sleep(0.001)
            far.append(w.loop.virtual_time - t)
            await asyncio.sleep(1.5)
        n = desk.batch_count - t0[1]
        out["syncs a turn, one member"] = sum(a.segments.syncs - b[0] for a, b in zip(alm, t0[0])) / 3 / n
        out["bytes a turn, one member"] = sum(a.segments.bytes - b[1] for a, b in zip(alm, t0[0])) / 3 / n
        out["stamps a batch"] = (desk.event_count - t0[2]) / n
        out["turns a second"] = n / 20
        out["edit to all masts, s"] = max(far)
        await load
        ls = sorted(req.latency)
        out["accept, s, median"], out["accept, s, worst"] = ls[len(ls) // 2], ls[-1]

    w.run(go())
    return out


def one(a):
    what, seed, shape, times = a
    if what == "place":
        return place(seed, shape, times=times)
    if what == "quality":
        return quality(seed, shape, times=times)
    if what == "crowd":
        return crowd(seed, shape, times=times)
    if what == "core":
        return handover(seed, shape, whats=("core machine lost",))
    return {"handover": handover, "turns": turns, "heard": heard}[what](seed, shape)


class MeasureCommand(Command):
    name = "measure"
    description = "Measure handover, turns, placement or a crowd over seeds, in virtual time."
    options = [
        option(
            "what",
            None,
            "handover, core, heard, turns, place, quality, crowd or cpu.",
            flag=False,
            default="handover",
        ),
        option("seeds", None, "FIRST-LAST.", flag=False, default="1-20"),
        option("shape", None, "cymylau or memoria.", flag=False, default="cymylau"),
        option(
            "times",
            None,
            "For place: times the workers; for crowd and quality: the load.",
            flag=False,
            default="1",
        ),
        option("procs", None, "Runs at the same time.", flag=False, default="4"),
    ]

    def handle(self):
        try:
            a, b = map(int, self.option("seeds").split("-"))
            what, shape = self.option("what"), SHAPES[self.option("shape")].name
            times = int(self.option("times"))
            if what not in ("handover", "core", "heard", "turns", "place", "quality", "crowd", "cpu"):
                raise ValueError(what)
        except (ValueError, KeyError) as e:
            self.line_error(f"bad option: {e}")
            return 2
        if what == "cpu":
            for k, v in cpu().items():
                for x, y in v.items():
                    self.line(f"{k}: {x}: {json.dumps(y)}")
            return 0
        with Pool(int(self.option("procs"))) as p:
            rs = p.map(one, [(what, s, shape, times) for s in range(a, b + 1)], chunksize=1)
        for k in rs[0]:
            self.line(f"{k}: {json.dumps(spread([r[k] for r in rs]))}")
        return 0


MEASURE = [MeasureCommand]
