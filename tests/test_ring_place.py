"""Which daemon monitors which: the monitoring ring that is built once per fleet view agrees with a search
through all daemons."""

import random

import pytest

from hollowhall.base import constants
from hollowhall.base.ring_place import MonitoringRing, ring_position


def expected_watchers(*, i, ids):
    """The next few daemons after `i` on the ring, found by a search through all."""
    others = sorted((other for other in ids if other != i), key=ring_position)
    first = next(
        (position for position, other in enumerate(others) if ring_position(other) > ring_position(i)), 0
    )
    return (others[first:] + others[:first])[: constants.WATCHERS_PER_DAEMON]


@pytest.mark.parametrize("size", [0, 1, 2, 3, 4, 5, 30])
def test_the_ring_says_what_a_look_through_all_daemons_says(size):
    draw = random.Random(size)
    ids = [f"daemon-{draw.getrandbits(30)}" for _ in range(size)]
    ring = MonitoringRing(ids=ids)
    for i in [*ids, "a-newcomer", "another"]:
        assert ring.watchers(i) == expected_watchers(i=i, ids=ids)
        assert sorted(ring.watched_by(i)) == sorted(x for x in ids if i in expected_watchers(i=x, ids=ids))
