"""A fault campaign (storm): a fleet under load, a schedule of faults drawn from a seed, a calm time
for accepted jobs to end, then the checker. Tests, the `storm` command, its replay and its
shrinking all use `run`."""

import asyncio
import hashlib
from dataclasses import dataclass

from ..check.judge import judge
from ..standins.shapes import SHAPES
from .faults import ALL, schedule
from .faults_work import AllFaults
from .world import World

CALM = 45.0  # s; after the load, for accepted jobs to end


@dataclass(kw_only=True)
class Storm:
    """The result of one run: `bad` are the violations found, `seen` what the checker counted."""

    seed: int
    bad: list
    seen: dict
    rows: list
    log: list
    plan: list
    figures: dict
    world: object

    def digest(self):
        """A hash of the log and the history: equal seeds must give equal digests."""
        digest = hashlib.sha256()
        for line in self.log:
            digest.update(line.encode())
        for row in self.rows:
            digest.update(repr(row).encode())
        return digest.hexdigest()[:24]


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
    simulation = world or World(seed=seed, shape=SHAPES[shape])
    plan = schedule(seed=seed, kinds=kinds, fault_count=n) if plan is None else plan
    figures = {}

    async def play():
        simulation.start_all()
        watching = asyncio.ensure_future(simulation.watch())
        operators = [simulation.operator(tag="op1"), simulation.operator(tag="op2")]
        requester, fault_requester = simulation.requester(tag="job"), simulation.requester(tag="side")
        await operators[0].found(lanes=simulation.shape.lanes)
        simulation.add_crew()
        load_run = asyncio.ensure_future(
            requester.run(mix=mix or simulation.shape.mix, seconds=load, times=times, settle=calm)
        )
        faults = AllFaults(world=simulation, requester=fault_requester, operators=operators, calm=calm)
        await faults.run(plan)
        await load_run
        simulation.hist.note("calm")
        await operators[0].read()
        figures.update(requester.figures)
        watching.cancel()

    simulation.run(play(), limit=900.0)
    violations, seen = judge(simulation.hist.rows)
    return Storm(
        seed=seed,
        bad=violations,
        seen=seen,
        rows=simulation.hist.rows,
        log=simulation.log,
        plan=plan,
        figures=figures,
        world=simulation,
    )


def shrink(*, seed, plan, say=lambda result: None, rule=None, **kw):
    """Leaves out faults, one at a time, while the rule is still violated; the shortened plan."""
    index = 0
    while index < len(plan):
        fewer = plan[:index] + plan[index + 1 :]
        result = run(seed=seed, plan=fewer, **kw)
        if any(rule is None or violation.rule == rule for violation in result.bad):
            plan = fewer
            say(f"without {index}: still fails, {len(plan)} faults left")
        else:
            index += 1
    return plan
