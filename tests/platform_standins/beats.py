"""A worker's keepalive: `PUT /instances/ID` with all its fields, one after the other, and
what it does with the answer. The lease counts from when the beat was sent, on the worker's
own clock; an answer later than a second is dropped; ends are sent again until `lastSeen`
reaches them. After a beat without acknowledgement another daemon is called."""

import asyncio

from .caller import Caller

SOON = 0.05  # s; after an end, or after the answer that was out, the next beat goes
LATE = 1.0  # s; an answer that takes longer is dropped
ENDS_MOST = 500  # ends told in one beat


class BeatsMixin:
    def open_beats(self, *, web, daemons):
        self.caller = Caller(web=web, daemons=daemons, rng=self.rng, loop=self.loop)
        self.sequence, self.target, self.token = 0, "", 0
        self.fresh, self.bell = False, None  # an end that no beat told; what it rings
        self.beats = self.acked = 0
        self.drain_acked = None  # s; when `draining` was acknowledged

    def report(self):
        self.sequence += 1
        told = [self.ended[n] for n in sorted(self.ended)[:ENDS_MOST]]
        now = self.loop.time()
        b = {
            "targetService": self.service,
            "address": self.address,
            "zone": self.zone,
            "revision": self.revision,
            "slots": self.slots,
            "state": self.state,
            "warmupLeftMs": max(0, int((self.warm_at - now) * 1000)),
            "capacity": dict(zip(("cpu", "memMb", "gpu"), self.capacity)),
            "labels": list(self.labels),
            "clockMs": int(self.now() * 1000),
            "sequence": self.sequence,
            "active": [[r.task, r.run, r.saved, r.percent(now=now)] for r in self.runs.values()],
            "ended": [list(e) for e in told],
        }
        if self.state == "draining":
            b["leaveAtMs"] = max(0, int(self.leave_left() * 1000))
        return b

    async def keep_alive(self):
        while not self.over:
            t, self.fresh = self.loop.time(), False
            a = await self.beat()
            if self.over:
                return
            if a is None:
                await asyncio.sleep(self.caller.pause())
                continue
            due, now = t + self.bounds.keepalive_ms / 1000, self.loop.time()
            after = a.body.get("retryAfterMs") if isinstance(a.body, dict) else None
            if after is not None:
                due = min(due, now + after / 1000)
            await self.until(due)

    async def until(self, due):
        """Waits for the next beat's time, which an end brings nearer."""
        if self.fresh:
            due = min(due, self.loop.time() + SOON)
        while self.loop.time() < due:
            self.bell = self.loop.create_future()
            await asyncio.wait([self.bell], timeout=due - self.loop.time())
            if self.bell.done() and self.fresh:
                due = min(due, self.loop.time() + SOON)
                await asyncio.sleep(max(0.0, due - self.loop.time()))

    def hurry(self):
        self.fresh = True
        if self.bell is not None and not self.bell.done():
            self.bell.set_result(None)

    async def beat(self):
        """One beat; its Answer if it was acknowledged."""
        self.beats += 1
        sent, t = self.now(), self.loop.time()
        to, draining = self.target or self.caller.pick(), self.state == "draining"
        if not to:
            return None
        a = await self.caller.once(
            method="PUT", addr=to, path=f"/instances/{self.id}", body=self.report(), wait=LATE
        )
        if self.over:
            return None
        if not a.ok or self.loop.time() - t > LATE:
            self.target = ""
            self.caller.pick(other=True)
            return None
        self.acked, self.caller.misses = self.acked + 1, 0
        if draining and self.drain_acked is None:
            self.drain_acked = self.loop.time()
            self.note("drain_acked", by=a.addr)
        if isinstance(a.body, dict):
            self.act(a.body, sent=sent, by=a.addr)
        return a

    def act(self, v, *, sent, by):
        """What an answer says, unless a higher fence was seen before."""
        self.check_lease()
        token = v.get("fenceToken", 0)
        if token < self.token:
            self.note("fenced", by=by, token=token)
            return
        self.token = token
        self.target = v.get("keepaliveTarget") or self.target
        self.forget(last=v.get("lastSeen", 0))
        hold = v.get("holdMs")
        if hold:
            self.extend(until=sent + min(hold, self.bounds.hold_max_ms) / 1000)
        for task, run in v.get("stop") or ():
            self.order_stop(task=task, run=run)
        if hold and self.now() < self.lease_until:
            for task, run, spec, saved in v.get("start") or ():
                self.order_start(task=task, run=run, spec=spec, saved=saved, by=by)

    def forget(self, *, last):
        gone = [n for n in self.ended if n <= last]
        for n in gone:
            del self.ended[n]
        if gone:
            self.note("noted", n=last)
