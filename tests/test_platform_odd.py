"""A malformed request, sent to every core machine as by a client that gets no answer, ends none of their
processes. Real daemons behind the adapter, in virtual time."""

import asyncio

import pytest
from platform_standins.caller import ask
from platform_world import PlatformWorld, table


@pytest.mark.parametrize(
    "method, path, body, headers",
    [
        ("PUT", "/config", {"revision": 1 << 70, "routeTable": [], "serviceTable": []}, {"If-Match": "0"}),
        (
            "PUT",
            "/instances/i-odd",
            {
                "targetService": "tiles",
                "address": "10.9.9.9:1",
                "zone": "z1",
                "revision": "v1",
                "slots": 8,
                "state": "up",
                "warmupLeftMs": 0,
                "capacity": {"cpu": 1 << 70, "memMb": 1, "gpu": 0},
                "labels": ["a", "r"],
                "clockMs": 1,
                "sequence": 1,
                "active": [],
                "ended": [],
            },
            {},
        ),
    ],
)
def test_an_odd_request_ends_no_process(method, path, body, headers):
    world, alive = PlatformWorld(seed=5, workers=2), {}

    async def go():
        stage = world.s
        world.add_workers(2)
        world.start_all()
        operator = stage.operator("op")
        await asyncio.sleep(1.0)
        assert await operator.put(table(), limit=12)
        await asyncio.sleep(3.0)
        alive["before"] = sorted(name for name, node in world.nodes.items() if node.alive)
        for address in list(stage.controls):
            await ask(
                web=stage.web("odd"),
                method=method,
                addr=address,
                path=path,
                body=body,
                headers={"Content-Type": "application/json"} | headers,
                wait=1.0,
            )
        await asyncio.sleep(2.0)
        alive["after"] = sorted(name for name, node in world.nodes.items() if node.alive)

    try:
        world.run(go(), limit=60.0)
    finally:
        for node in world.s.nodes.values():
            node.kill()
    assert alive["before"] == alive["after"]
