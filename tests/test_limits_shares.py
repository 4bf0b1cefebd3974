"""Limits of a gateway's listener: how the settings' bounds are shared out, and the answer when full."""

from test_http import run as run_daemons
from test_limits import CARD

from hollowhall.base.limits import Bounds, Patience, bounds_of, patience_of, record_bytes, undivided
from hollowhall.base.params import check


def test_what_the_params_give_is_shared_out():
    assert bounds_of(check(CARD)) == Bounds() and record_bytes(check(CARD)) == 0
    assert patience_of(settings=check(CARD), limits={}) == Patience()
    b = bounds_of(check(CARD | {"descriptors": 3900}))
    assert 2500 < b.clients + b.spare < 3900 and b.bodies == 0
    p = check(CARD | {"descriptors": 3900, "memory_mb": 200})
    assert bounds_of(p).clients < b.clients and bounds_of(p).bodies == 200 * (1 << 20) // 32
    u = undivided(b)
    assert u.clients + u.spare == b.clients + b.spare and u.clients > b.clients and u.spare > 100
    assert undivided(Bounds()) == Bounds()
    x = patience_of(settings=p, limits={"headerMs": 3000, "idleMs": 15000, "headerBytes": 16384})
    assert (x.header_s, x.idle_s, x.head_bytes) == (3.0, 15.0, 16384) and x.body_s >= 3


def test_a_mast_says_crowded_in_its_own_words(tmp_path):
    async def scene(h):
        kept = h.ds[2].shell.kept
        kept.bounds, kept.bytes = Bounds(bodies=10), 10
        st, v, hd = await h.ask("PUT", "/v1/jobs/j1", {"lane": "tiles"})
        assert (st, v["problem"], v["taken"]) == (503, "Crowded", "no") and hd["Retry-After"]
        kept.bytes = 0
        assert (await h.beat())[0] == 200

    run_daemons(scene, tmp_path)
