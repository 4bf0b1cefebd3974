"""Limits of a gateway's listener: how the bounds of the settings are divided, and the answer when full."""

from test_http import run as run_daemons
from test_limits import CARD

from hollowhall.base.limits import (
    Bounds,
    ClientLimits,
    bounds_for_one_kind,
    client_limits,
    connection_bounds,
    record_bytes,
)
from hollowhall.base.params import check


def test_what_the_params_give_is_shared_out():
    assert connection_bounds(check(CARD)) == Bounds() and record_bytes(check(CARD)) == 0
    assert client_limits(settings=check(CARD), limits={}) == ClientLimits()
    bounds = connection_bounds(check(CARD | {"descriptors": 3900}))
    assert 2500 < bounds.clients + bounds.priority < 3900 and bounds.bodies == 0
    settings = check(CARD | {"descriptors": 3900, "memory_mb": 200})
    assert (
        connection_bounds(settings).clients < bounds.clients
        and connection_bounds(settings).bodies == 200 * (1 << 20) // 32
    )
    whole = bounds_for_one_kind(bounds)
    assert (
        whole.clients + whole.priority == bounds.clients + bounds.priority
        and whole.clients > bounds.clients
        and whole.priority > 100
    )
    assert bounds_for_one_kind(Bounds()) == Bounds()
    patience = client_limits(
        settings=settings, limits={"headerMs": 3000, "idleMs": 15000, "headerBytes": 16384}
    )
    assert (patience.header_s, patience.idle_s, patience.head_bytes) == (
        3.0,
        15.0,
        16384,
    ) and patience.body_s >= 3


def test_a_mast_says_crowded_in_its_own_words(tmp_path):
    async def scene(fleet):
        connections = fleet.daemons[2].http_listener.connections
        connections.bounds, connections.bytes = Bounds(bodies=10), 10
        status, body, headers = await fleet.ask("PUT", "/v1/jobs/j1", {"lane": "tiles"})
        assert (status, body["problem"], body["taken"]) == (503, "Crowded", "no") and headers["Retry-After"]
        connections.bytes = 0
        assert (await fleet.beat())[0] == 200

    run_daemons(scene, tmp_path)
