"""Each protection removed, one at a time. A part has the name of the protection, the daemons without it,
the faults that it protects against, and the rule that the checker should find broken.
`python tests/parts.py FIRST-LAST [name ...]` prints with how many seeds the checker catches each;
tests/test_nevers.py plays one caught seed of each."""

import sys
from multiprocessing import Pool

import weak as weaker
import weak_parts as P

from hollowhall.sim import storm
from hollowhall.sim.faults import schedule
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES

with_record = weaker.with_record
with_almanac, with_desk = (lambda c: weaker.REAL | {"almanac": c}), (lambda c: weaker.REAL | {"desk": c})
CLOCK = ("wall_jump", "pause_clock", "kill_leader", "mate_flop", "timed")
PAUSE = ("pause_turn", "pause_primary", "pause_append", "pause_leader")
PARTS = {
    "epoch and stamp fence": (with_record(P.NoFences), ("pause_lost",), "twice"),
    "epoch fence": (with_record(P.NoEpochFence), ("pause_lost",), "twice"),
    "stamp fence": (with_record(P.NoStampFence), ("pause_lost",), "twice"),
    "stamp fence behind a clock without its bound": (
        with_record(P.NoStampFence, almanac=P.NoBound),
        CLOCK,
        "run-order",
    ),
    "the clock's bound, the stamp fence kept": (with_almanac(P.NoBound), CLOCK, "run-order"),
    "desk looks at its hold": (
        with_desk(P.NoLeaseCheckDesk),
        PAUSE + ("split_leader", "pause_primary"),
        "any",
    ),
    "clock looks at its hold": (with_almanac(P.NoLeaseCheckClock), ("pause_clock", "pause_stamp"), "any"),
    "clock waits past the bound": (
        with_almanac(P.NoBound),
        ("wall_jump", "pause_clock", "kill_leader"),
        "stamp-order",
    ),
    "blank disks do not vote": (
        with_almanac(P.BlankVotes),
        ("lose_disk", "split_core", "slow_disk"),
        "forgotten",
    ),
    "sync before telling": (
        with_almanac(weaker.AnswersUnsynced),
        ("power_all", "power_primary"),
        "forgotten",
    ),
    "starts are good for 1 s": (with_desk(P.NoStartExpiry), ("late_start",), "leaving-starts"),
    "worker's margin": (with_desk(P.NoMargin), ("mate_cut", "mate_cut", "burst"), "twice"),
    "fresh holds on a handover": (with_desk(P.StaleLeases), ("kill_primary", "mate_cut"), "twice"),
    "reads ask a majority": (with_almanac(P.UnconfirmedReads), ("stale_reads",), "charter"),
    "a new lead extends holds": (
        with_almanac(P.ForgetsKeepAlives),
        ("kill_leader", "pause_leader", "pause_append"),
        "two-holders",
    ),
    "a new boot beats twice": (with_desk(P.AcceptsLateBeats), ("late_beat",), "twice"),
    "boots remembered": (with_record(P.NoBoots, desk=P.AcceptsLateBeats), ("late_beat",), "twice"),
    "unsure is said": (with_desk(P.NeverUnsure), ("shots",), "refused-runs"),
    "lost workers' tasks wait": (with_record(P.RestartsLostAtOnce), ("mate_run_on", "racked"), "twice"),
    "stops are told": (with_desk(P.NeverSendsStops), ("cancels",), "cancelled-runs"),
    "only what was sent": (with_record(P.InventsJobs), ("burst",), "unsent-runs"),
    "visible within 3 s": (with_desk(P.StaleJobReads), ("burst",), "forgotten"),
    "edits within 2 s": (
        with_record(P.NoLimitCheck, desk=P.StaleConfigurationDesk),
        ("squeeze",),
        "over-limit",
    ),
    "readable for minutes": (with_record(P.ForgetsEndedJobs), ("burst",), "forgotten"),
    "service within 12 s": (with_almanac(P.SlowCampaign), ("kill_leader",), "no-service"),
    "not lost with one disk": (with_almanac(weaker.CommitsAlone), ("lose_disk", "split_leader"), "any"),
}


def play(build, seed, kinds, n=5):
    """The result of a run with `n` faults of these kinds."""
    world = World(seed=seed, shape=SHAPES["cymylau"], build=build, masts=3)
    plan = schedule(seed=seed, kinds=list(kinds), fault_count=n, start=3.0, end=13.0)
    return storm.run(seed=seed, plan=plan, load=14.0, world=world, calm=16.0)


def rules(name, seed, faults):
    """(name, seed, rules broken with this part removed)."""
    build, kinds, _ = PARTS[name]
    try:
        result = play(build, seed, kinds, faults)
    except Exception as e:
        return name, seed, ["broke:" + type(e).__name__]
    return name, seed, sorted({violation.rule for violation in result.bad})


def rules_of_one(arguments):
    return rules(*arguments)


def main(span, *names):
    first, last = map(int, span.split("-"))
    caught = {}
    with Pool(6) as pool:
        for name, seed, found in pool.imap_unordered(
            rules_of_one,
            [(part, seed_tried, 8) for part in names or PARTS for seed_tried in range(first, last + 1)],
        ):
            want = PARTS[name][2]
            if found and (want == "any" or want in found):
                caught.setdefault(name, []).append((seed, found))
    for part in names or PARTS:
        seeds_caught = sorted(caught.get(part, []))
        print(f"{part}: {len(seeds_caught)} of {last - first + 1}", seeds_caught[:3])


if __name__ == "__main__":
    main(*sys.argv[1:])
