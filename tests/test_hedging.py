"""Hedged long-polls against replicas that answer, refuse or owe a sign of life, in the virtual time
of a World's loop."""

import asyncio
from types import SimpleNamespace

from hollowhall.base import consts as C
from hollowhall.base.hedging import HedgingMixin
from hollowhall.base.problems import Done, Late, NotLeader, Unsure
from hollowhall.sim.loop import SimLoop

ANSWER, REFUSAL, DEATH = Done(v=1), NotLeader(hint=""), Unsure(why="circuit")


class Doubted:
    """The doubts of a stub's connection."""

    def __init__(self, poller, name):
        self.poller, self.name = poller, name

    def future(self, *, up):
        return self.poller.doubted(self.name)


class Poller(HedgingMixin):
    """`replicas`: {name: (s until its answer, the answer, s until it is doubted or None)}."""

    def __init__(self, loop, replicas):
        self.loop, self.replicas, self.asked, self.shunned = loop, replicas, [], {}
        self.down = set()
        self.seam = SimpleNamespace(now=loop.time)
        self.links = {
            name: SimpleNamespace(c=SimpleNamespace(up=True, doubts=Doubted(self, name))) for name in replicas
        }

    def doubted(self, name):
        future = self.loop.create_future()
        if self.replicas[name][2] is not None:
            self.loop.call_later(self.replicas[name][2], lambda: future.done() or future.set_result(None))
        return future

    def nearest(self, *, beside=()):
        left = [name for name in self.replicas if name not in (*beside, *self.down)]
        return min(left, key=lambda name: (self.shunned.get(name, 0.0) > self.loop.time(), name), default="")

    async def ask_near(self, *, a, op, b, wait):
        self.asked.append(a)
        await asyncio.sleep(self.replicas[a][0])
        if not self.replicas[a][1].ok:
            self.shunned[a] = self.loop.time() + C.SHUN
        if self.replicas[a][1] is DEATH:
            self.down.add(a)
        return self.replicas[a][1]


def polled(**replicas):
    """(the outcome, s that it took, who was asked)."""
    loop = SimLoop()
    poller = Poller(loop, replicas)
    asyncio.set_event_loop(loop)
    try:
        outcome = loop.run_until_complete(poller.near_hedged(op="charter", b={}, wait=6.0))
        assert not [t for t in asyncio.all_tasks(loop) if not t.cancelling() and not t.done()]
    finally:
        asyncio.set_event_loop(None)
    return outcome, round(loop.time(), 2), poller.asked


def test_a_replica_that_lives_is_waited_for_alone():
    assert polled(a=(5.0, ANSWER, None), b=(0.0, ANSWER, None)) == (ANSWER, 5.0, ["a"])


def test_one_that_owes_a_sign_of_life_is_asked_beside_two_others():
    silent = (9.0, DEATH, 0.75)
    assert polled(a=silent, b=silent, c=(0.1, ANSWER, None)) == (ANSWER, 0.85, ["a", "b", "c"])


def test_replicas_that_refuse_are_asked_again_after_a_pause_only():
    outcome, took, asked = polled(a=(1.75, DEATH, 0.75), b=(0.0, REFUSAL, None), c=(0.0, REFUSAL, None))
    assert not outcome.ok and 1.75 <= took <= 1.75 + C.REDIAL and len(asked) < 2 + 2 * 1.0 / C.REDIAL + 2


def test_where_all_are_silent_the_last_answer_counts():
    assert polled(a=(1.75, DEATH, 0.75), b=(1.5, DEATH, 0.5)) == (DEATH, 2.25, ["a", "b"])


def test_without_any_replica_that_is_up_nothing_is_asked():
    outcome, took, asked = polled()
    assert isinstance(outcome, Late) and took == 0.0 and asked == []
