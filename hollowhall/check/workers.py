"""Rules about tasks and workers: a task runs once at a time, in the order of steps and not
before it is due, on a worker that fits and is not leaving, within resources and spread, and is
not retried after its last allowed failure."""

EARLY_MS = 100  # ms by which a start may be early
WAKE_MS = 200  # ms after waking in which a worker must stop its stale tasks
LEAVE_START_MS = 2000  # ms after a leave was acknowledged in which starts may still come


class WorkerRules:
    """Checks starts and ends of runs as workers saw them."""

    def open_workers(self):
        self.live = {}  # run: its start row
        # live runs by task id, by worker, and by (job, step)
        self.by_task, self.by_worker, self.by_step = {}, {}, {}
        # ok_ends: task: first success; bad_ends: task: failures that count; failures: task: number of all
        # failures; left_at: (worker, boot): time of its leave; spans: job: (start, end, task, worker)
        self.ok_ends, self.bad_ends, self.failures, self.left_at, self.spans = {}, {}, {}, {}, {}
        # successes: task: its success that counts; stale: run of a frozen machine: the start that replaced it
        self.successes, self.refused_starts, self.frozen, self.thawed, self.stale = {}, [], set(), {}, {}
        # unreachable: worker: None, or the time at which it was heard again; discarded_ends: tasks whose
        # success does not count; newest_runs: task: highest run id
        self.unreachable, self.discarded_ends, self.top_stamp, self.newest_runs = {}, set(), 0, {}

    def see_freeze(self, row):
        """Tasks of a frozen machine do not run; they are checked when it wakes."""
        self.frozen.add(row["w"])

    def see_told(self, row):
        """The worker was told that an end is recorded: from now on it counts for good."""
        start = self.runs.get(row["run"])
        if start is None:
            return
        for failure in self.bad_ends.get(start["task"], ()):
            if failure["run"] == row["run"]:
                failure["told"] = True
                return
        self.successes[start["task"]] = {"w": start["w"], "told": True}

    def see_lapse(self, row):
        """A lease expired or a worker is gone: ends that were not confirmed to it do not count."""
        for task in [
            task for task, end in self.successes.items() if end["w"] == row["w"] and not end["told"]
        ]:
            del self.successes[task]
            self.discarded_ends.add(task)
            self.seen["void_ends"] += 1
        for task, failures in self.bad_ends.items():
            self.bad_ends[task] = [
                failure for failure in failures if failure["told"] or failure["w"] != row["w"]
            ]

    see_gone = see_lapse

    def see_lone(self, row):
        """A worker whose tasks run on was not heard for its whole lease: nobody can stop them."""
        self.unreachable[row["w"]] = None

    def see_heard(self, row):
        self.unreachable[row["w"]] = row["t"]

    def see_both(self, row):
        self.flag("two-holders", row["t"], f"{row['duty']}: held by {row['ids']} at the same time")

    def see_stamp(self, row):
        """Stamps must ascend in the order in which they were issued, by any member."""
        if row["first"] <= self.top_stamp:
            self.flag("stamp-order", row["t"], f"stamp {row['first']} issued after {self.top_stamp}")
        self.top_stamp = max(self.top_stamp, row["first"] + row["n"] - 1)

    def see_thaw(self, row):
        self.frozen.discard(row["w"])
        self.thawed[row["w"]] = row["t"]

    def see_worker(self, row):
        self.workers[row["w"]] = row

    def see_left(self, row):
        self.left_at[row["w"], row["boot"]] = row["t"]

    def see_start(self, row):
        """Checks that a task is started once, by itself and on a worker that is not leaving."""
        self.seen["starts"] += 1
        step = self.judge_job_start(row)
        time, task = row["t"], row["task"]
        if row["run"] in self.runs:
            self.flag("twice", time, f"run {row['run']} started again")
        top = self.newest_runs.get(task, 0)
        if int(row["run"]) < top:
            self.flag("run-order", time, f"{task}: run {row['run']} started after {top}")
        self.newest_runs[task] = max(top, int(row["run"]))
        for run in sorted(self.by_task.get(task, ())):
            other = self.live[run]
            if step and step.get("ifLost") == "restart" and other["w"] in self.unreachable:
                continue  # its step asked to restart rather than wait
            if other["w"] in self.frozen:
                self.stale[run] = row  # that run must end as soon as its machine wakes
            else:
                self.flag("twice", time, f"{task} on {row['w']} while it runs on {other['w']}")
        ended = self.successes.get(task)
        restart_allowed = (
            step and step.get("ifLost") == "restart" and ended is not None and ended["w"] in self.unreachable
        )
        if ended is not None and not restart_allowed and (ended["told"] or ended["w"] not in self.frozen):
            self.flag("twice", time, f"{task} started again after it succeeded")
        if task in self.discarded_ends:  # counts successes that ran again because they were not confirmed
            self.discarded_ends.discard(task)
            self.seen["void_reruns"] += 1
        left = self.left_at.get((row["w"], row["boot"]))
        if left is not None and time > left + LEAVE_START_MS:
            self.flag("leaving-starts", time, f"{task} on {row['w']} {time - left:.0f} ms after its leave")
        self.runs[row["run"]] = row
        self.live[row["run"]] = row
        for index, key in ((self.by_task, task), (self.by_worker, row["w"])):
            index.setdefault(key, set()).add(row["run"])
        self.by_step.setdefault((row["job"], row["step"]), set()).add(row["run"])
        if step is not None:
            self.judge_start(row, step)
        self.judge_queue_start(row)

    def judge_start(self, row, step):
        """Checks a start against its step: what it waits for, its times and its failures."""
        time, task, job = row["t"], row["task"], row["job"]
        body = self.body_of(job)
        for name in step.get("after", []):
            earlier = next(other for other in body["steps"] if other["name"] == name)
            for index in range(earlier.get("tasks", 1)):
                if f"{job}/{name}/{index}" not in self.ok_ends:
                    self.flag("too-early", time, f"{task} before {job}/{name}/{index} was done")
        if time < body.get("notBefore", 0) - EARLY_MS:
            self.flag("too-early", time, f"{task} {body['notBefore'] - time:.0f} ms before its time")
        fails = len(self.bad_ends.get(task, ()))
        if fails:
            due = self.bad_ends[task][-1]["t"] + step.get("backoffMs", 500) * (1 << min(fails - 1, 6))
            if time < due - EARLY_MS:
                self.flag("too-early", time, f"{task} {due - time:.0f} ms before its backoff ended")
        if fails >= step.get("maxFailures", 3):
            self.flag("over-failures", time, f"{task} after {fails} failures")
        self.judge_worker(row, step)

    def judge_worker(self, row, step):
        """Checks the worker of a start: its kind, zone, rack, spread and resources."""
        time, task, worker = row["t"], row["task"], self.workers.get(row["w"])
        if worker is None:
            self.flag("wrong-worker", time, f"{task} on {row['w']}, which never registered")
            return
        if step["kind"] != worker["kind"] or step.get("zone", "") not in ("", worker["zone"]):
            self.flag(
                "wrong-worker", time, f"{task} on {worker['w']}, a {worker['kind']} in {worker['zone']}"
            )
        if step.get("rack", "") not in ("", worker["rack"]):
            self.flag("wrong-worker", time, f"{task} in rack {worker['rack']}, not in its own")
        spread = step.get("spread", {})
        of_step = [self.live[run] for run in self.by_step[row["job"], row["step"]] if run in self.live]
        on_worker = sum(1 for start in of_step if start["w"] == row["w"])
        on_rack = sum(1 for start in of_step if self.workers[start["w"]]["rack"] == worker["rack"])
        if spread.get("perWorker") and on_worker > spread["perWorker"]:
            self.flag("crowded", time, f"{task}: {on_worker} of its step on {row['w']}")
        if spread.get("perRack") and on_rack > spread["perRack"]:
            self.flag("crowded", time, f"{task}: {on_rack} of its step in rack {worker['rack']}")
        used = [0, 0, 0]
        for run in self.by_worker[row["w"]]:
            other = self.live[run]
            other_step = next(
                (
                    candidate
                    for candidate in self.body_of(other["job"])["steps"]
                    if candidate["name"] == other["step"]
                ),
                None,
            )
            room = (other_step or {}).get("room", {})
            for resource, (name, default) in enumerate((("cores", 1), ("memMb", 0), ("gpus", 0))):
                used[resource] += room.get(name, default)
        if any(amount > capacity for amount, capacity in zip(used, worker["room"])):
            self.flag("over-room", time, f"{task} on {row['w']}: {used} used of {worker['room']}")

    def see_end(self, row):
        start = self.live.pop(row["run"], None)
        if start is None:
            return
        task = start["task"]
        if row["run"] in self.stale and (
            row["how"] in ("ok", "bad") or row["t"] > self.thawed.get(start["w"], row["t"]) + WAKE_MS
        ):
            self.flag("twice", row["t"], f"{task} went on after {start['w']} woke, while it ran elsewhere")
        self.by_task[task].discard(row["run"])
        self.by_worker[start["w"]].discard(row["run"])
        self.by_step[start["job"], start["step"]].discard(row["run"])
        self.spans.setdefault(start["job"], []).append((start["t"], row["t"], task, start["w"]))
        if row["how"] == "ok":
            self.ok_ends.setdefault(task, row["t"])
            self.successes[task] = {"w": start["w"], "told": False}
            self.seen["ends_ok"] += 1
        elif row["how"] == "bad":
            self.failures[task] = self.failures.get(task, 0) + 1  # confirmed to the worker or not
            self.bad_ends.setdefault(task, []).append(
                {"run": row["run"], "t": row["t"], "w": start["w"], "told": False}
            )
            self.seen["ends_bad"] += 1
