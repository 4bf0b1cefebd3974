"""The processes of a run: real daemons that count, on loopback with params files of their
own, and the shared processes of hollow ones. Each is ended by the pipe that it reads; what
does not end by itself is killed by its own handle."""

import asyncio
import json
import os
import socket
import sys

from ...base.probe import probe
from ...base.problems import Broken, Late, Raised
from . import sizes as S


def ports(n, *, taken=set()):  # noqa: B006, one set for the whole process is meant
    """Ports that nobody listens at, below those that dialling sockets are given."""
    out, span = [], S.PORTS[1] - S.PORTS[0]
    for k in range(span):
        p = S.PORTS[0] + (os.getpid() * 131 + k) % span
        if len(out) == n:
            return out
        if p in taken:
            continue
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind(("127.0.0.1", p))
            except OSError:
                continue
        taken.add(p)
        out.append(p)
    raise Raised(Broken(where="ports", why="none is free"))


class Daemons:
    """Three almanacs, three desks, and the masts that serve the hollow workers."""

    def __init__(self, *, folder, front):
        self.folder, self.procs, self.cards, self.logs = folder, {}, {}, []
        names = [f"{r}-{i + 1}" for r, n in (("almanac", 3), ("desk", 3), ("mast", front)) for i in range(n)]
        ps = ports(len(names) + front)
        self.seeds = [f"127.0.0.1:{p}" for p in ps[:3]]
        for i, n in enumerate(names):
            self.cards[n] = self.card(name=n, port=ps[i], zone=i)
            if n.startswith("mast"):
                self.cards[n]["http"] = f"127.0.0.1:{ps[len(names) + i - 6]}"
            if n.startswith("almanac"):
                self.cards[n] |= {"data": os.path.join(folder, n), "found": True}
        self.masts = [c["http"] for c in self.cards.values() if "http" in c]

    def card(self, *, name, port, zone):
        return {
            "id": name,
            "role": name.split("-")[0],
            "addr": f"127.0.0.1:{port}",
            "zone": f"z{zone % S.ZONES + 1}",
            "seeds": self.seeds,
        }

    def hollow_masts(self, *, first, count):
        """Cards for hollow masts; they get ports as real ones do."""
        ps = ports(2 * count)
        return [
            self.card(name=f"mast-h{first + i}", port=ps[i], zone=first + i)
            | {"http": f"127.0.0.1:{ps[count + i]}"}
            for i in range(count)
        ]

    def log(self, name):
        self.logs.append(open(os.path.join(self.folder, name + ".log"), "ab"))
        return self.logs[-1]

    async def start(self):
        for n, c in self.cards.items():
            path = os.path.join(self.folder, n + ".toml")
            with open(path, "w") as f:
                f.writelines(f"{a} = {json.dumps(b)}\n" for a, b in c.items())
            self.procs[n] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hollowhall.tools.scale.counted",
                c["role"],
                "--params",
                path,
                stdin=asyncio.subprocess.PIPE,
                stdout=self.log(n),
                stderr=self.logs[-1],
            )

    async def hollow(self, name, **d):
        """One more shared process; `d` says what it plays."""
        self.procs[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hollowhall.tools.scale.hollow",
            json.dumps(d),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=self.log(name),
        )

    async def figures(self):
        """{name: figures} of all, each at one moment of its own."""
        ns = list(self.procs)
        out = await asyncio.gather(*[self.one(n) for n in ns], return_exceptions=True)
        for x in out:  # only now: none of them may still be reading
            if isinstance(x, BaseException):
                raise x
        return dict(zip(ns, out))

    async def one(self, n):
        p = self.procs[n]
        if p.returncode is not None:
            raise Raised(Broken(where=n, why=f"ended with {p.returncode}"))
        if n in self.cards:
            o = await probe(addr=self.cards[n]["addr"], op="counts", request={}, wait=S.REPLY_WAIT)
            if not o.ok:
                raise Raised(o)
            return o.value
        p.stdin.write(b"?\n")
        try:
            line = await asyncio.wait_for(p.stdout.readline(), S.REPLY_WAIT)
            return json.loads(line)
        except TimeoutError:
            raise Raised(Late(op=n)) from None
        except ValueError:
            raise Raised(Broken(where=n, why="no figures")) from None

    def disk(self, n):
        """Bytes of a daemon's data folder: preallocated ring and snapshot apart."""
        d, out = self.cards[n]["data"], {"ring": 0, "snap": 0}
        for x in os.listdir(d):
            out["ring" if x.startswith("ring") else "snap"] += os.path.getsize(os.path.join(d, x))
        return out

    async def stop(self):
        for p in self.procs.values():
            if p.returncode is None:
                p.stdin.close()
        for p in self.procs.values():
            try:
                await asyncio.wait_for(p.wait(), S.REPLY_WAIT)
            except TimeoutError:
                p.kill()
                await p.wait()
        for f in self.logs:
            f.close()
