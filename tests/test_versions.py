"""Compatibility between versions. The files that 0.1.0 wrote are read by this version, and a cluster is
upgraded one daemon at a time under load, in both orders, while old and new daemons talk to each other.
`python tests/test_versions.py` writes the fixture; a version that changes the format adds a new one beside
it."""

import asyncio
import base64
import json
import pathlib
import random
import zlib

import pytest
import weak as W

from hollowhall.almanac.ring import LogSegments
from hollowhall.base.circuit import unpack
from hollowhall.check.judge import judge
from hollowhall.record import Record
from hollowhall.sim.disk import SimDisk
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES

FIXTURE = pathlib.Path(__file__).parent / "data" / "disk-0.1.0.json"


def write_fixture():
    """Runs a small cluster and saves one store member's disk at the end."""
    world = World(seed=1, shape=SHAPES["cymylau"], masts=1)

    async def go():
        world.start_all()
        operator, client = world.operator(tag="op"), world.requester(tag="r")
        await operator.found(lanes=world.shape.lanes)
        world.add_crew()
        await client.run(mix=world.shape.mix, seconds=4, settle=10)

    world.run(go())
    disk = world.disks["core-1"]
    member = [node.daemon for node in world.ended_nodes if node.name == "almanac-1"][0]
    packed = lambda data: base64.b64encode(zlib.compress(bytes(data).rstrip(b"\0"), 9)).decode()  # noqa: E731
    FIXTURE.write_text(
        json.dumps(
            {
                "files": {name: packed(file.safe) for name, file in disk.files.items()},
                "snap": packed(disk.whole_files["snap"]),
                "size": member.settings.ring_bytes,
                "n": member.settings.ring_files,
                "term": member.term,
                "last": member.last(),
                "applied": member.applied,
                "digest": member.record.digest(),
            }
        )
    )


def test_the_disk_of_an_older_version_is_read():
    fixture = json.loads(FIXTURE.read_text())
    disk = SimDisk(rng=random.Random(1))
    for name, data in fixture["files"].items():
        file = disk.file(name=name, size=fixture["size"])
        data = zlib.decompress(base64.b64decode(data))
        file.safe[: len(data)] = data
    disk.whole_files["snap"] = zlib.decompress(base64.b64decode(fixture["snap"]))
    hard, snap, entries = LogSegments(disk=disk, files=fixture["n"], size=fixture["size"]).load()
    record = Record()
    record.load(snap["record"])
    assert hard["t"] == fixture["term"] and hard["m"] and snap["i"] > 0
    assert (entries[-1][0] if entries else snap["i"]) == fixture["last"]
    for index, _, data in entries:
        entry = unpack(data)
        if index <= fixture["applied"] and entry[0] in ("turn", "edit"):
            record.apply_entry(op=entry[0], d=entry[1])
    assert record.digest() == fixture["digest"] and len(record.jobs) > 5


def newer(cls):
    """A daemon class of the next version: its hello has more fields, and it serves one more request."""

    class Next(cls):
        """The class as of the next version."""

        abstract = False

        def hello(self):
            return super().hello() | {"build": "next", "knows": ["weather"]}

        def on_weather(self, *, request, callback, caller):
            raise NotImplementedError

    return Next


@pytest.mark.parametrize("order", ["edge first", "core first"])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_rolling_upgrade_under_load(order, seed):
    world, figures = World(seed=seed, shape=SHAPES["cymylau"], masts=3), {}

    async def go():
        world.start_all()
        operator, client = world.operator(tag="op"), world.requester(tag="r")
        await operator.found(lanes=world.shape.lanes)
        world.add_crew()
        client.unretried_fraction = 0.0
        load = asyncio.ensure_future(client.run(mix=world.shape.mix, seconds=40, settle=25))
        world.build = {role: newer(daemon) for role, daemon in W.REAL.items()}
        names = sorted(world.cards, key=lambda name: name.split("-"))
        for name in names[::-1] if order == "edge first" else names:
            await world.leave(name)
            world.start(name)
            await asyncio.sleep(2.5)
        world.hist.note("fault", what="rolled out")
        await load
        world.hist.note("calm")
        await operator.read()
        figures.update(client.figures)

    world.run(go())
    broken, seen = judge(world.hist.rows)
    assert broken == [], [(violation.rule, violation.text) for violation in broken[:5]]
    assert not [line for line in world.log if "HH106" in line or "HH111" in line]
    assert figures["accepted"] > 150 and seen["jobs_ended"] > 140 and figures["given_up"] == 0


if __name__ == "__main__":
    write_fixture()
