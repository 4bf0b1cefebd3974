"""Placement measured: what a round costs a processor, and how good what it decides is."""

import asyncio
import random
import time

from ...base import constants
from ...check.judge import judge
from ...desk.place import Round
from ...record import Record
from ...record.charter import check_job
from ...sim.world import World
from ...standins.shapes import SHAPES, room, step, workers_of

LOOK = 0.25  # s; between two looks at the record


def place(seed, shape, times=1, jobs=400):
    """CPU of one placement round: (ms a grant, grants) with times the workers."""
    rec, r = Record(), random.Random(seed)
    rec.charter = {"version": 2, "rows": SHAPES[shape].lanes, "at": 0}
    st = 1 << constants.LOGICAL_BITS
    for k in range(times):
        for i, kind, z, rack, rm in workers_of(SHAPES[shape]):
            st += 1
            rec.ev_worker(st, f"{i}-{k}", "b", kind, z, rack, [rm["cores"], rm["memMb"], rm["gpus"]])
    makes = [m for m, _ in SHAPES[shape].mix]
    for n in range(jobs * times):
        spec, dg = check_job(r.choice(makes)(r))
        st += 1
        rec.ev_job(st, f"j{n}", spec, dg)
    t = time.process_time()
    rd = Round(rec=rec, now=st >> constants.LOGICAL_BITS, most=constants.BATCH_EVENTS_MAX)
    n, out = 0, rd.run()
    t = (time.process_time() - t) * 1000
    while out:  # until all is full: then a round with nothing to grant
        for task, w in out:
            st += 1
            n += rec.ev_grant(st, task, w)[0] == "ok"
        t2 = time.process_time()
        out = Round(rec=rec, now=st >> constants.LOGICAL_BITS, most=constants.BATCH_EVENTS_MAX).run()
        t2 = (time.process_time() - t2) * 1000
    return {
        "ms a round": t,
        "ms a round when all is full": t2,
        "grants": n,
        "ready": sum(len(x) for x in rec.ready.values()),
    }


def fits(rec, k, now):
    """Whether a ready step's next task, due long enough, would fit on a worker now."""
    j = rec.jobs[k[0]]
    s, t = j.steps[k[1]], next(iter(rec.ready[k].values()))
    row = rec.charter["rows"].get(j.lane)
    if (
        row is None
        or row["limit"]
        and rec.running_by_queue.get(j.lane, 0) >= row["limit"]
        or max(t.due, t.at >> constants.LOGICAL_BITS) > now - 100
    ):
        return False
    return any(not rec.unfit_worker(step=s, spec=s.spec, worker=w, now=now) for w in rec.workers.values())


def quality(seed, shape, *, times=1, build=None, secs=16.0):
    """Under a load that the workers cannot bear, and a large task among small ones: the
    part of their cores that is idle while something waits that would fit; waits by lane; how far the lanes'
    shares of the room are from their weights, between lanes of one urgency; the large
    task's wait."""
    w, out = World(seed=seed, shape=SHAPES[shape], masts=2, build=build), {}
    kind, _, cores, mem, _ = w.shape.workers[0]

    async def go():
        w.start_all()
        op, req = w.operator(tag="op"), w.requester(tag="r")
        lanes = w.shape.lanes | {
            a: {"weight": n, "limit": 0, "urgency": 1} for a, n in (("even-1", 1), ("even-3", 3))
        }
        await op.found(lanes=lanes)
        w.add_crew()
        await asyncio.sleep(4)
        load = asyncio.ensure_future(req.run(mix=w.shape.mix, seconds=secs, times=times, settle=5))
        for a in ("even-1", "even-3"):
            for n in range(6):
                await req.send(
                    name=f"{a}-{n}",
                    body={"lane": a, "steps": [step("s", kind, 900, tasks=600, room=room(2, 64))]},
                )
        large = {"lane": "even-1", "steps": [step("l", kind, 500, room=room(cores, mem // 2))]}
        await req.send(name="large", body=large)
        idle, shares = [], []
        for _ in range(int(secs / LOOK)):
            await asyncio.sleep(LOOK)
            ds = w.who("desk", "primary")
            if not ds:
                continue
            d = w.nodes[ds[0]].daemon
            rec = d.record
            ws = [x for x in rec.workers.values() if x.kind == kind]
            if any(fits(rec, k, d.clock_ms()) for k in rec.ready):
                idle.append(1 - sum(x.used[0] for x in ws) / sum(x.room[0] for x in ws))
            else:
                idle.append(0.0)
            u = [rec.used_by_queue.get(a, [0])[0] for a in ("even-1", "even-3")]
            if sum(u) > 30 and {"even-1", "even-3"} <= rec.lines.keys():
                shares.append(u[1] / sum(u))
        load.cancel()
        out["cores idle while a fitting task waits, part"] = sum(idle) / max(1, len(idle))
        out["share of weight 3 of 4"] = sum(shares) / max(1, len(shares))

    w.run(go())
    rows = w.hist.rows
    taken, first = {}, {}
    for r in rows:
        if r["ev"] == "put.out" and r["status"] in (200, 201):
            taken.setdefault(r["name"], (r["t"], r["body"]["lane"]))
        elif r["ev"] == "cancel":
            taken.pop(r["name"], None)
        elif r["ev"] == "start":
            first.setdefault(r["job"], r["t"])
    end = rows[-1]["t"]
    for a in sorted(w.shape.lanes):
        ws = sorted(first.get(n, end) - t for n, (t, lane) in taken.items() if lane == a)
        if ws and a != "watchers":
            out[f"first start, ms, {a}, median"] = ws[len(ws) // 2]
            out[f"first start, ms, {a}, worst"] = ws[-1]
    out["large task's wait, ms"] = first.get("large", end) - taken["large"][0]
    out["violations"] = len(judge(rows)[0])
    return out
