"""Progress estimates of running attempts, and what follows from them.

Successful ends tell how long a queue's tasks take; the progress reported with heartbeats tells which
attempts run far slower than others of their step, or stand still. A worker on which most attempts do so
gets no starts for a while, and its attempts are started again elsewhere if they would end sooner there.
None of this costs extra messages. Evidence decays, and a worker that was set aside is tried again."""

from math import log
from statistics import median

from ..base import constants, log_events
from ..record.kinds import UP


class ProgressMixin:
    """Finds slow workers and rescues their attempts."""

    def open_pace(self):
        # by queue: moving average of its tasks' ms; by worker set aside: (ratio, until s); by run: ms of its
        # rescue
        self.usual_ms_by_lane, self.slow, self.rescued = {}, {}, {}

    def learn_durations(self, *, events, ms):
        """Learns how long a queue's tasks take from the successful ends of a batch that is about to be
        applied."""
        if not self.policy.learned_durations:
            return
        for event in events:
            attempt = self.record.attempts.get(event[1]) if event[0] == "end" and event[2] == "ok" else None
            if attempt is not None:
                took_ms = max(1.0, (ms - (attempt.run >> constants.LOGICAL_BITS)) / self.stretch(attempt))
                previous_ms = self.usual_ms_by_lane.get(attempt.lane, took_ms)
                self.usual_ms_by_lane[attempt.lane] = previous_ms + constants.DURATION_NEWEST_WEIGHT * (
                    took_ms - previous_ms
                )

    def stretch(self, attempt):
        """How many times longer an attempt takes because it runs in another rack than its data, or than
        others of its gang."""
        step = self.record.jobs[attempt.job].steps[attempt.step]
        near = step.spec.get("near")
        far = bool(near) and self.record.workers[attempt.worker].rack != near
        far = far or bool(step.spec.get("tight")) and len(step.racks) > 1
        return self.settings.far_times if far else 1.0

    def rates(self, *, now, ms):
        """The progress of attempts: {(job, step): [(attempt, percent per ms, percent, stalled)]}, where
        stalled is 0, 1 or 2 (for long). Progress comes with heartbeats, so it is judged as of the worker's
        last one: a silent worker is not a stalled one."""
        by_step = {}
        for worker_id, session in self.sessions.items():
            worker = self.record.workers.get(worker_id)
            if worker is None or not session.names_attempts:
                continue
            heard_at = min(now, session.last_beat_at)
            for run, (percent, changed_at, first_percent, first_at) in session.progress.items():
                attempt = worker.runs.get(run)
                if (
                    attempt is None
                    or attempt.stop
                    or self.record.jobs[attempt.job].steps[attempt.step].spec.get("forever")
                ):
                    continue  # an attempt that is being stopped makes no progress either
                age_ms = (heard_at - first_at) * 1000  # a resumed attempt starts above 0 percent
                if age_ms < constants.PROGRESS_MIN_AGE_MS or percent >= constants.PROGRESS_JUDGED_MAX_PERCENT:
                    continue  # a finished member of a gang stands still until the others end
                rate = max(percent - first_percent, 0.5) / age_ms
                # stalled if the next percent takes STALLED_PERCENT times as long as each one so far
                stalled = (
                    (heard_at - changed_at) * 1000 * rate > constants.STALLED_PERCENT
                    and heard_at - changed_at > constants.STALLED_MIN_S
                )
                stalled = stalled + (stalled and heard_at - changed_at > constants.STALLED_SURE_S)
                by_step.setdefault((attempt.job, attempt.step), []).append(
                    (attempt, rate * self.stretch(attempt), percent, stalled)
                )
        return by_step

    def judge_progress(self, *, now, ms):
        """Sets aside workers whose attempts run far slower than others of their steps, and rescues these."""
        by_worker, progress = {}, []
        for step_key, entries in self.rates(now=now, ms=ms).items():
            usual_ms = self.usual_ms_by_lane.get(self.record.jobs[step_key[0]].lane)
            for attempt, rate, percent, stalled in entries:
                others = [entry[1] for entry in entries if entry[0].worker != attempt.worker]
                if others:
                    ratio, certainty = median(others) / rate, 1.0
                elif usual_ms and not self.record.jobs[step_key[0]].steps[step_key[1]].spec.get("gang"):
                    ratio, certainty = (
                        100 / rate / usual_ms / constants.DURATION_SPREAD_FACTOR,
                        constants.QUEUE_COMPARISON_WEIGHT,
                    )
                else:
                    continue
                by_worker.setdefault(attempt.worker, []).append((ratio, certainty, stalled))
                progress.append((attempt, rate, percent, stalled, ratio))
        for worker_id, entries in by_worker.items():
            certainty = sum(entry[1] for entry in entries)
            stuck = sum(entry[2] for entry in entries)  # an attempt that has stalled for long counts twice
            ratio = 2.718 ** (sum(log(max(entry[0], 0.05)) * entry[1] for entry in entries) / certainty)
            if (
                certainty >= 1
                and (
                    ratio > constants.SLOW_WORKER_RATIO
                    and len(entries) > 1
                    or ratio > 2 * constants.SLOW_WORKER_RATIO
                )
                or stuck > 1
                and stuck * 2 > len(entries)
            ):
                self.set_aside(worker_id=worker_id, now=now, ratio=ratio, stuck=stuck)
        for worker_id in [worker_id for worker_id, (_, until) in self.slow.items() if until < now]:
            del self.slow[worker_id]
        self.rescue(progress=progress, ms=ms)

    def set_aside(self, *, worker_id, now, ratio, stuck):
        """Gives a worker no starts for a while, unless too many of its kind are set aside already."""
        if not self.policy.set_slow_aside:
            return
        worker = self.record.workers[worker_id]
        same_kind = [
            other for other in self.record.workers.values() if other.kind == worker.kind and other.state == UP
        ]
        if worker_id not in self.slow:
            if (
                sum(other.id in self.slow for other in same_kind)
                >= len(same_kind) * constants.ASIDE_MAX_FRACTION
            ):
                return
            self.say(log_events.WORKER_SLOW, worker=worker_id, ratio=round(ratio, 1), stuck=stuck)
        aside_s = self.note_slow_worker(worker_id=worker_id, ms=self.clock_ms()) / 1000
        self.slow[worker_id] = (ratio, now + aside_s)

    def rescue(self, *, progress, ms):
        """Starts attempts of slow workers again elsewhere if they would end much sooner there: beside the
        slow attempt (a copy) where the step allows it, else in its place."""
        if not self.policy.rescue_slow:
            return
        moved = 0
        self.rescued = {
            run: rescued_ms for run, rescued_ms in self.rescued.items() if run in self.record.attempts
        }
        for attempt, rate, percent, stalled, ratio in sorted(progress, key=lambda entry: -entry[4]):
            if (
                attempt.worker not in self.slow
                or attempt.stop
                or attempt.run in self.rescued
                or moved >= constants.RESTARTS_PER_CHECK
                or ratio < constants.SLOW_WORKER_RATIO
                and not stalled
            ):
                continue
            job = self.record.jobs[attempt.job]
            spec = job.steps[attempt.step].spec
            usual_ms = (
                self.usual_ms_by_lane.get(attempt.lane) or spec.get("estimateMs") or constants.DEFAULT_TASK_MS
            )
            left_ms = (100 - percent) / (rate / self.stretch(attempt))
            again_ms = (
                min(usual_ms, 100 / (rate * ratio)) * ((100 - percent) / 100 if spec.get("saves") else 1.0)
                + constants.RESTART_COST_MS
            )
            if not stalled and left_ms < 1.5 * again_ms:
                continue
            moved += 1
            self.rescued[attempt.run] = ms
            candidates = [
                worker
                for worker in self.record.workers.values()
                if worker.kind == self.record.workers[attempt.worker].kind
                and worker.id != attempt.worker
                and worker.id not in self.slow
            ]
            if (
                spec.get("copies")
                and not spec.get("gang")
                and self.copy(attempt=attempt, step=job.steps[attempt.step], workers=candidates, ms=ms)
            ):
                continue
            for member in self.record.attempts_of(job) if spec.get("gang") else [attempt]:
                if member.step == attempt.step and not member.stop:
                    self.queue_event(event=["stop", member.run, "slow"])

    def copy(self, *, attempt, step, workers, ms):
        """Starts a second attempt beside a late one; False if that is not allowed or no worker has room."""
        job = self.record.jobs[attempt.job]
        if not self.policy.speculative_copies or self.record.tenant_refusal(job=job, room=attempt.room):
            return False
        task = job.tasks[attempt.task]
        near = step.spec.get("near")
        candidates = [
            worker
            for worker in workers
            if task.live == 1
            and not self.record.unfit_worker(
                step=step, spec=step.spec, worker=worker, now=ms, lane=attempt.lane
            )
            and not any(other.task == attempt.task for other in worker.runs.values())
            and self.copy_fits(worker=worker, step=step, attempt=attempt, ms=ms)
        ]
        if not candidates:
            return False
        worker = min(
            candidates,
            key=lambda worker: (bool(near) and worker.rack != near, worker.id in task.bad, worker.id),
        )
        self.queue_event(event=["copy", attempt.task, worker.id])
        return True

    def copy_silent_workers(self, *, now, ms):
        """Starts copies of attempts on workers that have been silent for a while."""
        copies = 0
        for worker_id, session in self.sessions.items():
            worker = self.record.workers.get(worker_id)
            if (
                worker is None
                or not session.names_attempts
                or now < session.until - self.lease_s() + constants.SILENT_WORKER_S
            ):
                continue
            self.slow[worker_id] = (9.9, now + 1.0)  # no starts there meanwhile
            for attempt in list(worker.runs.values()):
                step = self.record.jobs[attempt.job].steps[attempt.step]
                if (
                    step.spec.get("copies")
                    and not step.spec.get("gang")
                    and not attempt.stop
                    and attempt.run not in self.rescued
                    and copies < constants.RESTARTS_PER_CHECK
                ):
                    candidates = [
                        other for other in self.record.workers.values() if other.id not in self.slow
                    ]
                    if self.copy(attempt=attempt, step=step, workers=candidates, ms=ms):
                        self.rescued[attempt.run] = ms
                        copies += 1
