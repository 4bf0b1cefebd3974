"""What a run says: values at each size, the line through them with its fit's error, what
the line says at the size of two years from now against the budget, and a plot in text."""

from . import sizes as S
from .fit import fit

SHOWN = (
    ("cpu", "% of a core", S.CPU_BUDGET),
    ("mb", "MB", S.MEMORY_BUDGET),
    ("kb", "KB/s", S.NET_BUDGET),
    ("messages", "messages/s", None),
    ("asks", "HTTP asks/s", None),
    ("entries", "entries/s", None),
    ("syncs", "syncs/s", None),
    ("disk_b", "disk bytes/s", None),
    ("stamp_calls", "stamp calls/s", None),
    ("turns", "turns/s", None),
    ("events", "events/s", None),
    ("state_b", "bytes of state", None),
)
WIDTH, HEIGHT = 56, 12  # characters of a plot
MARKS = "*o+x#@%&"


def short(x):
    return f"{x:.3g}" if abs(x) < 1000 else f"{x:.0f}"


def columns(rows):
    """(duty, measure): (sizes, values), for duties that stood at three sizes or more."""
    out = {}
    for duty in sorted({d for r in rows for d in r["by"]} - {"operator"}):
        rs = [r for r in rows if duty in r["by"]]
        for k, *_ in SHOWN if len(rs) >= 3 else ():
            if all(k in r["by"][duty] for r in rs):
                out[duty, k] = [r["size"] for r in rs], [r["by"][duty][k] for r in rs]
    return out


def share(*, duty, xs, vary, front):
    """A mast's size is its share of what all masts serve, then as now; (sizes, target)."""
    x = getattr(S.TARGET, vary)
    if duty != "mast" or vary not in S.SHARED:
        return xs, x
    return [a / front for a in xs], x / S.TARGET.masts


def slopes(*, rows, vary, front):
    """One dict for each duty and measure: values, line, target, budget. Hollow processes
    stand together and have no budget: theirs is a slope for one worker or one mast."""
    out, names = [], {k: (unit, most) for k, unit, most in SHOWN}
    for (duty, k), (xs, ys) in columns(rows).items():
        if not any(ys):
            continue
        xs, x = share(duty=duty, xs=xs, vary=vary, front=front)
        line = fit(xs=xs, ys=ys)
        unit, most = names[k]
        most = None if duty.startswith("hollow") else most
        out.append(
            {
                "duty": duty,
                "measure": k,
                "unit": unit,
                "values": ys,
                "slope": line.slope,
                "error": line.error,
                "start": line.start,
                "off": line.off,
                "r2": line.r2,
                "target": x,
                "at": line.at(x),
                "at_error": line.error_at(x),
                "budget": most,
                "times": line.at(x) / most if most else None,
            }
        )
    return out


def table(*, rows, vary, front):
    yield (
        f"{vary}: "
        + ", ".join(str(r["size"]) for r in rows)
        + (f"; a mast's is its share: of {front} here, of {S.TARGET.masts} then" if vary in S.SHARED else "")
    )
    yield (
        f"{'duty':27} {'measure':13} {'values':38} {'slope':>9} {'+-':>8} {'at 0':>8} "
        f"{'worst off':>9} {'at ' + str(getattr(S.TARGET, vary)):>9} {'+-':>8}  budget"
    )
    for d in slopes(rows=rows, vary=vary, front=front):
        over = f"{short(d['budget'])}: {d['times']:.1f} times" if d["budget"] else ""
        yield (
            f"{d['duty'][:27]:27} {d['unit']:13} {' '.join(map(short, d['values'])):38} "
            f"{short(d['slope']):>9} {short(d['error']):>8} {short(d['start']):>8} "
            f"{d['off'] * 100:8.1f}% {short(d['at']):>9} {short(d['at_error']):>8}  {over}"
        )


def plot(*, rows, measure="cpu", unit="% of a core"):
    """Each duty's values over the sizes, as characters."""
    cs = {a: v for (a, k), v in columns(rows).items() if k == measure}
    xs = [r["size"] for r in rows]
    top = max((max(ys) for _, ys in cs.values()), default=0) or 1.0
    grid = [[" "] * (WIDTH + 1) for _ in range(HEIGHT + 1)]
    for m, at in zip(MARKS, cs.values()):
        for x, y in zip(*at):
            c = round((x - xs[0]) / (xs[-1] - xs[0]) * WIDTH)
            grid[HEIGHT - round(max(0.0, y) / top * HEIGHT)][c] = m
    yield f"{unit}, to {short(top)}: " + ", ".join(f"{m} {a}" for m, a in zip(MARKS, cs))
    for g in grid:
        yield "|" + "".join(g).rstrip()
    yield "+" + "-" * WIDTH
    yield f"{xs[0]}" + f"{xs[-1]}".rjust(WIDTH)
