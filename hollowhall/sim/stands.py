"""Simulated workers, on machines whose clocks run at slightly different rates, and simulated
clients and operators."""

import random

from ..standins.crew import Mate
from ..standins.crowd import Operator, Requester
from ..standins.shapes import workers_of
from .loop import Node
from .net import SimWeb


class SimulatedClientsMixin:
    """Adds and removes simulated workers, clients and operators of a World."""

    def now_of(self, machine):
        """The monotonic clock of a machine, as a function."""
        self.bases.setdefault(machine, self.rng.random() * 1e4)
        return lambda: self.now_at(machine)

    def add_worker_from_card(self, card):
        """Starts a worker; `card` is (id, kind, zone, rack, room)."""
        machine = "w-" + card[0]
        node = Node(name=card[0], machine=machine, loop=self.loop)
        node.http = []
        worker = Mate(
            card=card,
            masts=self.masts,
            web=SimWeb(net=self.net, machine=machine),
            hist=self.hist,
            rng=random.Random(self.rng.getrandbits(60)),
            now=self.now_of(machine),
            keeps=int(card[0][-2:]) % self.lease_ignored_by_one_in != 0,
        )
        if not worker.keeps:
            worker.heartbeat_timeout = (
                6.0  # s; an agent that keeps running also waits long for a heartbeat answer
            )
        elif self.rng.random() < 0.4:
            worker.lease_check_period = 0.4  # s; some agents check their lease late
        self.mates[card[0]], self.worker_nodes[card[0]] = worker, node
        node.run(worker.live())
        return worker

    def add_crew(self, cards=None):
        for card in cards or workers_of(self.shape):
            self.add_worker_from_card(card)

    def crash_worker(self, worker_id):
        node = self.worker_nodes.pop(worker_id)
        self.mates.pop(worker_id).crash()
        node.kill()
        self.ended_nodes.append(node)

    def requester(self, *, tag, kind=Requester):
        return kind(
            masts=self.masts,
            web=SimWeb(net=self.net, machine="outside-" + tag),
            hist=self.hist,
            rng=random.Random(self.rng.getrandbits(60)),
            now=lambda: self.loop.virtual_time,
            tag=tag,
        )

    def operator(self, *, tag):
        return self.requester(tag=tag, kind=Operator)
