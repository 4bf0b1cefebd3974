"""Heartbeats between our daemons. A daemon's watchers are the next few on a ring
of hashed ids; every daemon works the ring out alike from the fleet view, which it
long-polls with the version it holds. A watcher reports whom it has not heard."""

import asyncio
import hashlib
from bisect import bisect
from functools import lru_cache

from . import consts as C
from . import events as E
from .problems import Done


@lru_cache(maxsize=4096)
def place(i):
    return hashlib.sha256(i.encode()).digest()[:8]


class Ring:
    """The ring of some daemons' ids, worked out once for a fleet view."""

    def __init__(self, *, ids):
        self.order = sorted(ids, key=place)
        self.at = {i: n for n, i in enumerate(self.order)}

    def watchers(self, i):
        """Those who watch i, a member of the ring or not: the next few after it."""
        n = self.at[i] + 1 if i in self.at else bisect(self.order, place(i), key=place)
        return self.next_few(n=n, but=i)

    def watched_by(self, i):
        """Those of the ring whom i watches: the few before it, the nearest last."""
        if i not in self.at:
            return []
        n, count = self.at[i], min(C.WATCHERS, len(self.order) - 1)
        return [self.order[n - k] for k in range(count, 0, -1)]

    def next_few(self, *, n, but):
        size = len(self.order)
        count = min(C.WATCHERS, size - (but in self.at))
        return [self.order[(n + k) % size] for k in range(count)]


class MemberMixin:
    def open_member(self, *, extra=None):
        self.view, self.view_rev, self.pulses, self.mine = {}, 0, {}, {}
        self.ring_of, self.ring_rev = Ring(ids=()), 0
        self.card = {
            "role": self.role,
            "addr": self.params.addr,
            "zone": self.params.zone,
            "http": self.params.http,
            "boot": self.seam.rng.getrandbits(48),
            "build": self.params.build,
            "level": C.LEVEL,
        }
        self.run_task(co=self.enrol(), name="enrol")
        self.run_task(co=self.see(), name="see")
        if self.role != "almanac":
            self.run_task(co=self.follow_almanacs(), name="almanacs")
        self.run_task(co=self.pulse(), name="pulse")

    async def enrol(self):
        """Writes our card until the store holds it; again if it was replaced."""
        while True:
            e = self.view.get(self.params.id)
            if e is None or e["boot"] != self.card["boot"]:
                await self.store(
                    op="txn",
                    safe=True,
                    b={"cmp": [], "then": [["put", "member/" + self.params.id, self.card, 0]]},
                )
            await asyncio.sleep(C.PULSE)

    async def follow_almanacs(self):
        """The store's present members; the seeds are for the start only."""
        rev = 0
        while True:
            o = await self.near(op="watch", b={"p": "store/", "rev": rev}, wait=C.WATCH_WAIT + 1)
            if o.ok and o.v["news"] and o.v["rev"] > rev:
                rev, c = o.v["rev"], o.v["kv"]["store/members"]["v"]
                self.alms = [*c["voters"], *([c["learner"]] if c["learner"] else [])]
                for a in c["past"]:
                    if a in self.links:
                        self.links.pop(a).close()
                for a in self.alms:
                    self.link(addr=a)
            elif not o.ok:
                await asyncio.sleep(C.REDIAL)

    async def see(self):
        while True:
            o = await self.near(op="watch", b={"p": "member/", "rev": self.view_rev}, wait=C.WATCH_WAIT + 1)
            if o.ok and o.v["news"] and o.v["rev"] > self.view_rev:
                self.view_rev = o.v["rev"]
                self.view = {a.split("/", 1)[1]: e["v"] for a, e in o.v["kv"].items()}
                self.say(E.VIEW_NEW, rev=self.view_rev, daemons=len(self.view))
            elif not o.ok:
                await asyncio.sleep(C.REDIAL)

    def on_pulse(self, *, b, k, who):
        self.pulses[b["id"]] = self.seam.now()
        k(Done(v={}))

    async def pulse(self):
        """Beats to our watchers, and tells of those we watch and do not hear."""
        last = self.seam.now()
        while True:
            await asyncio.sleep(C.PULSE)
            now = self.seam.now()
            if self.ring_rev != self.view_rev:
                self.ring_of, self.ring_rev = Ring(ids=self.view), self.view_rev
            if now - last > C.SUSPECT:  # we slept; what we did not hear says nothing
                self.pulses = {}
            last = now
            for w in self.ring_of.watchers(self.params.id):
                a = self.view[w]["addr"]
                self.link(addr=a).ask(op="pulse", b={"id": self.params.id}, k=lambda o: None)
            mine = self.ring_of.watched_by(self.params.id)
            for i in mine:
                self.pulses.setdefault(i, now)
            sus = [i for i in mine if now - self.pulses[i] > C.SUSPECT]
            if sus or self.mine:
                await self.store(op="suspect", b={"by": self.params.id, "ids": sus}, safe=True, total=C.PULSE)
            self.mine = sus
