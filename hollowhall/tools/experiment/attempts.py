"""What happens to attempts on the simulated workers: starts, progress, checkpoints, ends, leases
that run out, and gangs whose members begin and end together."""

from .workers import MS, TICK_S, Attempt, Gang


class AttemptsMixin:
    """The life of attempts in a fleet; `thrown_away` adds up what they lost."""

    def start(self, worker, task, number, saved):
        """A start that a worker was told; turned away where it does not fit."""
        job = self.jobs[task.split("/")[0]]
        step = task.split("/")[1]
        spec = next(s for s in job.spec["steps"] if s["name"] == step)
        if (task, number) in worker.attempts or (task, number) in worker.ended:
            return
        if worker.used_cores() + spec["room"][0] > worker.room[0]:
            self.note_end(worker, task, number, "refused", "")
            return
        total = job.work_ms[task]
        own = job.failures.get(task, 0) > 0
        sick = worker.fails and self.world_rng.random() < worker.fails
        if own:
            job.failures[task] -= 1
        attempt = Attempt(
            task=task,
            number=number,
            total_ms=total,
            end_ms=total * (0.5 if own else self.world_rng.uniform(0.05, 0.5) if sick else 1.0),
            core=spec["room"][0],
            saves=bool(spec.get("saves")),
            fails=bool(own or sick),
            slower=self.workload.spread_factor if self.is_far(spec, worker) else 1.0,
            begun_at=self.now,
            stuck=bool(worker.hangs and self.world_rng.random() < worker.hangs),
        )
        if saved:
            attempt.saved_ms = float(saved)
            attempt.done_ms = attempt.saved_ms - self.workload.restore_ms
        worker.attempts[attempt.key] = attempt
        if spec.get("gang"):
            gang = self.gangs.setdefault(
                (job.name, step, number), Gang(size=spec["tasks"], begun_at=self.now)
            )
            gang.members[task] = (worker, attempt)
            if spec.get("tight") and len({w.rack for w, _ in gang.members.values()}) > 1:
                for _, member in gang.members.values():
                    member.slower = self.workload.spread_factor

    def is_far(self, spec, worker):
        return bool(spec.get("near")) and spec["near"] != worker.rack

    def gang_of(self, attempt):
        job, step, _ = attempt.task.split("/")
        return self.gangs.get((job, step, attempt.number))

    def finish(self, worker, attempt, how, *, told=True):
        """An attempt is over; what it had done and not saved is lost unless it ended well."""
        if worker.attempts.pop(attempt.key, None) is None:
            return
        if how != "ok":
            lost_ms = max(0.0, attempt.done_ms - (attempt.saved_ms if attempt.saves else 0.0))
            lost = lost_ms * attempt.slower * attempt.core / 1e6
            self.thrown_away[how] = self.thrown_away.get(how, 0.0) + lost
        if told:
            saved = str(int(attempt.saved_ms)) if attempt.saves and attempt.saved_ms else ""
            self.note_end(worker, attempt.task, attempt.number, how, saved)
        gang = self.gang_of(attempt)
        if gang is None:
            return
        for member_worker, member in list(gang.members.values()):
            if member is not attempt:
                self.finish(member_worker, member, "ok" if how == "ok" else "broken")

    def note_end(self, worker, task, number, how, saved):
        worker.last_end += 1
        worker.ended.add((task, number))
        word = {"failed": "bad", "lapsed": "lost"}.get(how, how)
        worker.ends.append((worker.last_end, task, number, word, saved))
        worker.beat_at = min(worker.beat_at, self.now + TICK_S)

    def work(self, worker):
        """One tick of a worker: progress, checkpoints, ends, the lease."""
        load = self.workload
        if worker.attempts and not worker.away and self.now > worker.lease_until:
            for attempt in list(worker.attempts.values()):
                self.finish(worker, attempt, "lapsed")
        for attempt in list(worker.attempts.values()):
            if attempt.key not in worker.attempts:
                continue
            if attempt.stop_at and self.now >= attempt.stop_at:
                attempt.saved_ms = max(attempt.saved_ms, attempt.done_ms) if attempt.saves else 0.0
                self.finish(worker, attempt, "stopped")
                continue
            gang = self.gang_of(attempt)
            if gang is not None and not gang.whole():
                if self.now > gang.begun_at + load.gang_ms / MS:
                    self.finish(worker, attempt, "alone")
                continue
            if attempt.stuck:
                continue
            attempt.done_ms = min(
                attempt.end_ms, attempt.done_ms + TICK_S * MS / (worker.slow * attempt.slower)
            )
            if attempt.saves and attempt.done_ms - attempt.saved_ms >= load.checkpoint_ms:
                attempt.saved_ms = attempt.done_ms
            if attempt.done_ms >= attempt.end_ms and self.together(gang):
                self.finish(worker, attempt, "failed" if attempt.fails else "ok")

    def together(self, gang):
        """Whether the members of a gang have all come to their end, or one has failed."""
        if gang is None:
            return True
        members = [m for _, m in gang.members.values()]
        return any(m.fails and m.done_ms >= m.end_ms for m in members) or all(
            m.done_ms >= m.end_ms for m in members
        )
