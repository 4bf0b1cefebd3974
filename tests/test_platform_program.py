"""The platform's program of each role, started as from the root: which module `platform` is, and
settings that change, with a signal or without one, or that are bad after a change."""

import asyncio
import os
import pathlib
import subprocess
import sys

import boot  # found by way of the adapter's tests
import pytest
import serve
from test_platform_translation import ROOT, SETTINGS, write

from hollowhall.base.seam import Seam

MADE = """
import sys
sys.path[0] = "platform"
import serve, boot, platform, aiohttp     # serve first: it makes the root known
from hollowhall.base.seam import Seam
d = boot.read_settings(path=sys.argv[1])
x, doors = serve.make(role=sys.argv[2], d=d, seam=Seam(folder=sys.argv[3]))
print(platform.python_version(), x.role, len(doors))
"""
ADDRS = {"control": "10.0.0.1:8144", "front": "10.0.0.1:8149", "readiness": "10.0.0.1:8141"}


@pytest.mark.parametrize("role, doors", [("hall", 1), ("mast", 2)])
def test_each_role_is_made_with_the_languages_own_platform(tmp_path, role, doors):
    f = write(tmp_path, SETTINGS | {"listenAddrs": ADDRS})
    x = subprocess.run(
        [sys.executable, "-c", MADE, f, role, str(tmp_path / "d")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert x.stdout.split() == [sys.version.split()[0], role, str(doors)], x.stderr


def test_settings_that_change_are_taken_and_bad_ones_leave_the_old(tmp_path):
    d = SETTINGS | {"listenAddrs": ADDRS}
    f = write(tmp_path, d)

    async def go():
        p = serve.Program(role="mast", path=f, d=boot.read_settings(path=f), seam=Seam())
        taken, said = [], []
        p.x.take_params = taken.append
        p.x.say = lambda e, **kw: said.append((e.no, kw))
        was = p.stamp()
        write(tmp_path, d | {"zone": "another"})
        os.utime(f, (1, 1))
        assert p.stamp() != was  # seen without a signal
        p.again()
        assert taken[0].zone == "another" and p.d["zone"] == "another"
        pathlib.Path(f).write_text("zone = [")
        p.again()
        assert len(taken) == 1 and said[0][0] == 103 and p.d["zone"] == "another"
        os.remove(f)
        p.again()
        assert len(taken) == 1 and p.stamp() is None

    asyncio.run(go())
