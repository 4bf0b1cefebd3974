"""The platform address in front of the daemons that serve clients: it asks each daemon for
its readiness every second and gives a new connection one of those that are in, chosen by a
hash of the client; later tries reach other daemons."""

import asyncio
import zlib
from dataclasses import dataclass

from .caller import ask

EVERY, MISSES = 1.0, 2  # s between two looks; so many misses until a daemon is out


@dataclass(kw_only=True)
class Front:
    """One daemon that serves clients."""

    front: str
    readiness: str
    zone: str
    misses: int = 0
    looks: int = 0
    ready: int = 0


class Balancer:
    def __init__(self, *, web, near=None):
        self.web, self.fronts, self.near = web, {}, near or (lambda zone: [])

    def add(self, **kw):
        f = Front(**kw)
        self.fronts[f.front] = f

    def remove(self, front):
        self.fronts.pop(front, None)

    async def watch(self):
        while True:
            for f in list(self.fronts.values()):
                asyncio.ensure_future(self.look(f))
            await asyncio.sleep(EVERY)

    async def look(self, f):
        a = await ask(web=self.web, method="GET", addr=f.readiness, path="/readiness", wait=EVERY)
        f.looks, f.ready = f.looks + 1, f.ready + (a.status == 200)
        f.misses = 0 if a.status == 200 else f.misses + 1

    def of_zone(self, zone):
        """Those of a zone that take new connections: all, if fewer than half are in."""
        every = [f for f in self.fronts.values() if f.zone == zone]
        good = [f for f in every if f.misses < MISSES]
        return (good if 2 * len(good) >= len(every) else every) if good else []

    def pick(self, *, zone, client, attempt=0):
        """The address that a client's n-th try is passed to."""
        zones = [zone, *self.near(zone), *sorted({f.zone for f in self.fronts.values()})]
        fs = next((g for z in zones if (g := self.of_zone(z))), list(self.fronts.values()))
        if not fs:
            return ""
        fs = sorted(fs, key=lambda f: f.front)
        return fs[(zlib.crc32(client.encode()) + attempt) % len(fs)].front
