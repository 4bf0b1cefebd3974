"""Hedged long-polls: where the replica that was asked owes a sign of life, others are asked as well,
and the first good answer counts. That a replica is silent is sure only after DEAF and more, which is
too long where news has to be known within a bound; and the next one may be silent, too."""

import asyncio

from . import consts as C
from .problems import Late


class HedgingMixin:
    async def near_hedged(self, *, op, b, wait):
        """Asks as `near` does, and HEDGES replicas more whenever all that were asked are in doubt.
        The first good answer; else the last one, or Late where no replica is up."""
        polls, doubts, outcome = {}, {}, Late(op=op)  # task: its replica; doubt's future: the same
        end = self.seam.now() + wait
        try:
            self.add_polls(polls=polls, doubts=doubts, count=1, op=op, b=b, wait=wait)
            while polls:
                done, _ = await asyncio.wait({*polls, *doubts}, return_when=asyncio.FIRST_COMPLETED)
                refused = bool(done & polls.keys())
                for poll in done & polls.keys():
                    outcome, replica = poll.result(), polls.pop(poll)
                    if outcome.ok:
                        return outcome
                    doubts = {future: at for future, at in doubts.items() if at != replica}
                for future in done & doubts.keys():
                    self.shunned[doubts.pop(future)] = self.seam.now() + C.SHUN
                if polls and not doubts and self.seam.now() < end:
                    if refused:  # not again at once
                        await asyncio.sleep(C.REDIAL)
                    self.add_polls(polls=polls, doubts=doubts, count=C.HEDGES, op=op, b=b, wait=wait)
        finally:
            for poll in polls:
                poll.cancel()
        return outcome

    def add_polls(self, *, polls, doubts, count, op, b, wait):
        """Asks up to `count` replicas that are not being asked."""
        for _ in range(count):
            replica = self.nearest(beside=polls.values())
            if not replica:
                return
            poll = asyncio.ensure_future(self.ask_near(a=replica, op=op, b=b, wait=wait))
            polls[poll] = replica
            circuit = self.links[replica].c
            doubts[circuit.doubts.future(up=circuit.up)] = replica
