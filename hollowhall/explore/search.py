"""Shared by all searches: settings, reports, and playing and shrinking a run. A run is the list of
its events; the same list gives the same run."""

from dataclasses import dataclass, field

from ..base.problems import Raised
from .cluster import Cluster, bootstrapped_disks
from .history import Violation
from .invariants import first_violation
from .replica import ModelReplica

FIRST_ELECTION_ROUNDS = 12  # enough to elect a leader and for all replicas to learn of it


@dataclass(frozen=True, kw_only=True)
class Setting:
    """The parameters of a search: sizes, fault limits, and the class of the replicas."""

    members: int = 3
    spares: int = 0
    replica_class: type = ModelReplica
    snap_every: int = 1000
    orders: int = 2  # new orders in a breadth-first search
    crashes: int = 1  # power losses in a breadth-first search
    timeouts: int = 2  # election timeouts in a breadth-first search
    lost_disks: int = 1  # total in a random walk
    disks: dict = field(default_factory=dict, compare=False)

    def cluster(self, seed=0):
        """A new cluster. Bootstraps disks once and copies them for each cluster."""
        disks = self.disks
        if not disks:
            disks.update(bootstrapped_disks(members=self.members, spares=self.spares))
        return Cluster(
            members=self.members,
            spares=self.spares,
            replica_class=self.replica_class,
            seed=seed,
            snap_every=self.snap_every,
            initial_disks=disks,
        )


@dataclass(kw_only=True)
class Counterexample:
    """A run that ends in a violation."""

    violation: Violation
    events: list


@dataclass(kw_only=True)
class Report:
    """What a search did. `seconds` is wall-clock time; `complete` tells that it tried every path."""

    states: int = 0
    events: int = 0
    depth: int = 0
    seconds: float = 0.0
    complete: bool = False
    counterexample: Counterexample | None = None


def play(setting, events, seed=0):
    """Plays events up to the first violation; returns (cluster, violation or None)."""
    cluster = setting.cluster(seed)
    for number, event in enumerate(events):
        violation = play_event(cluster, event)
        if violation is not None:
            cluster.violation_index = number
            return cluster, violation
    return cluster, None


def play_event(cluster, event):
    """Plays one event; returns the violation after it, or None."""
    try:
        cluster.apply(event)
    except Raised as error:
        return Violation(rule="nothing_crashed", detail=repr(error))
    return first_violation(cluster)


def exchange_messages(cluster, rounds=FIRST_ELECTION_ROUNDS, events=None):
    """Each round delivers all messages and sends appends to all peers; returns the events."""
    events = [] if events is None else events
    for _ in range(rounds):
        for number in list(cluster.network.messages):
            events.append(("deliver", number))
            cluster.apply(events[-1])
        leader = cluster.leader()
        if leader is not None:
            for peer in list(leader.peers):
                events.append(("append", leader.settings.addr, peer))
                cluster.apply(events[-1])
    return events


def first_election(setting, seed=0):
    """The events that elect the first leader, which all replicas then follow."""
    cluster, events = setting.cluster(seed), [("timeout", "10.0.0.1:7000")]
    cluster.apply(events[0])
    exchange_messages(cluster, events=events)
    cluster.close()
    return events


def shrink(setting, counterexample, *, seed=0, tries=400):
    """A shorter run that breaks the same rule, found by leaving out ever smaller parts; plays at
    most `tries` runs."""
    events, size = list(counterexample.events), max(1, len(counterexample.events) // 2)
    while size and tries > 0:
        start = 0
        while start < len(events) and tries > 0:
            tries -= 1
            shorter = events[:start] + events[start + size :]
            cluster, violation = play(setting, shorter, seed)
            if violation is not None and violation.rule == counterexample.violation.rule:
                events = shorter[: cluster.violation_index + 1]
            else:
                start += size
            cluster.close()
        size //= 2
    return Counterexample(violation=counterexample.violation, events=events)
