"""Long-polls. A request carries the version its caller holds and is parked until there is news, or
answered empty when its wait is over. Any replica answers from what it has applied, but one that is
out of touch with the others refuses: it may have missed what they know."""

import asyncio

from ..base import consts as C
from ..base.problems import Done, NotLeader
from .vote import LEADER


class LongPollMixin:
    def park(self, *, test, k, wait):
        """Answers now if `test` gives an outcome, else when it does or time is over. A
        member that is cut off from the others has no news: it says so, early and late."""
        if self.out_of_touch():
            k(NotLeader(hint=""))
            return
        o = test(False)
        if o is not None:
            k(o)
            return
        s = self.news_slab.put(k=k)
        if s is None:
            k(test(True))
            return
        self.polls[s] = test

        def lapse():
            if self.polls.pop(s, None) is not None:
                self.news_slab.take(i=s[0], g=s[1])(test(True))

        asyncio.get_running_loop().call_later(wait, lapse)

    def out_of_touch(self):
        """Whether this member may have missed what others know."""
        if self.rank == LEADER:
            return self.contact_age() > C.TOUCH
        return self.seam.now() - self.led > C.TOUCH

    def drop_polls(self):
        """Whoever waits here for news asks elsewhere."""
        for s in list(self.polls):
            del self.polls[s]
            self.news_slab.take(i=s[0], g=s[1])(NotLeader(hint=""))

    def tell_news(self):
        for s, test in list(self.polls.items()):
            o = test(False)
            if o is not None:
                del self.polls[s]
                self.news_slab.take(i=s[0], g=s[1])(o)

    def on_watch(self, *, b, k, who):
        def test(end):
            r = self.keys.changed(prefix=b["p"])
            if r > b["rev"] or end:
                return Done(
                    v={
                        "rev": max(r, b["rev"]),
                        "news": r > b["rev"],
                        "lead": self.leader,
                        "kv": self.keys.under(prefix=b["p"]) if r > b["rev"] else {},
                    }
                )
            return None

        self.park(test=test, k=k, wait=min(b.get("wait", C.WATCH_WAIT), C.WATCH_WAIT))

    def on_charter(self, *, b, k, who):
        def test(end):
            v = self.record.charter["version"]
            if v > b["version"] or end:
                return Done(v=self.record.public_configuration() if v > b["version"] else None)
            return None

        self.park(test=test, k=k, wait=C.WATCH_WAIT)
