"""The faults of a workload, as changes to the simulated workers and to the primary at set times."""

START_S = 1.0  # s; virtual time at which sending begins


class FaultsMixin:
    """What begins and ends each kind of fault; a kind is a pair of methods."""

    def schedule(self):
        """[(when, what to do)] of all faults, the earliest last."""
        out = []
        for fault in self.workload.faults:
            at, end = START_S + fault.at, START_S + fault.at + fault.for_s
            count = max(1, round(fault.share * len(self.workers)))
            chosen = self.world_rng.sample(self.workers, min(count, len(self.workers)))
            begin, over = getattr(self, f"begin_{fault.kind}"), getattr(self, f"end_{fault.kind}")
            out += [(at, begin, fault, chosen), (end, over, fault, chosen)]
        return sorted(out, key=lambda change: -change[0])

    def begin_burst(self, fault, chosen):
        """More of one queue is sent; `load_times` looks it up."""

    end_burst = begin_burst

    def load_times(self, queue):
        times = 1.0
        for fault in self.workload.faults:
            begin = START_S + fault.at
            if fault.kind == "burst" and begin <= self.now < begin + fault.for_s:
                times *= fault.x if fault.queue in ("", queue.name) else 1.0
        return times

    def begin_crash(self, fault, chosen):
        for worker in chosen:
            worker.away = True
            for attempt in list(worker.attempts.values()):
                self.finish(worker, attempt, "crashed", told=False)
            worker.attempts, worker.ends = {}, []

    def end_crash(self, fault, chosen):
        """What crashed comes back as another worker."""
        for worker in chosen:
            self.spare += 1
            fresh = self.make_worker(worker.index, f"{worker.id.split('.')[0]}.{self.spare}")
            self.workers[self.workers.index(worker)] = fresh

    def begin_cut(self, fault, chosen):
        for worker in chosen:
            worker.cut = True

    def end_cut(self, fault, chosen):
        for worker in chosen:
            worker.cut = False
            worker.beat_at = self.now

    def begin_slow(self, fault, chosen):
        for worker in chosen:
            worker.slow = fault.x

    def end_slow(self, fault, chosen):
        for worker in chosen:
            worker.slow = 1.0

    def begin_errors(self, fault, chosen):
        for worker in chosen:
            worker.fails = fault.x

    def end_errors(self, fault, chosen):
        for worker in chosen:
            worker.fails = 0.0

    def begin_hang(self, fault, chosen):
        for worker in chosen:
            worker.hangs = fault.x

    def end_hang(self, fault, chosen):
        for worker in chosen:
            worker.hangs = 0.0
            for attempt in worker.attempts.values():
                attempt.stuck = False

    def begin_leave(self, fault, chosen):
        for worker in chosen:
            worker.leaving = True
            worker.beat_at = self.now

    def end_leave(self, fault, chosen):
        self.begin_crash(fault, chosen)

    def begin_outage(self, fault, chosen):
        self.outage_until = max(self.outage_until, START_S + fault.at + fault.for_s)

    def end_outage(self, fault, chosen):
        if self.now >= self.outage_until:
            self.primary.take_over()
