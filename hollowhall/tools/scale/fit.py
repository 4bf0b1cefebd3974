"""Straight lines through what was measured: slope with its standard error, where the
line begins, how far the worst point lies from it, and what it says at another size.
No more than ordinary least squares, for three sizes or more."""

from dataclasses import dataclass
from math import sqrt

from ...base.problems import BadInput, Raised


@dataclass(frozen=True, kw_only=True)
class Line:
    slope: float
    error: float  # standard error of the slope
    start: float  # at size 0
    off: float  # the worst point's distance, as part of the largest value
    r2: float
    mid: float  # mean size
    width: float  # sum of squared distances of sizes from it
    noise: float  # standard error of one point
    points: int

    def at(self, x):
        return self.start + self.slope * x

    def error_at(self, x):
        """Standard error of the line at size x; a far size has a large one."""
        return self.noise * sqrt(1 / self.points + (x - self.mid) ** 2 / self.width)


def fit(*, xs, ys):
    n = len(xs)
    if n < 3 or len(set(xs)) < 3:
        raise Raised(BadInput(errors=[["sizes", f"{n} sizes measured; a slope wants three"]]))
    mx, my = sum(xs) / n, sum(ys) / n
    w = sum((x - mx) ** 2 for x in xs)
    a = sum((x - mx) * (y - my) for x, y in zip(xs, ys)) / w
    b = my - a * mx
    rest = [y - b - a * x for x, y in zip(xs, ys)]
    ss, all_ss = sum(r * r for r in rest), sum((y - my) ** 2 for y in ys)
    noise = sqrt(ss / (n - 2))
    top = max(abs(y) for y in ys) or 1.0
    return Line(
        slope=a,
        error=noise / sqrt(w),
        start=b,
        off=max(map(abs, rest)) / top,
        r2=1 - ss / all_ss if all_ss else 1.0,
        mid=mx,
        width=w,
        noise=noise,
        points=n,
    )
