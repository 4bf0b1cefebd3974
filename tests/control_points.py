"""Five kinds of faults against the control plane, each with several scenarios, on the real daemons behind
the platform's adapter in virtual time: 1 a machine that is cut off, 2 operators' version numbers,
3 consecutive losses, 4 members that fall behind, 5 broken connections. `play` runs one scenario with one
seed; `python tests/control_points.py FIRST-LAST [KIND]` runs many and prints what broke."""

import asyncio
import sys
from multiprocessing import Pool

from control_losses import (
    address_taken_over,
    all_dark_and_one_disk_lost,
    behind_and_frozen,
    behind_and_restarted,
    behind_and_restarted_again,
    behind_and_wiped,
    connections_reset,
    edge_gone_after_it_accepted,
    newcomer_killed,
    planned_then_lost,
    replaced_then_wiped,
    replaced_three_times,
    silences,
)
from control_shapes import (
    answers_lost,
    answers_lost_at_a_handover,
    core_in_halves,
    eight_at_once,
    follower_cut_from_all,
    leader_cut_from_all,
    leader_cut_from_core,
    leader_cut_one_way,
    leader_cut_with_reset,
    sent_again_after_many,
    sent_again_at_all,
)
from platform_standins import jobs
from platform_world import PlatformWorld

from hollowhall.explore.history import violations
from hollowhall.explore.orders import Operation, Order

POINTS = {
    1: (
        leader_cut_from_all,
        follower_cut_from_all,
        leader_cut_from_core,
        leader_cut_one_way,
        leader_cut_with_reset,
        core_in_halves,
    ),
    2: (eight_at_once, answers_lost, answers_lost_at_a_handover, sent_again_at_all, sent_again_after_many),
    3: (
        replaced_then_wiped,
        planned_then_lost,
        newcomer_killed,
        replaced_three_times,
        all_dark_and_one_disk_lost,
    ),
    4: (behind_and_restarted, behind_and_frozen, behind_and_wiped, behind_and_restarted_again),
    5: (connections_reset, silences, address_taken_over, edge_gone_after_it_accepted),
}
FIVE_MEMBERS = (core_in_halves,)


def operations(rows):
    """The operators' changes and reads, as a history of the configuration as one register."""
    finished, open_ones = [], {}
    for row in rows:
        if row["ev"] == "config":
            order = Order(number=row["revision"], base=row["base"], author=repr(row["body_sent"]))
            open_ones[row["id"]] = Operation(kind="order", invoked=row["t"], order=order)
        elif row["ev"] == "read":
            open_ones[row["id"]] = Operation(kind="read", invoked=row["t"])
        elif row["ev"] in ("config_out", "read_out") and row["id"] in open_ones:
            operation = open_ones.pop(row["id"])
            operation.returned, operation.confirmed = row["t"], row["status"] == 200
            operation.refused = row["status"] in (400, 409, 412, 413, 422)
            if operation.kind == "read" and operation.confirmed:
                operation.value = (row["body"]["revision"], "")
            finished.append(operation)
    return finished + list(open_ones.values())


def register_violations(rows):
    """The violations in the history; what a read shows is compared by its version number alone."""
    return [
        violation
        for violation in violations(operations(rows))
        if violation.rule != "read_shows_what_was_sent"
    ]


def play(shape, seed, **more):
    """Plays one scenario; returns what broke, as text, and the world."""
    world = PlatformWorld(seed=seed, cores=5 if shape in FIVE_MEMBERS else 3, **more)
    mix = jobs.mix(wall_ms=world.true_ms, racks=["r1-1", "r2-1"], label="a")

    async def faults(world, operator, callers):
        await asyncio.sleep(1 + world.rng.random())
        await shape(world, operator, callers)

    violations_found, _ = world.play(mix=mix, rate=0.7, seconds=8.0, settle=6.0, faults=faults)
    found = [f"{violation.rule}: {violation.text}" for violation in violations_found]
    return found + [
        f"{finding.rule}: {finding.detail}" for finding in register_violations(world.hist.rows)
    ], world


def one(job):
    point, shape, seed = job
    try:
        found, _ = play(shape, seed)
    except Exception as error:
        found = [f"{type(error).__name__}: {error}"]
    return point, shape.__name__, seed, found


def main(span, *points):
    first, last = map(int, span.split("-"))
    wanted = [int(p) for p in points] or list(POINTS)
    runs = [(p, shape, seed) for seed in range(first, last + 1) for p in wanted for shape in POINTS[p]]
    played, broken = dict.fromkeys(wanted, 0), 0
    with Pool(7) as pool:
        for point, name, seed, found in pool.imap_unordered(one, runs):
            played[point] += 1
            if found:
                broken += 1
                print(point, name, seed, found[:3], flush=True)
    print("runs by point", played, "broken", broken)


if __name__ == "__main__":
    main(*sys.argv[1:])
