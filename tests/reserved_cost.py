"""Measures the processor time that reservations cost: `python tests/reserved_cost.py`."""

import random
import time

from reserved_world import LANES

from hollowhall.base import constants
from hollowhall.desk.reserved_plan import Plan
from hollowhall.record import Record
from hollowhall.record.reservation_bodies import check_reservation


def cost(seed, *, workers, reservations):
    """CPU ms of a confirmation beside other overlapping reservations, of making a plan, of keeping it, and of
    a round's refresh in an open window; workers of 8 accelerators, half of them reserved."""
    record, rng, figures = Record(), random.Random(seed), {}
    for level in (1, 2, 3):
        record.apply_entry(op="level", d=level)
    record.charter = {"version": 2, "rows": LANES, "at": 0}
    for number in range(workers):
        record.ev_worker(number + 1, f"w{number}", "b", "gpu", "z1", "r", [64, 262144, 8], True)
    stamp = 10_000 << constants.LOGICAL_BITS
    for number in range(reservations + 1):
        spec, digest = check_reservation(
            {
                "kind": "gpu",
                "count": workers * 4 // (reservations + 1),
                "lanes": ["team"],
                "room": {"gpus": 1},
                "fromMs": 10_000 + rng.randrange(1000),
                "untilMs": 99_000 + rng.randrange(1000),
            }
        )
        began = time.process_time()
        assert record.ev_reserve(stamp + number, f"x{number}", spec, digest, 50)[0] == "new"
        figures["confirmed ms"] = (time.process_time() - began) * 1000
    plan = Plan(rec=record)
    for what, ms in (("planned ms", 10_500), ("stays ms", 10_800), ("a round ms", 10_810)):
        began = time.process_time()
        plan.refresh(ms=ms)
        figures[what] = (time.process_time() - began) * 1000
    return {name: round(value, 2) for name, value in figures.items()}


if __name__ == "__main__":
    for workers, others in ((25, 10), (250, 50), (2500, 99)):
        print(
            workers,
            "workers",
            others + 1,
            "reservations",
            cost(1, workers=workers, reservations=others),
            cost(2, workers=workers, reservations=others),
        )
