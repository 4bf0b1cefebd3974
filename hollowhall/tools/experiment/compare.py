"""Two policies on the same seeds: the mean of the paired differences of each figure, with its
confidence interval (Student's t, so that few seeds claim little)."""

from dataclasses import dataclass
from multiprocessing import get_context
from statistics import fmean, stdev

from ...desk.policy import Policy
from .fleet import Fleet
from .measures import figures_of

# Student's t for 95 %, two-sided, by degrees of freedom; beyond the last one the normal's 1.96
T95 = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145)
NORMAL95 = 1.96


@dataclass(kw_only=True, frozen=True)
class Difference:
    """B less A of one figure: mean of the pairs and half the width of its 95 % interval."""

    figure: str
    a: float
    b: float
    mean: float
    half_width: float

    @property
    def sure(self):
        return abs(self.mean) > self.half_width


@dataclass(kw_only=True, frozen=True)
class Run:
    """One run to be played; `policy` is a Policy."""

    workload: object
    seed: int
    policy: Policy


def play(run):
    return figures_of(Fleet(workload=run.workload, seed=run.seed, policy=run.policy).play())


def play_all(*, runs, processes, progress=lambda done: None):
    """The figures of all runs, in their order; `progress` hears how many are done."""
    if processes == 1:
        out = []
        for run in runs:
            out.append(play(run))
            progress(len(out))
        return out
    with get_context("spawn").Pool(processes) as pool:
        out = []
        for figures in pool.imap(play, runs):
            out.append(figures)
            progress(len(out))
        return out


def differences(*, a, b):
    """Difference of each figure over pairs of runs; `a` and `b` are Figures by seed."""
    rows = [(x.row(), y.row()) for x, y in zip(a, b, strict=True)]
    out = []
    for figure in rows[0][0]:
        xs, ys = [x[figure] for x, _ in rows], [y[figure] for _, y in rows]
        pairs, n = [y - x for x, y in zip(xs, ys, strict=True)], len(rows)
        half = float("inf")
        if n > 1:
            t = T95[n - 2] if n - 2 < len(T95) else NORMAL95
            half = t * stdev(pairs) / n**0.5
        out.append(Difference(figure=figure, a=fmean(xs), b=fmean(ys), mean=fmean(pairs), half_width=half))
    return out
