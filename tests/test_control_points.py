"""Five kinds of faults against the control plane, each scenario with one seed; 500 seeds of each are played by
`python tests/control_points.py` (docs/status.md). Versions without a protection must fail."""

import pytest
from control_losses import planned_then_lost
from control_points import POINTS, play
from control_shapes import sent_again_after_many

from hollowhall.almanac import StoreMember
from hollowhall.record import Record


@pytest.mark.parametrize("shape", [s for shapes in POINTS.values() for s in shapes], ids=lambda s: s.__name__)
def test_nothing_breaks(shape):
    found, world = play(shape, 2)
    assert found == [] and world.loop.complaints == []


def test_a_member_that_ends_without_a_word_leaves_no_majority(monkeypatch):
    async def depart(self):
        pass

    monkeypatch.setattr(StoreMember, "depart", depart)
    with pytest.raises(AssertionError, match="no majority is left"):
        play(planned_then_lost, 1)


def test_a_change_sent_again_after_many_is_refused_by_a_store_that_forgets(monkeypatch):
    monkeypatch.setattr(Record, "may_have_forgotten", lambda self, d: False)
    with pytest.raises(AssertionError, match="412"):
        play(sent_again_after_many, 1)
