"""A whole fleet in one seeded simulation: the daemons' own code on simulated
machines, with stand-in workers and requesters. Machines can be killed, paused, cut
off, lose power or disk, and have their wall clock moved."""

import asyncio
import contextvars
import gc
import random

from ..almanac import Almanac
from ..base.params import Params
from ..base.problems import Unsure
from ..desk import Desk
from ..mast import Mast
from ..standins.history import History
from .disk import SimDisk
from .loop import Node, SimLoop
from .net import SimNet
from .stands import StandsMixin

BASE_MS = 1_780_000_000_000  # ms; the true time at the start of every simulation
CPU = (8e-6, 50e-6, 0.1e-6, 215e-6)  # s; a step, a frame, a byte of it, an HTTP ask: measured
DAEMON_PACE, WORKER_PACE = 0.0005, 0.05  # part; how far monotonic clocks differ in pace
ROLES = {"almanac": Almanac, "desk": Desk, "mast": Mast}


class SimSeam:
    def __init__(self, *, world, node):
        self.world, self.node = world, node
        self.rng = random.Random(world.rng.getrandbits(60))
        self.net = world.net.face(node)
        self.disk = world.disks.get(node.machine)

    def now(self):
        return self.world.now_at(self.node.machine)

    def wall(self):
        return int(self.world.true_ms() + self.world.walls.get(self.node.machine, 0))

    def spend(self, *, s):
        if not self.node.cost:
            return 0.0
        self.node.debt += s * self.world.cpu_times
        return s * self.world.cpu_times * self.node.times

    def writer(self, *, name):
        def say(e, **f):
            tail = " ".join(f"{a}={b}" for a, b in f.items())
            self.world.log.append(f"{self.world.loop.vt:.6f} {name} HH{e.no} {tail}")

        return say


class World(StandsMixin):
    def __init__(self, *, seed, shape, almanacs=3, desks=3, masts=None, params=None, build=None):
        gc.collect()  # what an earlier world left must not end in the midst of this one
        self.seed, self.shape, self.rng = seed, shape, random.Random(seed)
        self.loop = SimLoop()
        self.net = SimNet(loop=self.loop, rng=random.Random(self.rng.getrandbits(60)))
        self.net.bare = contextvars.copy_context()
        self.log, self.graves, self.nodes, self.cards = [], [], {}, {}
        self.disks, self.walls, self.bases = {}, {}, {}
        self.cpu_times, self.paces, self.pace_rng = 1.0, {}, random.Random(seed * 31 + 7)
        self.step_s = 0.0  # s of a processor for one step; 0: steps take no time
        self.run_on = 4  # every so manieth worker runs on when it is cut off
        self.extra, self.build = params or {}, build or ROLES
        self.hist = History(now=self.true_ms)
        self.mates, self.mate_nodes = {}, {}
        n = masts or shape.masts
        self.seeds = [f"10.0.0.{i + 1}:7000" for i in range(almanacs)]
        for i in range(almanacs):
            self.add_card(
                f"almanac-{i + 1}",
                "almanac",
                f"core-{i + 1}",
                f"10.0.0.{i + 1}:7000",
                zone=i,
                found=True,
                data="/d",
            )
        for i in range(desks):
            self.add_card(
                f"desk-{i + 1}",
                "desk",
                f"core-{i % almanacs + 1}",
                f"10.0.0.{i % almanacs + 1}:{7100 + i}",
                zone=i,
            )
        for i in range(n):
            self.add_card(
                f"mast-{i + 1}",
                "mast",
                f"edge-{i + 1}",
                f"10.0.1.{i + 1}:7000",
                zone=i,
                http=f"10.0.1.{i + 1}:8000",
            )
        self.masts = [c["http"] for c in self.cards.values() if c["role"] == "mast"]

    def slow_cpus(self, *, times=1.0):
        """Daemons' processors take time, as measured (docs/measurements.md, crowd)."""
        n, self.cpu_times = self.net, times
        self.step_s, n.frame_s, n.byte_s, n.http_s = (x * times for x in CPU)

    def add_card(self, name, role, machine, addr, *, zone, **kw):
        self.cards[name] = dict(
            id=name,
            role=role,
            addr=addr,
            machine=machine,
            zone=f"z{zone % self.shape.zones + 1}",
            seeds=list(self.seeds),
            **kw,
        )
        self.net.home[addr] = machine
        if "http" in kw:
            self.net.home[kw["http"]] = machine
        self.bases.setdefault(machine, self.rng.random() * 1e4)
        if role == "almanac":
            self.disks[machine] = SimDisk(rng=random.Random(self.rng.getrandbits(60)))

    def now_at(self, machine):
        """A machine's own monotonic time: from its own start, and at its own pace."""
        if machine not in self.paces:
            s = WORKER_PACE if machine.startswith("w-") else DAEMON_PACE
            self.paces[machine] = 1 + self.pace_rng.uniform(-s, s)
        return self.loop.vt * self.paces[machine] + self.bases[machine]

    def true_ms(self):
        return BASE_MS + self.loop.vt * 1000

    # --- daemons

    def start(self, name):
        c = dict(self.cards[name])
        m = c.pop("machine")
        node = Node(name=name, machine=m, loop=self.loop)
        node.http = []
        p = Params(
            **c, **({"ring_files": 4, "snap_every": 60} if c["role"] == "almanac" else {}) | self.extra
        )
        d = self.build[c["role"]](params=p, seam=SimSeam(world=self, node=node))
        node.daemon, node.cost = d, self.step_s
        self.nodes[name] = node
        node.run(self.up(node, d))

    async def up(self, node, d):
        try:
            await d.start()
            await d.ended.wait()
        finally:
            if node.alive:
                self.end(node, silent=False)

    def start_all(self):
        for n in self.cards:
            self.start(n)

    def end(self, node, *, silent):
        node.kill()
        self.graves.append(node)
        self.net.down(node, silent=silent)
        for f in node.http:
            if not f.done() and not silent:
                f.set_result(Unsure(why="mast gone"))
        if self.nodes.get(node.name) is node:
            del self.nodes[node.name]

    def kill(self, name):
        if name in self.nodes:
            self.end(self.nodes[name], silent=False)

    def leave(self, name):
        """SIGTERM: the daemon's own graceful end."""
        node = self.nodes[name]

        async def go():
            await node.daemon.leave()
            await node.daemon.stop()
            self.end(node, silent=False)

        return node.run(go())

    def on_machine(self, machine):
        return [n for n, x in self.nodes.items() if x.machine == machine]

    def power_off(self, machine):
        """Everything on the machine is gone at once, and what was not synced with it."""
        names = self.on_machine(machine)
        for n in names:
            self.end(self.nodes[n], silent=True)
        self.net.dark.add(machine)
        if machine in self.disks:
            self.disks[machine].power_cut()
        return names

    def power_on(self, machine, names):
        self.net.dark.discard(machine)
        for n in names:
            if n not in self.nodes:
                self.start(n)

    def pause(self, name, on=True, sockets_first=False):
        if name in self.nodes and on:
            self.nodes[name].pause()
        elif name in self.nodes:
            self.nodes[name].wake(sockets_first=sockets_first)

    def who(self, role, part):
        """The daemons of a role that believe to be `part`."""
        out = []
        for n, x in self.nodes.items():
            if self.cards[n]["role"] == role and hasattr(x.daemon, "rank" if role == "almanac" else "part"):
                v = x.daemon.rank if role == "almanac" else x.daemon.part
                if v == part:
                    out.append(n)
        return out

    async def watch(self):
        """At no moment do two daemons that could act hold one duty, by their own looks."""
        while True:
            await asyncio.sleep(0.02)
            up = [x.daemon for x in self.nodes.values() if x.awake]
            for duty, ds in (
                ("primary", [d for d in up if d.role == "desk" and d.live()]),
                ("clock", [d for d in up if d.role == "almanac" and d.clk and d.clock_live(d.clk)]),
            ):
                if len(ds) > 1:
                    self.hist.note("both", duty=duty, ids=[d.params.id for d in ds])

    def run(self, co, *, limit=3600.0):
        """Runs a scenario to its end, or to `limit` of virtual time."""

        async def go():
            return await asyncio.wait_for(co, limit)

        asyncio.set_event_loop(self.loop)
        try:
            return self.loop.run_until_complete(go())
        finally:
            for n in list(self.nodes.values()) + list(self.mate_nodes.values()):
                n.kill()
                self.graves.append(n)
            self.loop.over = True
            asyncio.set_event_loop(None)
