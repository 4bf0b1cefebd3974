"""One odd request, sent to every core machine as whoever gets no answer would, ends none of
their processes. Real daemons behind the adapter, in virtual time."""

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
    w, out = PlatformWorld(seed=5, workers=2), {}

    async def go():
        s = w.s
        w.add_workers(2)
        w.start_all()
        op = s.operator("op")
        await asyncio.sleep(1.0)
        assert await op.put(table(), limit=12)
        await asyncio.sleep(3.0)
        out["before"] = sorted(n for n, x in w.nodes.items() if x.alive)
        for a in list(s.controls):
            await ask(
                web=s.web("odd"),
                method=method,
                addr=a,
                path=path,
                body=body,
                headers={"Content-Type": "application/json"} | headers,
                wait=1.0,
            )
        await asyncio.sleep(2.0)
        out["after"] = sorted(n for n, x in w.nodes.items() if x.alive)

    try:
        w.run(go(), limit=60.0)
    finally:
        for n in w.s.nodes.values():
            n.kill()
    assert out["before"] == out["after"]
