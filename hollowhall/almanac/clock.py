"""The clock, after the TiKV placement driver. An almanac campaigns by taking a
hold and writing the leader key if CreateRevision = 0; it watches that key when it
lost. The winner loads the saved bound, waits past it, saves a new bound and then
hands out stamps from memory. Ours beside the source: the hold is looked at in
suspend-counting time just before issuing, stamps carry the leader key's
CreateRevision as epoch, and the physical part follows a monotonic clock that
leans only slowly to the median of the walls. docs/design.md says why."""

import asyncio
from dataclasses import dataclass, field

from ..base import consts as C
from ..base import events as E
from ..base.problems import Done, NotLeader, NotSynced
from .vote import BLANK, LEADER

LEAD, BOUND = "clock/lead", "clock/bound"


@dataclass(kw_only=True)
class Reign:
    """What the clock leader keeps in memory while it reigns."""

    epoch: int
    hold: int
    until: float  # s, suspend-counting; our own view of the hold's end
    synced: bool = False
    anchor: tuple = (0, 0.0)  # (ms, s): physical time at a moment of seam.now()
    lean: float = 0.0  # ms; what the anchor is to be moved by, in time
    phys: int = 0  # ms; physical part now issued
    logical: int = 0
    saved: int = 0  # ms; the bound in the store (lastSavedTime)
    seen: dict = field(default_factory=dict)  # how far each wall is from our time
    half: dict = field(default_factory=dict)  # halves of ways to a peer and back, ms


class ClockMixin:
    def open_clock(self):
        self.clk, self.track, self.samples, self.clock_lead = None, None, [], ""
        self.stamps = self.stamp_calls = 0

    async def clock_run(self):
        """Campaign, reign, watch, and again. The clock's one task."""
        rev = 0
        while not self.leaving:
            o = await self.store(op="get", b={"p": LEAD}, safe=True)
            if o.ok and not o.v["kv"]:
                self.clock_lead = ""
                if self.rank not in (LEADER, BLANK):  # the store's leader goes first
                    await asyncio.sleep(C.CLOCK_FIRST * (0.5 + self.seam.rng.random()))
                if not self.blank:
                    await self.clock_campaign()
            elif o.ok:
                self.clock_lead = o.v["kv"][LEAD]["v"]
                rev = o.v["rev"]
                if self.clock_lead == self.params.addr:  # an earlier life's, which is over
                    await self.store(op="revoke", b={"hold": o.v["kv"][LEAD]["hold"]})
                    continue
                await self.near(op="watch", b={"p": "clock/lead", "rev": rev}, wait=C.WATCH_WAIT + 1)
            await asyncio.sleep(C.TICK * (0.5 + self.seam.rng.random()))

    async def clock_campaign(self):
        at = self.seam.now()
        o = await self.store(op="grant", b={"ttl": C.HOLD_TTL, "level": C.LEVEL})
        if not o.ok:
            return
        h, until = o.v["hold"], at + C.HOLD_TTL - C.HOLD_SLACK
        o = await self.store(
            op="txn", b={"cmp": [[LEAD, "made", 0]], "then": [["put", LEAD, self.params.addr, h]]}
        )
        if not (o.ok and o.v["yes"]):
            if o.ok:
                await self.store(op="revoke", b={"hold": h})
            return
        r = self.clk = Reign(epoch=o.v["rev"], hold=h, until=until)
        self.clock_lead = self.params.addr
        self.say(E.CLOCK_WON, epoch=r.epoch)
        keep = asyncio.ensure_future(self.clock_keep(r))
        try:
            await self.clock_reign(r)
        finally:
            keep.cancel()
            if self.clock_live(r):  # synced in vain: the next need not wait for our hold
                await self.store(op="revoke", b={"hold": h}, safe=True, total=1.0)
            self.clk = None
            self.say(E.CLOCK_LOST, epoch=r.epoch)

    def clock_live(self, r):
        return self.clk is r and self.seam.now() < r.until

    async def clock_keep(self, r):
        """Keep-alive; when it fails for a whole hold the reign is over."""
        gap = C.HOLD_KEEP
        while self.clock_live(r):
            await asyncio.sleep(gap)
            o, at, gap = await self.keep_lease(hold=r.hold)
            if o.ok and self.clock_live(r):
                r.until = at + C.HOLD_TTL - C.HOLD_SLACK
            elif not o.ok and type(o).__name__ == "Unknown":
                r.until = 0.0

    async def clock_reign(self, r):
        if not await self.clock_sync(r):
            return
        last = self.seam.now()
        while self.clock_live(r) and not self.leaving:
            await asyncio.sleep(C.TICK)
            now = self.seam.now()
            self.clock_lean(r=r, dt=now - last)
            if now - last > 0 and int(now / C.TRACK_EVERY) != int(last / C.TRACK_EVERY):
                self.clock_tell(r)
            last = now
            if self.clock_phys(r) >= r.saved - C.SAVE_EARLY_MS:  # before stamps have to wait for it
                await self.clock_save(r=r, bound=self.clock_phys(r) + C.SAVE_MS)
            self.clock_refresh(r)
        if self.leaving and self.clock_live(r):
            r.until = 0.0
            await self.store(op="revoke", b={"hold": r.hold})

    async def clock_sync(self, r):
        """Load the saved bound, wait until now is past it, save the next bound."""
        o = await self.store(op="get", b={"p": BOUND}, safe=True)
        if not o.ok:
            return False
        saved = o.v["kv"].get(BOUND, {"v": 0})["v"]
        now = await self.clock_guess()
        wait = saved + C.GUARD_MS - now
        if wait > C.BOUND_WAIT_MS:
            self.say(E.CLOCK_FROM_BOUND, ahead_ms=wait)
            now, wait = saved + C.GUARD_MS, 0
        r.anchor = (now, self.seam.now())
        if wait > 0:
            self.say(E.CLOCK_WAITS, wait_ms=wait)
            await asyncio.sleep(wait / 1000)
        ms = max(self.clock_phys(r), saved + C.GUARD_MS)
        r.anchor = (ms, self.seam.now())
        if not await self.clock_save(r=r, bound=ms + C.SAVE_MS):
            return False
        r.phys, r.logical, r.synced = ms, 0, True
        return True

    async def clock_save(self, *, r, bound):
        """The bound goes to the store before anything past the old one is issued."""
        o = await self.store(
            op="txn", total=1.0, b={"cmp": [[LEAD, "made", r.epoch]], "then": [["put", BOUND, bound, 0]]}
        )
        if o.ok and o.v["yes"]:
            r.saved = bound
            return True
        if o.ok:
            r.until = 0.0
        return False

    async def clock_guess(self):
        """Now, in ms: the time tracked from the last leader, else the median wall."""
        if self.track is not None and self.seam.now() - self.track[1] < C.TRACK_OLD:
            return int(self.track[0] + (self.seam.now() - self.track[1]) * 1000)
        offs = []  # each wall less our own suspend-counting time, at one moment
        for p in self.voter_peers:
            at = self.seam.now()
            o = await self.links[p].call(op="wall", b={}, wait=0.3)
            if o.ok:
                offs.append(o.v["wall"] - (at + self.seam.now()) * 500)
        offs = sorted(offs + [self.seam.wall() - self.seam.now() * 1000])
        return int(offs[(len(offs) - 1) // 2] + self.seam.now() * 1000)

    def clock_refresh(self, r):
        """The physical part up to now, never past the bound. True if it is fresh."""
        ms = self.clock_phys(r)
        if r.phys < ms < r.saved:
            r.phys, r.logical = ms, 0
        return ms - r.phys <= C.STALE_MS

    def clock_phys(self, r):
        return int(r.anchor[0] + (self.seam.now() - r.anchor[1]) * 1000)

    def clock_lean(self, *, r, dt):
        """Moves the anchor a little to the median wall, never so far as to go back."""
        d = max(-C.SLEW * dt * 1000, min(C.SLEW * dt * 1000, r.lean))
        r.lean -= d
        r.anchor = (r.anchor[0] + d, r.anchor[1])
        ms = self.seam.now()
        r.anchor = (r.anchor[0] + (ms - r.anchor[1]) * 1000, ms)

    def clock_tell(self, r):
        """The others track our time, and answer how far their walls are from it."""
        ms = self.clock_phys(r)
        r.seen[self.params.addr] = self.seam.wall() - ms

        at = self.seam.now()

        def k(p, o):
            if o.ok:
                half = (self.seam.now() - at) * 500
                r.seen[p] = o.v["off"] - half
                r.half[p] = [x for x in r.half.get(p, []) if at - x[1] < C.TRACK_BEST] + [(half, at)]
                v = sorted(r.seen.values())
                r.lean = v[(len(v) - 1) // 2] if len(v) >= self.most() else 0.0

        for p in self.peers:
            self.link(addr=p).ask(
                op="track", b={"ms": ms, "half": self.half_way(r=r, p=p)}, wait=0.5, k=lambda o, p=p: k(p, o)
            )

    def half_way(self, *, r, p):
        """The least half of several looks; one alone may be a peer that was frozen."""
        xs = r.half.get(p, [])
        return min(xs)[0] if len(xs) >= C.TRACK_LOOKS else 0.0

    def on_track(self, *, b, k, who):
        """Of the last samples the one that is furthest on: it was delayed least."""
        now, ms = self.seam.now(), b["ms"] + b["half"]
        if now - self.felt < C.LAG_HELD and now - self.woke > C.TRACK_CALM:
            self.take_sample(now=now, ms=ms)  # what lay in a frozen member's sockets is old
        k(Done(v={"off": self.seam.wall() - b["ms"]}))

    def take_sample(self, *, now, ms):
        self.samples = [x for x in self.samples if now - x[1] < C.TRACK_BEST] + [(ms, now)]
        self.track = max(self.samples, key=lambda x: x[0] - x[1] * 1000)

    def on_stamp(self, *, b, k, who, n=0):
        """n stamps with one add. Overflow and a clock not yet synced are retried."""
        r = self.clk
        if r is None or not self.clock_live(r):
            a = self.leads["clock"]  # as the keys have it, not as our own watch last did
            k(NotLeader(hint=a if a != self.params.addr else ""))
            return
        gap, e = C.UNSYNCED_SLEEP, E.CLOCK_UNSYNCED
        if r.synced and not self.clock_refresh(r):
            gap, e = C.TICK, E.CLOCK_STALE
        elif r.synced:
            r.logical += b["n"]
            if r.logical < C.MAX_LOGICAL:
                self.stamps, self.stamp_calls = self.stamps + b["n"], self.stamp_calls + 1
                top = (r.phys << C.LOGICAL_BITS) + r.logical
                k(Done(v={"first": top - b["n"] + 1, "n": b["n"], "e": r.epoch}))
                return
            gap, e = C.TICK, E.CLOCK_OVERFLOW
        self.say(e, tries=n)
        if n >= C.MAX_RETRY:
            k(NotSynced(tries=n))
            return
        asyncio.get_running_loop().call_later(gap, lambda: self.on_stamp(b=b, k=k, who=who, n=n + 1))
