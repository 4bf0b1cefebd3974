"""The real daemons behind the platform's adapter, in one seeded simulation: a World whose
machines run the programs that `platform/serve.py` makes of a settings file, with the stand-ins
of the platform in front of them. What is done to a machine is noted for the checker."""

import asyncio
import pathlib
import sys

from platform_standins import config as F
from platform_standins.bounds import Bounds
from platform_standins.clients import Queue
from platform_standins.rules import judge
from platform_standins.stage import Stage

from hollowhall.sim.disk import SimDisk
from hollowhall.sim.loop import Node
from hollowhall.sim.world import SimSeam, World
from hollowhall.standins.shapes import Shape

sys.path.insert(1, str(pathlib.Path(__file__).parent.parent / "platform"))

import boot
import serve

PORTS = {"control": 8144, "front": 8149, "readiness": 8141}
INNER = (7380, 7395)
START = 12.0  # s; from the start of the machines to that of the traffic
AGAIN = 0.5  # s; a process that ended or was killed is started again after this
QUEUE = Queue(host="h.example", prefix="/q/")
URGENT = Queue(host="h.example", prefix="/urgent/")


def table(revision=3, **more):
    rs = [
        F.route("r-q", host=QUEUE.host, prefix=QUEUE.prefix, service="tiles", priority=1),
        F.route("r-u", host=URGENT.host, prefix=URGENT.prefix, service="tiles", priority=0),
    ]
    rs += [F.route(n, host="h.example", prefix=p, service="tiles") for n, p in more.items()]
    return F.whole(revision=revision, routes=rs, services=[F.service("tiles", guards=False)])


class PlatformWorld(World):
    def __init__(self, *, seed, cores=3, edges=3, zones=3, bounds=None, workers=8, capacity=(8000, 16384, 4)):
        super().__init__(
            seed=seed,
            almanacs=0,
            desks=0,
            shape=Shape(name="platform", zones=zones, masts=0, workers=[], lanes={}),
        )
        self.bounds, self.settings, self.lives = bounds or Bounds(), {}, {}
        self.s = Stage(seed=seed * 31 + 5, loop=self.loop, net=self.net, hist=self.hist, bounds=self.bounds)
        self.seed_peers = [f"10.0.0.{i + 1}:{PORTS['control']}" for i in range(min(3, cores))]
        for i in range(cores):
            self.add_machine("hall", f"core-{i + 1}", f"10.0.0.{i + 1}", zone=i % zones + 1)
        for i in range(edges):
            self.add_machine("mast", f"edge-{i + 1}", f"10.0.1.{i + 1}", zone=i % zones + 1)
        self.first, self.capacity = workers, capacity

    def add_machine(self, role, name, ip, *, zone, first=True):
        hall, addr = role == "hall", lambda x: f"{ip}:{PORTS[x]}"
        doors = ["control"] if hall else ["front", "readiness"]
        b = self.bounds
        self.settings[name] = {
            "nodeName": name,
            "ip": ip,
            "zone": f"z{zone}",
            "internalPorts": list(INNER),
            "seedPeers": self.seed_peers,
            "bootstrap": first,
            "quorumMember": hall,
            "dataDir": "/d" if hall else "",
            "listenAddrs": {x: addr(x) for x in doors},
            "limits": {"diskMb": 128 if hall else 0, "memoryMb": 296},
            "bounds": {
                "holdMaxMs": b.hold_max_ms,
                "spreadFactor": b.spread_factor,
                "graceS": b.grace_s,
                "stopTimeoutMs": b.stop_timeout_ms,
                "gangTimeoutMs": b.gang_timeout_ms,
            },
        }
        self.cards[name] = {"role": role, "machine": name}
        for a in (f"{ip}:{INNER[0]}", f"{ip}:{INNER[0] + 1}", *map(addr, doors)):
            self.net.home[a] = name
        self.bases.setdefault(name, self.rng.random() * 1e4)
        self.hist.note("machine", m=name, core=hall)
        for x in doors:
            self.hist.note("daemon", addr=addr(x), m=name)
        if hall:
            self.disks[name] = SimDisk(rng=self.s.draw())
            self.s.controls.append(addr("control"))
        else:
            self.s.balancer.add(front=addr("front"), readiness=addr("readiness"), zone=f"z{zone}")

    # --- programs

    def start(self, name):
        node = Node(name=name, machine=name, loop=self.loop)
        node.http, node.cost = [], self.step_s
        d = boot.SETTINGS.load(self.settings[name])
        x, doors = serve.make(role=self.cards[name]["role"], d=d, seam=SimSeam(world=self, node=node))
        node.daemon, self.nodes[name] = x, node
        self.settings[name]["bootstrap"] = False
        node.run(self.live(node, x, doors))

    async def live(self, node, x, doors):
        try:
            await x.start()
            for d in doors:
                await d.open()
            await x.ended.wait()
        finally:
            if node.alive:
                self.end(node, silent=False)

    def primary(self):
        """The core machine that decides, by its own look."""
        return next(
            (
                n
                for n, x in self.nodes.items()
                if x.awake and hasattr(x.daemon, "desk") and x.daemon.desk.live()
            ),
            "",
        )

    # --- what is done to machines

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

    # --- a day

    def add_workers(self, n):
        for i in range(n):
            self.s.add_worker(
                f"i-{i:04x}",
                zone=f"z{i % 3 + 1}",
                rack=f"r{i % 3 + 1}-1",
                guards=False,
                capacity=self.capacity,
                labels=["a" if i % 2 else "b"],
                pace=(0.98, 1.0, 1.01)[i % 3],
            )

    async def day(self, *, mix, rate=2.0, seconds=15.0, faults=None, settle=15.0):
        """One day of traffic with what `faults` does in it; the operator and the clients."""
        s, t0 = self.s, self.loop.vt
        self.add_workers(self.first)
        self.start_all()
        watch = asyncio.ensure_future(s.balancer.watch())
        op = s.operator("op")
        await asyncio.sleep(1.0)
        assert await op.put(table(), limit=START)
        await asyncio.sleep(max(0.0, t0 + START - self.loop.vt))
        cs = [s.client(f"c{n}", zone=f"z{n + 1}", queue=q) for n, q in enumerate((QUEUE, QUEUE, URGENT))]
        bad = asyncio.ensure_future(faults(self, op, cs)) if faults else None
        await asyncio.gather(
            *(c.run(mix=mix, rate=rate / len(cs), seconds=seconds, settle=settle) for c in cs)
        )
        if bad is not None:
            await bad
        s.hist.note("finish")
        await asyncio.sleep(self.bounds.finish_s)
        await asyncio.gather(*(c.ask_all() for c in cs))
        await op.read_back()
        watch.cancel()
        return op, cs

    def play(self, **kw):
        """Plays a day; (violations, final states by job)."""

        async def go():
            return await self.day(**kw)

        try:
            self.run(go(), limit=400.0)
        finally:
            for n in self.s.nodes.values():
                n.kill()
        bad = judge(self.hist.rows, bounds=self.bounds)
        return bad, {
            r["job"]: r.get("state") for r in self.s.rows("state_out", final=True) if r["status"] == 200
        }
