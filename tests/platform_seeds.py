"""Days of a PlatformWorld under many seeds, side by side, for who looks for a violation by hand."""

from multiprocessing import Pool


def told(play, *what):
    """(what, violations as texts) of a day; play gives its violations."""
    try:
        return what, [f"{b.rule} {b.t:.0f} {b.text}" for b in play(*what)]
    except Exception as e:  # an order that was not acknowledged, say
        return what, [f"broke: {e!r}"[:200]]


def sweep(play, days, *, processes=3, most=4):
    """Plays play(*day) for each of the days, and prints those with a violation."""
    with Pool(processes) as pool:
        got = [x for x in pool.starmap(told, [(play, *day) for day in days]) if x[1]]
    for what, bad in sorted(got):
        print(*what, *bad[:most], sep="\n    ")
    print(f"{len(got)} of {len(days)} days with a violation")
