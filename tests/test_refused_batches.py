"""Simulated days of the real daemons on which decision batches are refused, checked by what workers saw. Guards
against a breach of rule TWICE: a task that was done started again, since its reported end was forgotten with a
refused batch (docs/incidents/started-after-done.md). `PYTHONPATH=. python tests/test_refused_batches.py FIRST-LAST`
plays more seeds and prints those with a violation."""

import sys

import pytest
from platform_refusals import play
from platform_seeds import sweep

from hollowhall.desk.beats import BeatsMixin

PLANTED_SEED = 22  # its day breaks TWICE with the planted fault


@pytest.mark.parametrize(
    "seed", [7, 1, PLANTED_SEED]
)  # 7 broke TWICE while ends were lost with refused batches
def test_no_rule_breaks_where_batches_are_refused(seed):
    world, bad, states = play(seed=seed)
    assert bad == [] and world.loop.complaints == []
    assert set(world.refused) == {"sure", "lost", "taken"} and len(states) > 30


def forgets_with_the_batch(self, *, worker_id, session, run):
    """The former version: reported ends are forgotten once their batch is over."""

    def then(result, stamp):
        session.ends.pop(run, None)
        if not session.ends:
            self.answer_soon(worker_id=worker_id, session=session)
            self.queue_departure(worker_id=worker_id, session=session)

    return then


def test_the_judge_sees_an_end_that_is_forgotten_with_its_batch(monkeypatch):
    monkeypatch.setattr(BeatsMixin, "settled_callback", forgets_with_the_batch)
    assert "TWICE" in {violation.rule for violation in day(PLANTED_SEED)}


def day(seed):
    return play(seed=seed)[1]


if __name__ == "__main__":
    first, last = map(int, sys.argv[1].split("-"))
    sweep(day, [(seed,) for seed in range(first, last + 1)])
