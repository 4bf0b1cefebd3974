"""Who is in the fleet and who is down. Every daemon writes itself under member/
and beats to a few watchers named by its place on a ring of ids. A watcher that
hears nothing tells the store's leader whom it suspects; only when enough of that
daemon's watchers agree, and they are not the ones cut off, is it marked down."""

import asyncio

from ..base import consts as C
from ..base import events as E
from ..base.circuit import pack
from ..base.problems import Done, NotLeader
from .vote import LEADER


class MembersMixin:
    def open_members(self):
        self.accused = {}
        self.run_task(self.judge(), "judge")

    def on_suspect(self, *, b, k, who):
        """A watcher's whole list of those it suspects; the newest list counts."""
        if self.rank != LEADER:
            k(NotLeader(hint=self.leader))
            return
        self.accused[b["by"]] = (self.seam.now(), set(b["ids"]))
        k(Done(v={}))

    async def judge(self):
        while True:
            await asyncio.sleep(C.PULSE)
            if self.rank != LEADER:
                self.accused = {}
                continue
            if self.seam.now() - self.lead_t < C.SUSPECT:
                continue        # the watchers have yet to find this leader
            now, kv = self.seam.now(), self.keys.under(prefix="member/")
            ids = [a.split("/", 1)[1] for a in kv]
            fresh = {w: s for w, (t, s) in self.accused.items() if now - t < C.SUSPECT * 2}
            # a watcher that suspects most of the world is itself the one cut off
            sane = {w: s for w, s in fresh.items() if len(s) * 2 <= max(2, len(ids))}
            for i in ids:
                e = kv["member/" + i]["v"]
                n = sum(1 for s in sane.values() if i in s)
                down = n >= min(C.ACCUSERS, max(1, len(ids) - 1))
                if down != bool(e.get("down")):
                    self.say(E.MEMBER_DOWN if down else E.MEMBER_UP, id=i, accusers=n)
                    mod = kv["member/" + i]["mod"]
                    self.propose(k=lambda o: None, b=pack(
                        ["txn", [["member/" + i, "mod", mod]],
                         [["put", "member/" + i, e | {"down": down}, 0]], []]))
