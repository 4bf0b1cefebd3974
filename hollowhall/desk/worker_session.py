"""What a primary knows of a worker from its beats alone. A new primary knows nothing of it, and learns it from
the beats that it hears itself."""

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class ReportedEnd:
    """An end that the worker listed. It is kept until the record holds an end of that attempt, whatever
    becomes of the batches that are to bring it there."""

    how: str
    why: str
    saved: str | None = None  # the checkpoint left; None of a worker that names no attempts
    held: bool = False  # it stands in a batch, or in the queue for one

    def event(self, run):
        """The record's event for this end."""
        return ["end", run, self.how, self.why] + ([] if self.saved is None else [self.saved])


@dataclass(kw_only=True)
class WorkerSession:
    """What the primary knows of one life of a worker beside the record, all of it from its beats. Times are
    seconds of the daemon's own clock; attempts go by their run."""

    boot: str = ""
    seq: int = -1
    until: float = 0.0
    running: set = field(default_factory=set)
    ends: dict = field(default_factory=dict)  # run: ReportedEnd that the record does not hold yet
    ending: set = field(default_factory=set)  # runs that are being ended as never begun
    told: dict = field(default_factory=dict)  # run or order: when last told
    asked: bool = False  # its announcement is in a turn
    greeted: bool = False  # a new boot was heard, once
    told_soon: bool = False  # answer it at once, it is to beat again
    slot: tuple = None
    since: float = 0.0  # when this primary first heard it
    leave: bool = False  # its beat is answered once its leave is recorded
    leave_at: float = None  # when it will be gone, if it said so
    named: bool = False  # it names attempts by task and number
    strange: list = field(default_factory=list)  # attempts it runs that the record lacks
    numbered: list = field(default_factory=list)  # (number, run) of the ends it last told
    seen: int = 0  # up to which number its ends are done with
    void: int = 0  # up to which number its good ends were looked at for attempts ended otherwise
    begun: dict = field(default_factory=dict)  # run: (beat, when) it was last told to start
    going: bool = False  # it is being given up: nothing may be told it
    bye: bool = False  # it has taken leave for good, and is given up once its ends are recorded
    heard: float = 0.0  # when its last beat came
    saved: dict = field(default_factory=dict)  # run: newest checkpoint
    far: dict = field(default_factory=dict)  # run: (percent, since when, first percent, when)

    def report_end(self, *, run, end):
        """Notes an end that the worker listed; the first word on an attempt counts."""
        self.ends.setdefault(run, end)

    def unsettled(self, run):
        """Whether an attempt's end is reported, or being recorded as never begun: then it is neither to
        be started nor to be stopped any more."""
        return run in self.ends or run in self.ending
