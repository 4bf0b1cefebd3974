"""A store restored from one surviving disk: nothing that this disk has is lost, the
members that are gone stay out, and blank ones can be added again. A disk that holds no
member is refused."""

import asyncio
import random

import pytest
from test_members import change, joiner, settled, until

from hollowhall.base.problems import Raised, Refused
from hollowhall.check.judge import judge
from hollowhall.sim.disk import SimDisk
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES
from hollowhall.tools.operate.restore import restore


def test_all_that_one_disk_has_is_served_again():
    w, out = World(seed=8, shape=SHAPES["cymylau"], masts=2), {}

    async def go():
        w.start_all()
        op, req = w.operator(tag="op"), w.requester(tag="r")
        await op.found(lanes=w.shape.lanes)
        w.add_crew()
        await req.run(mix=w.shape.mix, seconds=6, settle=8)
        p = w.nodes["almanac-1"].daemon.params
        rec = w.nodes["almanac-1"].daemon.record
        out["before"] = {n: j.state for n, j in rec.jobs.items()}, rec.charter
        for n in ("almanac-1", "almanac-2", "almanac-3"):
            w.kill(n)
        await asyncio.sleep(1)
        w.disks["core-2"].lose()
        w.disks["core-3"].lose()
        d = w.disks["core-1"]
        out["seen"] = await restore(disk=d, params=p, write=False)
        out["again"] = await restore(disk=d, params=p, write=False)
        w.start("almanac-1")
        await asyncio.sleep(4)
        out["alone"] = w.who("almanac", "leader")
        w.kill("almanac-1")
        out["written"] = await restore(disk=d, params=p, write=True)
        w.start("almanac-1")
        await asyncio.sleep(6)
        out["leads"] = w.who("almanac", "leader")
        rec = w.nodes["almanac-1"].daemon.record
        out["after"] = {n: rec.jobs[n].state for n in out["before"][0]}, rec.charter
        w.hist.note("fault", what="restored")
        for n in (4, 5):
            out[n] = (await change(op, "add", joiner(w, n)))[0]
            out["v"] = await until(w, op, lambda v, n=n: settled(v) and len(v["voters"]) == n - 2)
        w.start("almanac-2")  # blank, at an address that is out
        w.kill("almanac-1")
        await req.run(mix=w.shape.mix, seconds=4, settle=10)
        out["two"] = w.who("almanac", "leader"), w.nodes["almanac-2"].daemon.blank

    w.run(go())
    assert out["seen"] == out["again"] and out["alone"] == [] and not out["seen"]["written"]
    assert out["written"]["lost"] == ["10.0.0.2:7000", "10.0.0.3:7000"]
    assert out["written"]["jobs"] == len(out["before"][0]) > 20
    assert out["leads"] == ["almanac-1"] and out["after"] == out["before"]
    assert out[4] == out[5] == 200 and len(out["v"]["voters"]) == 3
    assert out["two"][0] in (["almanac-4"], ["almanac-5"]) and out["two"][1]
    assert judge(w.hist.rows)[0] == []


@pytest.mark.parametrize("hard", [None, {"t": 3, "v": "", "m": False}])
def test_a_disk_without_a_member_is_refused(hard):
    from hollowhall.almanac.ring import Ring
    from hollowhall.base.params import Params

    d, p = SimDisk(rng=random.Random(1)), Params(id="a", addr="10.0.0.1:7000", seeds=[])

    async def go():
        if hard:
            r = Ring(disk=d, files=p.ring_files, size=p.ring_bytes)
            r.load()
            await r.put(hard=hard, es=[])
        with pytest.raises(Raised) as e:
            await restore(disk=d, params=p, write=True)
        return e.value.problem

    assert isinstance(asyncio.run(go()), Refused)
