"""A small fleet of real processes on loopback: jobs run while the primary desk and
the leading almanac are killed, the history is clean, every daemon ends well."""

import asyncio
import dataclasses

from hollowhall.tools.check import judge
from hollowhall.tools.fleet import Fleet
from hollowhall.tools.shapes import CYMYLAU
from hollowhall.tools.trial import trial
from hollowhall.tools.web import read


def test_a_fleet_keeps_its_word_through_two_kills(tmp_path):
    small = dataclasses.replace(CYMYLAU, masts=2, workers=[("tile", 4, 32, 131072, 0),
                                                           ("nowcast", 2, 64, 262144, 8)])
    f = Fleet(shape=small, folder=str(tmp_path))
    f.start_all()
    try:
        paths, fig = asyncio.run(trial(fleet=f, seconds=8, say=lambda s: None))
        assert f.dead() == {}
    finally:
        f.stop_all()
    bad, seen = judge(read(paths))
    assert bad == [] and seen["jobs_accepted"] > 10 and fig["ended"] > 10
    logs = "".join(p.read_text() for p in tmp_path.glob("*.log"))
    assert "HH106" not in logs and "HH111" not in logs
