"""The stand-in operator: sends configurations whole and changes by name on the version it
knows, sends them again unchanged where it got no clear answer, races another operator, sends
invalid ones, evacuates zones and withdraws that, and reads back at the end of the day."""

import asyncio

from . import config as F
from .caller import Caller

ENDS = (400, 409, 412, 413, 422)  # answers that end a call at once
OTHERS = 3  # tries after which any other 4xx ends it
WAIT, WAIT_LARGE, LARGE = 1.0, 3.0, 100  # s; silence; the same for so many rows and more


class Operator:
    def __init__(self, *, name, web, daemons, hist, rng, loop, bounds):
        self.name, self.hist, self.rng, self.loop = name, hist, rng, loop
        self.bounds, self.calls, self.config = bounds, 0, None
        self.caller = Caller(web=web, daemons=daemons, rng=rng, loop=loop)

    async def order(self, ev, method, path, *, body=None, headers=None, limit=None, wait=WAIT, **d):
        """One order until it has a clear answer; None if that took too long."""
        end = None if limit is None else self.loop.time() + limit
        others, self.calls = 0, self.calls + 1
        order, n = f"{self.name}-{self.calls}", 0
        while end is None or self.loop.time() < end:
            n += 1
            i, addr = f"{order}-{n}", self.caller.pick(other=n > 1)
            if addr:
                self.hist.note(ev, id=i, order=order, by=addr, **d)
                a = await self.caller.once(
                    method=method, addr=addr, path=path, body=body, headers=headers, wait=wait
                )
                shown = {"body": a.body} if ev == "read" else {}
                self.hist.note(
                    ev + "_out", id=i, order=order, status=a.status, why=a.why, by=a.addr, **d, **shown
                )
                others += 400 <= a.status < 500 and a.status not in (408, 429)
                if a.ok or a.status in ENDS or others >= OTHERS:
                    self.caller.misses = 0
                    return a
            await asyncio.sleep(self.caller.pause())
        return None

    # --- configurations

    async def send(self, *, body, base, whole, invalid="", limit=None):
        rows = 0 if isinstance(body, bytes) else sum(len(body.get(t) or ()) for t in F.TABLES)
        shown = {"unreadable": len(body)} if isinstance(body, bytes) else body
        return await self.order(
            "config",
            "PUT" if whole else "PATCH",
            "/config",
            body=body,
            limit=limit,
            headers={"If-Match": str(base), "Content-Type": "application/json"},
            wait=WAIT_LARGE if rows >= LARGE else WAIT,
            base=base,
            whole=whole,
            invalid=invalid,
            body_sent=shown,
            revision=shown.get("revision", 0),
        )

    async def put(self, c, *, base=None, limit=None):
        """Sends a whole configuration; True if it is acknowledged."""
        base = base if base is not None else self.config["revision"] if self.config else 0
        a = await self.send(body=c, base=base, whole=True, limit=limit)
        if a is not None and a.ok:
            self.config = c
        return a is not None and a.ok

    async def patch(self, *, upsert=None, withdraw=None, revision=None, limit=None):
        """A change by name on top of the version that is known here."""
        base = self.config["revision"]
        change = {"revision": revision or base + self.rng.randint(1, 3)}
        change |= {"upsert": upsert} if upsert else {}
        change |= {"withdraw": withdraw} if withdraw else {}
        a = await self.send(body=change, base=base, whole=False, limit=limit)
        if a is not None and a.ok:
            self.config = F.apply(self.config, change)
        return a is not None and a.ok

    async def spoiled(self, how, *, limit=10.0):
        """An invalid configuration on top of the known one; its status."""
        c, base = self.config, self.config["revision"]
        if how != "low_revision":
            c = c | {"revision": base + 1}
        a = await self.send(body=F.spoil(c, how), base=base, whole=True, invalid=how, limit=limit)
        return 0 if a is None else a.status

    async def race(self, other, *, upserts):
        """Both operators change the same version at the same time: who won, by name."""
        other.config, base = self.config, self.config["revision"]
        ok = await asyncio.gather(
            self.patch(upsert={"routeTable": [upserts[0]]}, revision=base + 2),
            other.patch(upsert={"routeTable": [upserts[1]]}, revision=base + 3),
        )
        won = [o for o, k in zip((self, other), ok) if k]
        if len(won) == 1:
            self.config = other.config = won[0].config
        return [o.name for o in won]

    # --- evacuations

    async def evacuate(self, zone, *, withdraw=False):
        a = await self.order(
            "evacuation",
            "DELETE" if withdraw else "POST",
            f"/evacuations/{zone}",
            limit=self.bounds.ack_ms / 1000,
            zone=zone,
            withdraw=withdraw,
        )
        return a is not None and a.ok

    # --- reading

    async def read(self, *, limit=10.0, final=False):
        a = await self.order("read", "GET", "/config", limit=limit, final=final)
        return a.body if a is not None and a.ok else None

    async def read_back(self):
        """At the end of the day: asks again and again, for `contactMs` at least."""
        end, c = self.loop.time() + self.bounds.contact_ms / 1000, None
        while self.loop.time() < end:
            c = await self.read(limit=self.bounds.contact_ms / 1000, final=True) or c
            await asyncio.sleep(0.5)
        return c
