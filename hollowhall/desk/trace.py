"""Trace of scheduling decisions: for each open job when it was accepted, how long its steps waited
and why, how its attempts ended and how much work was wasted. A job that missed its target time or
wasted work is logged with one line; every job counts in a periodic line for its queue.
`hollowhall explain` reads both. Memory is bounded by TRACED_JOBS_MAX open jobs; only the primary traces."""

from dataclasses import dataclass, field

from ..base import constants, log_events
from .reports import NEVER_BEGAN


@dataclass(kw_only=True, slots=True)
class JobTrace:
    """The trace of one open job. Times in ms, work in thousandths of a core times ms."""

    queue: str
    accepted_ms: int
    aim_ms: int
    first_start_ms: int = 0
    starts: int = 0
    waits: dict = field(default_factory=dict)  # reason: ms, summed over its waiting steps
    thrown_away: dict = field(default_factory=dict)  # how attempts ended: work wasted
    stops: dict = field(default_factory=dict)  # why attempts were stopped: count


@dataclass(kw_only=True, slots=True)
class QueueTrace:
    """Counts of one queue since its last line."""

    ended: int = 0
    in_aim: int = 0
    failed: int = 0
    took_ms: int = 0
    waits: dict = field(default_factory=dict)
    thrown_away: dict = field(default_factory=dict)


def add_up(into, *, more):
    """Adds the counts of `more` to those of `into`."""
    for key, value in more.items():
        into[key] = into.get(key, 0) + value


def listed(counts, *, per=1):
    """A mapping as one field of a log line: 'room:1200,rack:80'; '-' where it is empty."""
    parts = sorted(counts.items(), key=lambda part: -part[1])
    return ",".join(f"{key}:{round(count / per)}" for key, count in parts) or "-"


class TraceMixin:
    """The scheduler's trace; `note_trace` takes each batch before it is applied."""

    def open_trace(self):
        self.traces, self.queue_traces, self.maybe_ended = {}, {}, set()
        self.concluded = {}  # reason: attempts ended without a report of their worker, since the last line
        self.traced_ms = self.told_ms = 0

    def trace_of(self, name, *, ms):
        """The trace of an open job; one accepted by an earlier primary counts from its stamp. None where the
        job is not open or TRACED_JOBS_MAX are kept already."""
        if name not in self.traces:
            job = self.record.jobs.get(name)
            if job is None or job.ended or len(self.traces) >= constants.TRACED_JOBS_MAX:
                return None
            self.traces[name] = JobTrace(
                queue=job.lane, accepted_ms=job.stamp >> constants.LOGICAL_BITS, aim_ms=self.aims.of(job)[0]
            )
        return self.traces[name]

    def note_trace(self, *, events, ms):
        """Traces the starts, stops and ends of a batch, before it is applied."""
        for event in events:
            if event[0] == "grant":
                self.note_start(name=event[1].rsplit("/", 2)[0], ms=ms)
            elif event[0] == "gang":
                self.note_start(name=event[1], ms=ms, count=len(event[3]))
            elif event[0] == "stop" and event[1] in self.record.attempts:
                trace = self.trace_of(self.record.attempts[event[1]].job, ms=ms)
                if trace is not None:
                    add_up(trace.stops, more={event[2]: 1})
            elif event[0] == "cancel":
                self.maybe_ended.add(event[1])
            elif event[0] == "end" and event[1] in self.record.attempts:
                if event[3] == NEVER_BEGAN:
                    add_up(self.concluded, more={"never_began": 1})
                self.note_attempt(attempt=self.record.attempts[event[1]], how=event[2], ms=ms)
            elif event[0] == "lost" and event[1] in self.record.workers:
                add_up(self.concluded, more={"worker_lost": len(self.record.workers[event[1]].runs)})
                for attempt in self.record.workers[event[1]].runs.values():
                    self.note_attempt(attempt=attempt, how="worker_lost", ms=ms)

    def note_start(self, *, name, ms, count=1):
        """Traces `count` starts of attempts of a job."""
        trace = self.trace_of(name, ms=ms)
        if trace is not None:
            trace.first_start_ms = trace.first_start_ms or ms
            trace.starts += count

    def note_attempt(self, *, attempt, how, ms):
        """Traces the end of an attempt and the work that it wasted, unless it succeeded."""
        self.maybe_ended.add(attempt.job)
        trace = self.trace_of(attempt.job, ms=ms)
        if trace is None or how == "ok":
            return
        why = attempt.stop if how == "stopped" and attempt.stop else how
        add_up(trace.thrown_away, more={why: self.loss(attempt=attempt, ms=ms)})

    def trace_waits(self, *, ms):
        """Samples every TRACE_CHECK_PERIOD_MS why ready steps wait, and writes the log lines that are due."""
        since = ms - self.traced_ms
        if since < constants.TRACE_CHECK_PERIOD_MS:
            return
        self.traced_ms = ms
        if since > constants.TRACE_GAP_MAX_MS:  # the first look, or after a pause
            return
        for key in list(self.record.ready)[: constants.TRACE_STEPS_PER_CHECK]:
            trace = self.trace_of(key[0], ms=ms)
            if trace is not None:
                add_up(trace.waits, more={self.wait_reason(key): since})
        self.tell_ended(ms=ms)
        if ms - self.told_ms > constants.QUEUE_TRACE_INTERVAL_MS:
            self.told_ms = ms
            self.tell_queues()
            self.tell_concluded()

    def tell_ended(self, *, ms):
        """Logs each job that has ended and missed its target time or wasted work; counts all that ended."""
        names, self.maybe_ended = self.maybe_ended, set()
        for name in names:
            job = self.record.jobs.get(name)
            if job is not None and not job.ended:
                continue
            trace = self.traces.pop(name, None)
            if trace is None or job is None:
                continue
            took = (job.ended >> constants.LOGICAL_BITS) - trace.accepted_ms
            in_aim = job.state == "done" and (not trace.aim_ms or took <= trace.aim_ms)
            self.count_job(trace=trace, took=took, in_aim=in_aim, failed=job.state == "failed")
            if not in_aim or trace.thrown_away:
                self.tell_job(name=name, job=job, trace=trace, took=took)

    def count_job(self, *, trace, took, in_aim, failed):
        counts = self.queue_traces.setdefault(trace.queue, QueueTrace())
        counts.ended += 1
        counts.in_aim += in_aim
        counts.failed += failed
        counts.took_ms += took
        add_up(counts.waits, more=trace.waits)
        add_up(counts.thrown_away, more=trace.thrown_away)

    def tell_job(self, *, name, job, trace, took):
        self.say(
            log_events.JOB_TRACE,
            job=name,
            queue=trace.queue,
            state=job.state,
            steps=self.steps_in_brief(job),
            took_ms=took,
            aim_ms=trace.aim_ms,
            first_start_ms=trace.first_start_ms - trace.accepted_ms if trace.first_start_ms else -1,
            starts=trace.starts,
            waits=listed(trace.waits),
            stops=listed(trace.stops),
            thrown_away=listed(trace.thrown_away, per=constants.MILLICORE_MS_PER_CORE_S),
        )

    def steps_in_brief(self, job):
        """The first steps as 'tasks x thousandths of a core', with letters: g gang, t all in one rack,
        s saves checkpoints, c speculative copies, n near a rack, l needs a label."""
        flags = (
            ("gang", "g"),
            ("tight", "t"),
            ("saves", "s"),
            ("copies", "c"),
            ("near", "n"),
            ("label", "l"),
        )
        return ",".join(
            f"{spec['tasks']}x{spec['room'][0]}{''.join(letter for flag, letter in flags if spec.get(flag))}"
            for spec in job.spec["steps"][: constants.STEPS_PER_LOG_LINE]
        )

    def tell_concluded(self):
        """Logs how many attempts ended without a report of their worker since the last such line."""
        if any(self.concluded.values()):
            self.say(log_events.ENDS_CONCLUDED, by=listed(self.concluded))
        self.concluded = {}

    def tell_queues(self):
        """Logs a line for each queue in which jobs ended since the last one."""
        for queue, counts in sorted(self.queue_traces.items()):
            self.say(
                log_events.QUEUE_TRACE,
                queue=queue,
                ended=counts.ended,
                in_aim=counts.in_aim,
                failed=counts.failed,
                mean_ms=round(counts.took_ms / counts.ended),
                waits=listed(counts.waits),
                thrown_away=listed(counts.thrown_away, per=constants.MILLICORE_MS_PER_CORE_S),
            )
        self.queue_traces = {}
