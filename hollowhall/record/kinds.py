"""The types of the record and their states. A job is open, then ending (it failed or was
cancelled and attempts still run), then done, failed or cancelled. A task is waiting for
earlier steps, ready, running, then done, failed or stopped. An attempt is one start of a
task; its run is the stamp that granted it. A worker is up or leaving, or lost with attempts
that may still be running, until it is heard again, registers again or is declared gone."""

from dataclasses import dataclass, field

OPEN, ENDING, DONE, FAILED, CANCELLED = "open", "ending", "done", "failed", "cancelled"
WAITING, READY, RUNNING, STOPPED = "waiting", "ready", "running", "stopped"
UP, LEAVES, LOST = "up", "leaving", "lost"


@dataclass(kw_only=True, slots=True)
class Task:
    """One task of a step, with the history of its attempts."""

    id: str
    job: str
    step: str
    n: int
    state: str = WAITING
    fails: int = 0
    due: int = 0  # ms; not started before then
    at: int = 0  # stamp at which it became ready
    run: int = 0  # the running attempt, or the last one
    starts: int = 0  # number of the last attempt; the same for all members of a gang
    live: int = 0  # running attempts; more than one with copies
    saved: str = ""  # the newest checkpoint that an attempt left
    bad: list = field(default_factory=list)  # the workers it failed on last, newest at the end

    def pack(self):
        packed = [self.step, self.n, self.state, self.fails, self.due, self.at, self.run, self.bad]
        return packed + [self.starts, self.saved] if self.starts else packed


@dataclass(kw_only=True, slots=True)
class Step:
    """A step of a job: its specification, and where its tasks run."""

    name: str
    spec: dict
    left: int  # tasks that are not done
    on: dict = field(default_factory=dict)  # running attempts by worker
    racks: dict = field(default_factory=dict)  # running attempts by rack
    failed: int = 0  # number of the gang attempt that was last counted as failed


@dataclass(kw_only=True, slots=True)
class Job:
    """A job that is not forgotten yet, with its steps and tasks."""

    name: str
    lane: str
    digest: str
    stamp: int
    spec: dict
    state: str = OPEN
    why: str = ""
    goal: str = ""  # the final state of an ending job
    ended: int = 0
    live: int = 0
    place: str = ""  # the place of its queue, if the job named none
    last_place: str = ""  # the place of its last queue, if it is not the job's own
    steps: dict = field(default_factory=dict)
    tasks: dict = field(default_factory=dict)

    @property
    def tenant(self):
        """The tenant whose limits the job counts towards; empty if it has none."""
        return self.spec.get("tenant", "")

    @property
    def home(self):
        """The place the job was submitted at; empty if its queue has none."""
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
            "left": {name: step.left for name, step in self.steps.items()},
            "tasks": [task.pack() for task in self.tasks.values()],
        } | {
            field: value
            for field, value in (
                ("failed", {name: step.failed for name, step in self.steps.items() if step.failed}),
                ("place", self.place),
                ("last_place", self.last_place),
            )
            if value
        }

    @classmethod
    def load(cls, packed):
        packed = dict(packed)
        left, tasks, failed = packed.pop("left"), packed.pop("tasks"), packed.pop("failed", {})
        job = cls(**packed)
        job.steps = {
            step["name"]: Step(
                name=step["name"], spec=step, left=left[step["name"]], failed=failed.get(step["name"], 0)
            )
            for step in job.spec["steps"]
        }
        for step, index, state, fails, due, at, run, bad, *more in tasks:
            task_id = f"{job.name}/{step}/{index}"
            job.tasks[task_id] = Task(
                id=task_id,
                job=job.name,
                step=step,
                n=index,
                state=state,
                fails=fails,
                due=due,
                at=at,
                run=run,
                bad=bad,
            )
            if more:
                job.tasks[task_id].starts, job.tasks[task_id].saved = more
        return job


@dataclass(kw_only=True, slots=True)
class Attempt:
    """An attempt: one start of a task on a worker."""

    run: int
    task: str
    job: str
    step: str
    worker: str
    lane: str
    room: list  # cores, mem, gpus
    stop: str = ""  # why it must stop; empty if it need not
    no: int = 0  # number of the attempt of its task, from 1
    gang: int = 0  # stamp of the gang's start that it belongs to

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
    def load(cls, packed):
        return cls(**packed)


@dataclass(kw_only=True, slots=True)
class Worker:
    """A registered worker, with the resources it has and those in use."""

    id: str
    boot: str
    kind: str
    zone: str
    rack: str
    room: list
    state: str = UP
    since: int = 0
    flaky: int = 0  # ms; given no tasks until then
    keeps: bool = True  # stops its tasks when its lease expires
    was: str = ""  # the state before it was lost
    labels: list = field(default_factory=list)  # labels that a step may require
    past: list = field(default_factory=list)  # earlier boots, newest last
    used: list = field(default_factory=lambda: [0, 0, 0])
    runs: dict = field(default_factory=dict)

    def pack(self):
        packed = {
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
            packed
            | ({} if self.keeps else {"keeps": False})
            | ({"was": self.was} if self.was else {})
            | ({"labels": self.labels} if self.labels else {})
        )

    @classmethod
    def load(cls, packed):
        return cls(**packed)
