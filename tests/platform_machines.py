"""Faults of machines of a PlatformWorld, noted for the checker: kills, freezes, cuts, SIGTERM."""

import asyncio

AGAIN = 0.5  # s; delay until a process that ended or was killed is started again


class MachineTroubles:
    """Faults of single machines, mixed into a World."""

    def trouble(self, what, name, **details):
        """Notes the start of a fault; the id that its end has to be noted with."""
        self.lives[name] = self.lives.get(name, 0) + 1
        trouble = f"{name}/{self.lives[name]}"
        self.hist.note("trouble", what=what, m=name, id=trouble, **details)
        return trouble

    async def kill_and_start(self, name, *, power=False):
        trouble = self.trouble("kill", name)
        if power:
            self.power_off(name)
        else:
            self.kill(name)
        await asyncio.sleep(AGAIN)
        self.net.dark.discard(name)
        self.start(name)
        self.hist.note("calm", id=trouble)

    async def freeze(self, name, seconds):
        trouble = self.trouble("freeze", name)
        self.pause(name)
        await asyncio.sleep(seconds)
        self.pause(name, on=False)
        self.hist.note("calm", id=trouble)

    async def cut_off(self, name, seconds):
        """Cuts a machine off from all other machines and from the workers."""
        others = [other for other in self.cards if other != name] + [
            "w-" + worker_id for worker_id in self.s.workers
        ]
        for other in others:
            self.net.cut(name, other)
            self.hist.note("cut", id=f"{name}-{other}-{self.loop.virtual_time}", a=name, b=other)
        ids = [f"{name}-{other}-{self.loop.virtual_time}" for other in others]
        await asyncio.sleep(seconds)
        self.net.heal()
        for cut_id in ids:
            self.hist.note("healed", id=cut_id)

    async def roll(self, name):
        """Stops a process gracefully, as the adapter's program does on SIGTERM, and starts it again."""
        trouble, node = self.trouble("term", name), self.nodes[name]

        async def leave():
            try:
                await asyncio.wait_for(node.daemon.leave(), self.bounds.grace_s / 2)
            except TimeoutError:
                pass
            node.daemon.ended.set()

        node.run(leave())
        end = self.loop.virtual_time + self.bounds.grace_s
        while node.alive and self.loop.virtual_time < end:
            await asyncio.sleep(0.1)
        if node.alive:
            self.kill(name)
        await asyncio.sleep(AGAIN)
        self.start(name)
        self.hist.note("calm", id=trouble)
