"""mast: the data plane's daemon, one on every edge machine, without a disk. It
takes the HTTP of callers, workers and operators and delivers their asks. News of
the charter, the primary and the fleet comes by long-polls that carry the version
held. An ask passes through as a continuation in a slab; whoever goes away frees
its slot at once."""

import asyncio
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from ..base import consts as C
from ..base import events as E
from ..base.daemon import Daemon
from ..base.problems import (CircuitDown, Full, Late, Leaving, NotLeader, NotPrimary, Shed,
                             Unsure)
from ..base.ring_place import MemberMixin
from ..base.slab import Slab
from .gauges import Gauges
from .routes import RoutesMixin
from .shell import ShellMixin


@dataclass(kw_only=True)
class Call:
    """An ask as it came over HTTP."""
    method: str
    path: str
    query: dict = field(default_factory=dict)
    ctype: str = "application/json"
    body: bytes = b""


@dataclass(kw_only=True)
class Reply:
    status: int
    body: Any = None
    headers: dict = field(default_factory=dict)


class Mast(RoutesMixin, ShellMixin, MemberMixin, Daemon):
    role = "mast"

    def __init__(self, *, params, seam):
        super().__init__(params=params, seam=seam)
        self.slab, self.gauges = Slab(cap=C.SLAB_CAP), Gauges()
        self.charter, self.primary, self.primary_rev = {"version": 0, "rows": {}}, "", 0
        self.tries, self.shed_n, self.shed_said = 0, 0, -C.SHED_SAY

    async def open(self):
        self.open_member()
        self.run_task(self.follow_charter(), "charter")
        self.run_task(self.follow_primary(), "primary")
        await self.open_shell()

    async def shut(self):
        for k in self.slab.drain():
            k(Leaving(who=self.params.id))
        await self.shut_shell()

    async def leave(self):
        """Takes nothing new and lets what is under way end."""
        await super().leave()
        for _ in range(50):
            if self.slab.n == 0:
                break
            await asyncio.sleep(C.WATCHDOG)

    async def follow_charter(self):
        """The charter held never goes back: only a higher version is taken."""
        while True:
            o = await self.near(op="charter", b={"version": self.charter["version"]},
                                wait=C.WATCH_WAIT + 1)
            if o.ok and o.v is not None and o.v["version"] > self.charter["version"]:
                self.charter = o.v
            elif not o.ok:
                await asyncio.sleep(C.REDIAL)

    async def follow_primary(self):
        while True:
            o = await self.near(op="watch", b={"p": "desk/", "rev": self.primary_rev},
                                wait=C.WATCH_WAIT + 1)
            if o.ok and o.v["news"] and o.v["rev"] > self.primary_rev:
                self.primary_rev = o.v["rev"]
                e = o.v["kv"].get("desk/primary")
                self.turn_to(addr=e["v"]["addr"] if e else "")
            elif not o.ok:
                await asyncio.sleep(C.REDIAL)

    def turn_to(self, *, addr):
        """Another primary: whoever waits for the old one is told at once, not late."""
        old, self.primary = self.primary, addr
        if old and addr and old != addr and self.links[old].up:
            self.links[old].c.down()
        if addr:
            self.link(addr=addr)

    # --- the way of an ask

    def take(self, *, call, k):
        """An ask in; k is called once with its Reply. Returns a function that frees
        the slot when the asker goes away."""
        t0 = self.seam.now()

        def done(o):
            r = self.reply(o)
            self.gauges.count(call.method, r.status, self.seam.now() - t0)
            k(r)
        s = self.slab.put(k=done)
        if s is None:
            k(self.reply(Full(where="mast", after=C.RETRY_AFTER)))
            return lambda: None
        self.gauges.flight(self.slab.n)
        if self.leaving:
            self.finish(s, Leaving(who=self.params.id))
        else:
            self.route(call=call, s=s)
        return lambda: self.slab.take(i=s[0], g=s[1])

    def finish(self, s, o):
        k = self.slab.take(i=s[0], g=s[1])
        if k is not None:
            k(o)

    def crowded(self, *, lane, s):
        """Sheds by urgency: the fuller the mast, the more urgent a lane must be."""
        u = self.charter["rows"].get(lane, {}).get("urgency", 0)
        if self.slab.n > self.params.shed_at * (0.5 + 0.05 * u):
            self.gauges.shed(lane)
            self.shed_n += 1
            if self.seam.now() - self.shed_said > C.SHED_SAY:
                self.say(E.ASK_SHED, lane=lane, since_last=self.shed_n, in_flight=self.slab.n)
                self.shed_said, self.shed_n = self.seam.now(), 0
            self.finish(s, Shed(lane=lane, after=C.RETRY_AFTER))
            return True
        return False

    def deliver(self, *, op, b, s, then, wait=C.ASK_WAIT, tries=2):
        """Delivers to the primary. Tries once more where the first was certainly
        not taken and another primary is known; else the asker is told at once."""
        a = self.primary
        if not a:
            self.finish(s, NotPrimary())
            return
        self.link(addr=a).ask(op=op, b=b, wait=wait, k=partial(
            self.delivered, op, b, s, then, wait, tries, a))

    def delivered(self, op, b, s, then, wait, tries, a, o):
        if isinstance(o, (NotPrimary, CircuitDown)) and tries > 1:
            hint = getattr(o, "hint", "")
            if hint and hint != a:
                self.primary = hint
            if self.primary and (self.primary != a or not self.links[a].up):
                self.tries += 1
                asyncio.get_running_loop().call_later(
                    0.05, lambda: self.deliver(op=op, b=b, s=s, then=then, wait=wait, tries=1))
                return
        self.finish(s, then(o) if o.ok else o)

    def ask_store(self, *, op, b, s, then, safe):
        """Asks the store's leader, in a short task that holds the slot's place."""
        async def go():
            o = await self.store(op=op, b=b, safe=safe, wait=2.0, total=2.5)
            if isinstance(o, NotLeader):
                o = Unsure(why="store") if not safe else o
            self.finish(s, then(o) if o.ok else o)
        self.run_task(go(), op)


__all__ = ["Mast", "Call", "Reply", "Late", "E"]
