"""A member's own copy of the log: what it takes from the leader, and its disk. One
task writes the disk, one frame and one sync at a time; whatever tells another
process of an entry, a term or a vote waits behind that sync."""

import asyncio

from ..base import events as E
from ..base.problems import Done
from .vote import BLANK, FOLLOWER


class FollowMixin:
    # --- disk

    def after_sync(self, k):
        """Runs k once all that this member holds now is on its disk."""
        if self.hard_dirty or self.unsynced or self.snap_in:
            self.sync_ks.append(k)
            self.disk_ev.set()
        elif self.writing:
            self.flight_ks.append(k)
        else:
            k()

    async def synced_now(self):
        f = asyncio.get_running_loop().create_future()
        self.after_sync(lambda: f.done() or f.set_result(None))
        await f

    async def keep_disk(self):
        """The disk's task; a disk that fails ends the member, which says so."""
        while True:
            await self.disk_ev.wait()
            self.disk_ev.clear()
            while self.hard_dirty or self.unsynced or self.sync_ks or self.snap_in:
                es, ks, sn = self.unsynced, self.sync_ks, self.snap_in
                self.unsynced, self.sync_ks, self.snap_in = [], [], None
                self.hard_dirty, self.writing, self.flight_ks = False, True, ks
                self.disk_t0 = self.seam.now()
                h = {"t": self.term, "v": self.vote, "m": not self.blank}
                if sn is not None:
                    if not sn["keep"]:
                        await self.ring.put(hard=h, es=[], cut=sn["i"])
                    await self.ring.snap(d=sn)
                await self.write_entries(h, es)
                self.writing, self.disk_t0 = False, None
                for e in reversed(es):
                    if self.term_at(e[0]) == e[1]:
                        self.synced = max(self.synced, e[0])
                        break
                ks, self.flight_ks = self.flight_ks, []
                for k in ks:
                    k()
                self.advance()
            if self.applied - self.snap_i >= self.params.snap_every:
                await self.save_snap()

    async def write_entries(self, h, es):
        """Group commit: all entries in one frame, or as many as a file's half takes."""
        while True:
            n = size = 0
            while n < len(es) and (n == 0 or size + len(es[n][2]) < self.ring.size // 2):
                size += len(es[n][2]) + 32
                n += 1
            if self.ring.room() < 2 and self.applied > self.snap_i:
                await self.save_snap()
            await self.ring.put(hard=h, es=es[:n])
            es = es[n:]
            if not es:
                return
            self.disk_t0 = self.seam.now()

    def picture(self):
        c = self.conf_at(self.applied)
        return {"i": self.applied, "t": self.term_at(self.applied),
                "keys": self.keys.pack(), "record": self.record.pack()} | (
                    {"conf": c} if c["v"] else {})

    async def save_snap(self):
        d = self.picture()
        await self.ring.snap(d=d)
        self.snap_i = d["i"]
        cut = min(d["i"], self.last()) - self.params.snap_every // 4
        if cut > self.base_i:
            t = self.term_at(cut)
            self.book = self.entries(cut + 1)
            self.base_i, self.base_t = cut, t
        self.say(E.SNAP_SAVED, index=d["i"])

    def on_append(self, *, b, k, who):
        if b["t"] < self.term:
            k(Done(v=self.ack(yes=False)))
            return
        if b["t"] > self.term or self.rank not in (FOLLOWER, BLANK) or self.leader != b["l"]:
            self.become(role=FOLLOWER, term=b["t"], lead=b["l"], why="leader heard")
        self.heard = self.led = self.seam.now()
        self.take_keeps(b.get("h", {}))
        li = b["li"]
        if li < self.base_i:
            skip = self.base_i - li
            es, li, lt = b["es"][skip:], self.base_i, self.base_t
            if skip > len(b["es"]):
                k(Done(v=self.ack(yes=True)))
                return
        else:
            es, lt = b["es"], b["lt"]
        if self.term_at(li) != lt:
            k(Done(v=self.ack(yes=False, last=min(self.last(), li - 1))))
            return
        for e in es:
            if e[0] <= self.last():
                if self.term_at(e[0]) == e[1]:
                    continue
                self.book = self.book[:e[0] - self.base_i - 1]
                self.unsynced = [x for x in self.unsynced if x[0] < e[0]]
                self.synced = min(self.synced, e[0] - 1)
                self.conf_cut(e[0] - 1)
            self.book.append(e)
            self.conf_in(e)
            self.unsynced.append(e)
        up = li + len(es)
        if min(b["c"], up) > self.commit:
            self.commit = min(b["c"], up)
            self.apply()
        if up >= b["c"]:
            self.blank_caught_up(t=b["t"], commit=b["c"])
        v = self.ack(yes=True)
        self.after_sync(lambda: k(Done(v=v)))

    def ack(self, *, yes, last=None):
        return {"t": self.term, "yes": yes, "blank": self.blank, "floor": self.floor,
                "mark": max(self.marks.items(), default=None),
                "last": self.last() if last is None else last}

    def on_snap(self, *, b, k, who):
        d = b["d"]
        if b["t"] < self.term:
            k(Done(v=self.ack(yes=False)))
            return
        if b["t"] > self.term or self.leader != b["l"] or self.rank not in (FOLLOWER, BLANK):
            self.become(role=FOLLOWER, term=b["t"], lead=b["l"], why="leader heard")
        self.heard = self.led = self.seam.now()
        self.take_keeps(b.get("h", {}))
        if d["i"] > self.applied:
            self.load_picture(d)
            keep = self.term_at(d["i"]) == d["t"]
            self.book = self.entries(d["i"] + 1) if keep else []
            self.conf_load(d, keep=keep)
            self.unsynced = [e for e in self.unsynced if keep and e[0] > d["i"]]
            self.base_i, self.base_t = d["i"], d["t"]
            self.commit = self.applied = self.snap_i = d["i"]
            self.synced = max(self.synced, d["i"]) if keep else d["i"]
            self.snap_in = d | {"keep": keep}
            self.say(E.SNAP_TAKEN, index=d["i"])
            self.tell_news()
        v = self.ack(yes=True)
        self.after_sync(lambda: k(Done(v=v)))

    def load_picture(self, d):
        self.keys.load(d["keys"])
        self.record.load(d["record"])
