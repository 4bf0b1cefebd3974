"""The log on disk: synced entries are read back, a torn last frame is cut off, damage in the middle is
refused, and reuse of a file never brings back its old frames."""

import asyncio
import random

import pytest

from hollowhall.almanac.ring import FRAME_HEADER, LogSegments
from hollowhall.base.problems import DiskDamage, Raised
from hollowhall.sim.disk import SimDisk

HARD = {"t": 3, "v": "10.0.0.1:1", "m": True}


def make_disk(seed=1):
    return SimDisk(rng=random.Random(seed))


def open_log(disk, **options):
    """A log on this disk: (log, (hard state, snapshot, entries) read back)."""
    log = LogSegments(disk=disk, files=options.get("files", 3), size=options.get("size", 4096))
    return log, log.load()


def put(log, added, hard=HARD, cut=None):
    asyncio.run(log.put(hard=hard, entries=added, cut=cut))


def entries(first, end, term=1, size=20):
    """Log entries from `first` up to but not including `end`."""
    return [[index, term, bytes([index % 250]) * size] for index in range(first, end)]


def test_what_was_put_comes_back():
    disk = make_disk()
    log, (hard, snap, read_back) = open_log(disk)
    assert (hard, snap, read_back) == ({}, None, [])
    put(log, entries(1, 4))
    put(log, entries(4, 6))
    _, (hard, snap, read_back) = open_log(disk)
    assert hard == HARD and read_back == entries(1, 6)


def test_a_later_entry_of_the_same_index_replaces_what_followed():
    disk = make_disk()
    log, _ = open_log(disk)
    put(log, entries(1, 9))
    put(log, entries(5, 7, term=2))
    assert open_log(disk)[1][2] == entries(1, 5) + entries(5, 7, term=2)


def test_a_cut_drops_what_stands_behind():
    disk = make_disk()
    log, _ = open_log(disk)
    put(log, entries(1, 9))
    put(log, [], cut=4)
    assert open_log(disk)[1][2] == entries(1, 5)


@pytest.mark.parametrize("seed", range(20))
def test_power_lost_in_a_write_cuts_only_the_tail(seed):
    """The unsynced frame is lost, torn or whole; the synced ones are always read back."""
    disk = make_disk(seed)
    log, _ = open_log(disk)
    put(log, entries(1, 4))
    file = disk.files["ring-00"]

    async def interrupted_put():
        write = asyncio.ensure_future(log.put(hard=HARD, entries=entries(4, 9, size=60)))
        await asyncio.sleep(0)
        write.cancel()

    asyncio.run(interrupted_put())
    file.power_cut(disk.rng)
    reopened, (hard, _, read_back) = open_log(disk)
    assert read_back in (entries(1, 4), entries(1, 4) + entries(4, 9, size=60)) and hard == HARD
    put(reopened, entries(len(read_back) + 1, len(read_back) + 3))
    assert len(open_log(disk)[1][2]) == len(read_back) + 2


def test_damage_in_the_middle_is_refused():
    disk = make_disk()
    log, _ = open_log(disk)
    put(log, entries(1, 4))
    put(log, entries(4, 6))
    disk.files["ring-00"].safe[FRAME_HEADER.size + 9] ^= 1
    with pytest.raises(Raised) as caught:
        open_log(disk)
    assert isinstance(caught.value.failure, DiskDamage)


def test_damage_in_the_first_frame_of_a_later_file_is_refused():
    disk = make_disk()
    log, _ = open_log(disk, files=4, size=1200)
    for index in range(1, 12):
        put(log, entries(index, index + 1, size=100))
    assert log.current >= 1
    disk.files[f"ring-{log.current:02d}"].safe[FRAME_HEADER.size + 5] ^= 1
    with pytest.raises(Raised) as caught:
        open_log(disk, files=4, size=1200)
    assert isinstance(caught.value.failure, DiskDamage)


def test_many_laps_with_snapshots():
    disk = make_disk()
    log, _ = open_log(disk, size=2048)
    for index in range(1, 200):
        put(log, entries(index, index + 1, size=100))
        if log.free_files() < 2:
            asyncio.run(log.snap(snapshot={"i": index, "t": 1, "keys": {}, "record": {}}))
        if index % 17 == 0:
            log, (hard, snap, read_back) = open_log(disk, size=2048)
            last = read_back[-1][0] if read_back else snap["i"]
            assert last == index and hard == HARD
    assert log.sequence > 6


def test_a_full_ring_is_a_typed_problem():
    disk = make_disk()
    log, _ = open_log(disk, size=2048)
    with pytest.raises(Raised) as caught:
        for index in range(1, 200):
            put(log, entries(index, index + 1, size=100))
    assert "full" in caught.value.failure.why


def test_a_damaged_snapshot_is_refused():
    disk = make_disk()
    log, _ = open_log(disk)
    put(log, entries(1, 3))
    asyncio.run(log.snap(snapshot={"i": 2, "t": 1, "keys": {}, "record": {}}))
    data = bytearray(disk.whole_files["snap"])
    data[-1] ^= 1
    disk.whole_files["snap"] = bytes(data)
    with pytest.raises(Raised) as caught:
        open_log(disk)
    assert caught.value.failure.file == "snap"
