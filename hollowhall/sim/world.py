"""A whole fleet in one seeded simulation: the daemons' own code on simulated machines, with
simulated workers and clients. Machines can be killed, paused or cut off, lose power or their
disk, and have their wall clock moved."""

import asyncio
import contextvars
import gc
import random

from ..almanac import StoreMember
from ..base.params import DaemonSettings
from ..base.problems import Unsure
from ..desk import Desk
from ..mast import Mast
from ..standins.history import History
from .disk import SimDisk
from .loop import Node, SimLoop
from .net import SimNet
from .stands import SimulatedClientsMixin

BASE_MS = 1_780_000_000_000  # true time at the start of every simulation
CPU = (8e-6, 50e-6, 0.1e-6, 215e-6)  # s of CPU time: a callback, a frame, a byte of a frame, an HTTP request
DAEMON_PACE, WORKER_PACE = 0.0005, 0.05  # fraction by which the rates of monotonic clocks differ
ROLES = {"almanac": StoreMember, "desk": Desk, "mast": Mast}


class SimRuntime:
    """The runtime of one simulated process: clocks, random numbers, network, disk and log."""

    def __init__(self, *, world, node):
        self.world, self.node = world, node
        self.rng = random.Random(world.rng.getrandbits(60))
        self.net = world.net.face(node)
        self.disk = world.disks.get(node.machine)

    def now(self):
        return self.world.now_at(self.node.machine)

    def wall(self):
        return int(self.world.true_ms() + self.world.wall_offsets_ms.get(self.node.machine, 0))

    def spend(self, *, s):
        """Charges `s` seconds of CPU time to the process; the seconds that were charged."""
        if not self.node.cost:
            return 0.0
        self.node.owed_s += s * self.world.cpu_times
        return s * self.world.cpu_times * self.node.times

    def writer(self, *, name):
        def write(log_event, **fields):
            tail = " ".join(f"{field}={value}" for field, value in fields.items())
            self.world.log.append(f"{self.world.loop.virtual_time:.6f} {name} HH{log_event.number} {tail}")

        return write


class World(SimulatedClientsMixin):
    """A simulated fleet: its machines, its processes (`nodes`, by name), its log and its history."""

    def __init__(self, *, seed, shape, almanacs=3, desks=3, masts=None, settings=None, build=None):
        gc.collect()  # objects of an earlier World must not be finalized during this one
        self.seed, self.shape, self.rng = seed, shape, random.Random(seed)
        self.loop = SimLoop()
        self.net = SimNet(loop=self.loop, rng=random.Random(self.rng.getrandbits(60)))
        self.net.outside_context = contextvars.copy_context()
        self.log, self.ended_nodes, self.nodes, self.cards = [], [], {}, {}
        self.disks, self.wall_offsets_ms, self.bases = {}, {}, {}
        self.cpu_times, self.clock_rates, self.pace_rng = 1.0, {}, random.Random(seed * 31 + 7)
        self.step_s = 0.0  # s of CPU time of one callback; 0: callbacks take no time
        self.lease_ignored_by_one_in = 4  # one worker in so many keeps running tasks without a lease
        self.extra, self.build = settings or {}, build or ROLES
        self.hist = History(now=self.true_ms)
        self.mates, self.worker_nodes = {}, {}
        gateways = masts or shape.masts
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
        for i in range(gateways):
            self.add_card(
                f"mast-{i + 1}",
                "mast",
                f"edge-{i + 1}",
                f"10.0.1.{i + 1}:7000",
                zone=i,
                http=f"10.0.1.{i + 1}:8000",
            )
        self.masts = [card["http"] for card in self.cards.values() if card["role"] == "mast"]

    def slow_cpus(self, *, times=1.0):
        """Makes the daemons' callbacks take CPU time, as measured (docs/measurements.md, crowd)."""
        net, self.cpu_times = self.net, times
        self.step_s, net.frame_s, net.byte_s, net.http_s = (cost * times for cost in CPU)

    def add_card(self, name, role, machine, addr, *, zone, **more):
        """Defines a daemon, which `start` starts; `more` are settings of its role."""
        self.cards[name] = dict(
            id=name,
            role=role,
            addr=addr,
            machine=machine,
            zone=f"z{zone % self.shape.zones + 1}",
            seeds=list(self.seeds),
            **more,
        )
        self.net.home[addr] = machine
        if "http" in more:
            self.net.home[more["http"]] = machine
        self.bases.setdefault(machine, self.rng.random() * 1e4)
        if role == "almanac":
            self.disks[machine] = SimDisk(rng=random.Random(self.rng.getrandbits(60)))

    def now_at(self, machine):
        """The monotonic time of a machine in s, with its own origin and rate."""
        if machine not in self.clock_rates:
            max_difference = WORKER_PACE if machine.startswith("w-") else DAEMON_PACE
            self.clock_rates[machine] = 1 + self.pace_rng.uniform(-max_difference, max_difference)
        return self.loop.virtual_time * self.clock_rates[machine] + self.bases[machine]

    def true_ms(self):
        return BASE_MS + self.loop.virtual_time * 1000

    # --- daemons

    def start(self, name):
        card = dict(self.cards[name])
        machine = card.pop("machine")
        node = Node(name=name, machine=machine, loop=self.loop)
        node.http = []
        settings = DaemonSettings(
            **card, **({"ring_files": 4, "snap_every": 60} if card["role"] == "almanac" else {}) | self.extra
        )
        daemon = self.build[card["role"]](settings=settings, runtime=SimRuntime(world=self, node=node))
        node.daemon, node.cost = daemon, self.step_s
        self.nodes[name] = node
        node.run(self.up(node, daemon))

    async def up(self, node, daemon):
        """Runs a daemon until it ends."""
        try:
            await daemon.start()
            await daemon.ended.wait()
        finally:
            if node.alive:
                self.end(node, silent=False)

    def start_all(self):
        for name in self.cards:
            self.start(name)

    def end(self, node, *, silent):
        """Ends a process; its peers get no reset if `silent`, as after a power cut."""
        node.kill()
        self.ended_nodes.append(node)
        self.net.down(node, silent=silent)
        for answer in node.http:
            if not answer.done() and not silent:
                answer.set_result(Unsure(why="mast gone"))
        if self.nodes.get(node.name) is node:
            del self.nodes[node.name]

    def kill(self, name):
        if name in self.nodes:
            self.end(self.nodes[name], silent=False)

    def leave(self, name):
        """Stops a daemon gracefully, as SIGTERM does."""
        node = self.nodes[name]

        async def go():
            await node.daemon.leave()
            await node.daemon.stop()
            self.end(node, silent=False)

        return node.run(go())

    def on_machine(self, machine):
        return [name for name, node in self.nodes.items() if node.machine == machine]

    def power_off(self, machine):
        """Ends everything on a machine at once; data not synced may be lost. Returns the daemons' names."""
        names = self.on_machine(machine)
        for name in names:
            self.end(self.nodes[name], silent=True)
        self.net.dark.add(machine)
        if machine in self.disks:
            self.disks[machine].power_cut()
        return names

    def power_on(self, machine, names):
        self.net.dark.discard(machine)
        for name in names:
            if name not in self.nodes:
                self.start(name)

    def pause(self, name, on=True, sockets_first=False):
        if name in self.nodes and on:
            self.nodes[name].pause()
        elif name in self.nodes:
            self.nodes[name].wake(sockets_first=sockets_first)

    def who(self, role, part):
        """Names of the daemons of a role that consider themselves `part` (leader, primary)."""
        names = []
        for name, node in self.nodes.items():
            if self.cards[name]["role"] == role and hasattr(
                node.daemon, "election_role" if role == "almanac" else "part"
            ):
                state = node.daemon.election_role if role == "almanac" else node.daemon.part
                if state == part:
                    names.append(name)
        return names

    async def watch(self):
        """Notes a violation whenever two running daemons both consider themselves primary or clock leader."""
        while True:
            await asyncio.sleep(0.02)
            running = [node.daemon for node in self.nodes.values() if node.awake]
            for duty, daemons in (
                ("primary", [daemon for daemon in running if daemon.role == "desk" and daemon.live()]),
                (
                    "clock",
                    [
                        daemon
                        for daemon in running
                        if daemon.role == "almanac" and daemon.clk and daemon.clock_live(daemon.clk)
                    ],
                ),
            ):
                if len(daemons) > 1:
                    self.hist.note("both", duty=duty, ids=[daemon.settings.id for daemon in daemons])

    def run(self, coroutine, *, limit=3600.0):
        """Runs a coroutine to its end, at most `limit` s of virtual time; its result. Ends the simulation."""

        async def with_limit():
            return await asyncio.wait_for(coroutine, limit)

        asyncio.set_event_loop(self.loop)
        try:
            return self.loop.run_until_complete(with_limit())
        finally:
            for node in list(self.nodes.values()) + list(self.worker_nodes.values()):
                node.kill()
                self.ended_nodes.append(node)
            self.loop.over = True
            asyncio.set_event_loop(None)
