"""Generated fleets on which no job with room may wait for ever. Guards against review/14 and review/15 (LOST): a
lasting attempt kept a worker on trial, or held back for a task without room, for as long as it ran
(docs/incidents/trial-without-end.md, docs/incidents/held-beside-lasting.md).
`PYTHONPATH=. python tests/test_generated_fleets.py FIRST-LAST` plays more seeds and prints those with a violation."""

import sys

import pytest
from generated_fleets import play
from platform_seeds import sweep


@pytest.mark.parametrize(
    "seed", [1, 2, 8, 32, 53, 57, 60]
)  # 53 and 57 broke LOST while trials had no end; 8, 32 and 60 while holds had none
def test_no_job_with_room_waits_for_ever(seed):
    assert play(seed=seed) == []


def violations_of(seed):
    """The violations of one day, for a sweep."""
    return play(seed=seed)


if __name__ == "__main__":
    first, last = map(int, sys.argv[1].split("-"))
    sweep(violations_of, [(seed,) for seed in range(first, last + 1)])
