"""What is done to the machines of a PlatformWorld, noted for the checker: kills, freezes, cuts, SIGTERM."""

import asyncio

AGAIN = 0.5  # s; a process that ended or was killed is started again after this


class MachineTroubles:
    """Troubles of single machines, for a World."""

    def trouble(self, what, name, **d):
        self.lives[name] = self.lives.get(name, 0) + 1
        i = f"{name}/{self.lives[name]}"
        self.hist.note("trouble", what=what, m=name, id=i, **d)
        return i

    async def kill_and_start(self, name, *, power=False):
        i = self.trouble("kill", name)
        if power:
            self.power_off(name)
        else:
            self.kill(name)
        await asyncio.sleep(AGAIN)
        self.net.dark.discard(name)
        self.start(name)
        self.hist.note("calm", id=i)

    async def freeze(self, name, seconds):
        i = self.trouble("freeze", name)
        self.pause(name)
        await asyncio.sleep(seconds)
        self.pause(name, on=False)
        self.hist.note("calm", id=i)

    async def cut_off(self, name, seconds):
        """Off from every other machine and from the workers."""
        others = [n for n in self.cards if n != name] + ["w-" + i for i in self.s.workers]
        for n in others:
            self.net.cut(name, n)
            self.hist.note("cut", id=f"{name}-{n}-{self.loop.vt}", a=name, b=n)
        ids = [f"{name}-{n}-{self.loop.vt}" for n in others]
        await asyncio.sleep(seconds)
        self.net.heal()
        for i in ids:
            self.hist.note("healed", id=i)

    async def roll(self, name):
        """SIGTERM as the adapter's program takes it, and the start after it."""
        i, node = self.trouble("term", name), self.nodes[name]

        async def leave():
            try:
                await asyncio.wait_for(node.daemon.leave(), self.bounds.grace_s / 2)
            except TimeoutError:
                pass
            node.daemon.ended.set()

        node.run(leave())
        end = self.loop.vt + self.bounds.grace_s
        while node.alive and self.loop.vt < end:
            await asyncio.sleep(0.1)
        if node.alive:
            self.kill(name)
        await asyncio.sleep(AGAIN)
        self.start(name)
        self.hist.note("calm", id=i)
