"""Faults of the network: cuts of one machine or several, both ways or one, and slow paths."""

import asyncio


class NetFaults:
    async def cut(self, pairs, secs, both=True):
        pairs = [(a, b) for a, b in pairs if a != b]
        for a, b in pairs:
            self.w.net.cut(a, b, both=both)
        await asyncio.sleep(secs)
        for a, b in pairs:
            self.w.net.cuts.discard((a, b))
            if both:
                self.w.net.cuts.discard((b, a))

    def machines(self):
        return sorted({c["machine"] for c in self.w.cards.values()}) + [
            "w-" + i for i in sorted(self.w.mates)
        ]

    async def split_core(self, r):
        m = f"core-{r.randint(1, 3)}"
        await self.cut([(m, f"core-{i}") for i in (1, 2, 3)], r.uniform(0.5, 9))

    async def split_leader(self, r):
        n = self.pick(r, self.w.who("almanac", "leader"), "almanac-1")
        m = self.w.cards[n]["machine"]
        await self.cut([(m, f"core-{i}") for i in (1, 2, 3)], r.uniform(0.5, 9))

    async def isolate_core(self, r):
        m = f"core-{r.randint(1, 3)}"
        await self.cut([(m, x) for x in self.machines()], r.uniform(0.5, 9))

    async def isolate_edge(self, r):
        m = f"edge-{r.randint(1, self.w.shape.masts)}"
        await self.cut([(m, x) for x in self.machines()], r.uniform(0.5, 9))

    async def core_from_edge(self, r):
        await self.cut(
            [(f"core-{i}", x) for i in (1, 2, 3) for x in self.machines() if not x.startswith("core")],
            r.uniform(0.5, 7),
        )

    async def cut_one_way(self, r):
        ms = self.machines()
        m = r.choice([x for x in ms if x.startswith(("core", "edge"))])
        await self.cut([(m, x) if r.random() < 0.5 else (x, m) for x in ms], r.uniform(0.5, 9), both=False)

    async def slow_net(self, r):
        m = r.choice(self.machines())
        self.w.net.slow[m] = r.uniform(0.01, 0.4)
        await asyncio.sleep(r.uniform(1, 8))
        self.w.net.slow.pop(m, None)
