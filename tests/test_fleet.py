"""A small fleet of real processes on loopback: jobs run while the primary desk and the
leading almanac are killed, or the leader's machine is cut off; the history is clean, every
daemon ends well."""

import asyncio
import dataclasses

from hollowhall.check.judge import judge
from hollowhall.standins.history import read
from hollowhall.standins.shapes import CYMYLAU
from hollowhall.tools.fleet.fleet import Fleet
from hollowhall.tools.fleet.relay import Relays
from hollowhall.tools.fleet.trial import trial

SMALL = dataclasses.replace(
    CYMYLAU, masts=2, workers=[("tile", 4, 32, 131072, 0), ("nowcast", 2, 64, 262144, 8)]
)


def run(tmp_path, *, relays=None, **kw):
    f = Fleet(shape=SMALL, folder=str(tmp_path), relays=relays)
    f.start_all()
    try:
        paths, fig = asyncio.run(trial(fleet=f, say=lambda s: None, **kw))
        assert f.dead() == {}
    finally:
        f.stop_all()
    return paths, fig


def clean(tmp_path, paths, fig):
    bad, seen = judge(read(paths))
    assert bad == [] and seen["jobs_accepted"] > 10 and fig["ended"] > 10
    logs = "".join(p.read_text() for p in tmp_path.glob("*.log"))
    assert "HH106" not in logs and "HH111" not in logs


def test_a_fleet_keeps_its_word_through_two_kills(tmp_path):
    clean(tmp_path, *run(tmp_path, seconds=8))


def test_a_fleet_keeps_its_word_while_its_leader_is_cut_off(tmp_path):
    relays = Relays()
    clean(tmp_path, *run(tmp_path, seconds=10, relays=relays, kinds=["split"]))
    assert relays.held > 0
