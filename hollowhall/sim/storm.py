"""A storm: a shape's fleet under load, a schedule of faults from the seed, then calm
until what was taken has ended, then the checker. `run` is what tests, the storm
command, replay and the shrinker share."""

import asyncio
import hashlib
from dataclasses import dataclass

from ..check.judge import judge
from ..standins.shapes import SHAPES
from .faults import ALL, schedule
from .faults_work import AllFaults
from .world import World

CALM = 45.0  # s; after the last fault, for everything to end


@dataclass(kw_only=True)
class Storm:
    seed: int
    bad: list
    seen: dict
    rows: list
    log: list
    plan: list
    figures: dict
    world: object

    def digest(self):
        h = hashlib.sha256()
        for x in self.log:
            h.update(x.encode())
        for r in self.rows:
            h.update(repr(r).encode())
        return h.hexdigest()[:24]


def run(
    *,
    seed,
    shape="cymylau",
    kinds=ALL,
    n=10,
    plan=None,
    times=1.0,
    world=None,
    load=36.0,
    mix=None,
    calm=CALM,
):
    w = world or World(seed=seed, shape=SHAPES[shape])
    plan = schedule(seed=seed, kinds=kinds, n=n) if plan is None else plan
    fig = {}

    async def go():
        w.start_all()
        eye = asyncio.ensure_future(w.watch())
        ops = [w.operator(tag="op1"), w.operator(tag="op2")]
        req, side = w.requester(tag="job"), w.requester(tag="side")
        await ops[0].found(lanes=w.shape.lanes)
        w.add_crew()
        t = asyncio.ensure_future(req.run(mix=mix or w.shape.mix, seconds=load, times=times, settle=calm))
        f = AllFaults(world=w, requester=side, operators=ops, calm=calm)
        await f.run(plan)
        await t
        w.hist.note("calm")
        await ops[0].read()
        fig.update(req.figures)
        eye.cancel()

    w.run(go(), limit=900.0)
    bad, seen = judge(w.hist.rows)
    return Storm(seed=seed, bad=bad, seen=seen, rows=w.hist.rows, log=w.log, plan=plan, figures=fig, world=w)


def shrink(*, seed, plan, say=lambda s: None, rule=None, **kw):
    """Leaves faults out, one at a time, while the same rule still breaks."""
    i = 0
    while i < len(plan):
        less = plan[:i] + plan[i + 1 :]
        s = run(seed=seed, plan=less, **kw)
        if any(rule is None or b.rule == rule for b in s.bad):
            plan = less
            say(f"without {i}: still fails, {len(plan)} faults left")
        else:
            i += 1
    return plan
