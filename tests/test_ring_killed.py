"""A process killed during a sync reads back, at its next start, data that its machine may still lose. That
data must be synced before anything is answered from it or written after it."""

import asyncio
import errno
import os

import pytest

from hollowhall.almanac.ring import LogSegments
from hollowhall.base.problems import Raised
from hollowhall.base.seam import Disk

HARD = {"t": 3, "v": "10.0.0.1:1", "m": True}


def test_what_is_read_back_was_synced_first(tmp_path, monkeypatch):
    """A process killed between pwrite and fdatasync leaves a frame in the page cache only. The next
    process must sync it before it acknowledges an append or a vote from it."""
    log = LogSegments(disk=Disk(folder=str(tmp_path)), files=3, size=1 << 16)
    log.load()
    asyncio.run(log.put(hard=HARD, entries=[[1, 3, b"a"]]))
    synced = {}
    monkeypatch.setattr(os, "fdatasync", lambda fd: (_ for _ in ()).throw(OSError(errno.EIO, "killed")))
    with pytest.raises(Raised):
        asyncio.run(log.put(hard=HARD, entries=[[2, 3, b"b"]]))
    monkeypatch.setattr(os, "fdatasync", lambda fd: synced.setdefault(os.fstat(fd).st_ino, 1))
    monkeypatch.setattr(os, "fsync", lambda fd: synced.setdefault(os.fstat(fd).st_ino, 1))
    second_log = LogSegments(disk=Disk(folder=str(tmp_path)), files=3, size=1 << 16)
    _, _, entries = second_log.load()
    assert entries[-1][0] == 2  # it is read back ...
    assert os.stat(tmp_path / "ring-00").st_ino in synced  # ... so it has to be durable


def test_unsynced_first_frame_then_a_second_and_power_loss_is_no_damage(tmp_path, monkeypatch):
    """As above, and power is lost during the next put: the first frame would be missing and the second
    one present, which a replica takes for damage and refuses to start from."""
    log = LogSegments(disk=Disk(folder=str(tmp_path)), files=3, size=1 << 16)
    log.load()
    asyncio.run(log.put(hard=HARD, entries=[[1, 3, b"a"]]))
    durable = {}  # what would survive a power loss

    def note_durable(*a):
        durable["b"] = (tmp_path / "ring-00").read_bytes()

    note_durable()
    asyncio.run(log.put(hard=HARD, entries=[[2, 3, b"b"]]))  # killed before its sync ended
    end = log.offset
    real = os.fsync
    monkeypatch.setattr(
        os,
        "fsync",
        lambda fd: (real(fd), os.fstat(fd).st_ino == os.stat(tmp_path / "ring-00").st_ino and note_durable())[
            0
        ],
    )
    monkeypatch.setattr(os, "fdatasync", lambda fd: None)  # never reaches the disk: power is lost first
    second_log = LogSegments(disk=Disk(folder=str(tmp_path)), files=3, size=1 << 16)
    second_log.load()
    asyncio.run(second_log.put(hard=HARD, entries=[[3, 3, b"c"]]))
    now = (tmp_path / "ring-00").read_bytes()
    torn = durable["b"][:end] + now[end:]  # the second write as far as it was durable; the third in full
    (tmp_path / "ring-00").write_bytes(torn)
    third_log = LogSegments(disk=Disk(folder=str(tmp_path)), files=3, size=1 << 16)
    _, _, entries = third_log.load()
    assert entries[0][0] == 1
