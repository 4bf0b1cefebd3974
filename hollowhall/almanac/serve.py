"""What an almanac answers: store asks, the charter, the record's tail. Long-polls
carry the version their asker holds and leave a continuation that is called when
there is news, or empty when the wait is over. Any member answers a long-poll from
what it has applied; compare-and-put, reads and keep-alives are the leader's."""

import asyncio

from ..base import consts as C
from ..base import events as E
from ..base.circuit import pack
from ..base.problems import Done, Mismatch, NotSynced, StaleBase, Unknown, Unsure
from ..base.slab import Slab
from .clock import LEAD
from .vote import LEADER


class ServeMixin:
    level_known = 0  # the level that a leader is about to raise the record to, or has

    def open_serve(self):
        self.news_slab, self.polls = Slab(cap=C.SLAB_CAP), {}

    def enact(self, *, i, d):
        """Applies one committed entry; the same on every member."""
        op = d[0]
        if op == "txn":
            o = self.keys.txn(cmp=d[1], then=d[2], els=d[3])
            self.note_clock()
            return o
        if op == "grant":
            self.kept[i] = self.seam.now()
            if self.rank == LEADER:
                self.hold_ends[i] = self.seam.now() + d[1]
            return self.keys.grant(i=i, ttl=d[1], who=d[2])
        if op == "revoke":
            o = self.keys.revoke(hold=d[1])
            self.note_clock()
            return o
        if op == "members":
            return self.enact_conf(d[1])
        if op in ("turn", "edit", "level"):
            for f in self.listeners:
                f(op, d[1])
            o = self.record.enact(op=op, d=d[1])
            if op == "level":
                self.say(E.LEVEL_RAISED, level=self.record.level)
            return o
        return Done(v={})

    def note_clock(self):
        """Who leads the clock stands in the keys: nobody here need ask a former one."""
        e = self.keys.kv.get(LEAD)
        self.leads["clock"] = e["v"] if e else ""

    def on_tail(self, *, b, k, who):
        """The record's entries behind index `i`, or a picture if they are gone."""
        i = b["i"]
        if self.too_old(b=b, k=k, who=who):
            return

        def test(end):
            if i < self.base_i:
                if b.get("level", 0) and self.record.level:
                    c = self.chunk(off=b["off"] if b.get("of") == [self.params.addr, self.snap_i] else 0)
                    if c is None:
                        return Done(v={"to": i, "es": []}) if end else None
                    return Done(v=c | {"to": self.snap_i})
                return Done(v={"to": self.applied, "picture": self.record.pack()})
            es, size = [], 0
            to = self.applied
            for e in self.entries(i + 1):
                if e[0] > self.applied:
                    break
                if e[2][:6] in RECORD_HEADS:
                    es.append([e[0], e[2]])
                    size += len(e[2])
                    if size > C.APPEND_BYTES:
                        to = e[0]
                        break
            if es or end:
                return Done(v={"to": to, "es": es})
            return None

        self.park(test=test, k=k, wait=b.get("wait", C.WATCH_WAIT))

    def too_old(self, *, b, k, who):
        """An asker that does not know the record's rules would go its own way."""
        if b.get("level", 0) >= self.record.level:
            return False
        self.say(E.LEVEL_OLD, who=who, level=b.get("level", 0), record=self.record.level)
        k(Mismatch(field="level", want=str(self.record.level), got=str(b.get("level", 0))))
        return True

    # --- the leader's

    def on_turn(self, *, b, k, who):
        """A desk's turn; the outcome brings the record's entries it has not yet."""
        have = b["have"]

        def then(o):
            if not o.ok:
                k(o)
                return
            es = [
                [e[0], e[2]]
                for e in self.entries(have + 1)
                if e[0] <= self.applied and e[2][:6] in RECORD_HEADS
            ]
            gap = have < self.base_i
            k(
                Done(
                    v={
                        "o": o.v,
                        "to": self.applied,
                        "es": [] if gap else es,
                        "gap": gap,
                        "sum": self.record.sum,
                    }
                )
            )

        self.propose(b=pack(["turn", b["d"]]), k=then)

    def on_txn(self, *, b, k, who):
        self.propose(b=pack(["txn", b["cmp"], b["then"], b.get("els", [])]), k=k)

    def on_grant(self, *, b, k, who):
        if not self.too_old(b=b, k=k, who=who):
            self.propose(b=pack(["grant", b["ttl"], who]), k=k)

    def on_revoke(self, *, b, k, who):
        self.propose(b=pack(["revoke", b["hold"]]), k=k)

    def on_edit(self, *, b, k, who):
        if "chosen" in b and (self.record.level < 2 or self.level_known > self.record.level):
            k(NotSynced(tries=0))  # the record does not know such edits yet, or rises in a moment
            return

        def then(outcome):
            if isinstance(outcome, StaleBase) and self.record.may_have_forgotten(b):
                outcome = Unsure(why="older than what is remembered of changes")
            k(outcome)

        self.propose(b=pack(["edit", b]), k=then)

    def on_configure(self, *, b, k, who):
        """An edit that may say something of tenants. Daemons that do not know them do not know this
        request either, so that no table of theirs is dropped in silence."""
        if not self.record.rule["tenants"]:
            k(NotSynced(tries=0))
            return
        self.on_edit(b=b, k=k, who=who)

    def on_get(self, *, b, k, who):
        def then(p):
            k(p if p is not None else Done(v={"rev": self.keys.rev, "kv": self.keys.under(prefix=b["p"])}))

        self.read(k=then)

    def on_where_to(self, *, b, k, who):
        """A barrier: the index that holds all that was confirmed before this ask."""
        self.read(k=lambda p: k(p if p is not None else Done(v={"i": self.applied})))

    def on_charter_now(self, *, b, k, who):
        """The newest configuration; with `public` as whoever may read it sees it, without keys."""

        def then(p):
            charter = self.record.public_configuration() if b.get("public") else self.record.charter
            k(p if p is not None else Done(v=charter))

        self.read(k=then)

    def on_keep(self, *, b, k, who):
        h = b["hold"]
        self.kept[h] = self.seam.now()  # before the appends that confirm it are sent

        def then(p):
            if p is not None:
                k(p)
            elif h not in self.keys.holds or h in self.expiring or self.rank != LEADER:
                k(Unknown(what="hold", id=str(h)))
            else:
                self.hold_ends[h] = self.seam.now() + self.keys.holds[h]["ttl"]
                k(Done(v={}))

        self.read(k=then)

    async def expire(self):
        """The leader lets holds run out, in its own time, as entries of the log."""
        while True:
            await asyncio.sleep(C.WATCHDOG)
            if self.polls and self.out_of_touch():
                self.drop_polls()
            if self.rank != LEADER or self.term_at(self.commit) != self.term:
                continue
            now = self.seam.now()
            for h in list(self.keys.holds):
                if self.hold_ends.get(h, now) < now and h not in self.expiring:
                    self.expiring.add(h)
                    self.propose(b=pack(["revoke", h]), k=lambda o: None)

    def on_wall(self, *, b, k, who):
        k(Done(v={"wall": self.seam.wall()}))


# How a turn and an edit begin on the wire: [kind, fields], packed.
RECORD_HEADS = tuple(pack([x, 0])[:6] for x in ("turn", "edit", "level"))
