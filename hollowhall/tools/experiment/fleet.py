"""The fleet of an experiment, in ticks of virtual time and without a network: the primary's own
code decides over a real record, and simulated workers run what they are told under the faults of
the workload. Whatever is random comes from one seed, so that two policies meet the same day."""

import random

from ...base import constants
from ..measure.sick_fleet import Judge
from .attempts import AttemptsMixin
from .faults import START_S, FaultsMixin
from .jobs import JobSource
from .workers import BEAT_S, MS, TICK_S, SimulatedWorker

PATIENCE_S = 3.0  # s; a client that was not answered for so long has gone


class Primary(Judge):
    """The primary's judgement under a workload's bounds and an experiment's policy."""

    def __init__(self, *, rows, workload, policy):
        self.policy = policy
        super().__init__(rows=rows)
        self.settings.far_times, self.settings.hold_ms = workload.spread_factor, workload.lease_ms
        self.settings.margin_ms = int(workload.lease_ms * 0.02) + 250

    def take_over(self):
        """A new primary knows what the record holds, and takes every lease for fresh."""
        self.sessions, self.queue = {}, []
        self.open_pace()
        self.open_place()
        self.start_beats()


class Fleet(FaultsMixin, AttemptsMixin):
    """One run of a workload: `tick` until its time is over."""

    def __init__(self, *, workload, seed, policy, primary=Primary):
        self.workload = workload
        self.job_rng, self.world_rng = random.Random(f"{seed} jobs"), random.Random(f"{seed} world")
        rows = {
            q.name: {
                "weight": 1.0,
                "limit": 0,
                "urgency": q.urgency,
                "stretch": q.stretch,
                "aimMs": int(q.target_ms),
            }
            for q in workload.queues
        }
        self.primary = primary(rows=rows, workload=workload, policy=policy)
        racks = -(-workload.workers // workload.rack)
        self.workers = [self.make_worker(i, f"w{i:04d}") for i in range(workload.workers)]
        self.source = JobSource(workload=workload, rng=self.job_rng, racks=[f"r{n}" for n in range(racks)])
        self.jobs, self.gangs, self.waiting, self.open = {}, {}, [], set()
        self.thrown_away = {}  # how an attempt ended: core-seconds of work lost
        self.next_send = {q.name: START_S + self.job_rng.expovariate(q.per_s) for q in workload.queues}
        self.outage_until, self.samples = 0.0, []
        self.spare = 0
        self.changes = self.schedule()

    def make_worker(self, index, name):
        load = self.workload
        return SimulatedWorker(
            id=name,
            index=index,
            room=list(load.room),
            rack=f"r{index // load.rack}",
            label=load.labels[index % len(load.labels)],
            beat_at=self.world_rng.uniform(0, BEAT_S),
        )

    @property
    def now(self):
        return self.primary.t

    # --- jobs

    def send_jobs(self):
        load = self.workload
        for queue in load.queues:
            while self.next_send[queue.name] <= self.now < START_S + load.send_s:
                self.hand_in(self.source.draw(queue=queue, now=self.next_send[queue.name]))
                gap = self.job_rng.expovariate(queue.per_s * self.load_times(queue))
                self.next_send[queue.name] += gap
        if not self.jobs:
            for queue in load.queues:
                for _ in range(queue.waiting):
                    self.hand_in(self.source.draw(queue=queue, now=self.now))

    def hand_in(self, job):
        self.jobs[job.name] = job
        self.waiting.append(job)

    def accept_jobs(self):
        for job in self.waiting:
            if self.now - job.sent_at > PATIENCE_S:
                job.state, job.ended_at = "lost", self.now
            else:
                self.open.add(job.name)
                self.primary.queue_event(event=["job", job.name, job.spec, job.digest])
        self.waiting = []

    def note_ended_jobs(self):
        for name in list(self.open):
            job = self.primary.record.jobs.get(name)
            if job is not None and job.state in ("done", "failed", "cancelled"):
                self.jobs[name].state, self.jobs[name].ended_at = job.state, self.now
                self.open.discard(name)

    # --- time

    def hear(self, worker):
        worker.beat_at = self.now + BEAT_S * self.world_rng.uniform(0.8, 1.2)
        if worker.away or worker.cut or self.now < self.outage_until:
            return
        answer = self.primary.hear(worker.report())
        if answer is None:
            return
        if "holdMs" in answer:
            worker.lease_until = max(worker.lease_until, self.now + answer["holdMs"] / MS)
        for task, number, _, saved in answer["starts"]:
            self.start(worker, task, number, saved)
        for task, number in answer["stops"]:
            attempt = worker.attempts.get((task, number))
            if attempt is not None and not attempt.stop_at:
                attempt.stop_at = self.now + self.workload.stop_ms / MS
        worker.ends = [e for e in worker.ends if e[0] > answer["seen"]]

    def tick(self):
        primary = self.primary
        primary.t = round(primary.t + TICK_S, 3)
        while self.changes and self.changes[-1][0] <= self.now:
            _, change, fault, chosen = self.changes.pop()
            change(fault, chosen)
        self.send_jobs()
        for worker in self.workers:
            self.work(worker)
        for worker in self.workers:
            if worker.beat_at <= self.now:
                self.hear(worker)
        if self.now < self.outage_until:
            return
        self.accept_jobs()
        if round(self.now / TICK_S) % round(constants.ENDED_JOBS_CHECK_PERIOD / TICK_S) == 0:
            primary.check_workers(now=self.now, ms=primary.clock_ms())
        primary.turn()
        self.note_ended_jobs()

    def play(self):
        """The whole run; returns itself."""
        end = START_S + self.workload.send_s + self.workload.finish_s
        while self.now < end and (self.now < START_S + self.workload.send_s or self.open or self.waiting):
            self.tick()
            if round(self.now / TICK_S) % 10 == 0:
                used = sum(w.used_cores() for w in self.workers)
                self.samples.append((self.now - START_S, used / sum(w.room[0] for w in self.workers)))
        return self
