"""Tenants over the product's HTTP API, in a simulated fleet: keys of calls, changes of the table, the
operators' view, and a gateway that gets its refills from each new primary."""

import asyncio

from test_keys import SECRET

from hollowhall.base import constants
from hollowhall.sim.net import SimWeb
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES

STEP = {"name": "s", "kind": "gpu", "room": {"cores": 1}, "tasks": 2, "estimateMs": 400}
OTHER = "k-other"


class Caller:
    """HTTP calls to a gateway, with or without a tenant's key."""

    def __init__(self, world):
        self.world, self.web = world, SimWeb(net=world.net, machine="outside-caller")

    async def ask(self, method, path, body=None, key=None):
        """(status, body)."""
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        addr = self.world.masts[0]
        answer = await self.web.ask(method=method, addr=addr, path=path, body=body, wait=4.0, headers=headers)
        return answer[0], answer[1]

    async def send(self, name, *, lane="tiles", key=None, **more):
        body = {"lane": lane, "steps": [STEP | {"kind": self.world.shape.workers[0][0]}]} | more
        return (await self.ask("PUT", f"/v1/jobs/{name}", body, key=key))[0]


def play(steps):
    world = World(seed=4, shape=SHAPES["cymylau"], masts=2, settings={"level": constants.LEVEL})

    async def go():
        world.start_all()
        await world.operator(tag="op").found(lanes=world.shape.lanes)
        world.add_crew()
        await asyncio.sleep(5)
        caller = Caller(world)
        _, charter = await caller.ask("GET", "/v1/charter")
        tenants = {"t": {"cores": 8, "keys": [SECRET, "k-t-2"], "weight": 2}, "u": {"keys": [OTHER]}}
        edit = {"base": charter["version"], "tenants": tenants}
        assert (await caller.ask("PATCH", "/v1/charter", edit))[0] == 200
        await asyncio.sleep(1)
        await steps(world, caller, charter["version"] + 1)

    world.run(go())
    assert world.loop.complaints == [] and not [
        line for line in world.log if SECRET in line or " HH106 " in line
    ]
    return world


def lane_of(world):
    return sorted(world.shape.lanes)[0]


def test_keys_of_calls():
    async def steps(world, caller, version):
        lane = lane_of(world)
        assert await caller.send("a", lane=lane) == 401
        assert await caller.send("a", lane=lane, key="k-none") == 401
        assert await caller.send("a", lane=lane, key=SECRET, tenant="u") == 422
        assert await caller.send("a", lane=lane, key=SECRET) == 201
        assert await caller.send("a", lane=lane, key="k-t-2") == 200
        assert await caller.send("a", lane=lane, key=OTHER) == 409  # another tenant's job has this name
        assert [
            (await caller.ask("GET", "/v1/jobs/a", key=secret))[0] for secret in (None, OTHER, SECRET)
        ] == [401, 404, 200]
        assert (await caller.ask("DELETE", "/v1/jobs/a", key=OTHER))[0] == 404
        assert (await caller.ask("DELETE", "/v1/jobs/a", key="k-t-2"))[0] == 200
        rows = {lane: dict(world.shape.lanes[lane]) | {"open": True}}
        edit = {"base": version, "rows": rows, "tenants": {"t": {"keys": ["k-new"]}}}
        assert (await caller.ask("PATCH", "/v1/charter", edit))[0] == 200
        await asyncio.sleep(1)
        assert await caller.send("b", lane=lane) == 201
        other = sorted(world.shape.lanes)[1]
        assert await caller.send("c", lane=other, key=SECRET) == 401
        assert await caller.send("c", lane=other, key="k-new") == 201

    play(steps)


def test_what_operators_see_has_limits_and_daemons_and_no_key():
    async def steps(world, caller, version):
        for n in range(6):
            await caller.send(f"j{n}", lane=lane_of(world), key=SECRET)
        await asyncio.sleep(constants.REFILL_PERIOD + 0.5)
        status, body = await caller.ask("GET", "/v1/tenants")
        tenant = body["tenants"]["t"]
        assert (
            status == 200
            and tenant["limit"] == {"cores": 8, "memMb": 0, "gpus": 0}
            and tenant["weight"] == 2.0
        )
        assert tenant["admitted"] + tenant["refused"] == 6 and tenant["daemons"][0]["daemon"] == "mast-1"
        assert 0 < tenant["daemons"][0]["termMs"] <= 6000
        for path in ("/v1/tenants", "/v1/charter", "/v1/picture", "/v1/fleet", "/metrics"):
            _, body = await caller.ask("GET", path)
            assert SECRET not in str(body)

    play(steps)


def test_bad_tables_are_refused_and_say_why():
    async def steps(world, caller, version):
        async def edit(tenants):
            status, body = await caller.ask("PATCH", "/v1/charter", {"base": version, "tenants": tenants})
            assert SECRET not in str(body)
            return status

        assert await edit({"x": {"cores": -1}}) == 422
        assert await edit({"x": {"keys": [SECRET]}}) == 422  # t's
        assert await edit([]) == 422
        assert (await caller.ask("PATCH", "/v1/charter", {"base": version}))[0] == 422
        assert await edit({"x": None}) == 200

    play(steps)


def test_a_mast_is_refilled_by_whoever_is_primary():
    async def steps(world, caller, version):
        await caller.send("before", lane=lane_of(world), key=SECRET)
        await asyncio.sleep(1)
        mast = world.nodes["mast-1"].daemon
        answered_before = mast.refill_answered
        world.kill(world.who("desk", "primary")[0])
        await asyncio.sleep(4)
        assert mast.refill_answered > answered_before and mast.buckets["t"].tokens > 0
        assert await caller.send("after", lane=lane_of(world), key=SECRET) == 201

    play(steps)
