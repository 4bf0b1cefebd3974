"""Faults of workers, requesters and operators, beside those of daemons and network."""

import asyncio

from ..standins import shapes as S
from .faults import Faults


class AllFaults(Faults):
    def mate(self, r):
        return r.choice(sorted(self.w.mates)) if self.w.mates else None

    async def mate_crash(self, r):
        i = self.mate(r)
        if i is None:
            return
        m = self.w.mates[i]
        card = (m.id, m.kind, m.zone, m.rack, m.room)
        self.w.crash_mate(i)
        await asyncio.sleep(r.uniform(0.1, 12))
        if i not in self.w.mates:
            self.w.add_mate(card)

    async def knob(self, r, name, v, back):
        i = self.mate(r)
        if i is None:
            return
        m = self.w.mates[i]
        setattr(m, name, v)
        await asyncio.sleep(r.uniform(3, 12))
        setattr(m, name, back)

    async def mate_slow(self, r):
        await self.knob(r, "slow", r.uniform(3, 10), 1.0)

    async def mate_flop(self, r):
        await self.knob(r, "flop", r.uniform(0.5, 1), 0.0)

    async def mate_stuck(self, r):
        await self.knob(r, "stuck", True, False)

    async def mate_freeze(self, r):
        i = self.mate(r)
        if i is None:
            return
        node = self.w.mate_nodes[i]
        self.w.hist.note("freeze", w=i)
        node.pause()
        await asyncio.sleep(r.uniform(0.5, 14))
        if node.alive:
            self.w.hist.note("thaw", w=i)
        node.wake()

    async def mate_leave(self, r):
        """Withdrawn at short notice: it tells, and some seconds later it is gone."""
        i = self.mate(r)
        if i is None or self.w.mates[i].leaving:
            return
        m = self.w.mates[i]
        card = (m.id, m.kind, m.zone, m.rack, m.room)
        self.w.mate_nodes[i].run(m.leave())
        await asyncio.sleep(r.uniform(2.5, 8))
        if self.w.mates.get(i) is m:
            self.w.crash_mate(i)
            await asyncio.sleep(r.uniform(0.5, 5))
            if i not in self.w.mates:
                self.w.add_mate(card)

    async def mate_cut(self, r):
        i = self.mate(r)
        if i is not None:
            await self.cut([("w-" + i, x) for x in self.machines()], r.uniform(1, 15))

    async def mate_run_on(self, r):
        """A worker that runs on is cut off, at work, for longer than its hold."""
        ms = sorted(i for i, m in self.w.mates.items() if not m.keeps)
        for _ in range(30):
            busy = [i for i in ms if i in self.w.mates and self.w.mates[i].tasks]
            if busy:
                await self.cut([("w-" + r.choice(busy), x) for x in self.machines()], r.uniform(8, 16))
                return
            await asyncio.sleep(0.1)

    async def mate_vanish(self, r):
        """Gone for good without a word. An operator says so: too early, and again."""
        i = self.mate(r)
        if i is None:
            return
        m = self.w.mates[i]
        await self.ops[0].gone(i)
        self.w.crash_mate(i)
        t0 = self.w.loop.vt
        while self.w.loop.vt - t0 < 30 and await self.ops[0].gone(i) not in (200, 404):
            await asyncio.sleep(1.0)
        await asyncio.sleep(r.uniform(0.1, 5))
        if i not in self.w.mates:
            self.w.add_mate((m.id, m.kind, m.zone, m.rack, m.room))

    # --- requesters

    def send(self, body, **kw):
        self.extra.append(
            asyncio.ensure_future(self.req.one(body=body, until=self.w.loop.vt + self.calm + 15, **kw))
        )

    async def burst(self, r):
        make = [m for m, _ in self.w.shape.mix[:3]]
        for _ in range(r.randint(40, 120)):
            self.send(r.choice(make)(self.req.rng))
            await asyncio.sleep(0.005)

    def kind(self, n=0):
        return self.w.shape.workers[n]

    async def fat(self, r):
        """Jobs with much in them: together more than one turn, one more than any."""
        for _n in range(8):
            s = S.step("fat", self.kind()[0], 100)
            s["work"]["load"] = "x" * r.choice((200_000, 400_000, 1_200_000))
            self.send({"lane": sorted(self.w.shape.lanes)[0], "steps": [s]})

    async def huge(self, r):
        """Jobs at the limit of tasks, one of them cancelled at times."""
        k = self.kind()[0]
        for _n in range(r.randint(1, 2)):
            self.send(
                {
                    "lane": sorted(self.w.shape.lanes)[0],
                    "steps": [
                        S.step("many", k, 60, tasks=4900, room=S.room(1, 64)),
                        S.step("last", k, 100, after=["many"], tasks=100),
                    ],
                },
                cancel=r.random() < 0.3,
            )

    async def urgent(self, r):
        lane = max(self.w.shape.lanes, key=lambda a: self.w.shape.lanes[a]["urgency"])
        for _ in range(5):
            self.send({"lane": lane, "steps": [S.step("now", self.kind()[0], 400, tasks=4)]})

    async def large(self, r):
        k = self.kind()
        self.send(
            {
                "lane": sorted(self.w.shape.lanes)[0],
                "steps": [S.step("whole", k[0], 1500, tasks=2, room=S.room(k[2], k[3] // 2))],
            }
        )

    async def impossible(self, r):
        self.send(
            {
                "lane": sorted(self.w.shape.lanes)[0],
                "steps": [S.step("never", self.kind()[0], 100, room=S.room(4000))],
            },
            cancel=r.random() < 0.5,
        )

    async def timed(self, r):
        """Jobs that must not start before a moment, and some that fail before that."""
        for _ in range(6):
            self.send(
                {
                    "lane": sorted(self.w.shape.lanes)[0],
                    "notBefore": int(self.w.true_ms() + r.uniform(500, 6000)),
                    "steps": [
                        S.step("at", self.kind()[0], 200, tasks=2, flop=0.4, maxFailures=4, backoffMs=400)
                    ],
                }
            )

    async def racked(self, r):
        w = r.choice([c for c in S.crew_of(self.w.shape) if c[1] == self.kind()[0]])
        for lost in ("auto", "wait", "restart", "auto"):
            self.send(
                {
                    "lane": sorted(self.w.shape.lanes)[0],
                    "steps": [
                        S.step("here", w[1], 600, tasks=5, rack=w[3], spread={"perWorker": 1}, ifLost=lost),
                        S.step("there", w[1], 300, tasks=4, zone=w[2], spread={"perRack": 2}),
                    ],
                }
            )

    async def cancels(self, r):
        for _ in range(12):
            self.send(
                {
                    "lane": sorted(self.w.shape.lanes)[0],
                    "steps": [
                        S.step("a", self.kind()[0], r.choice((2500, 20_000)), tasks=3),
                        S.step("b", self.kind()[0], 500, after=["a"]),
                    ],
                },
                cancel=True,
            )
            await asyncio.sleep(0.1)

    # --- operators

    async def edit_one(self, op, r, rows):
        c = await op.read()
        if c is not None:
            await op.edit(base=c["version"], rows=rows)

    async def edit_storm(self, r):
        for _ in range(20):
            a = r.choice(sorted(self.w.shape.lanes))
            await self.edit_one(self.ops[0], r, {a: self.w.shape.lanes[a] | {"weight": r.randint(1, 9)}})
            await asyncio.sleep(0.05)

    async def edit_race(self, r):
        for _ in range(5):
            a = r.choice(sorted(self.w.shape.lanes))
            row = self.w.shape.lanes[a]
            await asyncio.gather(
                *[self.edit_one(op, r, {a: row | {"limit": r.choice((0, 6, 12, 40))}}) for op in self.ops]
            )
        c = await self.ops[0].read()
        if c is not None:
            await self.ops[0].edit(base=c["version"], rows=self.w.shape.lanes)

    async def wide_table(self, r):
        """The whole table at its limit, then a storm and a race of edits upon it."""
        rows = {
            f"wide-{i}": {"weight": 1, "limit": i % 90, "urgency": i % 9}
            for i in range(20_000 - len(self.w.shape.lanes))
        }
        lanes = self.w.shape.lanes
        c = await self.ops[1].read()
        if c is not None:
            await self.ops[1].edit(base=c["version"], rows=rows | lanes, whole=True)
        await asyncio.gather(self.edit_storm(r), self.edit_race(r))
        c = await self.ops[1].read()
        if c is not None:
            await self.ops[1].edit(base=c["version"], rows=lanes, whole=True)

    async def big_table(self, r):
        rows = {f"extra-{i}": {"weight": 1, "limit": i, "urgency": i % 9} for i in range(3000)}
        await self.edit_one(self.ops[1], r, rows)
