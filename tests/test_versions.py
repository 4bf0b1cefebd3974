"""Versions side by side. What 0.1.0 wrote on disk is read by whatever stands here
now; and a fleet is rolled out one daemon at a time under load, in both orders, with
old and new daemons talking to each other meanwhile. `python tests/test_versions.py`
writes the fixture anew; only a version that changes the format may do so, beside it."""

import asyncio
import base64
import json
import pathlib
import random
import zlib

import pytest
import weak as W

from hollowhall.almanac.ring import Ring
from hollowhall.base.circuit import unpack
from hollowhall.check.judge import judge
from hollowhall.record import Record
from hollowhall.sim.disk import SimDisk
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES

FIXTURE = pathlib.Path(__file__).parent / "data" / "disk-0.1.0.json"


def write():
    """A small fleet's life, and one almanac's disk at the end of it."""
    w = World(seed=1, shape=SHAPES["cymylau"], masts=1)

    async def go():
        w.start_all()
        op, req = w.operator(tag="op"), w.requester(tag="r")
        await op.found(lanes=w.shape.lanes)
        w.add_crew()
        await req.run(mix=w.shape.mix, seconds=4, settle=10)

    w.run(go())
    d = w.disks["core-1"]
    a = [x.daemon for x in w.graves if x.name == "almanac-1"][0]
    z = lambda b: base64.b64encode(zlib.compress(bytes(b).rstrip(b"\0"), 9)).decode()  # noqa: E731
    FIXTURE.write_text(
        json.dumps(
            {
                "files": {n: z(f.safe) for n, f in d.files.items()},
                "snap": z(d.wholes["snap"]),
                "size": a.params.ring_bytes,
                "n": a.params.ring_files,
                "term": a.term,
                "last": a.last(),
                "applied": a.applied,
                "digest": a.record.digest(),
            }
        )
    )


def test_an_older_versions_disk_is_read():
    x = json.loads(FIXTURE.read_text())
    d = SimDisk(rng=random.Random(1))
    for n, b in x["files"].items():
        f = d.file(name=n, size=x["size"])
        b = zlib.decompress(base64.b64decode(b))
        f.safe[: len(b)] = b
    d.wholes["snap"] = zlib.decompress(base64.b64decode(x["snap"]))
    hard, snap, es = Ring(disk=d, files=x["n"], size=x["size"]).load()
    rec = Record()
    rec.load(snap["record"])
    assert hard["t"] == x["term"] and hard["m"] and snap["i"] > 0
    assert (es[-1][0] if es else snap["i"]) == x["last"]
    for i, _, b in es:
        e = unpack(b)
        if i <= x["applied"] and e[0] in ("turn", "edit"):
            rec.enact(op=e[0], d=e[1])
    assert rec.digest() == x["digest"] and len(rec.jobs) > 5


def newer(cls):
    """The next version: it says more in its first frame and knows one more ask."""

    class Next(cls):
        abstract = False

        def hello(self):
            return super().hello() | {"build": "next", "knows": ["weather"]}

        def on_weather(self, *, b, k, who):
            raise NotImplementedError

    return Next


@pytest.mark.parametrize("order", ["edge first", "core first"])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_roll_out_under_load(order, seed):
    w, fig = World(seed=seed, shape=SHAPES["cymylau"], masts=3), {}

    async def go():
        w.start_all()
        op, req = w.operator(tag="op"), w.requester(tag="r")
        await op.found(lanes=w.shape.lanes)
        w.add_crew()
        req.shots = 0.0
        load = asyncio.ensure_future(req.run(mix=w.shape.mix, seconds=40, settle=25))
        w.build = {a: newer(c) for a, c in W.REAL.items()}
        names = sorted(w.cards, key=lambda n: n.split("-"))
        for n in names[::-1] if order == "edge first" else names:
            await w.leave(n)
            w.start(n)
            await asyncio.sleep(2.5)
        w.hist.note("fault", what="rolled out")
        await load
        w.hist.note("calm")
        await op.read()
        fig.update(req.figures)

    w.run(go())
    bad, seen = judge(w.hist.rows)
    assert bad == [], [(b.rule, b.text) for b in bad[:5]]
    assert not [x for x in w.log if "HH106" in x or "HH111" in x]
    assert fig["accepted"] > 150 and seen["jobs_ended"] > 140 and fig["given_up"] == 0


if __name__ == "__main__":
    write()
