"""What searches over a cluster's events share: settings, reports, playing a run and making one
shorter. A run is the list of its events; the same list gives the same run."""

from dataclasses import dataclass, field

from ..base.problems import Raised
from .cluster import Cluster, founded_disks
from .history import Violation
from .invariants import broken
from .replica import ModelReplica

FIRST_ELECTION = 12  # events; enough to elect a first leader and tell all of it


@dataclass(frozen=True, kw_only=True)
class Setting:
    """What a search is about: sizes, and the class of the replicas."""

    members: int = 3
    spares: int = 0
    build: type = ModelReplica
    snap_every: int = 1000
    orders: int = 2  # orders that operators may begin in a breadth-first search
    crashes: int = 1  # ends of processes, losses of power and of disks
    timeouts: int = 2
    lost_disks: int = 1  # disks lost in a walk, in all
    disks: dict = field(default_factory=dict, compare=False)

    def cluster(self, seed=0):
        disks = self.disks
        if not disks:
            disks.update(founded_disks(members=self.members, spares=self.spares))
        return Cluster(
            members=self.members,
            spares=self.spares,
            build=self.build,
            seed=seed,
            snap_every=self.snap_every,
            clone=disks,
        )


@dataclass(kw_only=True)
class Found:
    """A run that breaks a rule."""

    violation: Violation
    events: list


@dataclass(kw_only=True)
class Report:
    """What a search did. Times in seconds of the machine that ran it."""

    states: int = 0
    events: int = 0
    depth: int = 0
    seconds: float = 0.0
    complete: bool = False
    found: Found | None = None


def play(setting, events, seed=0):
    """(the cluster, the violation or None) after a run's events, stopped at the first violation."""
    cluster = setting.cluster(seed)
    for number, event in enumerate(events):
        violation = step(cluster, event)
        if violation is not None:
            cluster.broken_at = number
            return cluster, violation
    return cluster, None


def step(cluster, event):
    """Plays one event; the violation that it shows, or None."""
    try:
        cluster.apply(event)
    except Raised as error:
        return Violation(rule="nothing_crashed", detail=repr(error))
    return broken(cluster)


def pump(cluster, rounds=FIRST_ELECTION, events=None):
    """Delivers everything and lets the leader tell its peers, for some rounds."""
    events = [] if events is None else events
    for _ in range(rounds):
        for number in list(cluster.network.messages):
            events.append(("deliver", number))
            cluster.apply(events[-1])
        leader = cluster.leader()
        if leader is not None:
            for peer in list(leader.peers):
                events.append(("append", leader.params.addr, peer))
                cluster.apply(events[-1])
    return events


def elected(setting, seed=0):
    """The events that bring a first leader, whom all follow."""
    cluster, events = setting.cluster(seed), [("timeout", "10.0.0.1:7000")]
    cluster.apply(events[0])
    pump(cluster, events=events)
    cluster.close()
    return events


def shrink(setting, found, *, seed=0, tries=400):
    """A shorter run that breaks the same rule: pieces are left out, ever smaller ones."""
    events, size = list(found.events), max(1, len(found.events) // 2)
    while size and tries > 0:
        at = 0
        while at < len(events) and tries > 0:
            tries -= 1
            shorter = events[:at] + events[at + size :]
            cluster, violation = play(setting, shorter, seed)
            if violation is not None and violation.rule == found.violation.rule:
                events = shorter[: cluster.broken_at + 1]
            else:
                at += size
            cluster.close()
        size //= 2
    return Found(violation=found.violation, events=events)
