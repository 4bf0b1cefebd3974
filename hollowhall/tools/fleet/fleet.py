"""A whole fleet on one machine: every daemon a process of its own, on loopback,
with params files as on a real machine. `Fleet` starts, kills and restarts them;
fleet.json tells crew, crowd and the operators' commands where the masts are."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

from ...base.problems import BadInput, Raised

ROLE_FLAG = {"almanac": "a", "desk": "d", "mast": "m"}


PORTS, BLOCK = (12_000, 32_000), 125  # ports; below those that systems give to dialling
# sockets, and a block for each process that asks
TAKEN = set()


def free_ports(n):
    """Ports that nobody listens at, and that no dialling socket will be given before the
    daemons listen there."""
    out, start = [], os.getpid() % ((PORTS[1] - PORTS[0]) // BLOCK) * BLOCK
    for k in range(PORTS[1] - PORTS[0]):
        p = PORTS[0] + (start + k) % (PORTS[1] - PORTS[0])
        if len(out) == n:
            break
        if p in TAKEN:
            continue
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind(("127.0.0.1", p))
            except OSError:
                continue
        TAKEN.add(p)
        out.append(p)
    return out


class Fleet:
    def __init__(self, *, shape, folder, almanacs=3, desks=3, program=None, relays=None):
        self.relays = relays  # when given, daemons are known by its addresses
        self.shape, self.folder, self.procs, self.cards = shape, folder, {}, {}
        self.program = program or [sys.executable, "-m", "hollowhall"]
        os.makedirs(folder, exist_ok=True)
        names = [f"almanac-{i + 1}" for i in range(almanacs)]
        names += [f"desk-{i + 1}" for i in range(desks)]
        names += [f"mast-{i + 1}" for i in range(shape.masts)]
        ports = free_ports(2 * len(names) + shape.masts)
        self.binds = [f"127.0.0.1:{p}" for p in ports[len(names) + shape.masts :]]
        self.seeds = [f"127.0.0.1:{p}" for p in ports[:almanacs]]
        for i, n in enumerate(names):
            role = n.split("-")[0]
            self.cards[n] = {
                "id": n,
                "role": role,
                "addr": f"127.0.0.1:{ports[i]}",
                "zone": f"z{i % shape.zones + 1}",
                "seeds": self.seeds,
            }
            if role == "mast":
                self.cards[n]["http"] = f"127.0.0.1:{ports[len(names) + i - almanacs - desks]}"
            if role == "almanac":
                self.cards[n] |= {"data": os.path.join(folder, n), "found": True}
            if relays is not None:
                self.cards[n]["bind"] = self.binds[i]
            self.write_params(n)
        self.masts = [c["http"] for c in self.cards.values() if c["role"] == "mast"]
        with open(os.path.join(folder, "fleet.json"), "w") as f:
            json.dump({"shape": shape.name, "masts": self.masts, "daemons": self.cards}, f, indent=1)

    def add_almanac(self):
        """A blank almanac at another address, to join the store."""
        k = 1 + max(int(n.split("-")[1]) for n in self.cards if n.startswith("almanac"))
        n, (port, bind) = f"almanac-{k}", free_ports(2)
        self.cards[n] = {
            "id": n,
            "role": "almanac",
            "addr": f"127.0.0.1:{port}",
            "zone": "z1",
            "seeds": self.seeds,
            "data": os.path.join(self.folder, n),
            "join": True,
        }
        if self.relays is not None:
            self.cards[n]["bind"] = f"127.0.0.1:{bind}"
        self.write_params(n)
        return n

    def write_params(self, n):
        with open(os.path.join(self.folder, n + ".toml"), "w") as f:
            for a, b in self.cards[n].items():
                f.write(f"{a} = {json.dumps(b)}\n")

    def start(self, n, old=None):
        """Starts a daemon; `old` is the folder of another version's checkout."""
        log = open(os.path.join(self.folder, n + ".log"), "ab")
        cmd = [*self.program, self.cards[n]["role"], "--params", os.path.join(self.folder, n + ".toml")]
        kw = {"cwd": old, "env": os.environ | {"PYTHONPATH": old}} if old else {}
        self.procs[n] = subprocess.Popen(cmd, stdout=log, stderr=log, stdin=subprocess.DEVNULL, **kw)
        log.close()

    def start_all(self, old=None):
        for n in self.cards:
            self.start(n, old)

    def kill(self, n, sig=signal.SIGKILL, wait=10.0):
        """Ends one of our own processes and waits for it."""
        p = self.procs.pop(n, None)
        if p is not None and p.poll() is None:
            p.send_signal(sig)
            try:
                return p.wait(wait)
            except subprocess.TimeoutExpired:
                p.kill()
                return p.wait(wait)
        return p.returncode if p else None

    def pause(self, n, on=True):
        self.procs[n].send_signal(signal.SIGSTOP if on else signal.SIGCONT)

    def stop_all(self):
        order = {"mast": 0, "desk": 1, "almanac": 2}
        names = sorted(self.procs, key=lambda n: order[self.cards[n]["role"]])
        for n in names:
            if self.procs[n].poll() is None:
                self.procs[n].send_signal(signal.SIGTERM)
        end = time.monotonic() + 8
        for n in names:
            try:
                self.procs[n].wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                self.procs[n].kill()
                self.procs[n].wait()
        self.procs = {}

    def dead(self):
        return {n: p.returncode for n, p in self.procs.items() if p.poll() is not None}

    def by_addr(self, addr):
        return next((n for n, c in self.cards.items() if c["addr"] == addr), None)


def read_fleet(path):
    """fleet.json, given by its path or its folder."""
    if os.path.isdir(path):
        path = os.path.join(path, "fleet.json")
    try:
        with open(path) as f:
            return json.load(f)
    except (OSError, ValueError) as e:
        raise Raised(BadInput(errors=[["fleet", f"{path}: {e}"]])) from None
