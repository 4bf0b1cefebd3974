"""Whole fleets under faults, in virtual time. A fixed handful of seeds a group of
faults; `hollowhall storm` runs hundreds. The same seed is the same run, byte for
byte, also in a process with other string hashes."""

import os
import subprocess
import sys

import pytest

from hollowhall.sim import storm
from hollowhall.sim.faults import CORE, CROWD, NET, WORK


def clean(s):
    assert s.bad == [], [(b.rule, b.text) for b in s.bad[:5]]
    assert not [x for x in s.log if "HH106" in x or "HH111" in x]
    assert s.world.loop.complaints == []
    assert s.seen["jobs_accepted"] > 50 and s.seen["starts"] > 100


@pytest.mark.parametrize("kinds", [CORE, NET, WORK, CROWD], ids=["core", "net", "work", "crowd"])
@pytest.mark.parametrize("shape, seed", [("cymylau", 1), ("memoria", 2), ("cymylau", 3)])
def test_nothing_that_must_never_happen(kinds, shape, seed):
    clean(storm.run(seed=seed, shape=shape, kinds=kinds, n=8, load=30.0))


@pytest.mark.parametrize("seed", [11, 23])
def test_all_faults_together(seed):
    clean(storm.run(seed=seed, n=12))


def test_jobs_and_tables_at_their_limits_while_others_flow():
    """A job of 5000 tasks, a table of 20,000 rows edited in a storm and a race, the store's
    leader killed meanwhile, a burst."""
    s = storm.run(
        seed=1,
        load=10.0,
        calm=25.0,
        plan=[(4.0, "huge", 1), (5.0, "wide_table", 2), (7.0, "kill_leader", 3), (8.0, "burst", 5)],
    )
    clean(s)
    edits = [r for r in s.rows if r["ev"] == "edit.out" and r["status"] == 200]
    assert s.seen["starts"] > 5000 and len(edits) > 20
    assert any(len(r["rows"]) == 20_000 for r in edits)


def test_one_seed_is_one_run():
    code = (
        "import sys; from hollowhall.sim import storm;"
        "sys.argv[1:] and storm.run(seed=6, load=9.0, n=6, kinds=['late_start']) and None;"
        "print(storm.run(seed=5, load=12.0, n=4).digest())"
    )
    out = [
        subprocess.run(
            [sys.executable, "-c", code, *after],
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONHASHSEED": h},
            timeout=300,
        ).stdout
        for h, after in (("1", []), ("2", []), ("1", ["after another"]))
    ]
    assert out[0] == out[1] == out[2] and len(out[0].strip()) == 24
