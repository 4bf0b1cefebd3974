"""What asks cost a processor, on real processes: a small fleet is started, asks of one
kind after another are sent to its one mast, and the CPU time that each daemon's process
took (from /proc) is divided by their number. The simulation's costs (CPU in sim/world.py,
PACK_TASK_CPU_TIME and its like) are set from these figures."""

import asyncio
import os
import random
import tempfile
import time
from dataclasses import replace

from ...base import constants
from ...base.circuit import pack, unpack
from ...record import Record
from ...record.charter import check_job, check_rows
from ...standins.crowd import Operator
from ...standins.history import History
from ...standins.http_client import HttpClient
from ...standins.shapes import CYMYLAU, step
from ..fleet.fleet import Fleet

TICK = os.sysconf("SC_CLK_TCK")


def cpu_of(pid):
    """Seconds of processor that a process has taken."""
    with open(f"/proc/{pid}/stat") as f:
        x = f.read().rsplit(")", 1)[1].split()
    return (int(x[11]) + int(x[12])) / TICK


def job(n):
    return {"lane": "tiles", "steps": [step("cut", "none", 100, tasks=n)]}


async def asks(n):
    """CPU in µs an ask, by kind of ask and role of daemon."""
    out = {}
    with tempfile.TemporaryDirectory() as d:
        f = Fleet(shape=replace(CYMYLAU, masts=1), folder=d)
        f.start_all()
        web = HttpClient(max_connections=16)
        try:
            op = Operator(
                masts=f.masts, web=web, hist=History(), rng=random.Random(1), now=time.monotonic, tag="op"
            )
            await op.found(lanes=CYMYLAU.lanes)
            await asyncio.sleep(4)
            for kind, how in (
                ("idle", None),
                ("health", ("GET", "/healthz", None)),
                ("refused", ("PUT", "/v1/jobs/bad%d", job(1) | {"lane": "no"})),
                ("job", ("PUT", "/v1/jobs/job%d", job(1))),
                ("read", ("GET", "/v1/jobs/job%d", None)),
            ):
                out[kind] = await one_kind(f, web, kind, how, n)
        finally:
            await web.close()
            await asyncio.to_thread(f.stop_all)
    return out


async def one_kind(f, web, kind, how, n):
    def now():
        c = {}
        for name, p in f.procs.items():
            r = f.cards[name]["role"]
            c[r] = c.get(r, 0.0) + cpu_of(p.pid)
        return c

    a, t, left = now(), time.monotonic(), list(range(n))

    async def sender():
        while left:
            i = left.pop()
            await web.ask(
                method=how[0], addr=f.masts[0], body=how[2], path=how[1] % i if "%" in how[1] else how[1]
            )

    if how is None:
        await asyncio.sleep(4)
    else:
        await asyncio.gather(*[sender() for _ in range(16)])
    secs, b = time.monotonic() - t, now()
    by = {r: (b[r] - a[r]) for r in a}
    if how is None:  # what they take with nothing to do, a second
        return {r: round(x / secs * 1e6) for r, x in by.items()} | {"secs": secs}
    return {r: round(x / n * 1e6) for r, x in by.items()} | {"secs": round(secs, 2)}


def timed(f, n):
    t = time.process_time()
    for _ in range(n):
        f()
    return (time.process_time() - t) / n * 1e6


def parts(n=2000):
    """µs of single steps, in this process."""
    r = random.Random(1)
    body = CYMYLAU.mix[0][0](r)
    frame = [0, 1, 2, "job", {"name": "x", "spec": check_job(body)[0], "digest": "d" * 32}]
    b, rec, st = pack(frame), Record(), 1 << 40
    rec.to_level(constants.LEVEL)
    rec.charter = {"version": 2, "rows": CYMYLAU.lanes, "at": 0}
    for i in range(n):
        rec.ev_job(st + i, f"j{i}", *check_job(job(10)))
    rows = {f"r{i}": {"weight": 1, "limit": i} for i in range(1000)}
    x = [pack(j.pack()) for j in rec.jobs.values()]
    return {
        "a job's check": timed(lambda: check_job(body), 500),
        "a frame packed and read": timed(lambda: unpack(pack(frame)), n),
        "its bytes": len(b),
        "a row's check": timed(lambda: check_rows(rows), 5) / 1000,
        "a task packed": timed(lambda: [pack(j.pack()) for j in rec.jobs.values()], 2) / n / 10,
        "a task read": timed(lambda: [type(next(iter(rec.jobs.values()))).load(unpack(b)) for b in x], 2)
        / n
        / 10,
    }


def cpu(n=2000):
    return {"parts": {a: round(b, 1) for a, b in parts().items()}, "asks": asyncio.run(asks(n))}
