"""The real daemons behind the platform's adapter, in one seeded simulation: a World whose
machines run the programs that `platform/serve.py` makes of a settings file, with the stand-ins
of the platform in front of them. What is done to a machine is noted for the checker."""

import asyncio
import pathlib
import sys

from platform_machines import AGAIN, MachineTroubles  # noqa: F401 (AGAIN: given on)
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
QUEUE = Queue(host="h.example", prefix="/q/")
URGENT = Queue(host="h.example", prefix="/urgent/")


def table(revision=3, tenants=None, **more):
    rs = [
        F.route("r-q", host=QUEUE.host, prefix=QUEUE.prefix, service="tiles", priority=1),
        F.route("r-u", host=URGENT.host, prefix=URGENT.prefix, service="tiles", priority=0),
    ]
    rs += [F.route(n, host="h.example", prefix=p, service="tiles") for n, p in more.items()]
    services = [F.service("tiles", guards=False)]
    return F.whole(revision=revision, routes=rs, services=services, tenants=tenants)


class PlatformWorld(MachineTroubles, World):
    def __init__(
        self,
        *,
        seed,
        cores=3,
        edges=3,
        zones=3,
        bounds=None,
        workers=8,
        capacity=(8000, 16384, 4),
        tenants=None,
    ):
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
        self.tenants = tenants  # rows of the first configuration; None for one without

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

    def key_of(self, op, n):
        """What gives the n-th client its key: one that its tenant has as far as the operator knows."""
        if self.tenants is None:
            return None
        name, kept = self.tenants[n % len(self.tenants)]["name"], []

        def key():
            kept[:] = F.keys_of(op.config, name) or kept  # of a tenant that has gone, its last
            return kept[-1]

        return key

    async def day(self, *, mix, rate=2.0, seconds=15.0, faults=None, settle=15.0):
        """One day of traffic with what `faults` does in it; the operator and the clients."""
        s, t0 = self.s, self.loop.vt
        self.add_workers(self.first)
        self.start_all()
        watch = asyncio.ensure_future(s.balancer.watch())
        op = s.operator("op")
        await asyncio.sleep(1.0)
        assert await op.put(table(tenants=self.tenants), limit=START)
        await asyncio.sleep(max(0.0, t0 + START - self.loop.vt))
        cs = [
            s.client(f"c{n}", zone=f"z{n + 1}", queue=q, key=self.key_of(op, n))
            for n, q in enumerate((QUEUE, QUEUE, URGENT))
        ]
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
