"""Fault campaigns on whole fleets in virtual time, with a few fixed seeds per group of faults;
`hollowhall storm` runs hundreds. The same seed gives the same run, byte for byte, also in a
process with other string hashes."""

import os
import subprocess
import sys

import pytest

from hollowhall.sim import storm
from hollowhall.sim.faults import CORE, CROWD, NET, WORK


def clean(result):
    """Asserts that no rule was violated, no exception was logged or lost, and jobs did run."""
    assert result.bad == [], [(violation.rule, violation.text) for violation in result.bad[:5]]
    assert not [line for line in result.log if "HH106" in line or "HH111" in line]
    assert result.world.loop.complaints == []
    assert result.seen["jobs_accepted"] > 50 and result.seen["starts"] > 100


@pytest.mark.parametrize("kinds", [CORE, NET, WORK, CROWD], ids=["core", "net", "work", "crowd"])
@pytest.mark.parametrize("shape, seed", [("cymylau", 1), ("memoria", 2), ("cymylau", 3)])
def test_nothing_that_must_never_happen(kinds, shape, seed):
    clean(storm.run(seed=seed, shape=shape, kinds=kinds, n=8, load=30.0))


@pytest.mark.parametrize("seed", [11, 23])
def test_all_faults_together(seed):
    clean(storm.run(seed=seed, n=12))


def test_jobs_and_tables_at_their_limits_while_others_flow():
    """Jobs of 5000 tasks, a configuration of 20,000 rows under many and concurrent changes, the store's
    leader killed meanwhile, and a burst of jobs."""
    result = storm.run(
        seed=1,
        load=10.0,
        calm=25.0,
        plan=[(4.0, "huge", 1), (5.0, "wide_table", 2), (7.0, "kill_leader", 3), (8.0, "burst", 5)],
    )
    clean(result)
    edits = [row for row in result.rows if row["ev"] == "edit.out" and row["status"] == 200]
    assert result.seen["starts"] > 5000 and len(edits) > 20
    assert any(len(row["rows"]) == 20_000 for row in edits)


def test_one_seed_is_one_run():
    code = (
        "import sys; from hollowhall.sim import storm;"
        "sys.argv[1:] and storm.run(seed=6, load=9.0, n=6, kinds=['late_start']) and None;"
        "print(storm.run(seed=5, load=12.0, n=4).digest())"
    )
    digests = [
        subprocess.run(
            [sys.executable, "-c", code, *arguments],
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            timeout=300,
        ).stdout
        for hash_seed, arguments in (("1", []), ("2", []), ("1", ["after another"]))
    ]
    assert digests[0] == digests[1] == digests[2] and len(digests[0].strip()) == 24
