"""What a history says, by job, by run and by worker, before any rule is looked at. A rule
needs what came later, too: whether an end was taken note of, whether a job's every try was
turned away. Order is by row, so that what happens at one moment has an order as well."""

from dataclasses import dataclass, field

from .bounds import need, parse, times

INF = float("inf")


@dataclass(kw_only=True)
class Ran:
    """One run of a task on one worker, or an end without a start."""

    w: str
    task: str
    run: int
    by: str = ""
    i0: int = 0  # rows and times of start and end
    t0: float = 0.0
    i1: float = INF
    t1: float = INF
    how: str = ""
    n: int = 0
    noted: float = None  # ms; when the end was taken note of
    void: bool = False  # the lease lapsed before that


@dataclass(kw_only=True)
class Job:
    id: str
    host: str = ""
    prefix: str = ""
    body: dict = None
    tries: dict = field(default_factory=dict)  # call: status, None without an answer
    accepted: float = None  # ms; first answer that said so
    key: str = ""  # that it was handed in with
    taken_by: dict = None  # row of the first answer that accepted it
    cancel_sent: float = None
    cancelled: float = None  # ms; first acknowledged cancel
    states: list = field(default_factory=list)  # rows of answers to GET
    gone: list = field(default_factory=list)  # rows of answers 410

    def step(self, p):
        """The step of a parsed task name, if the job has that task."""
        s = self.body["stages"][p.step] if self.body and p.step < len(self.body["stages"]) else None
        ok = s is not None and p.index < s["taskCount"] and p.k < times(self.body)
        return s if ok else None

    def tasks(self):
        for k in range(times(self.body)):
            for n, s in enumerate(self.body["stages"]):
                for x in range(s["taskCount"]):
                    yield f"{self.id}.{k}.{n}.{x}", k, n, s

    def turned_away(self):
        """Whether every try was answered with a clear no; what was never sent is no try."""
        got = [st for st in self.tries.values() if st != "down"]
        return bool(got) and all(st == 503 or st and 400 <= st < 500 and st != 408 for st in got)

    def final(self):
        """When the job was first shown as ended, or None."""
        return next(
            (r["t"] for r in self.states if r.get("state") in ("complete", "failed", "cancelled")), None
        )

    def shown(self, state):
        return next((r["t"] for r in self.states if r.get("state") == state), None)


class Index:
    def __init__(self, rows):
        self.jobs, self.workers, self.runs, self.by_task, self.by_worker = {}, {}, [], {}, {}
        self.refused, self.orders, self.saves, self.finish = [], [], {}, None
        self.done, self.gang_done = {}, {}  # task, or gang: row of its first good end
        self.held, self.last = {}, 0.0  # worker: [(t, holds a lease)]
        self.live, self.ends = {}, {}
        for i, r in enumerate(rows):
            f = getattr(self, "on_" + r["ev"], None)
            self.last = max(self.last, r["t"])
            if f is not None:
                f(i, r)

    def job(self, id):
        return self.jobs.setdefault(id, Job(id=id))

    def of(self, task):
        """(job, step, parsed name) of a task that some client sent, or None."""
        p = parse(task)
        j = self.jobs.get(p.job) if p else None
        s = j.step(p) if j is not None else None
        return (j, s, p) if s is not None else None

    # --- workers

    def on_worker(self, i, r):
        self.workers[r["w"]] = r | {"gone_at": INF, "drains_at": INF}

    def on_held(self, i, r):
        self.held.setdefault(r["w"], []).append((r["t"], True))

    def on_lapse(self, i, r):
        self.held.setdefault(r["w"], []).append((r["t"], False))
        for x in self.ends.get(r["w"], []):
            if x.noted is None:
                x.void = True

    def on_order(self, i, r):
        self.orders.append((i, r))

    def on_start(self, i, r):
        x = Ran(w=r["w"], task=r["task"], run=r["run"], by=r.get("by", ""), i0=i, t0=r["t"])
        self.runs.append(x)
        self.live[x.w, x.task, x.run] = x
        self.by_task.setdefault(x.task, []).append(x)
        self.by_worker.setdefault(x.w, []).append(x)

    def on_end(self, i, r):
        x = self.live.pop((r["w"], r["task"], r["run"]), None)
        if x is None:
            x = Ran(w=r["w"], task=r["task"], run=r["run"], i0=i, t0=r["t"])
            self.refused.append(x)
        x.i1, x.t1, x.how, x.n = i, r["t"], r["how"], r.get("n", 0)
        self.ends.setdefault(x.w, []).append(x)
        if x.how == "done":
            self.done.setdefault(x.task, i)
            p = parse(x.task)
            if p:
                self.gang_done.setdefault(p.group, i)

    def on_noted(self, i, r):
        for x in self.ends.get(r["w"], []):
            if x.n <= r["n"] and x.noted is None and not x.void:
                x.noted = r["t"]

    def on_draining(self, i, r):
        if r["w"] in self.workers:
            self.workers[r["w"]]["drains_at"] = r["t"]

    def on_gone(self, i, r):
        if r["w"] in self.workers:
            self.workers[r["w"]]["gone_at"] = r["t"]
        for k in [k for k in self.live if k[0] == r["w"]]:
            x = self.live.pop(k)
            x.i1, x.t1, x.how = i, r["t"], "gone"

    def on_saved(self, i, r):
        self.saves[r["saved"]] = r["task"]

    # --- clients

    def on_submit(self, i, r):
        j = self.job(r["job"])
        j.host, j.prefix, j.body = r["host"], r["prefix"], r["body"]
        j.key = j.key or r.get("key", "")
        j.tries[r["id"]] = None

    def on_submit_out(self, i, r):
        j = self.job(r["job"])
        j.tries[r["id"]] = "down" if r.get("why") == "down" else r["status"]
        if 200 <= r["status"] < 300 and j.accepted is None:
            j.accepted, j.taken_by = r["t"], r

    def on_cancel(self, i, r):
        j = self.job(r["job"])
        j.cancel_sent = r["t"] if j.cancel_sent is None else j.cancel_sent

    def on_cancel_out(self, i, r):
        j = self.job(r["job"])
        if 200 <= r["status"] < 300 and j.cancelled is None:
            j.cancelled = r["t"]

    def on_state_out(self, i, r):
        j = self.job(r["job"])
        if r["status"] == 200:
            j.states.append(r | {"i": i})
        elif r["status"] == 410:
            j.gone.append(r)

    def on_finish(self, i, r):
        self.finish = r["t"]

    # --- looks

    def alive(self, w, i):
        """The runs on a worker just after a row, that row's own among them."""
        return [x for x in self.by_worker.get(w, []) if x.i0 <= i < x.i1]

    def need_of(self, x):
        o = self.of(x.task)
        return need(o[1]) if o else [0, 0, 0]

    def is_done(self, task, step, i):
        """Whether a task has ended well before a row; one good end of a gang is all's."""
        p = parse(task)
        d = self.gang_done.get(p.group) if step.get("gangScheduled") else self.done.get(task)
        return d is not None and d < i
