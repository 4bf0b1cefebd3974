"""What a worker does with the tasks it is told to start: restore, gangs, work with its
checkpoints, stops, ends. A run is one coroutine in its worker's context; whatever happens
to it from outside rings its bell. At the end of the lease everything is killed."""

import asyncio

LAG = 0.001  # s; the least that the guard of the lease sleeps


class RunsMixin:
    def open_runs(self):
        self.runs, self.floor = {}, {}  # (task, run): Run; task: no run up to this
        self.ended, self.n, self.lease_until, self.extended = {}, 0, float("-inf"), None

    # --- orders

    def order_start(self, *, task, run, spec, saved, by):
        if (task, run) in self.runs:
            return
        if (task, run) not in self.ordered:
            self.ordered.add((task, run))
            self.note("order", task=task, run=run, spec=spec, saved=saved, by=by)
        if run <= self.floor.get(task, 0):
            if not any(e[1] == task and e[2] == run for e in self.ended.values()):
                self.list_end(task=task, run=run, how="refused", saved="")
            return
        r = self.registry.make(task=task, run=run, saved=saved)
        if self.guards and not self.fits(r):
            self.refuse(task=task, run=run)
            return
        self.note("start", task=task, run=run, saved=saved, by=by)
        self.runs[task, run] = r
        r.since = self.loop.time()
        self.registry.begin(run=r, rack=self.rack)
        if self.failing and self.rng.random() < self.failing:
            r.fails, r.total = True, r.work.ms * r.work.at
        r.life = asyncio.ensure_future(self.live_run(r))

    def order_stop(self, *, task, run):
        r = self.runs.get((task, run))
        if r is not None:
            r.ring(cue="stop")
        elif run > self.floor.get(task, 0):
            self.refuse(task=task, run=run)  # not yet there: turned away, now and later

    def refuse(self, *, task, run):
        self.floor[task] = max(run, self.floor.get(task, 0))
        self.list_end(task=task, run=run, how="refused", saved="")

    def fits(self, r):
        used = [sum(x) for x in zip(*(y.need for y in self.runs.values()), r.need)]
        return all(u <= m for u, m in zip(used, self.capacity))

    # --- one run

    async def live_run(self, r):
        how = await self.pass_through(r)
        if r.cue == "stop":
            how = "stopped"
            if r.step.get("checkpoints") and r.worked:
                self.checkpoint(r)
            await asyncio.sleep(self.rng.random() * self.bounds.stop_timeout_ms / 1000)
        self.end(r, how=how)

    async def pass_through(self, r):
        """Everything between a start and the end that it comes to by itself."""
        t0, limit = self.loop.time(), self.bounds.gang_timeout_ms / 1000
        while r.gang is not None and not r.gang.full and not r.cue:
            if self.loop.time() >= t0 + limit:
                return "alone"
            await self.wait(r, s=t0 + limit - self.loop.time())
        if r.saved:
            t1 = self.loop.time() + self.bounds.restore_ms / 1000
            while not r.cue and self.loop.time() < t1:
                await self.wait(r, s=t1 - self.loop.time())
        while not r.cue and r.worked < r.total - 1e-6:
            await self.work_to(r, ms=self.milestone(r))
            if r.step.get("checkpoints") and not r.cue and r.worked < r.total - 1e-6:
                self.checkpoint(r)
        if not r.cue and r.fails:
            return "failed"
        if not r.cue and r.gang is not None:
            r.gang.finish(run=r)
            while not r.cue:
                await self.wait(r, s=None)
        return r.cue or "done"

    def milestone(self, r):
        """Ms of work at which something happens to the run next."""
        every = self.bounds.checkpoint_s * 1000
        at = (int(r.worked / every + 1e-9) + 1) * every
        return min(r.total, at) if r.step.get("checkpoints") else r.total

    async def work_to(self, r, *, ms):
        while not r.cue and r.worked < ms - 1e-6:
            r.since, r.rate = self.loop.time(), self.rate(r)
            stall = r.work.ms * r.work.at if r.hangs else float("inf")
            if r.worked >= stall - 1e-6:
                r.rate = 0.0
            goal = min(ms, stall) if r.rate else ms
            left = (goal - r.worked) / r.rate / 1000 if r.rate else None
            await self.wait(r, s=None if left == float("inf") else left)
            r.worked = min(goal, r.worked + (self.loop.time() - r.since) * 1000 * r.rate)
            r.rate, r.since = 0.0, self.loop.time()

    def rate(self, r):
        """Ms of work in one ms: less on a slow worker, far from the data, across racks."""
        if self.stuck:
            return 0.0
        slow, f = self.slow, self.bounds.spread_factor
        if r.step.get("affinity", self.rack) != self.rack:
            slow *= f
        if r.gang is not None and r.step.get("sameRack") and len(r.gang.racks) > 1:
            slow *= f
        return 1 / slow

    async def wait(self, r, *, s):
        r.bell = self.loop.create_future()
        await asyncio.wait([r.bell], timeout=s)

    def checkpoint(self, r):
        r.saved = self.registry.save(run=r)
        self.note("saved", task=r.task, run=r.run, saved=r.saved)

    # --- ends

    def end(self, r, *, how):
        self.check_lease()
        if self.runs.pop((r.task, r.run), None) is None:
            return
        self.floor[r.task] = max(r.run, self.floor.get(r.task, 0))
        self.list_end(task=r.task, run=r.run, how=how, saved="" if how == "done" else r.saved)
        if r.gang is not None and how != "done":
            r.gang.broke()

    def list_end(self, *, task, run, how, saved):
        self.n += 1
        self.ended[self.n] = [self.n, task, run, how, saved]
        self.note("end", n=self.n, task=task, run=run, how=how, saved=saved)
        self.hurry()

    def kill(self, *, how):
        """Every run is over at once; a crash lists no ends, for nobody is there to."""
        for (task, run), r in list(self.runs.items()):
            r.life.cancel()
            if how:
                del self.runs[task, run]
                self.floor[task] = max(run, self.floor.get(task, 0))
                self.list_end(task=task, run=run, how=how, saved=r.saved)
            if r.gang is not None:
                r.gang.broke()
        self.runs.clear()

    # --- the lease

    def extend(self, *, until):
        self.check_lease()
        if until > max(self.lease_until, self.now()):
            if self.lease_until < self.now():
                self.note("held")
            self.lease_until, self.lapsed = until, False
            if self.extended is not None and not self.extended.done():
                self.extended.set_result(None)

    def check_lease(self):
        """Kills everything once the lease is over, by this worker's own clock."""
        if self.now() < self.lease_until - 1e-9 or self.lapsed:
            return
        self.lapsed = True
        if self.lease_until > float("-inf"):
            self.note("lapse", dead=sorted(t for t, _ in self.runs))
        self.kill(how="lapsed")

    async def guard(self):
        """The timer of the lease, which runs on the worker's own clock."""
        while not self.over:
            left = self.lease_until - self.now()
            if left > 0:
                await asyncio.sleep(max(LAG, left / self.pace))
                continue
            self.check_lease()
            self.extended = self.loop.create_future()
            await asyncio.wait([self.extended])
