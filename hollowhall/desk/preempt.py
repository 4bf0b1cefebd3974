"""Preemption: makes room for urgent work by stopping less urgent attempts.

Only attempts that lose little are stopped: those that write checkpoints or have just begun; never a member
of a gang, nor a task without an end. A step for which attempts were stopped waits for that room for a
moment before more are stopped. A stopped task resumes later from its checkpoint."""

from ..base import constants
from ..record.kinds import UP


class PreemptMixin:
    """Preemption after a round of placement. `promised` is {(job, step): (tasks, until ms)}: the tasks for
    which attempts are being stopped."""

    def open_preempt(self):
        self.promised, self.preempt_at = {}, 0

    def preempt(self, *, placement_round, ms):
        """Stop events for the steps that a round found no room for."""
        stops, record, rows = [], self.record, self.record.charter["rows"]
        if (
            not self.policy.preemption
            or ms - self.preempt_at < constants.PREEMPTION_CHECK_PERIOD_MS
            or len({rows[name]["urgency"] for name in rows}) < 2
        ):
            return stops
        self.promised = {
            step_key: promise
            for step_key, promise in self.promised.items()
            if promise[1] > ms and step_key in record.ready
        }
        chosen, examined = set(), 0
        for step_key in dict.fromkeys(placement_round.kept.values()):
            if step_key in record.ready and record.jobs[step_key[0]].steps[step_key[1]].spec.get("gang"):
                stops += self.victims_for_gang(
                    step_key=step_key,
                    placement_round=placement_round,
                    ms=ms,
                    most=constants.PREEMPTIONS_PER_CHECK - len(stops),
                )
        chosen |= {attempt.run for attempt in stops}
        for lane in sorted(
            (name for name in record.lines if name in rows), key=lambda name: -rows[name]["urgency"]
        ):
            for line in list(record.lines[lane].values()):
                for _, job, step in line:
                    step_key = (job, step)
                    examined += 1
                    if (
                        len(stops) >= constants.PREEMPTIONS_PER_CHECK
                        or examined > constants.PREEMPTION_STEPS_PER_CHECK
                        or placement_round.wait_reason_of(step_key) != "room"
                    ):
                        break
                    stops += self.preempt_step(
                        step_key=step_key, lane=lane, ms=ms, taken=chosen, placement_round=placement_round
                    )
        if stops:
            self.preempt_at = ms
        return [["stop", attempt.run, "room"] for attempt in stops]

    def victims_for_gang(self, *, step_key, placement_round, ms, most):
        """The less urgent attempts that lose little on the workers held back for a gang."""
        record, victims = self.record, []
        step = record.jobs[step_key[0]].steps[step_key[1]]
        row = record.charter["rows"].get(record.jobs[step_key[0]].lane)
        remaining, room = step.spec["tasks"], step.spec["room"]
        for worker in [
            record.workers[worker_id]
            for worker_id, holder in placement_round.kept.items()
            if holder == step_key and worker_id in record.workers
        ]:
            places = min(remaining, placement_round.member_places(step=step, worker=worker, empty=True))
            remaining -= places
            need = [worker.used[i] + places * room[i] - worker.room[i] for i in range(3)]
            need = [
                need[i] - sum(attempt.room[i] for attempt in worker.runs.values() if attempt.stop)
                for i in range(3)
            ]
            candidates = [
                (self.loss(attempt=attempt, ms=ms), attempt.run, attempt)
                for attempt in worker.runs.values()
                if not attempt.stop
                and row is not None
                and self.may_stop(attempt=attempt, urgency=row["urgency"], ms=ms)
            ]
            for _, _, attempt in sorted(candidates, key=lambda candidate: candidate[:2]):
                if all(amount <= 0 for amount in need) or len(victims) >= most:
                    break
                if any(need[i] > 0 and attempt.room[i] > 0 for i in range(3)):
                    victims.append(attempt)
                    need = [need[i] - attempt.room[i] for i in range(3)]
        return victims

    def preempt_step(self, *, step_key, lane, ms, taken, placement_round):
        """The attempts to stop for the due tasks of a step that has waited long. taken: runs that are to be
        stopped already; those chosen here are added."""
        record, victims = self.record, []
        step, tasks = record.jobs[step_key[0]].steps[step_key[1]], record.ready[step_key]
        if (
            step.spec.get("gang")
            or ms
            - max(
                min(task.at >> constants.LOGICAL_BITS for task in tasks.values()),
                min(task.due for task in tasks.values()),
            )
            < constants.PREEMPTION_WAIT_MS
        ):
            return victims
        missing = sum(task.due <= ms for task in tasks.values()) - self.promised.get(step_key, (0, 0))[0]
        while missing > 0 and len(victims) < constants.PREEMPTIONS_PER_CHECK:
            found = self.cheapest_victims(
                step=step, step_key=step_key, lane=lane, ms=ms, taken=taken, placement_round=placement_round
            )
            if not found:
                break
            taken |= {attempt.run for attempt in found}
            victims += found
            missing -= 1
            self.promised[step_key] = (
                self.promised.get(step_key, (0, 0))[0] + 1,
                ms + constants.PREEMPTION_DEADLINE_MS,
            )
        return victims

    def cheapest_victims(self, *, step, step_key, lane, ms, taken, placement_round):
        """The attempts on one worker whose stop makes room for one task at the least loss, or None."""
        record, best = self.record, None
        rows, room = record.charter["rows"], step.spec["room"]
        near = step.spec.get("near")
        for worker in placement_round.eligible_workers(lane=lane, spec=step.spec):
            if (
                worker.state != UP
                or worker.id in self.slow
                or worker.id in placement_round.kept
                or near
                and worker.rack != near
            ):
                continue
            free = placement_round.free_for(worker=worker, step_key=step_key, lane=lane)
            need, victims, cost = [room[i] - free[i] for i in range(3)], [], 0.0
            candidates = [
                (self.loss(attempt=attempt, ms=ms), attempt.run, attempt)
                for attempt in worker.runs.values()
                if attempt.run not in taken
                and not attempt.stop
                and self.may_stop(attempt=attempt, urgency=rows[lane]["urgency"], ms=ms)
            ]
            for loss, _, attempt in sorted(candidates, key=lambda candidate: candidate[:2]):
                if all(amount <= 0 for amount in need):
                    break
                if any(need[i] > 0 and attempt.room[i] > 0 for i in range(3)):
                    victims.append(attempt)
                    cost += loss
                    need = [need[i] - attempt.room[i] for i in range(3)]
            if victims and all(amount <= 0 for amount in need) and (best is None or cost < best[0]):
                best = (cost, victims)
        return best[1] if best else None

    def loss(self, *, attempt, ms):
        """About how many core milliseconds of work are lost if an attempt is stopped."""
        age = max(0, ms - (attempt.run >> constants.LOGICAL_BITS))
        saves = self.record.jobs[attempt.job].steps[attempt.step].spec.get("saves")
        return (min(age, constants.CHECKPOINT_LOSS_MS) if saves else age) * max(1, attempt.room[0])

    def may_stop(self, *, attempt, urgency, ms):
        """Whether an attempt may be stopped for work of this urgency."""
        job = self.record.jobs[attempt.job]
        spec, row = job.steps[attempt.step].spec, self.record.charter["rows"].get(attempt.lane)
        if (
            row is None
            or row["urgency"] >= urgency
            or spec.get("gang")
            or spec.get("forever")
            or self.reserving is not None
            and self.reserving.is_owed(attempt=attempt, ms=ms)
        ):
            return False
        return (
            bool(spec.get("saves"))
            or ms - (attempt.run >> constants.LOGICAL_BITS) < constants.PREEMPTION_YOUNG_MS
        )
