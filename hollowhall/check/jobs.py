"""Rules about jobs: a name is one job, nothing that was refused or never sent runs, nothing
runs on after a cancel, accepted jobs are not forgotten, and a job is done only if every task
succeeded."""

# A job must be visible from this long after its acceptance on, until this long after its end was seen.
VISIBLE_MS, READABLE_MS = 3000, 120_000
# After a confirmed cancel, no task may start later than the first, nor run on later than the second.
CANCEL_START_MS, CANCEL_RUN_MS = 3000, 12_000
RECOVER_MS = 12_000  # ms after the last fault until requests must succeed
ENDS = ("done", "failed", "cancelled")


class JobRules:
    """Checks jobs as callers saw them."""

    def open_jobs(self):
        self.jobs = {}  # name: what callers know of it
        # done_seen: (time, name) of jobs shown as done; served: times of successful answers
        self.done_seen, self.last_fault, self.served = [], None, []

    def job(self, name):
        """What callers know of a job; an entry is added for a new name."""
        return self.jobs.setdefault(
            name,
            {
                "bodies": {},
                "news": [],
                "taken": None,
                "maybe": False,
                "refused": 0,
                "cancel": None,
                "cancel_asked": None,
                "end": None,
                "state": "",
                "calls": {},
            },
        )

    def see_put(self, row):
        job = self.job(row["name"])
        job["calls"][row["id"]] = row
        job["bodies"][repr(row["body"])] = row["body"]
        self.seen["puts"] += 1

    def see_put_out(self, row):
        job, status = self.job(row["name"]), row["status"]
        if status in (200, 201):
            if status == 201 or row.get("new"):
                job["news"].append(row["t"])
                if len(job["news"]) > 1:
                    self.flag("second-job", row["t"], f"{row['name']} was created twice")
            if job["taken"] is None:
                job["taken"], job["body"] = row["t"], row["body"]
                self.note_queue_job(row)
                self.seen["jobs_accepted"] += 1
            elif row["body"] != job["body"]:
                self.flag("second-job", row["t"], f"{row['name']} accepted with two bodies")
            self.served.append(row["t"])
        elif row["taken"] == "no":
            job["refused"] += 1
        else:
            job["maybe"] = True

    def see_cancel(self, row):
        job = self.job(row["name"])
        job["cancel_asked"] = job["cancel_asked"] or row["t"]

    def see_cancel_out(self, row):
        job = self.job(row["name"])
        if row["status"] == 200 and row.get("state") not in ("done", "failed") and job["cancel"] is None:
            job["cancel"] = row["t"]
        elif row["status"] == 404 and job["taken"] and row["at"] > job["taken"]:
            self.flag("forgotten", row["t"], f"{row['name']} is unknown to a cancel request")

    def see_get_out(self, row):
        job, status = self.job(row["name"]), row["status"]
        if status in (404, 410) and job["taken"] is not None and row["at"] > job["taken"] + VISIBLE_MS:
            if job["end"] is None or row["t"] < job["end"] + READABLE_MS:
                self.flag("forgotten", row["t"], f"{row['name']} cannot be read: status {status}")
        if status != 200:
            return
        self.served.append(row["t"])
        if job["state"] in ENDS and row["state"] != job["state"] and row["at"] > job["end"]:
            self.flag("goes-back", row["t"], f"{row['name']} was {job['state']}, now {row['state']}")
        if row["state"] in ENDS and job["end"] is None:
            job["end"], job["state"] = row["t"], row["state"]
            self.seen["jobs_ended"] += 1
            if row["state"] == "done":
                self.done_seen.append((row["t"], row["name"]))
            if row["state"] == "failed":
                self.judge_failed(row)
            if row["state"] == "cancelled" and job["cancel_asked"] is None:
                self.flag(
                    "failed-without-cause", row["t"], f"{row['name']} cancelled, but no cancel was requested"
                )

    def judge_failed(self, row):
        """A failed job must have a task that failed as often as its step allows."""
        for step in self.body_of(row["name"])["steps"]:
            for index in range(step.get("tasks", 1)):
                task = f"{row['name']}/{step['name']}/{index}"
                if self.failures.get(task, 0) >= step.get("maxFailures", 3):
                    return
        self.flag(
            "failed-without-cause",
            row["t"],
            f"{row['name']} is shown as failed, but no task has failed that often",
        )

    def body_of(self, name):
        """The body that a job was accepted with, or else one that was sent."""
        job = self.job(name)
        if "body" in job:
            return job["body"]
        return next(iter(job["bodies"].values()), {"steps": []})

    def see_fault(self, row):
        self.last_fault = row["t"]

    def judge_job_start(self, row):
        """Checks a start against its job. Gives the step, or None if the job or task was never sent."""
        job, name = self.jobs.get(row["job"]), row["job"]
        if job is None or not job["calls"]:
            self.flag("unsent-runs", row["t"], f"{row['task']}: job {name} was never sent")
            return None
        if job["taken"] is None:
            self.refused_starts.append(row)
        if job["cancel"] is not None and row["t"] > job["cancel"] + CANCEL_START_MS:
            self.flag(
                "cancelled-starts",
                row["t"],
                f"{row['task']} {row['t'] - job['cancel']:.0f} ms after the cancel was confirmed",
            )
        step = next((step for step in self.body_of(name)["steps"] if step["name"] == row["step"]), None)
        index = int(row["task"].rsplit("/", 1)[1])
        if step is None or not 0 <= index < step.get("tasks", 1):
            self.flag("unsent-runs", row["t"], f"{row['task']} is not in the job that was sent")
            return None
        return step

    def see_calm(self, row):
        """All faults were healed long ago: accepted jobs that can end must have ended."""
        for name, job in self.jobs.items():
            if (
                job["taken"]
                and job["end"] is None
                and not job["body"].get("standing")
                and row["t"] > job["taken"] + 30_000
                and self.can_end(job["body"])
            ):
                self.flag("forgotten", row["t"], f"{name} never ended")

    def can_end(self, body):
        """Whether each step of a job fits some worker that registered."""
        names = ("cores", "memMb", "gpus")
        for step in body["steps"]:
            room = step.get("room", {})
            if not any(
                worker["kind"] == step["kind"]
                and all(room.get(name, 0) <= most for name, most in zip(names, worker["room"]))
                for worker in self.workers.values()
            ):
                return False
        return True

    def end_jobs(self):
        """Checks that need the whole history: refused, done and cancelled jobs, and service after faults."""
        last = self.rows[-1]["t"] if self.rows else 0
        for row in self.refused_starts:
            job = self.jobs[row["job"]]
            if job["taken"] is None and not job["maybe"] and job["refused"] >= len(job["calls"]):
                self.flag(
                    "refused-runs", row["t"], f"{row['task']} ran, but every request for its job was refused"
                )
        for time, name in self.done_seen:
            for step in self.body_of(name)["steps"]:
                for index in range(step.get("tasks", 1)):
                    task_id = f"{name}/{step['name']}/{index}"
                    if self.ok_ends.get(task_id, time + 1) > time:
                        self.flag(
                            "done-too-soon", time, f"{name} is shown as done, but {task_id} had not succeeded"
                        )
        for name, job in self.jobs.items():
            if job["cancel"] is None:
                continue
            running = [
                (start["t"], last, start["task"], start["w"])
                for start in self.live.values()
                if start["job"] == name
            ]
            for _, ended, task, worker in self.spans.get(name, []) + running:
                heard = self.unreachable.get(worker, 0.0)  # None: it is still unreachable, and may run on
                if heard is not None and ended > max(job["cancel"], heard) + CANCEL_RUN_MS:
                    self.flag(
                        "cancelled-runs",
                        ended,
                        f"{task} ran {ended - job['cancel']:.0f} ms after the cancel was confirmed",
                    )
        if self.last_fault is not None and last > self.last_fault + RECOVER_MS:
            if not any(self.last_fault < time <= self.last_fault + RECOVER_MS for time in self.served):
                self.flag(
                    "no-service",
                    self.last_fault + RECOVER_MS,
                    "no request succeeded within 12 s of the last fault",
                )
