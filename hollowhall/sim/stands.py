"""The stand-ins of a simulated fleet: workers on machines of their own, whose clocks go
at their own pace, and requesters and operators outside."""

import random

from ..standins.crew import Mate
from ..standins.crowd import Operator, Requester
from ..standins.shapes import crew_of
from .loop import Node
from .net import SimWeb


class StandsMixin:
    def now_of(self, machine):
        self.bases.setdefault(machine, self.rng.random() * 1e4)
        return lambda: self.now_at(machine)

    def add_mate(self, card):
        m = "w-" + card[0]
        node = Node(name=card[0], machine=m, loop=self.loop)
        node.http = []
        mate = Mate(
            card=card,
            masts=self.masts,
            web=SimWeb(net=self.net, machine=m),
            hist=self.hist,
            rng=random.Random(self.rng.getrandbits(60)),
            now=self.now_of(m),
            keeps=int(card[0][-2:]) % self.run_on != 0,
        )
        if not mate.keeps:
            mate.wait = 6.0  # s; such an agent waits long for an outcome, too
        elif self.rng.random() < 0.4:
            mate.gap = 0.4  # s; and some look at their hold late
        self.mates[card[0]], self.mate_nodes[card[0]] = mate, node
        node.run(mate.live())
        return mate

    def add_crew(self, cards=None):
        for c in cards or crew_of(self.shape):
            self.add_mate(c)

    def crash_mate(self, i):
        node = self.mate_nodes.pop(i)
        self.mates.pop(i).crash()
        node.kill()
        self.graves.append(node)

    def requester(self, *, tag, kind=Requester):
        return kind(
            masts=self.masts,
            web=SimWeb(net=self.net, machine="outside-" + tag),
            hist=self.hist,
            rng=random.Random(self.rng.getrandbits(60)),
            now=lambda: self.loop.vt,
            tag=tag,
        )

    def operator(self, *, tag):
        return self.requester(tag=tag, kind=Operator)
