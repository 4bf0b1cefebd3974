"""Fault injection into real processes, from a seed: daemons killed, stopped and woken, a
machine without power (all its daemons at one moment), a blank or damaged disk, params
read again, a rolling restart, racing operators, a member replaced at another address.
All end by themselves; only the fleet's own processes are touched."""

import asyncio
import os
import random
import shutil
import signal

from ...base.probe import probe

CUTS = ["split", "oneway", "apart", "edge"]  # these need relays between the daemons
KINDS = ["kill", "stop", "power", "blank", "damage", "hup", "roll", "race", "replace"] + CUTS


class Faults:
    def __init__(self, *, fleet, op, op2, hist, say, seed, kinds):
        self.f, self.op, self.op2, self.hist, self.say = fleet, op, op2, hist, say
        self.r, self.kinds = random.Random(seed), kinds

    async def run(self, seconds):
        """One fault after another, with a pause between, until the time is over."""
        end, n = asyncio.get_running_loop().time() + seconds, 0
        while asyncio.get_running_loop().time() < end:
            what = self.kinds[n] if n < len(self.kinds) else self.r.choice(self.kinds)
            n += 1
            self.hist.note("fault", what=what)
            await getattr(self, what)()
            self.hist.note("fault", what=what + " is healed")
            await asyncio.sleep(1.5 + 2 * self.r.random())
        return n

    def up(self, role):
        return [n for n, p in self.f.procs.items() if self.f.cards[n]["role"] == role and p.poll() is None]

    async def lead(self):
        """The store's leader by its own word, to one of our circuits."""
        for n in self.up("almanac"):
            o = await probe(addr=self.f.cards[n]["addr"], op="status", request={}, wait=1.0)
            if o.ok and o.value["state"] == "leader":
                return n
        return self.up("almanac")[0]

    async def primary(self):
        st, v, _ = await self.op.ask("fleet", "GET", "/v1/fleet")
        return (self.f.by_addr(v["primary"]) if st == 200 else None) or self.up("desk")[0]

    async def victim(self):
        x = self.r.random()
        if x < 0.35:
            return await self.primary()
        if x < 0.7:
            return await self.lead()
        return self.r.choice(self.up("mast"))

    async def kill(self):
        n = await self.victim()
        self.say(f"kill {n}")
        self.f.kill(n)
        await asyncio.sleep(self.r.uniform(0.2, 3))
        self.f.start(n)

    async def stop(self):
        n = await self.victim()
        self.say(f"stop {n}, then wake it")
        self.f.pause(n)
        await asyncio.sleep(self.r.uniform(0.5, 6))
        self.f.pause(n, on=False)

    async def power(self):
        n = await self.lead()
        k = n.split("-")[1]
        names = [x for x in (f"almanac-{k}", f"desk-{k}") if x in self.f.procs]
        self.say(f"power off for {', '.join(names)}")
        for x in names:
            self.f.procs[x].send_signal(signal.SIGKILL)
        for x in names:
            self.f.kill(x)
        await asyncio.sleep(self.r.uniform(0.5, 4))
        for x in names:
            self.f.start(x)

    async def healthy(self, secs=20):
        """Until every almanac counts again: one blank disk at a time is our promise."""
        for _ in range(int(secs * 5)):
            ss = [
                await probe(addr=self.f.cards[n]["addr"], op="status", request={}, wait=0.5)
                for n in self.up("almanac")
            ]
            if ss and all(o.ok and not o.value["blank"] for o in ss):
                return
            await asyncio.sleep(0.2)

    async def blank(self, wait=0.5):
        n = self.r.choice(self.up("almanac"))
        self.say(f"a blank disk for {n}")
        self.f.kill(n)
        shutil.rmtree(self.f.cards[n]["data"])
        await asyncio.sleep(wait)
        self.f.start(n)
        await self.healthy()

    async def damage(self):
        """A byte turned in the middle of the ring: it must not start, and says why."""
        n = self.r.choice(self.up("almanac"))
        self.f.kill(n)
        d = self.f.cards[n]["data"]
        for x in sorted(os.listdir(d)):
            p = os.path.join(d, x)
            if x == "snap" or not os.path.isfile(p):
                continue
            with open(p, "r+b") as f:
                b = f.read(4096)
                if len(b.rstrip(b"\0")) > 600:
                    f.seek(200)
                    f.write(bytes([b[200] ^ 0xFF]))
        self.f.start(n)
        for _ in range(50):
            await asyncio.sleep(0.1)
            if self.f.procs[n].poll() is not None:
                break
        self.say(f"damaged ring of {n}: exit {self.f.procs[n].poll()}")
        self.f.kill(n)
        shutil.rmtree(d)
        self.f.start(n)
        await self.healthy()

    async def hup(self):
        n = self.r.choice(self.up("mast"))
        p, keep = os.path.join(self.f.folder, n + ".toml"), dict(self.f.cards[n])
        self.say(f"params of {n} read again, good and bad")
        self.f.cards[n] = keep | {"shed_at": 300}
        self.f.write_params(n)
        self.f.procs[n].send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        with open(p, "a") as f:
            f.write('shed_at = "many"\n')
        self.f.procs[n].send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        self.f.cards[n] = keep
        self.f.write_params(n)

    async def roll(self, env=None):
        self.say("a rolling restart")
        for n in sorted(self.f.procs):
            code = await asyncio.to_thread(self.f.kill, n, signal.SIGTERM)
            if code != 0:
                self.say(f"{n} left with exit {code}")
            self.f.start(n)
            await asyncio.sleep(1.0)
        await self.healthy()

    async def race(self):
        c = await self.op.read()
        if c is not None:
            a = self.r.choice(sorted(self.f.shape.lanes))
            row = dict(c["rows"].get(a) or self.f.shape.lanes[a])
            await asyncio.gather(
                *[
                    op.edit(base=c["version"], rows={a: row | {"weight": w}})
                    for op, w in ((self.op, 2), (self.op2, 3))
                ]
            )

    async def cut(self, what, *ways, secs):
        self.say(f"{what}, {secs:.1f} s")
        for a, b in ways:
            self.f.relays.cut(a, b)
        await asyncio.sleep(secs)
        self.f.relays.heal()

    def core(self, n):
        """The daemons on the machine of almanac n, and all the others."""
        k = n.split("-")[1]
        mine = [x for x in (f"almanac-{k}", f"desk-{k}") if x in self.f.cards]
        return mine, [x for x in self.f.cards if x not in mine]

    async def split(self):
        """The leader's machine from the rest of the core; masts reach both sides."""
        mine, rest = self.core(await self.lead())
        rest = [x for x in rest if not x.startswith("mast")]
        await self.cut(f"{mine[0]} split off", (mine, rest), (rest, mine), secs=self.r.uniform(0.5, 8))

    async def oneway(self):
        """What the leader's machine says is heard by nobody; it hears all."""
        mine, rest = self.core(await self.lead())
        await self.cut(f"{mine[0]} heard by nobody", (mine, rest), secs=self.r.uniform(0.5, 8))

    async def apart(self):
        """The primary's machine is cut off from everything."""
        n = (await self.primary()).replace("desk", "almanac")
        mine, rest = self.core(n)
        await self.cut(f"{mine[-1]} cut off", (mine, rest), (rest, mine), secs=self.r.uniform(0.5, 8))

    async def edge(self):
        """The core is cut from all masts."""
        masts = [x for x in self.f.cards if x.startswith("mast")]
        core = [x for x in self.f.cards if x not in masts]
        await self.cut("core cut from the edge", (masts, core), (core, masts), secs=self.r.uniform(0.5, 6))

    async def replace(self):
        old = self.r.choice(self.up("almanac"))
        new = self.f.add_almanac()
        self.say(f"{new} replaces {old}")
        if self.f.relays is not None:
            await self.f.relays.add(self.f.cards[new])
        self.f.start(new)
        a, b = self.f.cards[old]["addr"], self.f.cards[new]["addr"]
        for _ in range(150):
            v = await self.op.replace(a, b)
            if v and b in v["voters"] and a not in v["voters"]:
                break
            await asyncio.sleep(0.2)
        self.f.kill(old)
