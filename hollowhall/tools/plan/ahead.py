"""Forecasts how a cluster goes on from a snapshot.

The scheduler's placement and the record's own rules run on a copy of the record, from one end of a task to the
next. How long tasks run is drawn at random from samples of ended jobs in the record, or from a history, so the
result is a range over several seeds. No new jobs arrive in a forecast: it covers the present ones only."""

import heapq
import random

from ...base import constants
from ...base.problems import BadInput, Raised
from ...desk.place import Round
from ...desk.reserved_plan import plan_of
from ...record import Record
from ...record.kinds import LOST

MIN_SAMPLES = 3  # with fewer samples of a step, those of its queue are used, then those of all queues
# From a grant to the start of the task, and from its end to the record of it, together. A history does not
# show this time; trials do (measurements.md).
START_AND_END_DELAY_MS = 75
MAX_SAMPLES = 200  # per step


def add_sample(samples, lane, step, ms):
    """Adds a duration for its step, its queue and all queues."""
    for key in ((lane, step), (lane, ""), ("", "")):
        kept = samples.setdefault(key, [])
        if len(kept) < MAX_SAMPLES:
            kept.append(ms)


def from_record(record):
    """Samples of task durations in ms, {(queue, step): [ms]}, from the ended steps of a record.

    The record has no end of a single task. It has each task's last start, and when the following steps became
    ready or the job ended: for the task of a step that started last, that is its end or a little later."""
    samples = {}
    for job in record.jobs.values():
        for step in job.steps.values():
            tasks = [task for task in job.tasks.values() if task.step == step.name and task.run]
            later = [
                task.at
                for task in job.tasks.values()
                if task.at and step.name in job.steps[task.step].spec["after"]
            ]
            end = min(later, default=0) or (job.ended if job.state == "done" else 0)
            if tasks and step.left == 0 and end:
                add_sample(
                    samples,
                    job.lane,
                    step.name,
                    max(1, (end - max(task.run for task in tasks)) >> constants.LOGICAL_BITS),
                )
    return samples


def from_history(rows):
    """The same from the rows of histories of simulated workers and load generators: the time from the start to
    the successful end of each task, plus the delays before and after that the record includes."""
    samples, starts, lanes = {}, {}, {}
    for row in rows:
        if row["ev"] == "put":
            lanes[row["name"]] = row["body"].get("lane", "")
        elif row["ev"] == "start":
            starts[row["run"]] = row
        elif row["ev"] == "end" and row["how"] == "ok" and row["run"] in starts:
            start = starts[row["run"]]
            add_sample(
                samples,
                lanes.get(start["job"], ""),
                start["step"],
                START_AND_END_DELAY_MS + round(row["t"] - start["t"]),
            )
    return samples


class ForwardRun:
    """One forecast from a record, which it changes. Times in ms; `clock_ms` is the simulated time."""

    def __init__(self, *, record, now, durations, seed):
        self.record, self.clock_ms, self.durations, self.rng = record, now, durations, random.Random(seed)
        self.now, self.last_stamp, self.kept, self.pending_ends = (
            now,
            max(record.last, now << constants.LOGICAL_BITS),
            {},
            [],
        )
        self.lanes, self.busy = {}, {}
        for attempt in sorted(record.attempts.values(), key=lambda attempt: attempt.run):
            ran = now - (attempt.run >> constants.LOGICAL_BITS)
            if (
                record.workers[attempt.worker].state != LOST
            ):  # the end of an attempt on a lost worker is never reported
                self.schedule_end(attempt=attempt, ms=max(1, self.draw_duration(attempt=attempt) - ran))

    def draw_duration(self, *, attempt):
        """A duration in ms for an attempt. Raises Raised(BadInput) if there are too few samples."""
        for key in ((attempt.lane, attempt.step), (attempt.lane, ""), ("", "")):
            if len(self.durations.get(key, ())) >= MIN_SAMPLES:
                return self.rng.choice(self.durations[key])
        raise Raised(
            BadInput(
                errors=[
                    [
                        "durations",
                        f"nothing is known of how long {attempt.lane} {attempt.step} runs; give a history",
                    ]
                ]
            )
        )

    def schedule_end(self, *, attempt, ms):
        """Ends an attempt in `ms`; those of standing jobs never end."""
        if not self.record.jobs[attempt.job].spec.get("standing"):
            heapq.heappush(self.pending_ends, (self.clock_ms + ms, attempt.run))

    def stamp(self):
        """A new stamp, larger than all before."""
        self.last_stamp = max(self.last_stamp + 1, self.clock_ms << constants.LOGICAL_BITS)
        return self.last_stamp

    def lane(self, name):
        """The figures of a queue."""
        return self.lanes.setdefault(name, {"started": 0, "ended": 0, "waits": [], "left": 0})

    reserving = None  # the plan that serves the reservations; a forecast stops no attempts for them

    def run_batch(self):
        """Starts what can start now. Returns (time at which more may start or None, whether the batch was full)."""
        placement_round = Round(
            rec=self.record, now=self.clock_ms, most=constants.BATCH_EVENTS_MAX, kept=self.kept
        )
        self.reserving = plan_of(rec=self.record, ms=self.clock_ms, previous=self.reserving)
        placement_round.open_plan(self.reserving)
        for task, worker in placement_round.run():
            state = self.record.jobs[task.rsplit("/", 2)[0]].tasks[task]
            since, stamp = max(self.now, state.at >> constants.LOGICAL_BITS, state.due), self.stamp()
            if self.record.ev_grant(stamp, task, worker)[0] == "ok":
                attempt = self.record.attempts[stamp]
                figures = self.lane(attempt.lane)
                figures["started"] += 1
                figures["waits"].append(max(0, self.clock_ms - since))
                self.schedule_end(attempt=attempt, ms=self.draw_duration(attempt=attempt))
        return placement_round.due, len(placement_round.out) >= constants.BATCH_EVENTS_MAX

    def count_room(self, ms):
        """Adds `ms` of the present load to each worker's busy time."""
        for worker_id, worker in self.record.workers.items():
            load = max((used / size for used, size in zip(worker.used, worker.room) if size), default=0.0)
            self.busy[worker_id] = self.busy.get(worker_id, 0.0) + load * ms

    def run(self, *, seconds):
        """Runs for a simulated time; returns the figures by queue and worker."""
        end = self.now + round(seconds * 1000)
        while True:
            due, more = self.run_batch()
            next_ms = min(
                [self.clock_ms + 1] * more
                + [
                    moment
                    for moment in (due, self.pending_ends[0][0] if self.pending_ends else None)
                    if moment is not None
                ],
                default=end,
            )
            step = max(1, min(next_ms, end) - self.clock_ms)
            self.count_room(step)
            self.clock_ms += step
            if self.clock_ms >= end:
                return self.figures(seconds)
            while self.pending_ends and self.pending_ends[0][0] <= self.clock_ms:
                _, run = heapq.heappop(self.pending_ends)
                attempt = self.record.attempts.get(run)
                if attempt is not None:
                    self.lane(attempt.lane)["ended"] += 1
                    self.record.ev_end(self.stamp(), run, "ok", "")

    def figures(self, seconds):
        """The figures by queue, tasks that still wait included, and the mean load (0 to 1) by worker."""
        for key, tasks in self.record.ready.items():
            figures = self.lane(self.record.jobs[key[0]].lane)
            for task in tasks.values():
                figures["left"] += 1
                figures["waits"].append(
                    max(0, self.clock_ms - max(self.now, task.at >> constants.LOGICAL_BITS, task.due))
                )
        out = {}
        for name, figures in self.lanes.items():
            waits = sorted(figures.pop("waits")) or [0]
            out[name] = figures | {"wait ms, median": waits[len(waits) // 2], "wait ms, worst": waits[-1]}
        return {
            "lanes": out,
            "workers": {
                worker_id: round(busy / seconds / 1000, 3) for worker_id, busy in sorted(self.busy.items())
            },
        }


def spread(values):
    """[least, median, largest] of values."""
    values = sorted(values)
    return [values[0], values[len(values) // 2], values[-1]]


def merge(runs):
    """The spread of each figure over the runs."""
    out = {"lanes": {}, "workers": {}}
    for lane in sorted({lane for run in runs for lane in run["lanes"]}):
        rows = [run["lanes"].get(lane, {}) for run in runs]
        out["lanes"][lane] = {
            key: spread([row.get(key, 0) for row in rows])
            for key in ("started", "ended", "left", "wait ms, median", "wait ms, worst")
        }
    for worker_id in sorted({worker_id for run in runs for worker_id in run["workers"]}):
        out["workers"][worker_id] = spread([run["workers"].get(worker_id, 0.0) for run in runs])
    return out


def forecast(*, picture, change, durations, seconds, seeds):
    """Forecasts `seconds` from a snapshot, once per seed, after `change(record)`. Returns {lanes, workers}; each
    figure is [least, median, largest] over the seeds."""
    runs = []
    for seed in range(1, seeds + 1):
        record = Record()
        record.load(picture["record"])
        change(record)
        runs.append(
            ForwardRun(record=record, now=int(picture["at"]), durations=durations, seed=seed).run(
                seconds=seconds
            )
        )
    return merge(runs)


def worst_outcome(figures):
    """(longest wait in ms in any queue, number of tasks left), both by the median over the seeds."""
    return max((lane["wait ms, worst"][1] for lane in figures["lanes"].values()), default=0), sum(
        lane["left"][1] for lane in figures["lanes"].values()
    )
