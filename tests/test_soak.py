"""The soak of real processes (tests/soak.py), short and under fixed seeds; longer ones by hand."""

import pytest
from soak import play


@pytest.mark.parametrize("seed", [1, 2])
def test_what_was_accepted_ends_however_queues_and_processes_change(seed, tmp_path):
    # LOST, review case 3, among restarts: jobs of a replaced queue never went on
    outcome = play(seed=seed, folder=tmp_path, seconds=20.0)
    assert outcome.bad == [], outcome.bad[:5]
    assert outcome.accepted > 20 and outcome.signals > 3 and sum(outcome.changes.values()) > 3
