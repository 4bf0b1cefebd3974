"""Faults of the network: machines cut off in one or both directions, and slow paths."""

import asyncio


class NetFaults:
    """Network faults, mixed into Faults."""

    async def cut(self, pairs, seconds, both=True):
        """Cuts the paths from each source to its target, and back if `both`, for some seconds."""
        pairs = [(source, target) for source, target in pairs if source != target]
        for source, target in pairs:
            self.world.net.cut(source, target, both=both)
        await asyncio.sleep(seconds)
        for source, target in pairs:
            self.world.net.cuts.discard((source, target))
            if both:
                self.world.net.cuts.discard((target, source))

    def machines(self):
        """Names of all machines of daemons and workers."""
        return sorted({card["machine"] for card in self.world.cards.values()}) + [
            "w-" + worker_id for worker_id in sorted(self.world.mates)
        ]

    async def split_core(self, rng):
        machine = f"core-{rng.randint(1, 3)}"
        await self.cut([(machine, f"core-{i}") for i in (1, 2, 3)], rng.uniform(0.5, 9))

    async def split_leader(self, rng):
        leader = self.pick(rng, self.world.who("almanac", "leader"), "almanac-1")
        machine = self.world.cards[leader]["machine"]
        await self.cut([(machine, f"core-{i}") for i in (1, 2, 3)], rng.uniform(0.5, 9))

    async def isolate_core(self, rng):
        machine = f"core-{rng.randint(1, 3)}"
        await self.cut([(machine, other) for other in self.machines()], rng.uniform(0.5, 9))

    async def isolate_edge(self, rng):
        machine = f"edge-{rng.randint(1, self.world.shape.masts)}"
        await self.cut([(machine, other) for other in self.machines()], rng.uniform(0.5, 9))

    async def core_from_edge(self, rng):
        await self.cut(
            [
                (f"core-{i}", other)
                for i in (1, 2, 3)
                for other in self.machines()
                if not other.startswith("core")
            ],
            rng.uniform(0.5, 7),
        )

    async def cut_one_way(self, rng):
        machines = self.machines()
        machine = rng.choice([other for other in machines if other.startswith(("core", "edge"))])
        await self.cut(
            [(machine, other) if rng.random() < 0.5 else (other, machine) for other in machines],
            rng.uniform(0.5, 9),
            both=False,
        )

    async def slow_net(self, rng):
        machine = rng.choice(self.machines())
        self.world.net.slow[machine] = rng.uniform(0.01, 0.4)
        await asyncio.sleep(rng.uniform(1, 8))
        self.world.net.slow.pop(machine, None)
