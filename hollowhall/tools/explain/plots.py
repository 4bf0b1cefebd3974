"""Plots for the terminal, with a library that only the tools need."""

import importlib

from ...base.problems import Missing, Raised

SIZE = (100, 24)  # columns and lines


def share_plot(*, title, series):
    """A plot of shares (0 to 1) as text; `series` is [(label, xs, ys)]. Raises Raised(Missing) if the library is
    not installed."""
    try:
        plotext = importlib.import_module("plotext")
    except ImportError:
        raise Raised(Missing(what="plotext", extra="hollowhall[experiment]")) from None
    plotext.clear_figure()
    plotext.theme("clear")
    plotext.plotsize(*SIZE)
    for label, xs, ys in series:
        plotext.plot(xs, ys, label=label)
    plotext.title(title)
    plotext.ylim(0, 1)
    return plotext.build()
