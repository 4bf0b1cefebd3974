"""A large task waits for a worker on which a lasting task runs; small tasks need the same worker."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common3"))

import rig as r  # noqa: E402

WORKERS = 7


async def case(rig):
    tiles = r.route("r-tiles", service="tiles", prefix="/tiles/", priority=0)
    wide = r.route("r-wide", service="tiles", prefix="/wide/", priority=2)
    watch = r.route("r-watch", service="tiles", prefix="/watch/", priority=1)
    await rig.configure(r.config(revision=3, routes=[tiles, wide, watch], services=[r.service("tiles")]))
    await rig.until_ready()
    room = {"cpu": 16000, "memMb": 65536, "gpu": 0}
    for index in range(WORKERS):
        worker = r.Worker(
            rig=rig,
            id=f"i-{index}",
            service="tiles",
            zone=r.ZONES[index % 3],
            rack=f"r{index // 5}",
            capacity=room,
            labels=("b",) if index == WORKERS - 1 else ("a",),
            work_s=lambda task, spec: 1e9 if spec == "watch" else 0.8,
        )
        rig.spawn(worker.live())
    only = rig.workers[-1]
    await asyncio.sleep(2.0)

    def job(*, label, tasks=4, cpu=1000, profile="x", **more):
        stage = {"taskCount": tasks, "cpu": cpu, "memMb": 512, "estimateMs": 800, "requiredLabels": label}
        return {"jobProfile": profile, "stages": [stage], **more}

    async def send(way, body):
        name = r.job_id()
        status, _ = await rig.client("POST", way, name, body=body)
        if status != 200:
            raise r.Unable(f"a job was answered {status}")
        return name

    await send(watch, job(label="b", profile="watch", longRunning=True))
    for _ in range(4):  # usual traffic
        await send(tiles, job(label="a", tasks=8))
        await send(tiles, job(label="b", tasks=2))
        await asyncio.sleep(0.5)
    if r.TROUBLE:
        large = await send(wide, job(label="b", tasks=1, cpu=13000))
        rig.notes.say(f"{large} is one task of 13 cores; four cores of {only.id} are in use for good")
    for _ in range(8):
        await send(tiles, job(label="a", tasks=8))
        await asyncio.sleep(0.75)
    name = await send(tiles, job(label="b"))
    rig.notes.say("the traffic ends")
    return await r.stands_still(rig, way=tiles, name=name, worker=only)


r.play(case, FOLDER)
