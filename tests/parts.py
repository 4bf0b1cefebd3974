"""Each protection taken out, one at a time. A part names what is taken out, the
daemons without it, the faults that are meant for it, and what the checker should
find. `python tests/parts.py FIRST-LAST [name ...]` tells under how many seeds the
checker catches each; tests/test_nevers.py plays one caught seed of each."""

import sys
from multiprocessing import Pool

import weak as W
import weak_parts as P

from hollowhall.sim import storm
from hollowhall.sim.faults import schedule
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES

R = W.with_record
A, D = (lambda c: W.REAL | {"almanac": c}), (lambda c: W.REAL | {"desk": c})
CLOCK = ("wall_jump", "pause_clock", "kill_leader", "mate_flop", "timed")
PAUSE = ("pause_turn", "pause_primary", "pause_append", "pause_leader")
PARTS = {
    "epoch and stamp fence": (R(P.NoFence), ("pause_lost",), "twice"),
    "epoch fence": (R(P.NoEpochs), ("pause_lost",), "twice"),
    "stamp fence": (R(P.NoStampFence), ("pause_lost",), "twice"),
    "stamp fence behind a clock without its bound": (R(P.NoStampFence, alm=P.NoBound), CLOCK, "run-order"),
    "the clock's bound, the stamp fence kept": (A(P.NoBound), CLOCK, "run-order"),
    "desk looks at its hold": (D(P.DeskNoLook), PAUSE + ("split_leader", "pause_primary"), "any"),
    "clock looks at its hold": (A(P.ClockNoLook), ("pause_clock", "pause_stamp"), "any"),
    "clock waits past the bound": (A(P.NoBound), ("wall_jump", "pause_clock", "kill_leader"), "stamp-order"),
    "blank disks do not vote": (A(P.BlankVotes), ("lose_disk", "split_core", "slow_disk"), "forgotten"),
    "sync before telling": (A(W.Unsynced), ("power_all", "power_primary"), "forgotten"),
    "starts are good for 1 s": (D(P.NoValid), ("late_start",), "leaving-starts"),
    "worker's margin": (D(P.NoMargin), ("mate_cut", "mate_cut", "burst"), "twice"),
    "fresh holds on a handover": (D(P.StaleHolds), ("kill_primary", "mate_cut"), "twice"),
    "reads ask a majority": (A(P.LooseReads), ("stale_reads",), "charter"),
    "a new lead extends holds": (
        A(P.ShortHolds),
        ("kill_leader", "pause_leader", "pause_append"),
        "two-holders",
    ),
    "a new boot beats twice": (D(P.Ungreeted), ("late_beat",), "twice"),
    "boots remembered": (R(P.NoBoots, desk=P.Ungreeted), ("late_beat",), "twice"),
    "unsure is said": (D(P.SureOfAll), ("shots",), "refused-runs"),
    "lost workers' tasks wait": (R(P.NeverWaits), ("mate_run_on", "racked"), "twice"),
    "stops are told": (D(P.DeafToStops), ("cancels",), "cancelled-runs"),
    "only what was sent": (R(P.Inventive), ("burst",), "unsent-runs"),
    "visible within 3 s": (D(P.SlowToShow), ("burst",), "forgotten"),
    "edits within 2 s": (R(P.NoLimitLook, desk=P.SlowEdits), ("squeeze",), "over-limit"),
    "readable for minutes": (R(P.QuickForget), ("burst",), "forgotten"),
    "service within 12 s": (A(P.Lame), ("kill_leader",), "no-service"),
    "not lost with one disk": (A(W.Alone), ("lose_disk", "split_leader"), "any"),
}


def play(build, seed, kinds, n=5):
    w = World(seed=seed, shape=SHAPES["cymylau"], build=build, masts=3)
    plan = schedule(seed=seed, kinds=list(kinds), n=n, start=3.0, end=13.0)
    return storm.run(seed=seed, plan=plan, load=14.0, world=w, calm=16.0)


def rules(name, seed, n):
    build, kinds, _ = PARTS[name]
    try:
        s = play(build, seed, kinds, n)
    except Exception as e:
        return name, seed, ["broke:" + type(e).__name__]
    return name, seed, sorted({b.rule for b in s.bad})


def one(a):
    return rules(*a)


def main(span, *names):
    a, b = map(int, span.split("-"))
    got = {}
    with Pool(6) as p:
        for name, seed, rs in p.imap_unordered(
            one, [(n, s, 8) for n in names or PARTS for s in range(a, b + 1)]
        ):
            want = PARTS[name][2]
            if rs and (want == "any" or want in rs):
                got.setdefault(name, []).append((seed, rs))
    for n in names or PARTS:
        g = sorted(got.get(n, []))
        print(f"{n}: {len(g)} of {b - a + 1}", g[:3])


if __name__ == "__main__":
    main(*sys.argv[1:])
