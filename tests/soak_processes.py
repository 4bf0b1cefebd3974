"""The daemons of a soak: the adapter's programs as processes on loopback, each machine an address of
its own, on the real clock. What is done to a process is noted in the history as the checker wants it."""

import asyncio
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).parent.parent
PORTS = (20_000, 30_000)  # below those that the kernel gives to dialling sockets
PORTS_EACH = 19  # ports a machine uses: three listeners and sixteen between daemons
AGAIN_S = 0.5  # s; a process that ended is started again after this
LOOK_S = 0.05  # s; between two looks at a process
CORE, EDGE = "hall", "mast"  # roles


def free_ports(*, rng, net):
    """A row of ports of a network and the sockets that hold it, on the first address, which no machine
    has: another soak of the same seed that runs beside this one takes other ports."""
    while True:
        base, held = rng.randrange(*PORTS), []
        try:
            for port in range(base, base + PORTS_EACH):
                held.append(socket.create_server((f"{net}.1", port)))
            return base, held
        except OSError:
            for taken in held:
                taken.close()


class Machine:
    """One process, started again as often as it ends, and its settings file."""

    def __init__(self, *, name, role, ip, zone, settings, folder, hist):
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.settings, self.folder, self.hist = settings, folder, hist
        self.process, self.busy, self.troubles = None, asyncio.Lock(), 0

    def write_settings(self):
        scalars = {k: v for k, v in self.settings.items() if not isinstance(v, dict)}
        lines = [f"{k} = {json.dumps(v)}" for k, v in scalars.items()]
        for table, values in self.settings.items():
            if isinstance(values, dict):
                lines += [f"[{table}]"] + [f"{k} = {json.dumps(v)}" for k, v in values.items()]
        path = self.folder / f"{self.name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start(self):
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform/serve.py"), self.role],
                cwd=ROOT,
                env={"HOLLOWHALL_SETTINGS": str(self.write_settings()), "PYTHONDONTWRITEBYTECODE": "1"},
                stdout=log,
                stderr=log,
            )
        self.settings["bootstrap"] = False

    async def ended(self, *, seconds):
        """Whether the process ends in so many seconds."""
        for _ in range(int(seconds / LOOK_S)):
            if self.process.poll() is not None:
                return True
            await asyncio.sleep(LOOK_S)
        return self.process.poll() is not None

    def note(self, what):
        self.troubles += 1
        trouble = f"{self.name}/{self.troubles}"
        self.hist.note("trouble", what=what, m=self.name, id=trouble)
        return trouble

    async def kill(self, *, down_s=AGAIN_S):
        async with self.busy:
            trouble = self.note("kill")
            self.process.kill()
            self.process.wait()
            await asyncio.sleep(down_s)
            self.start()
            self.hist.note("calm", id=trouble)

    async def terminate(self, *, grace_s):
        async with self.busy:
            trouble = self.note("term")
            self.process.terminate()
            if not await self.ended(seconds=grace_s):
                self.process.kill()
                self.process.wait()
            await asyncio.sleep(AGAIN_S)
            self.start()
            self.hist.note("calm", id=trouble)

    async def freeze(self, *, seconds):
        async with self.busy:
            trouble = self.note("freeze")
            self.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self.process.send_signal(signal.SIGCONT)
            self.hist.note("calm", id=trouble)

    async def reload(self):
        """SIGHUP, once the process is so far that it takes it."""
        async with self.busy:
            await asyncio.sleep(AGAIN_S)
            self.note("hup")
            self.process.send_signal(signal.SIGHUP)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Processes:
    """All machines of a soak: core ones (store and scheduler) and edge ones (clients' HTTP)."""

    def __init__(self, *, seed, folder, hist, bounds, cores, edges, zones=3):
        self.rng, self.hist, self.bounds, self.folder = random.Random(seed), hist, bounds, folder
        self.net = f"127.{self.rng.randrange(16, 240)}.{self.rng.randrange(1, 250)}"
        (self.base, self.held), self.machines = free_ports(rng=self.rng, net=self.net), {}
        seeds = [f"{self.net}.{10 + n}:{self.base}" for n in range(min(3, cores))]
        for role, count, first_ip in ((CORE, cores, 10), (EDGE, edges, 50)):
            for n in range(count):
                self.add(role, n, ip=f"{self.net}.{first_ip + n}", zone=f"z{n % zones + 1}", seeds=seeds)

    def add(self, role, n, *, ip, zone, seeds):
        core, bounds = role == CORE, self.bounds
        name = f"{'core' if core else 'edge'}-{n + 1}"
        listeners = {"control": 0} if core else {"front": 1, "readiness": 2}
        folder = self.folder / name
        folder.mkdir(parents=True)
        settings = {
            "nodeName": name,
            "ip": ip,
            "zone": zone,
            "internalPorts": [self.base + 3, self.base + PORTS_EACH - 1],
            "seedPeers": seeds,
            "bootstrap": True,
            "quorumMember": core,
            "dataDir": str(folder) if core else "",
            "listenAddrs": {x: f"{ip}:{self.base + at}" for x, at in listeners.items()},
            "limits": {"diskMb": 128 if core else 0, "memoryMb": 296, "fdLimit": 4096},
            "bounds": {
                "holdMaxMs": bounds.hold_max_ms,
                "spreadFactor": bounds.spread_factor,
                "graceS": bounds.grace_s,
                "stopTimeoutMs": bounds.stop_timeout_ms,
                "gangTimeoutMs": bounds.gang_timeout_ms,
            },
        }
        self.machines[name] = Machine(
            name=name, role=role, ip=ip, zone=zone, settings=settings, folder=self.folder, hist=self.hist
        )
        self.hist.note("machine", m=name, core=core)
        for addr in settings["listenAddrs"].values():
            self.hist.note("daemon", addr=addr, m=name)

    def of_role(self, role):
        return [m for m in self.machines.values() if m.role == role]

    def controls(self):
        return [m.settings["listenAddrs"]["control"] for m in self.of_role(CORE)]

    def start(self):
        for machine in self.machines.values():
            machine.start()

    async def ready(self, *, web, limit_s):
        """Until every edge machine says that it is ready."""
        end = time.monotonic() + limit_s
        left = [m.settings["listenAddrs"]["readiness"] for m in self.of_role(EDGE)]
        while left:
            assert time.monotonic() < end, f"not ready: {left}"
            for addr in list(left):
                answer = await web.ask(method="GET", addr=addr, path="/readiness", wait=1.0)
                if isinstance(answer, tuple) and answer[0] == 200:
                    left.remove(addr)
            await asyncio.sleep(LOOK_S)

    def stop(self):
        for machine in self.machines.values():
            machine.stop()
        for port in self.held:
            port.close()

    # --- signals

    async def disturb(self, *, until, pause_s):
        """One signal after the other to any process, several under way at once, until `until` says so."""
        under_way = []
        while not until():
            machine = self.rng.choice([m for m in self.machines.values() if not m.busy.locked()] or [None])
            if machine is not None:
                under_way.append(asyncio.ensure_future(self.one(machine)))
            await asyncio.sleep(pause_s * (0.5 + self.rng.random()))
        await asyncio.gather(*under_way)

    def one(self, machine):
        """A coroutine that does something to a machine."""
        what = self.rng.choice(("kill", "kill", "terminate", "freeze", "reload"))
        if what == "kill":
            return machine.kill(down_s=self.rng.choice((AGAIN_S, AGAIN_S, 2.0)))
        if what == "terminate":
            return machine.terminate(grace_s=self.bounds.grace_s)
        if what == "freeze":
            return machine.freeze(seconds=self.rng.choice((0.5, 1.5, 4.0)))
        return machine.reload()
