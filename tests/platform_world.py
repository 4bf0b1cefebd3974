"""The real daemons behind the platform's adapter in one seeded simulation: a World whose machines
run the programs that `platform/serve.py` makes from a settings file, with the simulated platform
in front of them. Faults of machines are noted for the checker."""

import asyncio
import pathlib
import sys

from platform_machines import AGAIN, MachineTroubles  # noqa: F401 (AGAIN: imported by other tests)
from platform_standins import config as F
from platform_standins.bounds import Bounds
from platform_standins.clients import Queue
from platform_standins.rules import judge
from platform_standins.stage import Stage

from hollowhall.sim.disk import SimDisk
from hollowhall.sim.loop import Node
from hollowhall.sim.world import SimRuntime, World
from hollowhall.standins.shapes import Shape

sys.path.insert(1, str(pathlib.Path(__file__).parent.parent / "platform"))

import boot
import serve

PORTS = {"control": 8144, "front": 8149, "readiness": 8141}
INNER = (7380, 7395)
START = 12.0  # s; from the start of the machines to the start of the traffic
QUEUE = Queue(host="h.example", prefix="/q/")
URGENT = Queue(host="h.example", prefix="/urgent/")


def table(revision=3, tenants=None, **more):
    routes = [
        F.route("r-q", host=QUEUE.host, prefix=QUEUE.prefix, service="tiles", priority=1),
        F.route("r-u", host=URGENT.host, prefix=URGENT.prefix, service="tiles", priority=0),
    ]
    routes += [
        F.route(name, host="h.example", prefix=prefix, service="tiles") for name, prefix in more.items()
    ]
    services = [F.service("tiles", guards=False)]
    return F.whole(revision=revision, routes=routes, services=services, tenants=tenants)


class PlatformWorld(MachineTroubles, World):
    """A fleet of controllers (`cores`), gateways (`edges`) and workers behind the adapter."""

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
        hall, addr = role == "hall", lambda kind: f"{ip}:{PORTS[kind]}"
        listeners = ["control"] if hall else ["front", "readiness"]
        bounds = self.bounds
        self.settings[name] = {
            "nodeName": name,
            "ip": ip,
            "zone": f"z{zone}",
            "internalPorts": list(INNER),
            "seedPeers": self.seed_peers,
            "bootstrap": first,
            "quorumMember": hall,
            "dataDir": "/d" if hall else "",
            "listenAddrs": {kind: addr(kind) for kind in listeners},
            "limits": {"diskMb": 128 if hall else 0, "memoryMb": 296},
            "bounds": {
                "holdMaxMs": bounds.hold_max_ms,
                "spreadFactor": bounds.spread_factor,
                "graceS": bounds.grace_s,
                "stopTimeoutMs": bounds.stop_timeout_ms,
                "gangTimeoutMs": bounds.gang_timeout_ms,
            },
        }
        self.cards[name] = {"role": role, "machine": name}
        for address in (f"{ip}:{INNER[0]}", f"{ip}:{INNER[0] + 1}", *map(addr, listeners)):
            self.net.home[address] = name
        self.bases.setdefault(name, self.rng.random() * 1e4)
        self.hist.note("machine", m=name, core=hall)
        for kind in listeners:
            self.hist.note("daemon", addr=addr(kind), m=name)
        if hall:
            self.disks[name] = SimDisk(rng=self.s.draw())
            self.s.controls.append(addr("control"))
        else:
            self.s.balancer.add(front=addr("front"), readiness=addr("readiness"), zone=f"z{zone}")

    # --- programs

    def start(self, name):
        node = Node(name=name, machine=name, loop=self.loop)
        node.http, node.cost = [], self.step_s
        settings = boot.SETTINGS.load(self.settings[name])
        daemon, listeners = serve.make(
            role=self.cards[name]["role"], d=settings, runtime=SimRuntime(world=self, node=node)
        )
        node.daemon, self.nodes[name] = daemon, node
        self.settings[name]["bootstrap"] = False
        node.run(self.live(node, daemon, listeners))

    async def live(self, node, daemon, listeners):
        try:
            await daemon.start()
            for listener in listeners:
                await listener.open()
            await daemon.ended.wait()
        finally:
            if node.alive:
                self.end(node, silent=False)

    def primary(self):
        """The core machine whose scheduler considers itself primary, or an empty string."""
        return next(
            (
                name
                for name, node in self.nodes.items()
                if node.awake and hasattr(node.daemon, "desk") and node.daemon.desk.live()
            ),
            "",
        )

    # --- a day

    def add_workers(self, count):
        for i in range(count):
            self.s.add_worker(
                f"i-{i:04x}",
                zone=f"z{i % 3 + 1}",
                rack=f"r{i % 3 + 1}-1",
                guards=False,
                capacity=self.capacity,
                labels=["a" if i % 2 else "b"],
                pace=(0.98, 1.0, 1.01)[i % 3],
            )

    def key_of(self, operator, index):
        """A function that gives client number `index` a key that its tenant has as far as the operator knows."""
        if self.tenants is None:
            return None
        name, last_keys = self.tenants[index % len(self.tenants)]["name"], []

        def key():
            # the last key known remains in use when the tenant was removed
            last_keys[:] = F.keys_of(operator.config, name) or last_keys
            return last_keys[-1]

        return key

    async def day(self, *, mix, rate=2.0, seconds=15.0, faults=None, settle=15.0):
        """Runs a day of traffic and the coroutine `faults` meanwhile; the operator and the clients."""
        stage, started = self.s, self.loop.virtual_time
        self.add_workers(self.first)
        self.start_all()
        watch = asyncio.ensure_future(stage.balancer.watch())
        operator = stage.operator("op")
        await asyncio.sleep(1.0)
        assert await operator.put(table(tenants=self.tenants), limit=START)
        await asyncio.sleep(max(0.0, started + START - self.loop.virtual_time))
        clients = [
            stage.client(f"c{index}", zone=f"z{index + 1}", queue=queue, key=self.key_of(operator, index))
            for index, queue in enumerate((QUEUE, QUEUE, URGENT))
        ]
        faults_run = asyncio.ensure_future(faults(self, operator, clients)) if faults else None
        await asyncio.gather(
            *(
                client.run(mix=mix, rate=rate / len(clients), seconds=seconds, settle=settle)
                for client in clients
            )
        )
        if faults_run is not None:
            await faults_run
        stage.hist.note("finish")
        await asyncio.sleep(self.bounds.finish_s)
        await asyncio.gather(*(client.ask_all() for client in clients))
        await operator.read_back()
        watch.cancel()
        return operator, clients

    def play(self, **kw):
        """Runs `day`; (violations, final states by job)."""

        async def go():
            return await self.day(**kw)

        try:
            self.run(go(), limit=400.0)
        finally:
            for node in self.s.nodes.values():
                node.kill()
        violations = judge(self.hist.rows, bounds=self.bounds)
        return violations, {
            row["job"]: row.get("state")
            for row in self.s.rows("state_out", final=True)
            if row["status"] == 200
        }
