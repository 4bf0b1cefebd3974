"""Helpers for runs of the model checker that are written out: they deliver only the messages named."""

from hollowhall.explore.cluster import address_of
from hollowhall.explore.invariants import first_violation
from hollowhall.explore.search import Setting

A, B, C, D, E = (address_of(n) for n in range(5))


class Script:
    """A cluster and helpers that play events. `violation` is the first violation of a rule, or None."""

    def __init__(self, **sizes):
        self.cluster = Setting(**sizes).cluster()
        self.violation = None

    def play(self, *event):
        self.cluster.apply(event)
        self.violation = self.violation or first_violation(self.cluster)

    def replica(self, address):
        return self.cluster.replicas[address]

    def in_flight(self, source, target, operation, reply=False):
        """The number of the newest such message in flight, or None."""
        found = [
            m
            for m in self.cluster.network.messages.values()
            if (m.source, m.target, m.operation, m.is_reply) == (source, target, operation, reply)
        ]
        return found[-1].number if found else None

    def request(self, source, target, operation):
        """Delivers the newest such request; its reply stays in flight."""
        number = self.in_flight(source, target, operation)
        assert number is not None, f"no {operation} from {source} to {target}"
        self.play("deliver", number)

    def reply(self, source, target, operation):
        """Delivers the newest reply from source to target."""
        number = self.in_flight(source, target, operation, reply=True)
        assert number is not None, f"no reply to {operation} from {source} to {target}"
        self.play("deliver", number)

    def exchange(self, source, target, operation):
        """Delivers the newest such request and its reply."""
        self.request(source, target, operation)
        self.reply(target, source, operation)

    def elect(self, candidate, *voters):
        """The candidate asks only these voters and is elected by their votes."""
        if self.replica(candidate).election_role == "leader":
            self.play("timeout", candidate)  # the leader has lost contact with the majority and steps down
        self.play("timeout", candidate)
        for operation in ("prevote", "vote"):
            for voter in voters:
                self.exchange(candidate, voter, operation)
        assert self.replica(candidate).election_role == "leader"

    def append(self, leader, peer, times=1):
        """The leader sends appends, or chunks of a snapshot, to a peer, and hears the replies."""
        for _ in range(times):
            self.play("append", leader, peer)
            for operation in ("append", "snap"):
                if self.in_flight(leader, peer, operation):
                    self.exchange(leader, peer, operation)

    def order(self, leader, number, base, author="op"):
        """An operator sends a configuration change; returns its Operation."""
        self.play("order", leader, number, base, author)
        return self.cluster.operations[-1]

    def read(self, address):
        """An operator reads the configuration; returns the Operation."""
        self.play("read", address)
        return self.cluster.operations[-1]

    def close(self):
        self.cluster.close()
