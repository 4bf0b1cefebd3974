"""Days of the real daemons on which batches of decisions are refused, judged by what workers saw. Guards against
TWICE on mandina-lima-large (docs/incidents/started-after-done.md). `PYTHONPATH=. python
tests/test_refused_batches.py FIRST-LAST` plays more seeds and tells of those with a violation."""

import sys

import pytest
from platform_refusals import play
from platform_seeds import sweep


@pytest.mark.parametrize("seed", [7, 1])  # 7 broke TWICE before ends outlasted refused batches
def test_no_rule_breaks_where_batches_are_refused(seed):
    w, bad, states = play(seed=seed)
    assert bad == [] and w.loop.complaints == []
    assert set(w.refused) == {"sure", "lost", "taken"} and len(states) > 30


def day(seed):
    return play(seed=seed)[1]


if __name__ == "__main__":
    first, last = map(int, sys.argv[1].split("-"))
    sweep(day, [(seed,) for seed in range(first, last + 1)])
