"""Jobs in the record: accepted under a name, cancelled, ended and forgotten. Only `job_to`
and `task_to` change the state of a job or a task."""

from bisect import bisect_left, insort

from ..base import constants
from ..base.circuit import pack
from .kinds import CANCELLED, DONE, ENDING, FAILED, OPEN, READY, RUNNING, STOPPED, WAITING, Job, Step, Task

TASK_MOVES = {WAITING: (READY, STOPPED), READY: (RUNNING, STOPPED), RUNNING: (DONE, FAILED, READY, STOPPED)}
JOB_MOVES = {OPEN: (DONE, ENDING, FAILED, CANCELLED), ENDING: (FAILED, CANCELLED)}


def shape_of(spec):
    """What a step requires of a worker: steps of one shape fit the same workers."""
    return (
        spec["kind"],
        spec["zone"],
        spec["rack"],
        *spec["room"],
        spec.get("label", ""),
        spec.get("near", ""),
        bool(spec.get("gang")),
    )


def weight_of(spec):
    """An estimate of the bytes of memory that a job takes until it is forgotten."""
    return (
        constants.JOB_BYTES
        + len(pack(spec.get("work")))
        + len(spec.get("place", ""))
        + sum(constants.STEP_BYTES + constants.TASK_BYTES * step["tasks"] for step in spec["steps"])
    )


class JobsMixin:
    """The part of the record that holds jobs and their tasks."""

    def task_to(self, *, task, state, stamp):
        """Changes a task's state; asserts that the transition is allowed."""
        assert state in TASK_MOVES.get(task.state, ()), (task.id, task.state, state)
        if task.state == READY:
            self.unready(task)
        task.state = state
        if state == READY:
            task.at = stamp
            self.be_ready(task)

    def line_of(self, *, job, step):
        """Key of the line, among those of its queue, that a step waits in: (shape, tenant)."""
        return shape_of(job.steps[step].spec), job.tenant

    def be_ready(self, task):
        """Adds a task to the ready tasks of its step, and the step to the line of its queue, shape and
        tenant, ordered by the job's stamp: placement reads lines and not every waiting step."""
        step_key = (task.job, task.step)
        if step_key not in self.ready:
            self.ready[step_key] = {}
            job = self.jobs[task.job]
            insort(
                self.lines.setdefault(job.lane, {}).setdefault(self.line_of(job=job, step=task.step), []),
                (job.stamp, *step_key),
            )
        self.ready[step_key][task.n] = task

    def unready(self, task):
        """Removes a task from the ready tasks, and its step from its line with the last one."""
        step_key = (task.job, task.step)
        tasks = self.ready.get(step_key, {})
        tasks.pop(task.n, None)
        if not tasks and self.ready.pop(step_key, None) is not None:
            job = self.jobs[task.job]
            line_key, entry = self.line_of(job=job, step=task.step), (job.stamp, *step_key)
            line = self.lines[job.lane][line_key]
            del line[bisect_left(line, entry)]
            if not line:
                del self.lines[job.lane][line_key]
                if not self.lines[job.lane]:
                    del self.lines[job.lane]

    def job_to(self, *, job, state, stamp, why=""):
        """Changes a job's state; asserts that the transition is allowed."""
        assert state in JOB_MOVES.get(job.state, ()), (job.name, job.state, state)
        job.state, job.why = state, why or job.why
        if state in (DONE, FAILED, CANCELLED):
            job.ended = stamp
            self.ended.append((stamp, job.name))

    def ev_job(self, stamp, name, spec, digest):
        """Accepts a job. The same name and body again is the same job."""
        job = self.jobs.get(name)
        if job is not None:
            return ["same" if job.digest == digest else "other", job.state]
        forgotten = self.names.get(name)
        if forgotten is not None:
            return ["gone" if forgotten[1] == digest else "other", forgotten[2]]
        if self.is_cancelled_name(name=name, stamp=stamp):
            return ["gone", CANCELLED]
        lane = self.queue_named(name=spec["lane"], place=spec.get("place", ""))
        if lane not in self.charter["rows"]:
            return ["nolane", lane]
        if not self.knows_tenant(spec.get("tenant", "")):
            return ["notenant", spec["tenant"]]
        job = self.jobs[name] = Job(name=name, lane=lane, digest=digest, stamp=stamp, spec=spec)
        for step in spec["steps"]:
            job.steps[step["name"]] = Step(name=step["name"], spec=step, left=step["tasks"])
            for index in range(step["tasks"]):
                task_id = f"{name}/{step['name']}/{index}"
                job.tasks[task_id] = Task(
                    id=task_id,
                    job=name,
                    step=step["name"],
                    n=index,
                    due=max(spec["notBefore"], step.get("notBefore", 0)),
                )
        self.weight += weight_of(spec)
        if self.rule["jobs_follow_place"]:
            self.assign_queue(job)
        self.open_steps(job=job, stamp=stamp)
        return ["new", job.state]

    def open_steps(self, *, job, stamp):
        """Makes the waiting tasks of each step ready whose earlier steps are all done."""
        for step in job.steps.values():
            if all(job.steps[name].left == 0 for name in step.spec["after"]):
                for index in range(step.spec["tasks"]):
                    task = job.tasks[f"{job.name}/{step.name}/{index}"]
                    if task.state == WAITING:
                        self.task_to(task=task, state=READY, stamp=stamp)

    def ev_cancel(self, stamp, name):
        """Cancels an open job; its running attempts are asked to stop. An unknown name is kept, so that its
        submission is refused if it arrives later."""
        job = self.jobs.get(name)
        if job is None:
            forgotten = self.names.get(name)
            if forgotten:
                return ["gone", forgotten[2]]
            self.keep_cancelled_name(name=name, stamp=stamp)
            return ["none", ""]
        if job.state == OPEN:
            self.touch(job)
            self.begin_ending(job=job, goal=CANCELLED, stamp=stamp, why="cancelled")
        return ["ok", job.state]

    def begin_ending(self, *, job, goal, stamp, why):
        """Ends a job as `goal`: its tasks start no more, and it is ending until its last attempt ends."""
        job.goal = goal
        for task in job.tasks.values():
            if task.state in (WAITING, READY):
                self.task_to(task=task, state=STOPPED, stamp=stamp)
        if job.live == 0:
            self.job_to(job=job, state=goal, stamp=stamp, why=why)
            return
        self.job_to(job=job, state=ENDING, stamp=stamp, why=why)
        for attempt in self.attempts_of(job):
            attempt.stop = attempt.stop or why

    def attempts_of(self, job):
        """The attempts of a job, found by the workers that its steps run on."""
        return [
            attempt
            for step in job.steps.values()
            for worker_id in step.on
            for attempt in self.workers[worker_id].runs.values()
            if attempt.job == job.name and attempt.step == step.name
        ]

    def task_done(self, *, job, task, stamp):
        """Marks a task as done, and ends its step or job with the last one."""
        self.task_to(task=task, state=DONE, stamp=stamp)
        step = job.steps[task.step]
        step.left -= 1
        self.steps_done(job=job, step=step, stamp=stamp)

    def steps_done(self, *, job, step, stamp):
        """If a step is done, ends the job or opens the steps that waited for it."""
        if step.left == 0 and job.state == OPEN:
            if all(other.left == 0 for other in job.steps.values()):
                self.job_to(job=job, state=DONE, stamp=stamp)
            else:
                self.open_steps(job=job, stamp=stamp)

    def task_failed(self, *, job, task, worker, stamp, why):
        """Counts a failure of a task and retries it after its backoff; the last one allowed fails the job."""
        spec = job.steps[task.step].spec
        task.fails += 1
        task.bad = (task.bad + [worker])[-3:]
        if job.state != OPEN:
            self.task_to(task=task, state=STOPPED, stamp=stamp)
        elif task.fails >= spec["maxFailures"] and not spec.get("forever"):
            self.task_to(task=task, state=FAILED, stamp=stamp)
            self.begin_ending(
                job=job, goal=FAILED, stamp=stamp, why=f"{task.id} failed {task.fails} times, last: {why}"
            )
        else:
            task.due = (stamp >> constants.LOGICAL_BITS) + spec["backoffMs"] * (1 << min(task.fails - 1, 6))
            self.task_to(task=task, state=READY, stamp=stamp)

    def settle(self, job, *, stamp):
        """Ends an ending job once its last attempt has ended."""
        if job.state == ENDING and job.live == 0:
            self.job_to(job=job, state=job.goal, stamp=stamp)

    def ev_forget(self, stamp):
        """Removes jobs that ended long enough ago; their name, digest and final state are kept for longer."""
        now, forgotten = stamp >> constants.LOGICAL_BITS, 0
        while self.ended and (self.ended[0][0] >> constants.LOGICAL_BITS) + self.rule["readable_ms"] < now:
            _, name = self.ended.popleft()
            job = self.jobs.pop(name)
            self.touch(job)
            self.weight -= weight_of(job.spec)
            self.names[name] = [stamp, job.digest, job.state]
            forgotten += 1
        while self.names:
            name = next(iter(self.names))
            expired = (self.names[name][0] >> constants.LOGICAL_BITS) + self.rule["names_ms"] < now
            if not expired and len(self.names) <= self.rule["names_max"]:
                break
            del self.names[name]
        if self.reservations:
            self.forget_reservations(now=now)
        return ["ok", forgotten]
