"""Parses the scheduler's trace from log lines: those of a daemon's own log, or those that a test bench prints
with a time and a machine's name in front. Other lines are skipped."""

import re
from dataclasses import dataclass, field

from ...base import log_events

LINE = re.compile(r"^\s*(?P<lead>.*?)\bHH(?P<number>\d+) (?P<text>[^|]*)\| (?P<fields>.*)$")
FIELD = re.compile(r"(\w+)=(\S*)")


@dataclass(kw_only=True)
class TracedJob:
    """A job that ended after its aim or lost work. Times in ms, `thrown_away` in core-seconds; `lead` is the text in
    front of the event."""

    name: str
    queue: str
    state: str
    steps: str
    took_ms: int
    aim_ms: int
    first_start_ms: int
    starts: int
    waits: dict = field(default_factory=dict)
    stops: dict = field(default_factory=dict)
    thrown_away: dict = field(default_factory=dict)
    lead: str = ""

    @property
    def verdict(self):
        """'in aim', 'late' or the state that it ended in."""
        if self.state != "done":
            return self.state
        return "late" if self.aim_ms and self.took_ms > self.aim_ms else "in aim"


@dataclass(kw_only=True)
class QueueLine:
    """One periodic line of a queue: the jobs that ended since the line before."""

    queue: str
    ended: int
    in_aim: int
    failed: int
    mean_ms: int
    waits: dict
    thrown_away: dict
    lead: str = ""


def parse_counts(text):
    """Parses 'room:1200,turn:80' into {name: number}; '-' is empty."""
    out = {}
    for part in text.split(","):
        name, _, value = part.rpartition(":")
        if name and value.lstrip("-").isdigit():
            out[name] = out.get(name, 0) + int(value)
    return out


def int_field(fields, name):
    """An integer field; 0 if it is absent or malformed."""
    try:
        return int(fields.get(name, "0"))
    except ValueError:
        return 0


def read_line(text):
    """Parses one log line; None if it contains no complete trace event."""
    match = LINE.match(text)
    if match is None:
        return None
    number, fields = int(match["number"]), dict(FIELD.findall(match["fields"]))
    lead = match["lead"].strip()
    if number == log_events.JOB_TRACE.number and "job" in fields:
        return TracedJob(
            name=fields["job"],
            queue=fields.get("queue", ""),
            state=fields.get("state", ""),
            steps=fields.get("steps", ""),
            took_ms=int_field(fields, "took_ms"),
            aim_ms=int_field(fields, "aim_ms"),
            first_start_ms=int_field(fields, "first_start_ms"),
            starts=int_field(fields, "starts"),
            waits=parse_counts(fields.get("waits", "-")),
            stops=parse_counts(fields.get("stops", "-")),
            thrown_away=parse_counts(fields.get("thrown_away", "-")),
            lead=lead,
        )
    if number == log_events.QUEUE_TRACE.number and "queue" in fields:
        return QueueLine(
            queue=fields["queue"],
            ended=int_field(fields, "ended"),
            in_aim=int_field(fields, "in_aim"),
            failed=int_field(fields, "failed"),
            mean_ms=int_field(fields, "mean_ms"),
            waits=parse_counts(fields.get("waits", "-")),
            thrown_away=parse_counts(fields.get("thrown_away", "-")),
            lead=lead,
        )
    return None
