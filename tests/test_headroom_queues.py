"""Headroom is required per queue: what one queue has to leave free, another one may take; and owners of a
reservation have to leave it beyond what is reserved for them."""

from collections import deque

from test_reservations_record import T, reserve
from test_reserving import Primary

from hollowhall.base import constants

ROOM, RESERVED = 32, 16  # accelerators
KEPT_FREE = int(constants.HEADROOM_FRACTION * ROOM)  # accelerators; headroom is at most this part of the room
PEAK = 8  # accelerators that the urgent queue used at its peak; more than KEPT_FREE
OPEN_MS = 10_000  # ms; begin of the reservation's window


def reserved():
    """Four workers of 8 accelerators, of which 16 are reserved for queue a; queue hot used PEAK recently."""
    primary = Primary()
    primary.ms = T
    assert reserve(primary.record, "x", count=RESERVED)[0] == "new"
    primary.used_lately["hot"] = deque([(0, 0, PEAK)])
    primary.used_at = T + 60_000  # no further sample during the test
    return primary


def test_owners_leave_headroom_beyond_what_is_reserved_for_them():
    # owners of 24 ran 32 at once: they took the room that others left free for urgent work
    primary = reserved()
    primary.job("mine", "a", 40)
    assert primary.run_round(OPEN_MS)[0] == {"mine": ROOM - KEPT_FREE}
    assert primary.run_round(OPEN_MS + 400)[0] == {}


def test_owners_have_what_is_reserved_while_others_of_their_shape_leave_headroom():
    # owners waited over 5 s for their room, since the refusal of another queue's step of the same shape
    # applied to them
    primary = reserved()
    primary.job("mine", "a", RESERVED - 2)
    assert primary.run_round(OPEN_MS)[0] == {"mine": RESERVED - 2}
    primary.job("others", "b", 40, estimateMs=900)
    primary.job("more", "a", 2)
    left = ROOM - (RESERVED - 2) - KEPT_FREE
    assert primary.run_round(OPEN_MS + 400)[0] == {"others": left, "more": 2}
