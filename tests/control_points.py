"""The five kinds of trouble of the control side, each in several shapes, on the real daemons behind
the platform's adapter in virtual time: a cut-off machine, operators' numbers, losses that follow
each other, members that fall behind, connections that break. `play` runs one shape and seed;
`python tests/control_points.py FIRST-LAST [POINT]` runs many and prints what broke."""

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

# --- 1: a machine that is cut off


# --- 2: operators' numbers


# --- 3: losses that follow each other


# --- 4: members that fall behind


# --- 5: connections that break


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
    """The operators' orders and reads as a history of the configuration's register."""
    out, open_ones = [], {}
    for r in rows:
        if r["ev"] == "config":
            order = Order(number=r["revision"], base=r["base"], author=repr(r["body_sent"]))
            open_ones[r["id"]] = Operation(kind="order", invoked=r["t"], order=order)
        elif r["ev"] == "read":
            open_ones[r["id"]] = Operation(kind="read", invoked=r["t"])
        elif r["ev"] in ("config_out", "read_out") and r["id"] in open_ones:
            x = open_ones.pop(r["id"])
            x.returned, x.confirmed = r["t"], r["status"] == 200
            x.refused = r["status"] in (400, 409, 412, 413, 422)
            if x.kind == "read" and x.confirmed:
                x.value = (r["body"]["revision"], "")
            out.append(x)
    return out + list(open_ones.values())


def register_violations(rows):
    """What is wrong with the history; what a read shows is compared by its number alone."""
    return [v for v in violations(operations(rows)) if v.rule != "read_shows_what_was_sent"]


def play(shape, seed, **more):
    """One run; what broke, as text, and the world."""
    w = PlatformWorld(seed=seed, cores=5 if shape in FIVE_MEMBERS else 3, **more)
    mix = jobs.mix(wall_ms=w.true_ms, racks=["r1-1", "r2-1"], label="a")

    async def faults(w, op, cs):
        await asyncio.sleep(1 + w.rng.random())
        await shape(w, op, cs)

    bad, _ = w.play(mix=mix, rate=0.7, seconds=8.0, settle=6.0, faults=faults)
    found = [f"{x.rule}: {x.text}" for x in bad]
    return found + [f"{v.rule}: {v.detail}" for v in register_violations(w.hist.rows)], w


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
    runs = [(p, s, seed) for seed in range(first, last + 1) for p in wanted for s in POINTS[p]]
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
