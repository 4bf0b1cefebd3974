"""Jobs in the record: taken under a name, cancelled, ended, forgotten. `job_to`
and `task_to` are the only places where a job's or a task's state changes."""

from bisect import bisect_left, insort

from ..base import consts as C
from ..base.circuit import pack
from .kinds import CANCELLED, DONE, ENDING, FAILED, OPEN, READY, RUNNING, STOPPED, WAITING, Job, Step, Task

TASK_MOVES = {WAITING: (READY, STOPPED), READY: (RUNNING, STOPPED), RUNNING: (DONE, FAILED, READY, STOPPED)}
JOB_MOVES = {OPEN: (DONE, ENDING, FAILED, CANCELLED), ENDING: (FAILED, CANCELLED)}


def shape_of(sp):
    """What a step asks of any worker: steps of one shape fit, or do not fit, alike."""
    return (
        sp["kind"],
        sp["zone"],
        sp["rack"],
        *sp["room"],
        sp.get("label", ""),
        sp.get("near", ""),
        bool(sp.get("gang")),
    )


def weight_of(spec):
    """About how many bytes of memory a job takes, until it is forgotten."""
    return (
        C.JOB_BYTES
        + len(pack(spec.get("work")))
        + len(spec.get("place", ""))
        + sum(C.STEP_BYTES + C.TASK_BYTES * s["tasks"] for s in spec["steps"])
    )


class JobsMixin:
    def task_to(self, *, t, state, st):
        assert state in TASK_MOVES.get(t.state, ()), (t.id, t.state, state)
        if t.state == READY:
            self.unready(t)
        t.state = state
        if state == READY:
            t.at = st
            self.be_ready(t)

    def line_of(self, *, j, step):
        """The line of its queue that a step waits in: (its shape, its tenant)."""
        return shape_of(j.steps[step].spec), j.tenant

    def be_ready(self, t):
        """Into the ready ones, by step, and its step into the line of its queue, shape and tenant,
        in the order of jobs: placement reads lines and not every step that waits."""
        k = (t.job, t.step)
        if k not in self.ready:
            self.ready[k] = {}
            j = self.jobs[t.job]
            insort(
                self.lines.setdefault(j.lane, {}).setdefault(self.line_of(j=j, step=t.step), []),
                (j.stamp, *k),
            )
        self.ready[k][t.n] = t

    def unready(self, t):
        k = (t.job, t.step)
        d = self.ready.get(k, {})
        d.pop(t.n, None)
        if not d and self.ready.pop(k, None) is not None:
            j = self.jobs[t.job]
            key, x = self.line_of(j=j, step=t.step), (j.stamp, *k)
            line = self.lines[j.lane][key]
            del line[bisect_left(line, x)]
            if not line:
                del self.lines[j.lane][key]
                if not self.lines[j.lane]:
                    del self.lines[j.lane]

    def job_to(self, *, j, state, st, why=""):
        assert state in JOB_MOVES.get(j.state, ()), (j.name, j.state, state)
        j.state, j.why = state, why or j.why
        if state in (DONE, FAILED, CANCELLED):
            j.ended = st
            self.ended.append((st, j.name))

    def ev_job(self, st, name, spec, digest):
        """A job sent in. The same name and body again is the same job."""
        j = self.jobs.get(name)
        if j is not None:
            return ["same" if j.digest == digest else "other", j.state]
        old = self.names.get(name)
        if old is not None:
            return ["gone" if old[1] == digest else "other", old[2]]
        lane = self.queue_named(name=spec["lane"], place=spec.get("place", ""))
        if lane not in self.charter["rows"]:
            return ["nolane", lane]
        if not self.knows_tenant(spec.get("tenant", "")):
            return ["notenant", spec["tenant"]]
        j = self.jobs[name] = Job(name=name, lane=lane, digest=digest, stamp=st, spec=spec)
        for s in spec["steps"]:
            j.steps[s["name"]] = Step(name=s["name"], spec=s, left=s["tasks"])
            for n in range(s["tasks"]):
                i = f"{name}/{s['name']}/{n}"
                j.tasks[i] = Task(
                    id=i, job=name, step=s["name"], n=n, due=max(spec["notBefore"], s.get("notBefore", 0))
                )
        self.weight += weight_of(spec)
        if self.rule["jobs_follow_place"]:
            self.assign_queue(j)
        self.open_steps(j=j, st=st)
        return ["new", j.state]

    def open_steps(self, *, j, st):
        """Tasks whose earlier steps are all done become ready."""
        for s in j.steps.values():
            if all(j.steps[a].left == 0 for a in s.spec["after"]):
                for n in range(s.spec["tasks"]):
                    t = j.tasks[f"{j.name}/{s.name}/{n}"]
                    if t.state == WAITING:
                        self.task_to(t=t, state=READY, st=st)

    def ev_cancel(self, st, name):
        j = self.jobs.get(name)
        if j is None:
            old = self.names.get(name)
            return ["gone", old[2]] if old else ["none", ""]
        if j.state == OPEN:
            self.touch(j)
            self.wind_up(j=j, goal=CANCELLED, st=st, why="cancelled")
        return ["ok", j.state]

    def wind_up(self, *, j, goal, st, why):
        """The job is to end as `goal`; nothing of it starts any more."""
        j.goal = goal
        for t in j.tasks.values():
            if t.state in (WAITING, READY):
                self.task_to(t=t, state=STOPPED, st=st)
        if j.live == 0:
            self.job_to(j=j, state=goal, st=st, why=why)
            return
        self.job_to(j=j, state=ENDING, st=st, why=why)
        for g in self.legs_of(j):
            g.stop = g.stop or why

    def legs_of(self, j):
        """A job's legs, by the workers that its steps stand on."""
        return [
            g
            for s in j.steps.values()
            for i in s.on
            for g in self.workers[i].runs.values()
            if g.job == j.name and g.step == s.name
        ]

    def task_done(self, *, j, t, st):
        self.task_to(t=t, state=DONE, st=st)
        s = j.steps[t.step]
        s.left -= 1
        self.steps_done(j=j, s=s, st=st)

    def steps_done(self, *, j, s, st):
        if s.left == 0 and j.state == OPEN:
            if all(x.left == 0 for x in j.steps.values()):
                self.job_to(j=j, state=DONE, st=st)
            else:
                self.open_steps(j=j, st=st)

    def task_bad(self, *, j, t, worker, st, why):
        """A failure of the task itself. The last one allowed ends the job."""
        s = j.steps[t.step].spec
        t.fails += 1
        t.bad = (t.bad + [worker])[-3:]
        if j.state != OPEN:
            self.task_to(t=t, state=STOPPED, st=st)
        elif t.fails >= s["maxFailures"] and not s.get("forever"):
            self.task_to(t=t, state=FAILED, st=st)
            self.wind_up(j=j, goal=FAILED, st=st, why=f"{t.id} failed {t.fails} times, last: {why}")
        else:
            t.due = (st >> C.LOGICAL_BITS) + s["backoffMs"] * (1 << min(t.fails - 1, 6))
            self.task_to(t=t, state=READY, st=st)

    def settle(self, j, *, st):
        if j.state == ENDING and j.live == 0:
            self.job_to(j=j, state=j.goal, st=st)

    def ev_forget(self, st):
        """Jobs that ended long enough ago leave their name and end only."""
        now, n = st >> C.LOGICAL_BITS, 0
        while self.ended and (self.ended[0][0] >> C.LOGICAL_BITS) + self.rule["readable_ms"] < now:
            _, name = self.ended.popleft()
            j = self.jobs.pop(name)
            self.touch(j)
            self.weight -= weight_of(j.spec)
            self.names[name] = [st, j.digest, j.state]
            n += 1
        while self.names:
            name = next(iter(self.names))
            old = (self.names[name][0] >> C.LOGICAL_BITS) + self.rule["names_ms"] < now
            if not old and len(self.names) <= self.rule["names_max"]:
                break
            del self.names[name]
        if self.reservations:
            self.forget_reservations(now=now)
        return ["ok", n]
