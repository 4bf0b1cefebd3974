"""The two existing deployments in numbers: daemons, workers, queues, and the mix of jobs that
their clients submit."""

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class Shape:
    """A deployment."""

    name: str
    zones: int
    masts: int
    workers: list  # (kind, count, cores, memMb, gpus)
    lanes: dict
    mix: list = field(default_factory=list)  # (function that makes a job body, jobs per second)


def room(cores, mem_mb=0, gpus=0):
    return {"cores": cores, "memMb": mem_mb, "gpus": gpus}


def step(name, kind, ms, **more):
    """A step whose tasks sleep for `ms` and fail at the rate `flop`; other keywords are its fields."""
    row = {"name": name, "kind": kind, "work": {"ms": ms, "flop": more.pop("flop", 0)}}
    row["room"] = more.pop("room", room(1, 512))
    return row | more


def tile_cut(rng):
    return {
        "lane": "tiles",
        "steps": [step("cut", "tile", 200 + rng.randrange(600), tasks=rng.randint(1, 6), room=room(2, 2048))],
    }


def hail(rng):
    return {
        "lane": "hail",
        "steps": [
            step("fetch", "tile", 150, tasks=2),
            step(
                "classify",
                "nowcast",
                500 + rng.randrange(1000),
                after=["fetch"],
                tasks=2,
                room=room(8, 16384, 1),
                spread={"perWorker": 1},
                flop=0.05,
            ),
        ],
    }


def cells(rng):
    return {
        "lane": "cells",
        "steps": [
            step("track", "nowcast", 300 + rng.randrange(500), room=room(4, 8192, 1), flop=0.03),
            step("plot", "tile", 200, after=["track"]),
        ],
    }


def composite(rng):
    tasks = 12 + rng.randrange(24)
    return {
        "lane": "composites",
        "steps": [
            step("gather", "tile", 300, tasks=tasks, room=room(2, 2048), spread={"perWorker": 4}),
            step(
                "blend", "tile", 900, after=["gather"], tasks=2, room=room(16, 32768), spread={"perRack": 1}
            ),
            step("publish", "tile", 100, after=["blend"], flop=0.1, backoffMs=300),
        ],
    }


def watcher(lane, kind):
    """Makes jobs that run until they are cancelled."""

    def make(rng):
        return {
            "lane": lane,
            "standing": True,
            "steps": [step("watch", kind, 3_600_000, room=room(1, 256), maxFailures=100)],
        }

    return make


def lookup(rng):
    return {
        "lane": "lookups",
        "steps": [
            step("match", "segment", 80 + rng.randrange(250), tasks=rng.randint(1, 3), room=room(1, 1024))
        ],
    }


def glossary(rng):
    return {
        "lane": "glossary",
        "steps": [
            step("split", "segment", 100),
            step(
                "align",
                "segment",
                200 + rng.randrange(400),
                after=["split"],
                tasks=3,
                spread={"perWorker": 1},
                flop=0.03,
            ),
        ],
    }


def pretranslate(rng):
    return {
        "lane": "pretranslate",
        "steps": [
            step("load", "segment", 150, tasks=2, room=room(2, 4096)),
            step(
                "decode",
                "neural",
                700 + rng.randrange(1200),
                after=["load"],
                tasks=rng.randint(1, 4),
                room=room(12, 32768, 1),
                flop=0.04,
            ),
        ],
    }


def merge(rng):
    return {
        "lane": "merges",
        "steps": [
            step("read", "segment", 250, tasks=8, room=room(4, 8192), spread={"perWorker": 2}),
            step("merge", "segment", 1200, after=["read"], room=room(32, 65536)),
            step("index", "segment", 300, after=["merge"], tasks=4, flop=0.05),
        ],
    }


CYMYLAU = Shape(
    name="cymylau",
    zones=3,
    masts=6,
    workers=[("tile", 18, 32, 131072, 0), ("nowcast", 7, 64, 262144, 8)],
    lanes={
        "tiles": {"weight": 4, "limit": 0, "urgency": 5},
        "hail": {"weight": 3, "limit": 40, "urgency": 7},
        "cells": {"weight": 3, "limit": 40, "urgency": 7},
        "composites": {"weight": 2, "limit": 200, "urgency": 3},
        "watchers": {"weight": 1, "limit": 30, "urgency": 8},
    },
    mix=[(tile_cut, 4.0), (hail, 0.7), (cells, 0.7), (composite, 0.06), (watcher("watchers", "tile"), 0.02)],
)

MEMORIA = Shape(
    name="memoria",
    zones=4,
    masts=7,
    workers=[("segment", 24, 64, 262144, 0), ("neural", 10, 128, 524288, 8)],
    lanes={
        "lookups": {"weight": 5, "limit": 0, "urgency": 8},
        "glossary": {"weight": 2, "limit": 100, "urgency": 5},
        "pretranslate": {"weight": 3, "limit": 70, "urgency": 4},
        "merges": {"weight": 2, "limit": 60, "urgency": 3},
        "watchers": {"weight": 1, "limit": 40, "urgency": 7},
    },
    mix=[
        (lookup, 6.0),
        (glossary, 1.0),
        (pretranslate, 0.8),
        (merge, 0.06),
        (watcher("watchers", "segment"), 0.02),
    ],
)

SHAPES = {shape.name: shape for shape in (CYMYLAU, MEMORIA)}


def workers_of(shape):
    """Every worker of a shape: (id, kind, zone, rack, room)."""
    workers = []
    for kind, count, cores, mem_mb, gpus in shape.workers:
        for i in range(count):
            zone = f"z{i % shape.zones + 1}"
            workers.append(
                (
                    f"{kind}-{i + 1:02d}",
                    kind,
                    zone,
                    f"{zone}-r{i // shape.zones % 3 + 1}",
                    room(cores, mem_mb, gpus),
                )
            )
    return workers
