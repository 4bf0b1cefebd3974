"""A fleet of accelerators in virtual time, full of others' work, and a team that has some of it reserved for
a window, or not. `play` runs one seed, `figures` evaluates a history. `python tests/reserved_world.py SEEDS`
compares runs with and without reservations; `... storm SEEDS` injects faults of every kind; reserved_cost.py
measures processor time."""

import asyncio
import sys
from statistics import median

import weak

from hollowhall.check.judge import judge
from hollowhall.sim.faults import ALL, schedule
from hollowhall.sim.faults_work import AllFaults
from hollowhall.sim.world import BASE_MS, World
from hollowhall.standins.shapes import Shape, room, step

LANES = {
    "team": {"weight": 1, "limit": 0, "urgency": 3},
    "batch": {"weight": 1, "limit": 0, "urgency": 5},
    "odds": {"weight": 1, "limit": 0, "urgency": 4},
}
OPEN, CLOSE, COUNT = 22.0, 38.0, 24  # window in s of virtual time; accelerators reserved, of 48
GPU = room(1, 1024, 1)


def ms(virtual_s):
    return int(BASE_MS + virtual_s * 1000)


def body(**kw):
    return {
        "kind": "gpu",
        "count": COUNT,
        "room": {"cores": 1, "memMb": 1024, "gpus": 1},
        "lanes": ["team"],
        "fromMs": ms(OPEN),
        "untilMs": ms(CLOSE),
    } | kw


USUAL_BODY = body()


def job(lane, run_ms, tasks=1, **kw):
    return {"lane": lane, "steps": [step("a", "gpu", run_ms, tasks=tasks, room=GPU, **kw)]}


FLEET = Shape(
    name="accelerators",
    zones=3,
    masts=3,
    workers=[("gpu", 6, 64, 262144, 8)],
    lanes=LANES,
    mix=[(lambda r: job("odds", 200 + r.randrange(800), tasks=2), 1.0)],
)


async def crowd(world, client, *, until):
    """Sends others' work, more than there is room for: with checkpoints, with an estimate, and of unknown
    duration."""
    count = 0
    while world.loop.virtual_time < until:
        run_ms = 500 + world.rng.randrange(4000)
        fields = [{"saves": True}, {"estimateMs": run_ms}, {}][count % 3]
        await client.send(body=job(("batch", "odds")[count % 2], run_ms, tasks=4, **fields))
        count += 1
        await asyncio.sleep(0.25)


async def team(world, client, *, until, tasks=8, run_ms=2000):
    """Sends the owners' work: a job of eight tasks every two thirds of a second."""
    while world.loop.virtual_time < until:
        await client.send(body=job("team", run_ms, tasks=tasks))
        await asyncio.sleep(tasks * run_ms / 1000 / COUNT)


def primary(world):
    return world.nodes[world.who("desk", "primary")[0]].daemon


def play(
    seed,
    *,
    reserved=True,
    steps=None,
    build=None,
    end=CLOSE + 6,
    settings=None,
    begin=OPEN,
    crowded=True,
    body=None,
):
    """One run. steps: a coroutine that gets the world and an operator and runs beside the load."""
    world = World(seed=seed, shape=FLEET, build=build or weak.REAL, settings={"level": 3} | (settings or {}))
    world.lease_ignored_by_one_in = 10**6  # no worker keeps running attempts while it is partitioned
    answers = world.got = {}

    async def go():
        world.start_all()
        operator, client, team_client = (
            world.operator(tag="op"),
            world.requester(tag="x"),
            world.requester(tag="team"),
        )
        await operator.found(lanes=LANES)
        world.add_crew()
        world.hist.note("share", percent=(settings or {}).get("reserved_percent", 50))
        await asyncio.sleep(5 - world.loop.virtual_time)
        if reserved:
            answers["answer"] = await operator.reserve(name="r", body=body or USUAL_BODY)
        tasks = [asyncio.ensure_future(crowd(world, client, until=end))] if crowded else []
        if steps:
            tasks.append(asyncio.ensure_future(steps(world, operator)))
        await asyncio.sleep(begin - 0.5 - world.loop.virtual_time)
        tasks.append(asyncio.ensure_future(team(world, team_client, until=CLOSE - 2)))
        await asyncio.sleep(end - world.loop.virtual_time)
        for task in tasks:
            if task.done():
                task.result()

    world.run(go())
    world.bad, world.seen = judge(world.hist.rows)
    return world


def stormy(seed, *, faults_count=10):
    """A run with a schedule of faults of every kind, while two independent operators make and release
    reservations."""

    async def steps(world, operator):
        operators = [world.operator(tag="op1"), world.operator(tag="op2")]
        faults = AllFaults(world=world, requester=world.requester(tag="side"), operators=operators, calm=10.0)

        async def book(client, number):
            for attempt in range(12):
                begin = world.loop.virtual_time + world.rng.random() * 10
                status, _ = await client.reserve(
                    name=f"{client.tag}-{attempt}",
                    tries=9,
                    body=body(
                        lanes=["odds"],
                        count=world.rng.randint(1, 16),
                        fromMs=ms(begin),
                        untilMs=ms(begin + 1 + world.rng.random() * 6),
                    ),
                )
                if status in (200, 201) and world.rng.random() < 0.3:
                    await client.release(f"{client.tag}-{attempt}", tries=9)
                elif status in (200, 201):
                    await client.reservation(f"{client.tag}-{attempt}")
                await asyncio.sleep(world.rng.random() * 2)

        await asyncio.gather(
            faults.run(schedule(seed=seed, kinds=ALL, fault_count=faults_count, start=6.0, end=26.0)),
            *(book(client, number) for number, client in enumerate(operators)),
        )

    return play(seed, steps=steps, end=CLOSE + 8)


def clean(world):
    assert world.bad == [], [(violation.rule, violation.text) for violation in world.bad[:3]]
    assert not [line for line in world.log if " HH106 " in line or " HH111 " in line]


def figures(world):
    """Of the team: tasks started in the window, their waits since the acceptance of their job, and the most
    accelerators at once. Of others: tasks that ended successfully, and that were stopped."""
    accepted, waits, running, most_at_once, busy_ms, last_ms, others_ended, others_stopped, all_started_ms = (
        {},
        [],
        {},
        0,
        0.0,
        ms(8),
        0,
        0,
        None,
    )
    for row in sorted(world.hist.rows, key=lambda row: row["t"]):
        ms_now = row["t"]
        if row["ev"] in ("start", "end") and ms(8) < ms_now < ms(CLOSE):
            busy_ms += len(running) * (ms_now - last_ms)
            last_ms = ms_now
        if row["ev"] == "put.out" and row["status"] in (200, 201):
            accepted.setdefault(row["name"], ms_now)
        elif row["ev"] == "start":
            running[row["run"]] = row
            team_runs = [run for run in running.values() if run["job"].startswith("team")]
            if row["job"].startswith("team") and ms(OPEN) <= ms_now < ms(CLOSE):
                waits.append(ms_now - max(accepted.get(row["job"], ms_now), ms(OPEN)))
                most_at_once = max(most_at_once, len(team_runs))
                if len(team_runs) >= COUNT and all_started_ms is None:
                    all_started_ms = ms_now - ms(OPEN)
        elif row["ev"] == "end":
            run = running.pop(row["run"], None)
            if run is not None and not run["job"].startswith("team"):
                others_ended, others_stopped = (
                    others_ended + (row["how"] == "ok"),
                    others_stopped + (row["how"] == "stopped"),
                )
    return {
        "team begun": len(waits),
        "wait median ms": round(median(waits)) if waits else None,
        "wait worst ms": round(max(waits)) if waits else None,
        "most at once": most_at_once,
        "all there after ms": all_started_ms and round(all_started_ms),
        "others ended": others_ended,
        "others stopped": others_stopped,
        "used": round(busy_ms / (ms(CLOSE) - ms(8)) / 48, 3),
    }


if __name__ == "__main__":
    for s in map(int, sys.argv[2:] if sys.argv[1] == "storm" else ()):
        v = stormy(s)
        print(
            s,
            v.seen.get("reservations"),
            figures(v),
            [(b.rule, b.text) for b in v.bad][:3],
            [x for x in v.log if " HH106 " in x or " HH111 " in x][:2],
            flush=True,
        )
    for s in map(int, () if sys.argv[1] == "storm" else sys.argv[1:]):
        for x in (False, True):
            v = play(s, reserved=x)
            print(s, "with" if x else "without", figures(v), [b.rule for b in v.bad][:5])
