"""Bootstrap of the store, and the way back of a replica whose disk is empty.

The seeds of the very first start found the store once all of them were heard, nobody holds any of it,
and a majority are founders: replicas whose disk has been there since that start, as it says itself.
Nothing can have been decided then, for that takes a vote of one of them, and a vote is on disk before
it is told. So a seed that is killed before the store is founded keeps nobody waiting.

Any other replica with an empty disk (blank) neither votes nor counts until it has learnt every other
member's term (the minimum term, `floor`) and then caught up with a leader of a newer term: that leader
was elected without it, so whatever it had once promised is in that leader's log."""

from ..base import consts as C
from ..base import events as E
from ..base.problems import Done
from .vote import BLANK, FOLLOWER


class BootstrapMixin:
    def on_status(self, *, b, k, who):
        k(
            Done(
                v={
                    "t": self.term,
                    "last": self.last(),
                    "blank": self.blank,
                    "founding": self.is_founder(),
                    "state": self.rank,
                    "commit": self.commit,
                    "addr": self.params.addr,
                    "conf": self.conf,
                    "joins": self.params.join,
                    "lead": self.leader,
                    "clock": self.clk is not None,
                    "applied": self.applied,
                    "digest": self.record.digest() if b.get("digest") else "",
                }
            )
        )

    def founders_of(self, hard):
        """The seeds of the very first start, of a replica that has not counted yet and was there: as
        this start says, or `hard`, its state on disk. Empty where it was not, or is told of other
        seeds by now: the store has gone on without it."""
        seeds = sorted({*self.params.seeds, self.params.addr})
        if self.params.found:
            self.hard_dirty = True
            self.disk_ev.set()
            return seeds
        if hard.get("founders") != seeds:
            return []
        if self.conf["v"] < 0:
            self.confs = [(0, self.conf | {"v": 0, "voters": seeds})]
            self.use_conf()
        return seeds

    def is_founder(self):
        """Whether this replica has been there since the very first start, and has promised nothing."""
        return self.blank and bool(self.founders) and self.term == 0 and self.last() == 0

    async def unblank(self):
        """A blank member's way back: found with the others, or learn the floor. That is
        kept on disk: whoever ends before it counts need not hear everyone again."""
        if self.floor is None:
            await self.learn_floor()
            if self.floor is not None:
                self.hard_dirty = True
                self.disk_ev.set()

    async def learn_floor(self):
        got = {}
        for p in list(self.peers):
            o = await self.link(addr=p).call(op="status", b={})
            if o.ok:
                got[p] = o.v
                if "conf" in o.v:
                    self.conf_learn(o.v["conf"])
        if self.params.auto_members and not self.params.found and self.stranger(got):
            self.floor = 0
            return
        if set(got) != set(self.peers):
            if not self.params.found and self.enough(got):
                self.floor = max([self.term] + [v["t"] for v in got.values()])
            return
        if self.is_founder() and self.may_found(got):
            self.blank, self.hard_dirty = False, True
            await self.synced_now()
            self.say(E.FOUNDED, members=len(self.peers) + 1)
            self.become(role=FOLLOWER, why="founded")
        elif not self.params.found or any(not v["blank"] for v in got.values()):
            if all(v["blank"] for v in got.values()):
                return
            self.floor = max([self.term] + [v["t"] for v in got.values()])
            if self.params.found:
                self.say(E.FOUND_REFUSED, floor=self.floor)

    def may_found(self, got):
        """Whether the store holds nothing, as all other members say, and a majority are founders."""
        fresh = all(v["t"] == 0 and v["last"] == 0 for v in got.values())
        founders = 1 + sum(v["founding"] or not v["blank"] for v in got.values())
        return fresh and founders >= self.most()

    def enough(self, got):
        """Whether every majority that this member may have been part of has one that was
        heard and has not forgotten; by then no vote that it was asked for is still open."""
        n = len([p for p in self.voters if p in got and not got[p]["blank"]])
        return (
            self.conf["v"] > 0
            and n > len(self.voters) - self.most()
            and self.seam.now() - self.born > C.BLANK_WAIT
        )

    def blank_caught_up(self, *, t, commit):
        """After an append: a newer leader's commit is all here, so we count again."""
        if (
            not self.blank
            or self.floor is None
            or t <= self.floor
            or commit > self.last()
            or commit == 0
            or self.params.addr not in self.voters
        ):
            return
        self.blank, self.hard_dirty = False, True
        if not self.vote:  # this term has its leader: no other candidate in it is to have our vote
            self.vote = self.leader

        def k():
            self.say(E.CAUGHT_UP, term=t, index=commit)
            if self.rank == BLANK:
                self.become(role=FOLLOWER, lead=self.leader, why="caught up")

        self.after_sync(k)
