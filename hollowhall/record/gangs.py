"""Gangs and copies in the record. A gang is all tasks of one step, granted together by one
event, each on a worker, or not at all; its members share one attempt number and one
checkpoint. When one member succeeds, all are done, except in a step that runs `forever`, which
becomes ready again however it ends (from format level 4 on). When the last member of an attempt
has ended without success, the gang becomes ready again, with one more failure if any member
failed. A copy is a further attempt of a task that is running, if its step allows copies; the
first success counts and the other attempts are stopped."""

from .kinds import DONE, FAILED, OPEN, READY, RUNNING, STOPPED, Attempt


class GangsMixin:
    """The part of the record that starts and ends gangs and copies."""

    def add_attempt(self, *, stamp, job, task, worker, no, gang=0):
        """Adds attempt number `no` of a task on a worker; its stamp is its run."""
        step = job.steps[task.step]
        task.run, task.starts = stamp, no
        task.live, job.live = task.live + 1, job.live + 1
        attempt = self.attempts[stamp] = Attempt(
            run=stamp,
            task=task.id,
            job=job.name,
            step=task.step,
            worker=worker.id,
            lane=job.lane,
            room=step.spec["room"],
            no=no,
            gang=gang,
        )
        self.count_attempt(attempt=attempt, sign=1)

    def members(self, *, job, step):
        """All tasks of a step, given by its name, in their order."""
        count = job.steps[step].spec["tasks"]
        return [job.tasks[f"{job.name}/{step}/{index}"] for index in range(count)]

    def ev_gang(self, stamp, job_name, step_name, worker_ids):
        """Starts all members of a gang, each on the worker at its place in the list. The event takes
        as many stamps as there are workers; each member's run is one of them."""
        job = self.jobs.get(job_name)
        if job is None or step_name not in job.steps or not job.steps[step_name].spec.get("gang"):
            return ["no", "gone"]
        tasks, workers = (
            self.members(job=job, step=step_name),
            [self.workers.get(name) for name in worker_ids],
        )
        if len(tasks) != len(workers) or None in workers:
            return ["no", "gone"]
        if why := self.tenant_refusal(job=job, room=job.steps[step_name].spec["room"], count=len(tasks)):
            return ["no", why]
        number, gang, now, added = (
            max(task.starts for task in tasks) + 1,
            stamp,
            stamp >> self.logical_bits,
            [],
        )
        self.touch(job)
        for index, (task, worker) in enumerate(zip(tasks, workers)):
            why = self.unfit(task, worker, now=now) or ("attempts" if task.live else "")
            if why:
                for attempt in added:
                    self.count_attempt(attempt=attempt, sign=-1)
                return ["no", why]
            added.append(
                Attempt(
                    run=stamp + index,
                    task=task.id,
                    job=job_name,
                    step=step_name,
                    worker=worker.id,
                    lane=job.lane,
                    room=job.steps[step_name].spec["room"],
                    no=number,
                    gang=gang,
                )
            )
            self.count_attempt(attempt=added[-1], sign=1)
        for task, attempt in zip(tasks, added):
            self.task_to(task=task, state=RUNNING, stamp=attempt.run)
            task.run, task.starts, task.live = attempt.run, number, 1
            self.attempts[attempt.run] = attempt
        job.live += len(tasks)
        return ["ok", stamp]

    def ev_copy(self, stamp, task_id, worker_id):
        """Starts a further attempt of a running task on another worker."""
        job = self.jobs.get(task_id.rsplit("/", 2)[0])
        task = job.tasks.get(task_id) if job else None
        worker = self.workers.get(worker_id)
        if task is None or worker is None or job.state != OPEN or task.state != RUNNING:
            return ["no", "state"]
        spec = job.steps[task.step].spec
        if (
            not spec.get("copies")
            or spec.get("gang")
            or any(attempt.task == task_id for attempt in worker.runs.values())
        ):
            return ["no", "spread"]
        why = self.unfit_worker(
            step=job.steps[task.step], spec=spec, worker=worker, now=stamp >> self.logical_bits, lane=job.lane
        )
        why = why or self.tenant_refusal(job=job, room=spec["room"])
        if why:
            return ["no", why]
        self.touch(job)
        self.add_attempt(stamp=stamp, job=job, task=task, worker=worker, no=task.starts + 1)
        return ["ok", stamp]

    def gang_end(self, *, job, attempt, task, stamp, how, why, saved):
        """Handles the end of a member's attempt, whose resources are freed already."""
        step, members = job.steps[attempt.step], self.members(job=job, step=attempt.step)
        if saved:
            for member in members:
                member.saved = saved
        lasts = self.rule["gangs_last"] and step.spec.get("forever")
        if how == "ok" and task.state == RUNNING and job.state == OPEN and not lasts:
            for member in members:
                self.task_to(task=member, state=DONE, stamp=stamp)
            step.left = 0
            self.steps_done(job=job, step=step, stamp=stamp)
        elif how == "bad" and step.failed != attempt.no:
            step.failed = attempt.no
            for member in members:
                member.fails += 1
                member.bad = (member.bad + [attempt.worker])[-3:]
        if any(member.live for member in members) or task.state != RUNNING:
            return
        if job.state != OPEN:
            for member in members:
                self.task_to(task=member, state=STOPPED, stamp=stamp)
        elif not step.spec.get("forever") and task.fails >= step.spec["maxFailures"]:
            for member in members:
                self.task_to(task=member, state=FAILED, stamp=stamp)
            self.begin_ending(
                job=job,
                goal=FAILED,
                stamp=stamp,
                why=f"gang {attempt.step} failed {task.fails} times, last: {why}",
            )
        else:
            for member in members:
                self.task_to(task=member, state=READY, stamp=stamp)

    def copy_end(self, *, job, attempt, task, stamp, how):
        """Stops the other attempts of a task after one of them succeeded."""
        if how == "ok" and task.live:
            for other in self.attempts_of(job):
                if other.task == task.id:
                    other.stop = other.stop or "copy"
