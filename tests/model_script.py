"""Runs of the model written out by hand: helpers that deliver what is meant, and nothing else."""

from hollowhall.explore.cluster import address_of
from hollowhall.explore.invariants import broken
from hollowhall.explore.search import Setting

A, B, C, D, E = (address_of(n) for n in range(5))


class Script:
    """A cluster with events by intent. `violation` is the first rule that broke."""

    def __init__(self, **sizes):
        self.cluster = Setting(**sizes).cluster()
        self.violation = None

    def play(self, *event):
        self.cluster.apply(event)
        self.violation = self.violation or broken(self.cluster)

    def replica(self, address):
        return self.cluster.replicas[address]

    def under_way(self, source, target, operation, reply=False):
        found = [
            m
            for m in self.cluster.network.messages.values()
            if (m.source, m.target, m.operation, m.is_reply) == (source, target, operation, reply)
        ]
        return found[-1].number if found else None

    def request(self, source, target, operation):
        """The newest such request arrives; its reply stays under way."""
        number = self.under_way(source, target, operation)
        assert number is not None, f"no {operation} from {source} to {target}"
        self.play("deliver", number)

    def reply(self, source, target, operation):
        """The newest reply of source to target arrives."""
        number = self.under_way(source, target, operation, reply=True)
        assert number is not None, f"no reply to {operation} from {source} to {target}"
        self.play("deliver", number)

    def exchange(self, source, target, operation):
        self.request(source, target, operation)
        self.reply(target, source, operation)

    def elect(self, candidate, *voters):
        """The candidate asks the voters alone and leads by their votes."""
        if self.replica(candidate).rank == "leader":
            self.play("timeout", candidate)  # it has heard nobody, and steps back
        self.play("timeout", candidate)
        for operation in ("prevote", "vote"):
            for voter in voters:
                self.exchange(candidate, voter, operation)
        assert self.replica(candidate).rank == "leader"

    def append(self, leader, peer, times=1):
        for _ in range(times):
            self.play("append", leader, peer)
            for operation in ("append", "snap"):
                if self.under_way(leader, peer, operation):
                    self.exchange(leader, peer, operation)

    def order(self, leader, number, base, author="op"):
        self.play("order", leader, number, base, author)
        return self.cluster.operations[-1]

    def read(self, address):
        self.play("read", address)
        return self.cluster.operations[-1]

    def close(self):
        self.cluster.close()
