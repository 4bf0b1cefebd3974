"""Stand-in (simulated) workers. A Mate does what docs/workers.md asks of a worker: it
times a start's validity and its hold from when it sent the beat, takes no outcome of an
older epoch, starts a run once, repeats an end until it is recorded. One that keeps its
hold stops all tasks when that has run out, and a result not yet told then counts for
nothing; one that does not runs on, as it said in its beats. Tasks sleep for `work.ms`
and fail at the rate of `work.flop`. Faults are knobs: slow, flop, stuck tasks."""

import asyncio

BEAT_GAP = 0.05  # s; least pause between two beats
BEAT_WAIT = 1.5  # s; after this a beat is sent again through another mast
VOID = ("hold ran out", "never started", "told to", "")  # ends not worth a note
ENDS_MOST = 500  # ends told in one beat


class Mate:
    def __init__(self, *, card, masts, web, hist, rng, now, boot=None, keeps=True):
        self.id, self.kind, self.zone, self.rack, self.room = card
        self.masts, self.web, self.hist, self.rng, self.now = masts, web, hist, rng, now
        self.boot = boot or f"b{rng.getrandbits(40):010x}"
        self.seq, self.epoch, self.hold_until, self.at = 0, 0, 0.0, rng.randrange(len(masts))
        self.tasks, self.ended, self.seen, self.stopped = {}, {}, set(), set()
        self.leaving = self.left = self.over = False
        self.wait, self.gap = BEAT_WAIT, 0.05  # s; for a beat's outcome; between two looks
        self.lapsed, self.keeps, self.lone, self.level = 0.0, keeps, False, 0
        self.slow, self.flop, self.stuck = 1.0, 0.0, False

    async def live(self):
        """The worker's life: beat, act on the outcome, beat again."""
        self.hist.note(
            "worker",
            w=self.id,
            boot=self.boot,
            kind=self.kind,
            zone=self.zone,
            rack=self.rack,
            room=[self.room["cores"], self.room["memMb"], self.room["gpus"]],
        )
        guard = asyncio.ensure_future(self.guard())
        try:
            while not self.over:
                await self.beat()
                await asyncio.sleep(BEAT_GAP)
        finally:
            guard.cancel()

    async def beat(self):
        self.seq += 1
        sent = self.now()
        tell = list(self.ended.items())[:ENDS_MOST]
        body = {
            "boot": self.boot,
            "seq": self.seq,
            "kind": self.kind,
            "zone": self.zone,
            "rack": self.rack,
            "room": self.room,
            "running": sorted(self.tasks),
            "ended": [{"runId": r, "how": h, "why": y} for r, (h, y) in tell],
            "clockMs": int(sent * 1000),
            "bye": self.leaving and not self.tasks,
            **({"keepsHold": self.keeps} if self.level else {}),
        }
        o = await self.web.ask(
            method="POST",
            addr=self.masts[self.at],
            wait=self.wait,
            path=f"/v1/workers/{self.id}/beat",
            body=body,
        )
        if isinstance(o, tuple) and o[0] == 200:
            self.act(o[1], sent, {r for r, _ in tell})
        else:
            self.at = (self.at + 1) % len(self.masts)
            await asyncio.sleep(0.1 + 0.2 * self.rng.random())

    def act(self, v, sent, told):
        if v["epoch"] < self.epoch or self.over:
            return
        self.epoch = v["epoch"]
        self.level = v.get("level", 0)
        for r in v["stops"]:  # obeyed even when nothing else of the outcome counts
            self.seen.add(r)
            if r in self.tasks:
                self.end(r, "stopped", "told to")
            elif r not in self.ended and v["known"]:
                self.ended[r] = ("stopped", "never started")
        if not v["known"]:
            return
        self.hold_until = sent + v["holdMs"] / 1000
        self.check_hold()
        if self.lone:
            self.lone = False
            self.hist.note("heard", w=self.id)
        live = set(v["live"])
        for r in sorted(told - live):
            if self.ended.pop(r, ("", ""))[1] not in VOID:
                self.hist.note("told", w=self.id, run=r)
        if self.now() > sent + v["validMs"] / 1000:
            return
        for c in v["starts"]:
            if c["runId"] not in self.seen:
                self.start(c)

    def start(self, c):
        r = c["runId"]
        self.seen.add(r)
        self.hist.note(
            "start", w=self.id, boot=self.boot, run=r, task=c["task"], job=c["job"], step=c["step"]
        )
        self.tasks[r] = asyncio.ensure_future(self.work(r, c["work"]))

    async def work(self, r, w):
        await asyncio.sleep(w.get("ms", 100) / 1000 * self.slow)
        while self.stuck:
            await asyncio.sleep(0.2)
        self.check_hold()
        if r not in self.tasks:
            return
        bad = self.rng.random() < w.get("flop", 0) + self.flop
        self.end(r, "bad" if bad else "ok", "flopped" if bad else "well")

    def end(self, r, how, why):
        """A task of ours has ended; told in every beat until it is recorded."""
        t = self.tasks.pop(r, None)
        if t is None:
            return
        self.hist.note("end", w=self.id, run=r, how=how)
        self.ended[r] = (how, why)
        if how == "stopped":
            t.cancel()

    async def guard(self):
        """Stops every task when the hold has run out."""
        while not self.over:
            await asyncio.sleep(self.gap)
            self.check_hold()

    def check_hold(self):
        if self.now() <= self.hold_until or self.lapsed == self.hold_until:
            return
        self.lapsed = self.hold_until
        if not self.keeps:  # cut off, it runs on, and said so when it announced itself
            self.lone = True
            self.hist.note("lone", w=self.id)
            return
        self.hist.note("lapse", w=self.id)
        for r in list(self.tasks):
            self.end(r, "stopped", "hold ran out")
        for r, (how, _) in self.ended.items():  # not told in time: no good end counts
            self.ended[r] = ("stopped" if how == "ok" else how, "hold ran out")

    async def leave(self):
        """Tells that it is leaving until that is acknowledged."""
        self.leaving = True
        for n in range(100):
            a = self.masts[(self.at + n) % len(self.masts)]
            o = await self.web.ask(
                method="POST", addr=a, wait=2.0, body={"boot": self.boot}, path=f"/v1/workers/{self.id}/leave"
            )
            if isinstance(o, tuple) and o[0] == 200:
                self.hist.note("left", w=self.id, boot=self.boot)
                self.left = True
                return True
            await asyncio.sleep(0.2)
        return False

    def crash(self):
        """The worker and all its tasks are gone at once."""
        self.over = True
        self.hist.note("gone", w=self.id)
        for r in list(self.tasks):
            self.tasks.pop(r).cancel()
            self.hist.note("end", w=self.id, run=r, how="killed")
