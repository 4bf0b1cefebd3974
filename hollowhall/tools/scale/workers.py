"""Hollow workers: what docs/workers.md asks of a worker's side, and no work. Many run in one
process; tasks are only moments at which they end. Each tells how long its beats took, what
it started and how long that was after it was sent, and whether its hold ever ran out."""

import asyncio
import heapq

from . import sizes as S


class Seen:
    """What all hollow workers of a process saw; figures that only grow."""

    def __init__(self):
        self.beats = self.late = self.lapses = self.starts = self.urgent = self.urgent_late = 0
        self.beat_s = self.urgent_ms = 0.0
        self.urgent_worst = 0.0

    def told(self):
        return dict(vars(self))


class Worker:
    def __init__(self, *, card, masts, web, rng, now, seen):
        self.card, self.masts, self.web, self.rng, self.now = card, masts, web, rng, now
        self.seen, self.boot = seen, f"b{rng.getrandbits(40):010x}"
        self.at, self.seq, self.epoch, self.until = rng.randrange(len(masts)), 0, 0, None
        self.tasks, self.ends, self.known, self.over = {}, [], set(), False
        self.told = {}  # runs that ended and are not yet recorded: how

    async def live(self):
        await asyncio.sleep(self.rng.random() * 0.3)
        while not self.over:
            await self.beat()
            await asyncio.sleep(S.BEAT_GAP)
        await self.web.close()

    def finish(self):
        """Tasks whose time is over have ended well."""
        while self.ends and self.ends[0][0] <= self.now():
            r = heapq.heappop(self.ends)[1]
            if self.tasks.pop(r, None) is not None:
                self.told[r] = "ok"

    async def beat(self):
        self.finish()
        self.seq, sent = self.seq + 1, self.now()
        tell = list(self.told.items())
        c, (cores, mem, gpus) = self.card, S.WORKER_ROOM
        o = await self.web.ask(
            method="POST",
            addr=self.masts[self.at],
            path=f"/v1/workers/{c['id']}/beat",
            wait=S.BEAT_WAIT,
            body={
                "boot": self.boot,
                "seq": self.seq,
                "kind": c["kind"],
                "zone": c["zone"],
                "rack": c["rack"],
                "room": {"cores": cores, "memMb": mem, "gpus": gpus},
                "running": sorted(self.tasks),
                "clockMs": int(sent * 1000),
                "keepsHold": True,
                "ended": [{"runId": r, "how": h, "why": ""} for r, h in tell],
            },
        )
        if isinstance(o, tuple) and o[0] == 200:
            self.seen.beats += 1
            self.seen.beat_s += self.now() - sent
            self.take(v=o[1], sent=sent, tell=tell)
            return
        self.seen.late += 1
        if self.until is not None and self.now() > self.until:
            self.seen.lapses, self.until = self.seen.lapses + 1, None
            self.told |= {r: "stopped" for r in self.tasks}
            self.tasks = {}
        self.at = (self.at + 1) % len(self.masts)
        await asyncio.sleep(0.1 + 0.2 * self.rng.random())

    def take(self, *, v, sent, tell):
        if v["epoch"] < self.epoch:
            return
        self.epoch = v["epoch"]
        for r in v["stops"]:
            if self.tasks.pop(r, None) is not None or r not in self.known:
                self.told[r] = "stopped"
            self.known.add(r)
        if not v["known"]:
            return
        self.until, live = sent + v["holdMs"] / 1000, set(v["live"])
        for r, _ in tell:
            if r not in live:
                self.told.pop(r, None)
        if self.now() > sent + v["validMs"] / 1000:
            return
        for c in v["starts"]:
            if c["runId"] not in self.known:
                self.start(c)

    def start(self, c):
        r, w = c["runId"], c["work"]
        self.known.add(r)
        self.tasks[r] = True
        heapq.heappush(self.ends, (self.now() + w["ms"] / 1000, r))
        self.seen.starts += 1
        if "sent" in w:
            ms = self.now() * 1000 - w["sent"]
            self.seen.urgent, self.seen.urgent_ms = self.seen.urgent + 1, self.seen.urgent_ms + ms
            self.seen.urgent_worst = max(self.seen.urgent_worst, ms)
            self.seen.urgent_late += ms > S.URGENT_MS
