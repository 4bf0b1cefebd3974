"""Workers and attempts in the record. A grant is checked against every rule when it is
applied: the job is open, the task is ready and due, the worker is up and of the right kind,
zone and rack, and its resources, the step's spread and the queue's limit are kept. An attempt
counts against them from its grant until its end is known."""

from ..base import constants
from .gangs import GangsMixin
from .kinds import DONE, LEAVES, LOST, OPEN, READY, RUNNING, STOPPED, UP, Worker


class AttemptsMixin(GangsMixin):
    """The part of the record that holds workers, and starts and ends attempts."""

    logical_bits = constants.LOGICAL_BITS

    def count_attempt(self, *, attempt, sign):
        """Adds an attempt (1) to every count of running attempts and used resources, or removes it (-1)."""
        worker, step = self.workers[attempt.worker], self.jobs[attempt.job].steps[attempt.step]
        for i in range(3):
            worker.used[i] += sign * attempt.room[i]
        self.count_in_queue(attempt=attempt, sign=sign)
        self.count_in_tenant(attempt=attempt, sign=sign)
        for counts, key in ((step.on, worker.id), (step.racks, worker.rack)):
            counts[key] = counts.get(key, 0) + sign
            if not counts[key]:
                del counts[key]
        if sign > 0:
            worker.runs[attempt.run] = attempt
        else:
            worker.runs.pop(attempt.run, None)

    def count_in_queue(self, *, attempt, sign):
        """Adds an attempt (1) to what its queue runs and uses, or removes it (-1)."""
        used = self.used_by_queue.setdefault(attempt.lane, [0, 0, 0])
        for i in range(3):
            used[i] += sign * attempt.room[i]
        self.running_by_queue[attempt.lane] = self.running_by_queue.get(attempt.lane, 0) + sign

    def unfit(self, task, worker, *, now):
        """Why a task may not start on a worker at `now` ms; empty if it may."""
        job = self.jobs[task.job]
        step = job.steps[task.step]
        spec, row = step.spec, self.charter["rows"].get(job.lane)
        if job.state != OPEN or task.state != READY:
            return "state"
        if now < task.due:
            return "due"
        if row is None:
            return "lane"
        if row["limit"] and self.running_by_queue.get(job.lane, 0) >= row["limit"]:
            return "limit"
        return self.unfit_worker(step=step, spec=spec, worker=worker, now=now, lane=job.lane)

    def kind_of(self, *, lane, spec):
        """The kind of worker that a step runs on: that of its queue, if the queue's row names one."""
        return self.charter["rows"].get(lane, {}).get("kind") or spec["kind"]

    def unfit_worker(self, *, step, spec, worker, now, lane=""):
        """Why no task of a step may start on a worker at `now` ms; empty if one may. Leaves out the states
        of job and task, and the limits of queue and tenant."""
        if worker.state != UP:
            return "worker"
        if worker.zone in self.evacuated:
            return "evacuated"
        if now < worker.flaky:
            return "probation"
        if not suits(spec=spec, worker=worker, kind=self.kind_of(lane=lane, spec=spec)):
            return "kind"
        if any(worker.used[i] + spec["room"][i] > worker.room[i] for i in range(3)):
            return "room"
        if spec["perWorker"] and step.on.get(worker.id, 0) >= spec["perWorker"]:
            return "spread"
        if spec["perRack"] and step.racks.get(worker.rack, 0) >= spec["perRack"]:
            return "spread"
        return ""

    def ev_grant(self, stamp, task_id, worker_id):
        """Starts a ready task, not of a gang, on a worker."""
        job = self.jobs.get(task_id.rsplit("/", 2)[0])
        task = job.tasks.get(task_id) if job else None
        worker = self.workers.get(worker_id)
        if task is None or worker is None:
            return ["no", "gone"]
        spec = job.steps[task.step].spec
        why = self.unfit(task, worker, now=stamp >> constants.LOGICAL_BITS) or (
            "gang" if spec.get("gang") else ""
        )
        why = why or self.tenant_refusal(job=job, room=spec["room"])
        if why:
            return ["no", why]
        self.touch(job)
        self.task_to(task=task, state=RUNNING, stamp=stamp)
        self.add_attempt(
            stamp=stamp, job=job, task=task, worker=worker, no=task.starts + 1 if self.level > 1 else 0
        )
        return ["ok", stamp]

    def ev_end(self, stamp, run, how, why, saved=""):
        """Ends an attempt, once, by its run. how: ok, bad, stopped or lost (from level 2 on also
        alone, broken or refused). saved: the checkpoint that it left."""
        attempt = self.attempts.pop(run, None)
        if attempt is None:
            return ["late", run]
        self.count_attempt(attempt=attempt, sign=-1)
        job = self.jobs[attempt.job]
        self.touch(job)
        task = job.tasks[attempt.task]
        job.live, task.live = job.live - 1, task.live - 1
        task.saved = saved or task.saved
        spec = job.steps[attempt.step].spec
        failed = how == "bad" or how == "stopped" and attempt.stop == "limit"
        if spec.get("gang"):
            self.gang_end(
                job=job,
                attempt=attempt,
                task=task,
                stamp=stamp,
                how="bad" if failed else how,
                why=why,
                saved=saved,
            )
        elif task.state != RUNNING:
            pass  # a copy succeeded before
        elif how == "ok" and not spec.get("forever"):
            self.task_done(job=job, task=task, stamp=stamp)
            self.copy_end(job=job, attempt=attempt, task=task, stamp=stamp, how=how)
        elif failed and (task.live == 0 or task.fails + 1 >= spec["maxFailures"]):
            self.task_failed(job=job, task=task, worker=attempt.worker, stamp=stamp, why=why)
        elif task.live:
            task.fails += failed
        elif job.state == OPEN:
            self.task_to(task=task, state=READY, stamp=stamp)
        else:
            self.task_to(task=task, state=STOPPED, stamp=stamp)
        self.settle(job, stamp=stamp)
        return ["ok", run]

    def ev_stop(self, stamp, run, why):
        """Marks an attempt as one to be stopped; the first reason is kept."""
        attempt = self.attempts.get(run)
        if attempt is None:
            return ["late", run]
        attempt.stop = attempt.stop or why
        return ["ok", run]

    def ev_worker(self, stamp, worker_id, boot, kind, zone, rack, room, keeps=True, labels=()):
        """Registers a worker. A new boot id means that the attempts of the old one have stopped. A
        boot that was asked to leave stays leaving, and an earlier boot stays refused, however often
        it registers."""
        known = self.workers.get(worker_id)
        if known is not None and known.boot == boot:
            return ["same", known.state]
        past, left = (known.past, "") if known is not None else self.gone.pop(worker_id, ([], ""))
        if boot in past:
            if known is None:
                self.gone[worker_id] = (past, left)
            return ["old", known.boot if known is not None else ""]
        if known is not None:
            self.end_attempts(known, stamp=stamp)
            past = (past + [known.boot])[-self.rule["boots_kept"] :]
        state = LEAVES if boot == left else UP
        self.fleet += 1
        self.workers[worker_id] = Worker(
            id=worker_id,
            boot=boot,
            kind=kind,
            zone=zone,
            rack=rack,
            room=room,
            since=stamp,
            past=past,
            state=state,
            keeps=keeps,
            labels=list(labels),
        )
        return ["ok", state]

    def end_attempts(self, worker, *, stamp, saved=None):
        """Ends all attempts of a worker as lost. saved: their checkpoints by run."""
        for run in sorted(worker.runs):
            self.ev_end(stamp, run, "lost", "worker lost", (saved or {}).get(run, ""))

    def may_restart(self, *, worker, attempt):
        """Whether an attempt of a lost worker may be started again: it has certainly stopped, or its step
        allows it to run twice."""
        how = self.jobs[attempt.job].steps[attempt.step].spec.get("ifLost", "auto")
        return how == "restart" or how == "auto" and worker.keeps

    def ev_leave(self, stamp, worker_id, boot):
        """Marks a worker as leaving: it is given no new tasks. An empty boot means any."""
        worker = self.workers.get(worker_id)
        if worker is None or boot and worker.boot != boot:
            return ["none", ""]
        if worker.state == LOST:
            worker.was = LEAVES
        else:
            worker.state = LEAVES
        return ["ok", LEAVES]

    def ev_lost(self, stamp, worker_id, boot, saved=None):
        """Marks a worker as lost: it was not heard for its whole lease. Attempts that may be started
        again end; the others may still be running and stay, and the worker with them. saved: the
        checkpoints that it had reported, by run."""
        worker = self.workers.get(worker_id)
        if worker is None or worker.boot != boot or worker.state == LOST:
            return ["none", ""]
        if not self.rule["lost_waits"]:
            self.end_attempts(worker, stamp=stamp)
        for run in sorted(worker.runs):
            if self.may_restart(worker=worker, attempt=worker.runs[run]):
                self.ev_end(stamp, run, "lost", "worker lost", (saved or {}).get(run, ""))
        if worker.runs:
            worker.state, worker.was = LOST, worker.state
            return ["waits", len(worker.runs)]
        self.drop_worker(worker, left=boot if worker.state == LEAVES else "")
        return ["ok", ""]

    def drop_worker(self, worker, *, left):
        """Removes a worker and remembers its boots; left: its boot, if that was leaving."""
        del self.workers[worker.id]
        self.fleet += 1
        self.gone[worker.id] = (worker.past, left)
        while len(self.gone) > self.rule["gone_kept"]:
            del self.gone[next(iter(self.gone))]

    def ev_back(self, stamp, worker_id, boot):
        """Restores a lost worker that is heard again under the same boot: its attempts go on."""
        worker = self.workers.get(worker_id)
        if worker is None or worker.boot != boot or worker.state != LOST:
            return ["none", ""]
        worker.state, worker.was = worker.was, ""
        return ["ok", worker.state]

    def ev_keeps(self, stamp, worker_id, boot, keeps):
        """Records whether a worker stops its tasks when its lease expires, for one that registered under a
        format that did not ask."""
        worker = self.workers.get(worker_id)
        if worker is None or worker.boot != boot:
            return ["none", ""]
        worker.keeps = keeps
        return ["ok", keeps]

    def ev_gone(self, stamp, worker_id, boot):
        """Removes a lost worker: an operator confirms that nothing runs on it any more. Its boot is
        refused from here on, even if it registers again. An empty boot means any."""
        worker = self.workers.get(worker_id)
        if worker is None or boot and worker.boot != boot:
            return ["none", ""]
        if worker.state != LOST:
            return ["no", worker.state]
        self.end_attempts(worker, stamp=stamp)
        worker.past = (worker.past + [worker.boot])[-self.rule["boots_kept"] :]
        self.drop_worker(worker, left="")
        return ["ok", ""]

    def ev_flaky(self, stamp, worker_id, until):
        """Puts a worker on probation until that many ms of stamped time."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.flaky = until
        return ["ok", until]


def suits(*, spec, worker, kind=None):
    """Whether a worker, if it were empty, fits a step: its kind, label, zone, rack and resources."""
    return (
        (kind or spec["kind"]) == worker.kind
        and (not spec.get("label") or spec["label"] in worker.labels)
        and spec["zone"] in ("", worker.zone)
        and spec["rack"] in ("", worker.rack)
        and all(spec["room"][i] <= worker.room[i] for i in range(3))
    )


__all__ = ["AttemptsMixin", "suits", "DONE"]
