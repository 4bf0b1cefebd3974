"""The record: the deterministic state machine that every store member and every
scheduler applies the same log entries to. A batch of decisions carries the epoch of the
scheduler that made it, the epoch of the clock that issued its stamps, and its first
stamp; the events in it take consecutive stamps. A batch from an old epoch, or whose first
stamp is not above the last one applied, changes nothing. Every safety rule is checked
here, when an entry is applied, and not only by the scheduler that proposed it."""

import hashlib
import zlib
from collections import deque

from ..base import constants
from ..base.circuit import pack
from ..base.problems import NewerLevel, OldEpoch, OldStamp, Raised, Success
from .budgets import BudgetsMixin
from .cancelled_names import CancelledNamesMixin
from .charter import check_rows
from .copying import CopyingMixin, jobs_of
from .edits import EditsMixin
from .jobs import JobsMixin, weight_of
from .kinds import Attempt, Job, Step, Task, Worker
from .legs import AttemptsMixin
from .queues import QueuesMixin
from .reservations import ReservationsMixin
from .tenants import TenantsMixin


def refuse_newer_level(level):
    """Raises Raised(NewerLevel) for a format level that this release does not know."""
    if level > constants.LEVEL:
        raise Raised(NewerLevel(level=level, known=constants.LEVEL))


def stamps_of(event):
    """How many consecutive stamps an event takes: one, or one per member for a gang."""
    return len(event[3]) if event[0] == "gang" else 1


def physical_ms(stamp):
    """The physical part of a stamp, in milliseconds."""
    return stamp >> constants.LOGICAL_BITS


class Record(
    BudgetsMixin,
    CancelledNamesMixin,
    CopyingMixin,
    EditsMixin,
    JobsMixin,
    AttemptsMixin,
    QueuesMixin,
    ReservationsMixin,
    TenantsMixin,
):
    """Jobs, tasks, attempts, workers, reservations, tenants and the configuration. Changed only by
    `enact`, so that replicas that applied the same entries hold the same state."""

    def __init__(self):
        self.clear()

    def clear(self):
        """Empties the record, at format level 0 and configuration version 1."""
        # last: the newest stamp applied; sum: the running state checksum, kept from level 1 on
        self.epoch = self.clock_epoch = self.last = self.level = self.sum = 0
        self.charter = {"version": 1, "rows": {}, "at": 0}
        # names: name: [stamp, digest, state] of forgotten jobs; gone: id: (earlier boots, leaving boot) of
        # removed workers; legs: run: attempt
        self.jobs, self.names, self.workers, self.attempts, self.gone = {}, {}, {}, {}, {}
        self.fleet = 0  # counts workers added and removed; not part of a snapshot
        # evacuated: zone: stamp; taken: version that an operator chose: idempotency key of its edit
        self.evacuated, self.taken = {}, {}
        self.clear_reservations()
        self.clear_tenants()
        self.clear_budgets()
        self.clear_cancelled_names()
        self.derive()

    def derive(self):
        """Recomputes the state that follows from the rest and is not part of a snapshot."""
        self.rule = constants.RULES[self.level]
        self.index_places()
        self.fleet += 1
        self.weight = sum(weight_of(job.spec) for job in self.jobs.values())
        # ready: (job, step): its ready tasks; lines: queue: (shape, tenant): steps with ready tasks, in the
        # order of their jobs; ended: (stamp, name) of jobs that ended, oldest first
        self.ready, self.lines, self.ended = {}, {}, deque()
        # by queue or tenant: running attempts, and [cores, memMb, gpus] that they use
        self.running_by_queue, self.used_by_queue = {}, {}
        self.tenant_used, self.tenant_lasting = {}, {}
        for worker in self.workers.values():
            worker.used, worker.runs = [0, 0, 0], {}
        for job in self.jobs.values():
            for step in job.steps.values():
                step.on, step.racks = {}, {}
            for task in job.tasks.values():
                task.live = 0
                if task.state == "ready":
                    self.be_ready(task)
            if job.ended:
                self.ended.append((job.ended, job.name))
        self.ended = deque(sorted(self.ended))
        for attempt in sorted(self.attempts.values(), key=lambda attempt: attempt.run):
            self.count_attempt(attempt=attempt, sign=1)
            self.jobs[attempt.job].tasks[attempt.task].live += 1

    def pack(self, *, jobs=True):
        """A snapshot of the record as a dict that can be packed; without jobs if `jobs` is false."""
        return (
            {
                "epoch": self.epoch,
                "ce": self.clock_epoch,
                "last": self.last,
                "charter": self.charter,
                "names": dict(self.names),
                "gone": dict(self.gone),
                "jobs": [job.pack() for job in self.jobs.values()] if jobs else [],
                "workers": [worker.pack() for worker in self.workers.values()],
                "legs": [attempt.pack() for attempt in self.attempts.values()],
            }
            | ({"level": self.level, "sum": self.sum} if self.level else {})
            | ({"evacuated": dict(self.evacuated), "taken": dict(self.taken)} if self.level > 1 else {})
            | self.pack_reservations()
            | self.pack_tenants()
            | self.pack_budgets()
            | self.pack_cancelled_names()
        )

    def load(self, snapshot):
        """Replaces the whole state by a snapshot's; raises Raised(NewerLevel) if its format is not known."""
        refuse_newer_level(snapshot.get("level", 0))
        self.copying = None
        self.level, self.sum = snapshot.get("level", 0), snapshot.get("sum", 0)
        self.epoch, self.clock_epoch, self.last = snapshot["epoch"], snapshot["ce"], snapshot["last"]
        self.charter, self.names = snapshot["charter"], dict(snapshot["names"])
        self.gone = {worker_id: tuple(past_and_left) for worker_id, past_and_left in snapshot["gone"].items()}
        self.jobs = {packed["name"]: Job.load(packed) for packed in jobs_of(snapshot)}
        self.workers = {packed["id"]: Worker.load(packed) for packed in snapshot["workers"]}
        self.attempts = {packed["run"]: Attempt.load(packed) for packed in snapshot["legs"]}
        self.evacuated, self.taken = dict(snapshot.get("evacuated", {})), dict(snapshot.get("taken", {}))
        self.load_reservations(snapshot)
        self.load_tenants(snapshot)
        self.load_budgets(snapshot)
        self.load_cancelled_names(snapshot)
        self.derive()

    def digest(self):
        """A hash of the whole state, equal on any two members that applied the same entries."""
        snapshot = self.pack()
        snapshot["jobs"] = sorted(snapshot["jobs"], key=lambda packed: packed["name"])
        snapshot["workers"] = sorted(snapshot["workers"], key=lambda packed: packed["id"])
        snapshot["legs"] = sorted(snapshot["legs"], key=lambda packed: packed["run"])
        snapshot["names"], snapshot["gone"] = (
            sorted(snapshot["names"].items()),
            sorted(snapshot["gone"].items()),
        )
        return hashlib.sha256(pack(snapshot)).hexdigest()[:24]

    def apply_entry(self, *, op, d):
        """Applies one log entry: its operation (`edit`, `turn` or `level`) and that operation's body. Gives
        a Success or a Failure, and extends the running checksum that replicas compare by its result."""
        result = {"edit": self.edit, "turn": self.apply_batch, "level": self.to_level}[op](d)
        if self.level:
            self.sum = zlib.crc32(
                pack(
                    [
                        result.value if result.ok else type(result).__name__,
                        self.last,
                        len(self.jobs),
                        len(self.attempts),
                        len(self.ready),
                        len(self.ended),
                    ]
                    + ([len(self.reservations)] if self.level > 2 else [])
                    + ([self.sum_of_tenants()] if self.level > 4 else [])
                    + ([len(self.cancelled_names)] if self.level > 5 else [])
                ),
                self.sum,
            )
        return result

    def to_level(self, level):
        """Raises the format level and applies its rules from here on; a level is never lowered.
        Formats before level 1 did not ask workers whether they stop their tasks when their lease
        expires, so workers that registered under them count as not doing so until they say so."""
        refuse_newer_level(level)
        if level > self.level:
            for worker in self.workers.values():
                worker.keeps = worker.keeps and self.level > 0
            self.level, self.rule, self.sum = level, constants.RULES[level], 0
            self.index_places()
            self.assign_queues()
        return Success(value={"level": self.level})

    def apply_batch(self, batch):
        """Applies a batch of decisions {e: scheduler epoch, c: clock epoch, s: first stamp, v: events}
        and gives the result of each event."""
        if batch["e"] < self.epoch:
            return OldEpoch(epoch=batch["e"], have=self.epoch)
        if batch["c"] < self.clock_epoch:
            return OldEpoch(epoch=batch["c"], have=self.clock_epoch)
        if batch["s"] <= self.last:
            return OldStamp(stamp=batch["s"], last=self.last)
        self.epoch, self.clock_epoch = batch["e"], batch["c"]
        results = []
        stamp = batch["s"]
        for event in batch["v"]:
            count = stamps_of(event)
            self.last = stamp + count - 1
            results.append(getattr(self, "ev_" + event[0])(stamp, *event[1:]))
            stamp += count
        return Success(value=results)

    def ev_open(self, stamp):
        """Changes no state; its batch raises the epoch and the last stamp."""
        return ["ok"]

    def ev_evacuate(self, stamp, zone, on):
        """Starts (on) or ends (off) the evacuation of a zone, whose workers are given no new tasks."""
        if on:
            self.evacuated.setdefault(zone, stamp)
        else:
            self.evacuated.pop(zone, None)
        return ["ok", zone]


__all__ = ["Record", "Task", "Step", "physical_ms", "check_rows"]
