"""A simulated day on which batches of decisions are refused: some get no stamp, no quorum or no room in the store,
of some the outcome is unknown, whether they were taken or not. Workers leave in numbers meanwhile, zones are
evacuated, workers are slow and crash, and the primary's machine is killed or stands still."""

import asyncio
import random

from platform_standins import jobs
from platform_standins.bounds import Bounds
from platform_world import PlatformWorld

from hollowhall.base.problems import Full, NotLeader, NotSynced, Unsure

REFUSED_PART = 0.25  # part; of the batches with reported ends or with anything else
REFUSAL_S = 0.6  # s; a refusal takes up to this long
SURE = (NotSynced(tries=9), NotLeader(hint=""), Full(where="store", after=1))


class RefusingWorld(PlatformWorld):
    """Refuses batches of every primary, by seed."""

    def __init__(self, *, seed, part=REFUSED_PART, **more):
        super().__init__(seed=seed, **more)
        self.draw, self.part, self.refused = random.Random(seed * 17 + 3), part, {}

    def start(self, name):
        super().start(name)
        desk = getattr(self.nodes[name].daemon, "desk", None)
        if desk is not None:
            self.refuse(desk)

    def refuse(self, desk):
        commit, draw = desk.commit, self.draw

        async def sometimes(*, events):
            if events == [["open"]] or draw.random() > self.part:
                return await commit(events=events)
            how = draw.choice(("sure", "lost", "taken"))
            self.refused[how] = self.refused.get(how, 0) + 1
            if how == "taken":  # and nobody here knows
                await commit(events=events)
            await asyncio.sleep(draw.random() * REFUSAL_S)
            desk.last_failure = draw.choice(SURE) if how == "sure" else Unsure(why="lead lost")
            return None

        desk.commit = sometimes


async def troubles(w, op, cs):
    """Leaves, evacuations, slow workers, crashes and takeovers, one after the other and at once."""
    parts = [leaves(w), zones(w, op), sickness(w), takeovers(w)]
    await asyncio.gather(*parts)


async def leaves(w):
    for n in range(2):
        await asyncio.sleep(2 + w.draw.random() * 2)
        going = [x for x in sorted(w.s.workers) if w.s.workers[x].state == "up"][: 1 + len(w.s.workers) // 6]
        for n, worker in enumerate(going):
            asyncio.ensure_future(w.s.workers[worker].leave(notice_ms=(0, 2000, 5000)[n % 3]))
        for n in range(len(going)):
            w.s.add_worker(
                f"i-8{w.draw.getrandbits(20):05x}",
                zone=f"z{n % 3 + 1}",
                rack=f"r{n % 3 + 1}-1",
                guards=False,
                capacity=w.capacity,
                labels=["a"],
                pace=0.99,
            )


async def zones(w, op):
    await asyncio.sleep(w.draw.random() * 4)
    for _ in range(3):
        zone = f"z{w.draw.randrange(3) + 1}"
        await op.evacuate(zone)
        await asyncio.sleep(0.3 + w.draw.random() * 3)
        await op.evacuate(zone, withdraw=True)
        await asyncio.sleep(1.0)


async def sickness(w):
    await asyncio.sleep(1.0)
    for _ in range(2):
        sick = [w.s.workers[x] for x in sorted(w.s.workers)[-3:]]
        for worker in sick:
            worker.turn(slow=5.0)
        await asyncio.sleep(4.0)
        for worker in sick:
            worker.turn(slow=1.0)
        w.s.crash(w.draw.choice(sorted(w.s.workers)))


async def takeovers(w):
    await asyncio.sleep(5.0 + w.draw.random() * 3)
    await w.kill_and_start(w.primary() or "core-1")
    await asyncio.sleep(3.0)
    await w.freeze(w.primary() or "core-1", 2.5)


def play(*, seed, workers=12, rate=5.0, seconds=14.0, **more):
    """One day; (the world, the rules that broke, the jobs' last states)."""
    bounds = Bounds(keepalive_ms=800, hold_max_ms=10_000)
    w = RefusingWorld(seed=seed, workers=workers, bounds=bounds, **more)
    mix = jobs.mix(wall_ms=w.true_ms, racks=["r1-1", "r2-1"], label="a")
    bad, states = w.play(mix=mix, rate=rate, seconds=seconds, faults=troubles)
    return w, bad, states
