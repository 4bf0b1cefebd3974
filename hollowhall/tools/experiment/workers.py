"""Simulated workers: what they run, save, lose and report, by the rules that real workers keep
(docs/workers.md). Time comes in ticks; a gang's members work only together."""

from dataclasses import dataclass, field

TICK_S = 0.05  # s of virtual time in one step of the simulation
BEAT_S = 0.15  # s between two beats of a worker without news
MS = 1000.0  # ms in a second
PERCENT_MOST = 99  # percents; an attempt that runs is never through


@dataclass(kw_only=True)
class Attempt:
    """One run of a task. Times in ms of work."""

    task: str
    number: int
    total_ms: float
    end_ms: float  # where it ends; before its total if it fails
    core: int  # thousandths of a core
    saves: bool
    fails: bool
    slower: float  # times, for standing far from its data or from its gang
    done_ms: float = 0.0
    saved_ms: float = 0.0
    begun_at: float = 0.0
    stop_at: float = 0.0  # s; when a stop that was ordered is carried out; 0: none
    stuck: bool = False

    @property
    def key(self):
        return self.task, self.number

    def percent(self):
        return min(PERCENT_MOST, int(100 * self.done_ms / self.total_ms))


@dataclass(kw_only=True)
class Gang:
    """The members of one attempt of a gang: task to (worker, attempt)."""

    size: int
    begun_at: float
    members: dict = field(default_factory=dict)

    def whole(self):
        return len(self.members) == self.size


@dataclass(kw_only=True)
class SimulatedWorker:
    """A worker: `cut` is silent and works on, `away` is gone, `slow` a factor, `fails` a share."""

    id: str
    index: int
    room: list
    rack: str
    label: str
    away: bool = False
    cut: bool = False
    leaving: bool = False
    slow: float = 1.0
    fails: float = 0.0
    hangs: float = 0.0
    attempts: dict = field(default_factory=dict)
    ends: list = field(default_factory=list)
    ended: set = field(default_factory=set)
    last_end: int = 0
    beat_at: float = 0.0
    lease_until: float = 0.0

    def report(self):
        """A beat's body, as a platform's translation hands it to the primary."""
        return {
            "id": self.id,
            "boot": "1",
            "kind": "k",
            "zone": f"z{self.index % 3}",
            "rack": self.rack,
            "room": list(self.room),
            "labels": [self.label, self.rack],
            "keepsHold": True,
            "leaves": self.leaving,
            "ends": list(self.ends),
            "named": [
                (*key, str(int(a.saved_ms)) if a.saved_ms else "", a.percent())
                for key, a in self.attempts.items()
            ],
        }

    def used_cores(self):
        return sum(a.core for a in self.attempts.values())
