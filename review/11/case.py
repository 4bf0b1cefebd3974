"""A zone is evacuated while a worker there runs a step of many small tasks, which all end together."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common3"))

import rig as r  # noqa: E402

TASKS, WORK_S = 3000, 6.0


async def case(rig):
    way = r.route("r-small", service="nowcast", prefix="/small/", priority=0)
    await rig.configure(r.config(revision=3, routes=[way], services=[r.service("nowcast")]))
    await rig.until_ready()
    room = {"cpu": 32000, "memMb": 65536, "gpu": 0}
    for index, zone in enumerate(r.ZONES[:2]):
        worker = r.Worker(
            rig=rig,
            id=f"i-{index}",
            service="nowcast",
            zone=zone,
            rack=f"r{index}",
            capacity=room,
            work_s=lambda task, spec: WORK_S,
        )
        rig.spawn(worker.live())
    await asyncio.sleep(2.0)
    name = r.job_id()
    body = {"jobProfile": "x", "stages": [{"taskCount": TASKS, "cpu": 10, "memMb": 8, "estimateMs": 3000}]}
    status, _ = await rig.client("POST", way, name, body=body)
    if status != 200:
        raise r.Unable(f"the job was answered {status}")
    end = time.monotonic() + 20
    while sum(len(worker.starts) for worker in rig.workers) < TASKS and time.monotonic() < end:
        await asyncio.sleep(0.1)
    rig.notes.say("starts: " + ", ".join(f"{w.id} {len(w.starts)}" for w in rig.workers))
    busiest = max(rig.workers, key=lambda worker: len(worker.runs))
    if r.TROUBLE:
        status, _ = await rig.control_call("POST", f"/evacuations/{busiest.zone}", total=4.0)
        if status != 200:
            raise r.Unable("the evacuation was not acknowledged")
    end = time.monotonic() + 40
    state = None
    while time.monotonic() < end:
        status, state = await rig.client("GET", way, name)
        if state and state.get("state") == "complete":
            break
        await asyncio.sleep(1.0)
    await asyncio.sleep(3.0)
    return r.judge_twice(rig)


r.play(case, FOLDER)
