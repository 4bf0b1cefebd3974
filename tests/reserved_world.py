"""A fleet of accelerators in virtual time, full of others' work, and a team that has some
of it reserved for a window, or not. `play` runs one seed, `figures` reads a history.
`python tests/reserved_world.py SEEDS` compares with and without reservations,
`... storm SEEDS` plays faults of every kind; reserved_cost.py measures a processor."""

import asyncio
import sys
from statistics import median

import weak as W

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
OPEN, CLOSE, COUNT = 22.0, 38.0, 24  # s of virtual time; accelerators of 48
GPU = room(1, 1024, 1)


def ms(vt):
    return int(BASE_MS + vt * 1000)


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


def job(lane, t, tasks=1, **kw):
    return {"lane": lane, "steps": [step("a", "gpu", t, tasks=tasks, room=GPU, **kw)]}


FLEET = Shape(
    name="accelerators",
    zones=3,
    masts=3,
    workers=[("gpu", 6, 64, 262144, 8)],
    lanes=LANES,
    mix=[(lambda r: job("odds", 200 + r.randrange(800), tasks=2), 1.0)],
)


async def crowd(w, req, *, until):
    """Others' work, more than there is room for: saved, estimated, and of unknown length."""
    n = 0
    while w.loop.vt < until:
        t = 500 + w.rng.randrange(4000)
        kw = [{"saves": True}, {"estimateMs": t}, {}][n % 3]
        await req.send(body=job(("batch", "odds")[n % 2], t, tasks=4, **kw))
        n += 1
        await asyncio.sleep(0.25)


async def team(w, req, *, until, tasks=8, t=2000):
    """The owners' work: a job of eight tasks every two thirds of a second."""
    while w.loop.vt < until:
        await req.send(body=job("team", t, tasks=tasks))
        await asyncio.sleep(tasks * t / 1000 / COUNT)


def primary(w):
    return w.nodes[w.who("desk", "primary")[0]].daemon


def play(
    seed,
    *,
    reserved=True,
    steps=None,
    build=None,
    end=CLOSE + 6,
    params=None,
    begin=OPEN,
    crowded=True,
    body=None,
):
    """One run. steps: a coroutine of the world and an operator beside it all."""
    w = World(seed=seed, shape=FLEET, build=build or W.REAL, params={"level": 3} | (params or {}))
    w.run_on = 10**6  # none runs on when it is cut off
    got = w.got = {}

    async def go():
        w.start_all()
        op, req, mine = w.operator(tag="op"), w.requester(tag="x"), w.requester(tag="team")
        await op.found(lanes=LANES)
        w.add_crew()
        w.hist.note("share", percent=(params or {}).get("reserved_percent", 50))
        await asyncio.sleep(5 - w.loop.vt)
        if reserved:
            got["answer"] = await op.reserve(name="r", body=body or USUAL_BODY)
        ts = [asyncio.ensure_future(crowd(w, req, until=end))] if crowded else []
        if steps:
            ts.append(asyncio.ensure_future(steps(w, op)))
        await asyncio.sleep(begin - 0.5 - w.loop.vt)
        ts.append(asyncio.ensure_future(team(w, mine, until=CLOSE - 2)))
        await asyncio.sleep(end - w.loop.vt)
        for t in ts:
            if t.done():
                t.result()

    w.run(go())
    w.bad, w.seen = judge(w.hist.rows)
    return w


def stormy(seed, *, n=10):
    """A run with a schedule of faults of every kind, and reservations made and let go
    meanwhile by two operators who know nothing of each other."""

    async def steps(w, op):
        ops = [w.operator(tag="op1"), w.operator(tag="op2")]
        f = AllFaults(world=w, requester=w.requester(tag="side"), operators=ops, calm=10.0)

        async def book(o, k):
            for i in range(12):
                b = w.loop.vt + w.rng.random() * 10
                st, _ = await o.reserve(
                    name=f"{o.tag}-{i}",
                    tries=9,
                    body=body(
                        lanes=["odds"],
                        count=w.rng.randint(1, 16),
                        fromMs=ms(b),
                        untilMs=ms(b + 1 + w.rng.random() * 6),
                    ),
                )
                if st in (200, 201) and w.rng.random() < 0.3:
                    await o.release(f"{o.tag}-{i}", tries=9)
                elif st in (200, 201):
                    await o.reservation(f"{o.tag}-{i}")
                await asyncio.sleep(w.rng.random() * 2)

        await asyncio.gather(
            f.run(schedule(seed=seed, kinds=ALL, n=n, start=6.0, end=26.0)),
            *(book(o, k) for k, o in enumerate(ops)),
        )

    return play(seed, steps=steps, end=CLOSE + 8)


def clean(w):
    assert w.bad == [], [(b.rule, b.text) for b in w.bad[:3]]
    assert not [x for x in w.log if " HH106 " in x or " HH111 " in x]


def figures(w):
    """The team's: tasks begun in the window, and how long after their job was taken; most
    accelerators at once; others': tasks ended well, and stopped."""
    taken, waits, live, most, used, at, ok, stopped, late = {}, [], {}, 0, 0.0, ms(8), 0, 0, None
    for r in sorted(w.hist.rows, key=lambda r: r["t"]):
        t = r["t"]
        if r["ev"] in ("start", "end") and ms(8) < t < ms(CLOSE):
            used += len(live) * (t - at)
            at = t
        if r["ev"] == "put.out" and r["status"] in (200, 201):
            taken.setdefault(r["name"], t)
        elif r["ev"] == "start":
            live[r["run"]] = r
            mine = [g for g in live.values() if g["job"].startswith("team")]
            if r["job"].startswith("team") and ms(OPEN) <= t < ms(CLOSE):
                waits.append(t - max(taken.get(r["job"], t), ms(OPEN)))
                most = max(most, len(mine))
                if len(mine) >= COUNT and late is None:
                    late = t - ms(OPEN)
        elif r["ev"] == "end":
            g = live.pop(r["run"], None)
            if g is not None and not g["job"].startswith("team"):
                ok, stopped = ok + (r["how"] == "ok"), stopped + (r["how"] == "stopped")
    return {
        "team begun": len(waits),
        "wait median ms": round(median(waits)) if waits else None,
        "wait worst ms": round(max(waits)) if waits else None,
        "most at once": most,
        "all there after ms": late and round(late),
        "others ended": ok,
        "others stopped": stopped,
        "used": round(used / (ms(CLOSE) - ms(8)) / 48, 3),
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
