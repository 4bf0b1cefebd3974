"""A process killed amid a sync reads back what its machine may still lose: that is synced
before anything is answered from it, or written behind it."""

import asyncio
import errno
import os

import pytest

from hollowhall.almanac.ring import Ring
from hollowhall.base.problems import Raised
from hollowhall.base.seam import Disk

HARD = {"t": 3, "v": "10.0.0.1:1", "m": True}


def test_what_is_read_back_was_synced_first(tmp_path, monkeypatch):
    """Killed between pwrite and fdatasync: the frame is in the page cache only. Whoever reads it and
    answers for it (an ack, a vote) must have synced it; nothing here does."""
    r = Ring(disk=Disk(folder=str(tmp_path)), files=3, size=1 << 16)
    r.load()
    asyncio.run(r.put(hard=HARD, es=[[1, 3, b"a"]]))
    synced = {}
    monkeypatch.setattr(os, "fdatasync", lambda fd: (_ for _ in ()).throw(OSError(errno.EIO, "killed")))
    with pytest.raises(Raised):
        asyncio.run(r.put(hard=HARD, es=[[2, 3, b"b"]]))
    monkeypatch.setattr(os, "fdatasync", lambda fd: synced.setdefault(os.fstat(fd).st_ino, 1))
    monkeypatch.setattr(os, "fsync", lambda fd: synced.setdefault(os.fstat(fd).st_ino, 1))
    r2 = Ring(disk=Disk(folder=str(tmp_path)), files=3, size=1 << 16)
    _, _, es = r2.load()
    assert es[-1][0] == 2  # it is read back ...
    assert os.stat(tmp_path / "ring-00").st_ino in synced  # ... so it has to be durable


def test_unsynced_first_frame_then_a_second_and_power_loss_is_no_damage(tmp_path, monkeypatch):
    """The same, and power is lost amid the next put: the first of the two is missing, the second is
    there. The member refuses to start for good."""
    r = Ring(disk=Disk(folder=str(tmp_path)), files=3, size=1 << 16)
    r.load()
    asyncio.run(r.put(hard=HARD, es=[[1, 3, b"a"]]))
    durable = {}  # what the platter has

    def snap(*a):
        durable["b"] = (tmp_path / "ring-00").read_bytes()

    snap()
    asyncio.run(r.put(hard=HARD, es=[[2, 3, b"b"]]))  # killed before its sync ended
    end = r.off
    real = os.fsync
    monkeypatch.setattr(
        os,
        "fsync",
        lambda fd: (real(fd), os.fstat(fd).st_ino == os.stat(tmp_path / "ring-00").st_ino and snap())[0],
    )
    monkeypatch.setattr(os, "fdatasync", lambda fd: None)  # hangs; power goes
    r2 = Ring(disk=Disk(folder=str(tmp_path)), files=3, size=1 << 16)
    r2.load()
    asyncio.run(r2.put(hard=HARD, es=[[3, 3, b"c"]]))
    now = (tmp_path / "ring-00").read_bytes()
    torn = durable["b"][:end] + now[end:]  # write 2: what was durable; write 3: is there
    (tmp_path / "ring-00").write_bytes(torn)
    r3 = Ring(disk=Disk(folder=str(tmp_path)), files=3, size=1 << 16)
    _, _, es = r3.load()
    assert es[0][0] == 1
