"""The same ramp in virtual time, from a seed: the daemons' own code in hollowhall.sim with
the same hollow workers and callers. Every frame is counted by who sent it, who got it and
what was asked, so the counts are exact and one seed gives one table; processors are not in
it. CI holds these counts (tests/test_scale.py)."""

import asyncio
import random
from contextlib import contextmanager
from dataclasses import dataclass

from ...base import constants
from ...base.circuit import REQUEST_FRAME, pack, unpack
from ...base.problems import Late, Raised
from ...sim.net import SimWeb
from ...sim.wire import SimWire
from ...sim.world import World
from . import sizes as S
from .callers import Caller
from .ramp import duty_of, together
from .workers import Seen, Worker

GROWN = ("entries", "syncs", "disk_b", "stamp_calls", "turns", "events")


@dataclass(kw_only=True)
class Zones:
    """What a simulated world asks of a shape."""

    masts: int
    zones: int = S.ZONES


class Tally:
    """Frames and bytes by daemon, and asks by daemon and by what was asked."""

    def __init__(self):
        self.by, self.ops, self.on = {}, {}, False

    def sent(self, wire, b):
        if not self.on:
            return
        for n, way in ((wire.node.name, "out"), (wire.far_end.node.name, "in")):
            d = self.by.setdefault(n, {"out_n": 0, "out_b": 0, "in_n": 0, "in_b": 0})
            d[way + "_n"] += 1
            d[way + "_b"] += len(b) + 4
        m = unpack(b)
        if isinstance(m, list) and m[0] == REQUEST_FRAME:
            d = self.ops.setdefault(m[3], {"n": 0, "b": 0})
            d["n"], d["b"] = d["n"] + 1, d["b"] + len(b) + 4


@contextmanager
def tallied():
    """Every frame of simulated wires is told to the tally while this lasts."""
    t, send = Tally(), SimWire.send

    def counted(wire, b):
        t.sent(wire, b)
        return send(wire, b)

    SimWire.send = counted
    try:
        yield t
    finally:
        SimWire.send = send


def counters(d):
    """A daemon's own counters, and what it is now."""
    if d.role == "almanac":
        return {
            "duty": d.election_role,
            "clock": d.clk is not None,
            "entries": d.applied,
            "syncs": d.segments.syncs,
            "disk_b": d.segments.bytes,
            "stamp_calls": d.stamp_calls,
        }
    if d.role == "desk":
        return {
            "duty": "primary" if d.live() else "understudy",
            "entries": d.applied,
            "turns": d.batch_count,
            "events": d.event_count,
        }
    return {"duty": "mast"}


class Virtual:
    """One size in a world of its own."""

    def __init__(self, *, plan, size):
        self.plan, self.load, self.size = plan, plan.load(size), size
        self.w = World(
            seed=plan.seed,
            shape=Zones(masts=plan.front + self.load.masts),
            masts=plan.front + self.load.masts,
        )
        self.front, self.rng = self.w.masts[: plan.front], random.Random(plan.seed)
        self.seen, self.row = Seen(), None

    def now(self):
        return self.w.loop.virtual_time

    def caller(self, tag):
        return Caller(
            masts=self.front,
            web=SimWeb(net=self.w.net, machine="out-" + tag),
            rng=random.Random(self.rng.getrandbits(40)),
            now=self.now,
            tag=tag,
        )

    def crew(self):
        for i in range(self.load.workers):
            x = Worker(
                card=S.card(i),
                masts=self.front,
                now=self.now,
                seen=self.seen,
                web=SimWeb(net=self.w.net, machine=f"w-{i}"),
                rng=random.Random(self.rng.getrandbits(40)),
            )
            yield asyncio.ensure_future(x.live())

    def primary(self):
        ns = self.w.who("desk", "primary")
        return self.w.nodes[ns[0]].daemon if ns else None

    async def reached(self):
        end, x = self.now() + self.plan.settle, self.load
        while self.now() < end:
            d = self.primary()
            if (
                d
                and len(d.record.workers) >= x.workers
                and len(d.record.attempts) >= x.running
                and d.record.task_count() >= x.running + x.kept
            ):
                return await asyncio.sleep(2.0)
            await asyncio.sleep(0.2)
        raise Raised(Late(op=f"{x} in {self.plan.settle:g} s"))

    async def go(self, t):
        w, c, x = self.w, self.caller("c"), self.load
        w.start_all()
        op = self.caller("op")
        if not await op.found(rows=S.lanes()):
            raise Raised(Late(op="start"))
        while self.primary() is None or self.primary().record.level < constants.LEVEL_DEFAULT:
            await asyncio.sleep(0.2)  # what begins under an older format is packed otherwise
        tasks = list(self.crew())
        await c.stand(tasks=x.running)
        await c.keep(tasks=x.kept)
        await self.reached()
        if x.starts:
            c.spawn(c.churn(rate=x.starts, urgent=True))
            await asyncio.sleep(2.0)
        c.spawn(op.edit())
        a, s0, t.on = {n: counters(y.daemon) for n, y in w.nodes.items()}, self.seen.told(), True
        await asyncio.sleep(self.plan.hold)
        t.on, b = False, {n: counters(y.daemon) for n, y in w.nodes.items()}
        self.row = self.table_row(a=a, b=b, t=t, s0=s0)
        self.row["seen"] |= {k: v for k, v in op.seen.items() if k.startswith("edit")}
        for y in [*tasks, *c.tasks, *op.tasks]:
            y.cancel()

    def table_row(self, *, a, b, t, s0):
        by, secs = {}, self.plan.hold
        for n in b:
            f = t.by.get(n, {"out_n": 0, "out_b": 0, "in_n": 0, "in_b": 0})
            d = {k: (b[n][k] - a[n][k]) / secs for k in GROWN if k in b[n]}
            d |= {"kb": (f["out_b"] + f["in_b"]) / 1000 / secs, "messages": (f["out_n"] + f["in_n"]) / secs}
            far = n.startswith("mast") and int(n.split("-")[1]) > self.plan.front
            k = "hollow masts" if far else duty_of(name=n, figures=b[n])
            by.setdefault(k, []).append(d)
        rec, s1 = self.primary().record, self.seen.told()
        by["primary desk"][0]["state_b"] = len(pack(rec.pack()))
        return {
            "size": self.size,
            "by": together(by),
            "seen": {k: (s1[k] - s0[k]) / secs for k in ("beats", "starts", "late")},
            "ops": {k: {x: v[x] / secs for x in v} for k, v in sorted(t.ops.items())},
        }


def virtual_size(*, plan, size):
    """The counts of one size, a second of virtual time."""
    with tallied() as t:
        v = Virtual(plan=plan, size=size)
        v.w.run(v.go(t))
    return v.row


def virtual_ramp(*, plan, say):
    rows = []
    for size in plan.sizes:
        rows.append(virtual_size(plan=plan, size=size))
        say(
            f"{plan.vary} {size}: "
            + ", ".join(f"{k} {v['n']:.1f}/s {v['b'] / 1000:.1f} KB/s" for k, v in rows[-1]["ops"].items())
        )
    return rows, ""
