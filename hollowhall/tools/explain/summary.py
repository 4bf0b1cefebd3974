"""Sums up a trace by queue: how many jobs ended within their aim, what their steps waited for, and how much
work was discarded, by cause."""

from dataclasses import dataclass, field

from .lines import QueueLine, TracedJob


@dataclass(kw_only=True)
class QueueSummary:
    """One queue over a whole log; `waits` in ms and `thrown_away` in core-seconds, both by cause."""

    ended: int = 0
    in_aim: int = 0
    failed: int = 0
    waits: dict = field(default_factory=dict)
    thrown_away: dict = field(default_factory=dict)
    late: list = field(default_factory=list)  # the TracedJob rows that missed their aim


def merge(into, more):
    """Adds the numbers of one mapping to another."""
    for key, value in more.items():
        into[key] = into.get(key, 0) + value


def summarise(rows):
    """{queue name: QueueSummary} of TracedJob and QueueLine rows."""
    out = {}
    for row in rows:
        summary = out.setdefault(row.queue, QueueSummary())
        if isinstance(row, QueueLine):
            summary.ended += row.ended
            summary.in_aim += row.in_aim
            summary.failed += row.failed
            merge(summary.waits, row.waits)
            merge(summary.thrown_away, row.thrown_away)
        elif isinstance(row, TracedJob) and row.verdict != "in aim":
            summary.late.append(row)
    return out


def causes(summaries, kind):
    """All causes of a kind (`waits` or `thrown_away`), the largest first."""
    total = {}
    for summary in summaries.values():
        merge(total, getattr(summary, kind))
    return sorted(total, key=lambda cause: -total[cause])
