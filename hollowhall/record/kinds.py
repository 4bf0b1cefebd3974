"""The record's types and their states. A job: open, then ending (it failed or was
cancelled and legs still run), then done, failed or cancelled. A task: waiting for
the steps before it, ready, running, then done, failed or stopped. A leg is one
start of a task; its run is the stamp that granted it. A worker: up or leaving, or
lost with legs that may yet run: it is heard again, comes back, or is declared gone."""

from dataclasses import dataclass, field

OPEN, ENDING, DONE, FAILED, CANCELLED = "open", "ending", "done", "failed", "cancelled"
WAITING, READY, RUNNING, STOPPED = "waiting", "ready", "running", "stopped"
UP, LEAVES, LOST = "up", "leaving", "lost"


@dataclass(kw_only=True, slots=True)
class Task:
    id: str
    job: str
    step: str
    n: int
    state: str = WAITING
    fails: int = 0
    due: int = 0  # ms; not started before
    at: int = 0  # stamp of becoming ready
    run: int = 0  # the live leg, or the last
    starts: int = 0  # attempts begun so far; a gang's members count alike
    live: int = 0  # attempts under way; more than one with copies
    saved: str = ""  # the newest checkpoint an attempt left
    bad: list = field(default_factory=list)  # workers it failed on, newest last

    def pack(self):
        d = [self.step, self.n, self.state, self.fails, self.due, self.at, self.run, self.bad]
        return d + [self.starts, self.saved] if self.starts else d


@dataclass(kw_only=True, slots=True)
class Step:
    name: str
    spec: dict
    left: int
    on: dict = field(default_factory=dict)
    racks: dict = field(default_factory=dict)
    failed: int = 0  # number of the gang attempt that was last counted as failed


@dataclass(kw_only=True, slots=True)
class Job:
    name: str
    lane: str
    digest: str
    stamp: int
    spec: dict
    state: str = OPEN
    why: str = ""
    goal: str = ""  # what an ending job ends as
    ended: int = 0
    live: int = 0
    place: str = ""  # its queue's place, where the job named none itself
    last_place: str = ""  # of the queue it belonged to last, where that is not the job's own
    steps: dict = field(default_factory=dict)
    tasks: dict = field(default_factory=dict)

    @property
    def tenant(self):
        """The tenant whose limits the job counts towards; empty where it has none."""
        return self.spec.get("tenant", "")

    @property
    def home(self):
        """The place where the job was handed in; empty where its queue has none."""
        return self.spec.get("place") or self.place

    def pack(self):
        return {
            "name": self.name,
            "lane": self.lane,
            "digest": self.digest,
            "stamp": self.stamp,
            "spec": self.spec,
            "state": self.state,
            "why": self.why,
            "goal": self.goal,
            "ended": self.ended,
            "live": self.live,
            "left": {a: s.left for a, s in self.steps.items()},
            "tasks": [t.pack() for t in self.tasks.values()],
        } | {
            field: value
            for field, value in (
                ("failed", {a: s.failed for a, s in self.steps.items() if s.failed}),
                ("place", self.place),
                ("last_place", self.last_place),
            )
            if value
        }

    @classmethod
    def load(cls, d):
        d = dict(d)
        left, ts, failed = d.pop("left"), d.pop("tasks"), d.pop("failed", {})
        j = cls(**d)
        j.steps = {
            s["name"]: Step(name=s["name"], spec=s, left=left[s["name"]], failed=failed.get(s["name"], 0))
            for s in j.spec["steps"]
        }
        for s, n, st, f, due, at, run, bad, *more in ts:
            i = f"{j.name}/{s}/{n}"
            j.tasks[i] = Task(
                id=i, job=j.name, step=s, n=n, state=st, fails=f, due=due, at=at, run=run, bad=bad
            )
            if more:
                j.tasks[i].starts, j.tasks[i].saved = more
        return j


@dataclass(kw_only=True, slots=True)
class Leg:
    run: int
    task: str
    job: str
    step: str
    worker: str
    lane: str
    room: list  # cores, mem, gpus
    stop: str = ""  # why it is to be stopped, if it is
    no: int = 0  # which attempt of its task it is, from 1
    gang: int = 0  # stamp of the gang attempt it belongs to

    def pack(self):
        return {
            "run": self.run,
            "task": self.task,
            "job": self.job,
            "step": self.step,
            "worker": self.worker,
            "lane": self.lane,
            "room": self.room,
            "stop": self.stop,
        } | ({"no": self.no, "gang": self.gang} if self.no else {})

    @classmethod
    def load(cls, d):
        return cls(**d)


@dataclass(kw_only=True, slots=True)
class Worker:
    id: str
    boot: str
    kind: str
    zone: str
    rack: str
    room: list
    state: str = UP
    since: int = 0
    flaky: int = 0  # ms; on probation until then
    keeps: bool = True  # stops its tasks when its hold runs out
    was: str = ""  # state before it was lost
    labels: list = field(default_factory=list)  # what a step may ask of a worker
    past: list = field(default_factory=list)  # boots before this one
    used: list = field(default_factory=lambda: [0, 0, 0])
    runs: dict = field(default_factory=dict)

    def pack(self):
        d = {
            "id": self.id,
            "boot": self.boot,
            "kind": self.kind,
            "zone": self.zone,
            "rack": self.rack,
            "room": self.room,
            "state": self.state,
            "since": self.since,
            "flaky": self.flaky,
            "past": self.past,
        }
        return (
            d
            | ({} if self.keeps else {"keeps": False})
            | ({"was": self.was} if self.was else {})
            | ({"labels": self.labels} if self.labels else {})
        )

    @classmethod
    def load(cls, d):
        return cls(**d)
