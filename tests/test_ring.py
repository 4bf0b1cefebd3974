"""The ring on disk: what was synced comes back, a torn tail is cut, damage in the
middle is refused, and a lap over old files never brings old frames back."""

import asyncio
import random

import pytest

from hollowhall.almanac.ring import HEAD, Ring
from hollowhall.base.problems import DiskDamage, Raised
from hollowhall.sim.disk import SimDisk

HARD = {"t": 3, "v": "10.0.0.1:1", "m": True}


def disk(seed=1):
    return SimDisk(rng=random.Random(seed))


def ring(d, **kw):
    r = Ring(disk=d, files=kw.get("files", 3), size=kw.get("size", 4096))
    return r, r.load()


def put(r, es, hard=HARD, cut=None):
    asyncio.run(r.put(hard=hard, es=es, cut=cut))


def entries(a, b, term=1, size=20):
    return [[i, term, bytes([i % 250]) * size] for i in range(a, b)]


def test_what_was_put_comes_back():
    d = disk()
    r, (hard, snap, es) = ring(d)
    assert (hard, snap, es) == ({}, None, [])
    put(r, entries(1, 4))
    put(r, entries(4, 6))
    _, (hard, snap, es) = ring(d)
    assert hard == HARD and es == entries(1, 6)


def test_a_later_entry_of_the_same_index_replaces_what_followed():
    d = disk()
    r, _ = ring(d)
    put(r, entries(1, 9))
    put(r, entries(5, 7, term=2))
    assert ring(d)[1][2] == entries(1, 5) + entries(5, 7, term=2)


def test_a_cut_drops_what_stands_behind():
    d = disk()
    r, _ = ring(d)
    put(r, entries(1, 9))
    put(r, [], cut=4)
    assert ring(d)[1][2] == entries(1, 5)


@pytest.mark.parametrize("seed", range(20))
def test_power_lost_in_a_write_cuts_only_the_tail(seed):
    """The unsynced frame is lost, torn or whole; the synced ones always return."""
    d = disk(seed)
    r, _ = ring(d)
    put(r, entries(1, 4))
    f = d.files["ring-00"]

    async def half():
        t = asyncio.ensure_future(r.put(hard=HARD, es=entries(4, 9, size=60)))
        await asyncio.sleep(0)
        t.cancel()

    asyncio.run(half())
    f.power_cut(d.rng)
    r2, (hard, _, es) = ring(d)
    assert es in (entries(1, 4), entries(1, 4) + entries(4, 9, size=60)) and hard == HARD
    put(r2, entries(len(es) + 1, len(es) + 3))
    assert len(ring(d)[1][2]) == len(es) + 2


def test_damage_in_the_middle_is_refused():
    d = disk()
    r, _ = ring(d)
    put(r, entries(1, 4))
    put(r, entries(4, 6))
    d.files["ring-00"].safe[HEAD.size + 9] ^= 1
    with pytest.raises(Raised) as e:
        ring(d)
    assert isinstance(e.value.problem, DiskDamage)


def test_damage_in_the_first_frame_of_a_later_file_is_refused():
    d = disk()
    r, _ = ring(d, files=4, size=1200)
    for i in range(1, 12):
        put(r, entries(i, i + 1, size=100))
    assert r.cur >= 1
    d.files[f"ring-{r.cur:02d}"].safe[HEAD.size + 5] ^= 1
    with pytest.raises(Raised) as e:
        ring(d, files=4, size=1200)
    assert isinstance(e.value.problem, DiskDamage)


def test_many_laps_with_snapshots():
    d = disk()
    r, _ = ring(d, size=2048)
    for i in range(1, 200):
        put(r, entries(i, i + 1, size=100))
        if r.room() < 2:
            asyncio.run(r.snap(d={"i": i, "t": 1, "keys": {}, "record": {}}))
        if i % 17 == 0:
            r, (hard, snap, es) = ring(d, size=2048)
            last = es[-1][0] if es else snap["i"]
            assert last == i and hard == HARD
    assert r.seq > 6


def test_a_full_ring_is_a_typed_problem():
    d = disk()
    r, _ = ring(d, size=2048)
    with pytest.raises(Raised) as e:
        for i in range(1, 200):
            put(r, entries(i, i + 1, size=100))
    assert "full" in e.value.problem.why


def test_a_damaged_snapshot_is_refused():
    d = disk()
    r, _ = ring(d)
    put(r, entries(1, 3))
    asyncio.run(r.snap(d={"i": 2, "t": 1, "keys": {}, "record": {}}))
    b = bytearray(d.wholes["snap"])
    b[-1] ^= 1
    d.wholes["snap"] = bytes(b)
    with pytest.raises(Raised) as e:
        ring(d)
    assert e.value.problem.file == "snap"
