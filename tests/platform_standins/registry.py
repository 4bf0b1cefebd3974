"""What the platform's workers share behind the system's back: how long each task really
works and whether it fails, the members of a gang that find one another, and which text of
progress stands for how much work. Members tell one another by ringing a run's bell, so a
frozen worker hears it when it wakes."""

from dataclasses import dataclass, field

from .bounds import need, parse


@dataclass(kw_only=True)
class Work:
    """What each task of a step really does; the system sees only `estimateMs`."""

    ms: float = 500.0
    fails: int = 0  # so many first runs of each task fail by themselves; -1: all
    hangs: int = 0  # so many first runs stand still on the way
    at: float = 0.5  # the part of the work after which it fails or stands still


@dataclass(kw_only=True)
class Run:
    """One run of a task on a worker."""

    task: str
    run: int
    saved: str = ""
    need: list = field(default_factory=lambda: [0, 0, 0])
    step: dict = field(default_factory=dict)
    work: Work = field(default_factory=Work)
    gang: object = None
    total: float = 0.0  # ms of work at which it ends
    fails: bool = False
    hangs: bool = False
    worked: float = 0.0  # ms of work that are done
    since: float = 0.0  # s; when `worked` was last brought up to date, and at which pace
    rate: float = 0.0
    cue: str = ""  # why it ends, once that is known: stop, broken, done
    bell: object = None
    life: object = None  # the asyncio task

    def ring(self, *, cue=""):
        self.cue = self.cue or cue
        if self.bell is not None and not self.bell.done():
            self.bell.set_result(None)

    def percent(self, *, now):
        w = self.worked + (now - self.since) * 1000 * self.rate if self.rate else self.worked
        if self.step.get("longRunning"):
            return 100 if w >= self.work.ms else 0
        return int(min(99, 100 * w / max(self.work.ms, 1e-9)))


class Gang:
    """One run of a gang: its members, wherever they are."""

    def __init__(self, *, size):
        self.size, self.members, self.racks, self.finished = size, [], set(), set()
        self.over = False

    @property
    def full(self):
        return len(self.members) == self.size

    def join(self, *, run, rack):
        self.members.append(run)
        self.racks.add(rack)
        if self.over or any(m.saved != run.saved for m in self.members):
            self.broke()
        elif self.full:
            for m in self.members:
                m.ring()

    def finish(self, *, run):
        self.finished.add(run.task)
        if len(self.finished) == self.size and not self.over:
            self.over = True
            for m in self.members:
                m.ring(cue="done")

    def broke(self):
        """A member has ended before all were done, or they brought different progress."""
        if not self.over:
            self.over = True
        for m in self.members:
            m.ring(cue="broken")


class Registry:
    def __init__(self):
        self.jobs, self.gangs, self.saves, self.tries = {}, {}, {}, {}

    def add(self, *, job, body, works):
        self.jobs[job] = (body, works)

    def lasts(self, *, job):
        """Whether a job runs until it is cancelled."""
        return any(step.get("longRunning") for step in self.jobs[job][0]["stages"])

    def find(self, *, task):
        """(job's body, step, its Work) of a task that some client has sent, or None."""
        p = parse(task)
        body, works = self.jobs.get(p.job, (None, None)) if p else (None, None)
        if body is None or p.step >= len(body["stages"]):
            return None
        return body, body["stages"][p.step], works[p.step]

    def make(self, *, task, run, saved):
        """A run as it was ordered; what nobody sent takes no room and ends soon."""
        found = self.find(task=task)
        if found is None:
            return Run(task=task, run=run, saved=saved, total=100.0)
        _, step, work = found
        r = Run(task=task, run=run, saved=saved, need=need(step), step=step, work=work)
        group, ms = self.saves.get(saved, (None, 0.0))
        if group == self.group(task=task, step=step):
            r.worked = ms
        return r

    def begin(self, *, run, rack):
        """A run starts: how it will end is known here only, and its gang is found."""
        n, w, step = self.tries.get(run.task, 0), run.work, run.step
        self.tries[run.task] = n + 1
        run.fails, run.hangs = w.fails < 0 or n < w.fails, n < w.hangs
        if step:
            run.total = w.ms * w.at if run.fails else w.ms
        if step.get("longRunning") and not run.fails:
            run.total = float("inf")
        if step.get("gangScheduled"):
            run.gang = self.gangs.setdefault((parse(run.task).group, run.run), Gang(size=step["taskCount"]))
            run.gang.join(run=run, rack=rack)

    def group(self, *, task, step):
        return parse(task).group if step.get("gangScheduled") else parse(task)

    def save(self, *, run):
        """The text that stands for a run's progress, from now on."""
        text = f"{len(self.saves) + 1:08x}{run.task[8:16]}"
        self.saves[text] = (self.group(task=run.task, step=run.step), run.worked)
        return text
