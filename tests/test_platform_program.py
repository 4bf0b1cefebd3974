"""The platform's program of each role, started from the root: which module `platform` is, and settings that
change, with or without a signal, or are invalid after a change."""

import asyncio
import os
import pathlib
import subprocess
import sys

import boot  # test_platform_translation adds its folder to the path
import pytest
import serve
from test_platform_translation import ROOT, SETTINGS, write

from hollowhall.base.seam import Runtime

MADE = """
import sys
sys.path[0] = "platform"
import serve, boot, platform, aiohttp     # serve first: it adds the root to the path
from hollowhall.base.seam import Runtime
d = boot.read_settings(path=sys.argv[1])
x, doors = serve.make(role=sys.argv[2], d=d, runtime=Runtime(folder=sys.argv[3]))
print(platform.python_version(), x.role, len(doors))
"""
ADDRS = {"control": "10.0.0.1:8144", "front": "10.0.0.1:8149", "readiness": "10.0.0.1:8141"}


@pytest.mark.parametrize("role, doors", [("hall", 1), ("mast", 2)])
def test_each_role_is_made_with_the_languages_own_platform(tmp_path, role, doors):
    settings_file = write(tmp_path, SETTINGS | {"listenAddrs": ADDRS})
    program = subprocess.run(
        [sys.executable, "-c", MADE, settings_file, role, str(tmp_path / "d")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert program.stdout.split() == [sys.version.split()[0], role, str(doors)], program.stderr


def test_settings_that_change_are_taken_and_bad_ones_leave_the_old(tmp_path):
    settings = SETTINGS | {"listenAddrs": ADDRS}
    settings_file = write(tmp_path, settings)

    async def go():
        program = serve.Program(
            role="mast",
            path=settings_file,
            platform_settings=boot.read_settings(path=settings_file),
            runtime=Runtime(),
        )
        applied, logged = [], []
        program.daemon.apply_settings = applied.append
        program.daemon.say = lambda event, **kw: logged.append((event.number, kw))
        before = program.settings_stamp()
        write(tmp_path, settings | {"zone": "another"})
        os.utime(settings_file, (1, 1))
        assert program.settings_stamp() != before  # noticed without a signal
        program.reload_settings()
        assert applied[0].zone == "another" and program.platform_settings["zone"] == "another"
        pathlib.Path(settings_file).write_text("zone = [")
        program.reload_settings()
        assert len(applied) == 1 and logged[0][0] == 103 and program.platform_settings["zone"] == "another"
        os.remove(settings_file)
        program.reload_settings()
        assert len(applied) == 1 and program.settings_stamp() is None

    asyncio.run(go())
