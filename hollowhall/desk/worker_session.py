"""Worker sessions: what a primary knows of a worker from its beats alone. A new primary starts without it and
learns it from the beats that it receives itself."""

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class ReportedEnd:
    """An end that the worker reported. It is kept until the record holds an end of that attempt, even if the
    batch that carries it is refused or its outcome is unknown."""

    how: str
    why: str
    saved: str | None = None  # the checkpoint; None of a worker that does not name attempts
    queued: bool = False  # it is in a batch, or queued for one

    def event(self, run):
        """The record's event for this end."""
        return ["end", run, self.how, self.why] + ([] if self.saved is None else [self.saved])


@dataclass(kw_only=True)
class WorkerSession:
    """What the primary knows of one boot of a worker beyond the record, all of it from its beats. Times are
    seconds of the daemon's own clock; attempts are given by their run."""

    boot: str = ""
    seq: int = -1  # number of its last beat; -1 before the first
    until: float = 0.0  # when its lease, margin included, expires here
    running: set = field(default_factory=set)  # runs that its last beat reported as running
    report_complete: bool = False  # its last beat listed every end that was not acknowledged to it
    ends: dict = field(default_factory=dict)  # run: ReportedEnd that is not in the record yet
    ending: set = field(default_factory=set)  # runs whose end as never begun is queued
    orders_sent: dict = field(default_factory=dict)  # run or (task, number): when its order was last sent
    status_pending: bool = False  # an event about the worker itself is queued
    boot_heard: bool = False  # the first beat of a new boot was received
    answer_at_once: bool = False  # answer its next beat at once, so that it beats again soon
    slot: tuple = None  # of the beat that waits for an answer
    since: float = 0.0  # when this primary first received a beat of it
    leave_requested: bool = False  # its last beat said that it leaves; answered once that is recorded
    leave_at: float = None  # when it will be gone, if it said so
    names_attempts: bool = False  # it names attempts by task and number
    unknown_attempts: list = field(default_factory=list)  # (task, number) of those that the record lacks
    listed_ends: list = field(default_factory=list)  # (number, run) of the ends in its last report
    acknowledged: int = 0  # highest number up to which its ends are recorded or void
    checked_void: int = 0  # highest number of a void success so far; it and lower ones are not logged again
    starts_sent: dict = field(default_factory=dict)  # run: (beat, when) its start was last answered
    lost_pending: bool = False  # a `lost` event is queued: its beats get no answer meanwhile
    departed: bool = False  # it has left for good, and is recorded as lost once its ends are recorded
    last_beat_at: float = 0.0  # when its last beat was received
    saved: dict = field(default_factory=dict)  # run: newest checkpoint
    progress: dict = field(default_factory=dict)  # run: (percent, since when, first percent, since when)

    def report_end(self, *, run, end):
        """Notes an end that the worker reported; the first report of an attempt counts."""
        self.ends.setdefault(run, end)

    def unsettled(self, run):
        """Whether an attempt's end is reported, or queued as never begun: it is then neither started nor
        stopped any more."""
        return run in self.ends or run in self.ending
