"""A worker fails a part of what it runs for a few seconds and is well again. A lasting task then runs on it."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common3"))

import rig as r  # noqa: E402

SICK_S = 5.0  # s; `srv_grey`: 5 s unless a page says otherwise
WORKERS = 7  # one of them is sick: a share of 0.143


async def case(rig):
    tiles = r.route("r-tiles", service="tiles", prefix="/tiles/", priority=0, retry=3)
    watch = r.route("r-watch", service="tiles", prefix="/watch/", priority=1)
    await rig.configure(r.config(revision=3, routes=[tiles, watch], services=[r.service("tiles")]))
    await rig.until_ready()
    room = {"cpu": 16000, "memMb": 65536, "gpu": 0}
    for index in range(WORKERS):
        last = index == WORKERS - 1
        worker = r.Worker(
            rig=rig,
            id=f"i-{index}",
            service="tiles",
            zone=r.ZONES[index % 3],
            rack=f"r{index // 5}",
            capacity=room,
            labels=("b",) if last else ("a",),
            work_s=lambda task, spec: 1e9 if spec == "watch" else 0.8,
        )
        rig.spawn(worker.live())
    sick = rig.workers[-1]
    await asyncio.sleep(2.0)

    def job(*, label, tasks=4, profile="x", **more):
        stage = {"taskCount": tasks, "cpu": 1000, "memMb": 512, "estimateMs": 800, "requiredLabels": label}
        return {"jobProfile": profile, "stages": [stage], **more}

    async def send(way, body, tries=5):
        name = r.job_id()
        status, _ = await rig.client("POST", way, name, body=body, tries=tries)
        if status != 200:
            raise r.Unable(f"a job was answered {status}")
        return name

    for _ in range(6):  # usual traffic
        await send(tiles, job(label="a", tasks=8))
        await asyncio.sleep(0.5)
    if r.TROUBLE:
        sick.sick_until = time.monotonic() + SICK_S
        rig.notes.say(f"{sick.id} fails two of five runs for {SICK_S} s")
    for _ in range(2):
        await send(tiles, job(label="b", tasks=1))
        await send(tiles, job(label="a", tasks=8))
        await asyncio.sleep(0.5)
    for _ in range(13):  # usual traffic, while the worker becomes well
        await send(tiles, job(label="a", tasks=8))
        await asyncio.sleep(0.75)
    lasting = await send(watch, job(label="b", tasks=1, profile="watch", longRunning=True))
    await asyncio.sleep(2.0)
    name = await send(tiles, job(label="b"))
    rig.notes.say("the traffic ends")
    breaks = await r.stands_still(rig, way=tiles, name=name, worker=sick)
    await rig.client("DELETE", watch, lasting)
    return breaks


r.play(case, FOLDER)
