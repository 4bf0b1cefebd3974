"""A stand-in worker: a machine that says it is there, runs what it is told, and leaves, in
order or not. It has a steady clock of its own pace. Faults are knobs: slow, stuck, crash;
`guards` says whether it turns away what does not fit. All that it saw goes into the history."""

import asyncio

from .beats import BeatsMixin
from .runs import RunsMixin

NOBODY_HEARS = 5.0  # s; a leaving worker without acknowledgement ends this much later
LITTLE = 0.2  # s; it serves this much longer than it must
SHORT = 0.02  # s; between two looks at whether leaving was acknowledged


class Worker(RunsMixin, BeatsMixin):
    def __init__(
        self,
        *,
        id,
        service,
        zone,
        rack,
        capacity,
        web,
        daemons,
        registry,
        hist,
        rng,
        loop,
        bounds,
        labels=("a",),
        guards=True,
        pace=1.0,
        slots=8,
        revision="v1",
        warmup_s=0.0,
        address="",
    ):
        self.id, self.service, self.zone, self.rack = id, service, zone, rack
        self.capacity, self.labels = list(capacity), [*labels, rack]
        self.registry, self.hist, self.rng, self.loop = registry, hist, rng, loop
        self.bounds, self.guards, self.slots, self.revision = bounds, guards, slots, revision
        self.address = address or f"10.128.0.{rng.randrange(1, 250)}:8080"
        self.pace, self.base = pace, rng.random() * 1e4
        self.warm_at = loop.time() + warmup_s
        self.state, self.over, self.lapsed = "up", False, True
        self.slow, self.stuck, self.ordered = 1.0, False, set()
        self.failing = 0.0  # the part of its runs that fail through its own fault
        self.leave_at, self.notice, self.faults = None, 0.0, 0
        self.open_runs()
        self.open_beats(web=web, daemons=daemons)

    def now(self):
        """This worker's own steady clock, s."""
        return self.base + self.loop.time() * self.pace

    def note(self, ev, **d):
        self.hist.note(ev, w=self.id, **d)

    async def live(self):
        self.note(
            "worker",
            service=self.service,
            zone=self.zone,
            rack=self.rack,
            capacity=self.capacity,
            labels=self.labels,
            guards=self.guards,
        )
        guard = asyncio.ensure_future(self.guard())
        try:
            await self.keep_alive()
        finally:
            guard.cancel()

    # --- leaving in order

    def leave_left(self):
        """The least time, s, for which this worker stays."""
        stay = max(self.notice, self.bounds.drain_ms / 1000)
        if self.leave_at is None:
            return stay
        return max(0.0, self.leave_at - LITTLE - self.loop.time())

    async def leave(self, *, notice_ms=0):
        """Says that it drains, serves until its time is over, takes leave and ends."""
        self.state, self.notice = "draining", notice_ms / 1000
        self.note("draining")
        self.hurry()
        t0 = self.loop.time()
        while self.drain_acked is None and self.loop.time() < t0 + NOBODY_HEARS:
            await asyncio.sleep(SHORT)
            if self.over:
                return
        t1 = t0 if self.drain_acked is None else self.drain_acked
        stay = max(self.notice, self.bounds.drain_ms / 1000)
        self.leave_at = max(t1 + stay + LITTLE, self.loop.time())
        await asyncio.sleep(self.leave_at - self.loop.time())
        if self.over:
            return
        self.finish(how="left")  # nothing runs any more when the system reads of it
        to = self.target or self.caller.pick()
        if to:
            await self.caller.once(method="DELETE", addr=to, path=f"/instances/{self.id}")

    def crash(self):
        """Everything is gone at once, and nothing is said; whoever comes back is another."""
        self.finish(how="crash")

    def finish(self, *, how):
        if not self.over:
            self.over = True
            self.note("gone", how=how)
            self.kill(how="")
            self.hurry()

    # --- faults that leave it running

    def turn(self, *, slow=None, stuck=None, failing=None):
        """Works at another pace from now on, stands still, or fails a part of what it starts."""
        if failing is not None:
            self.failing = failing
        if slow is not None:
            self.slow = slow
        if stuck is not None:
            self.stuck = stuck
        i = f"{self.id}/{self.faults}"
        if self.slow != 1.0 or self.stuck or self.failing:
            self.hist.note("trouble", what="worker_slow", m=self.id, id=i)
        else:
            self.hist.note("calm", id=i)
            self.faults += 1
        for r in self.runs.values():
            r.ring()
