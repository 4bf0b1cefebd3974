"""Limits of a gateway's listener: how the bounds of the settings are divided, and the answer when full."""

from test_http import run as run_daemons
from test_limits import CARD

from hollowhall.base.limits import Bounds, Patience, bounds_of, patience_of, record_bytes, undivided
from hollowhall.base.params import check


def test_what_the_params_give_is_shared_out():
    assert bounds_of(check(CARD)) == Bounds() and record_bytes(check(CARD)) == 0
    assert patience_of(settings=check(CARD), limits={}) == Patience()
    bounds = bounds_of(check(CARD | {"descriptors": 3900}))
    assert 2500 < bounds.clients + bounds.spare < 3900 and bounds.bodies == 0
    settings = check(CARD | {"descriptors": 3900, "memory_mb": 200})
    assert (
        bounds_of(settings).clients < bounds.clients and bounds_of(settings).bodies == 200 * (1 << 20) // 32
    )
    whole = undivided(bounds)
    assert (
        whole.clients + whole.spare == bounds.clients + bounds.spare
        and whole.clients > bounds.clients
        and whole.spare > 100
    )
    assert undivided(Bounds()) == Bounds()
    patience = patience_of(
        settings=settings, limits={"headerMs": 3000, "idleMs": 15000, "headerBytes": 16384}
    )
    assert (patience.header_s, patience.idle_s, patience.head_bytes) == (
        3.0,
        15.0,
        16384,
    ) and patience.body_s >= 3


def test_a_mast_says_crowded_in_its_own_words(tmp_path):
    async def scene(fleet):
        connections = fleet.ds[2].shell.kept
        connections.bounds, connections.bytes = Bounds(bodies=10), 10
        status, body, headers = await fleet.ask("PUT", "/v1/jobs/j1", {"lane": "tiles"})
        assert (status, body["problem"], body["taken"]) == (503, "Crowded", "no") and headers["Retry-After"]
        connections.bytes = 0
        assert (await fleet.beat())[0] == 200

    run_daemons(scene, tmp_path)
