"""Breadth-first search: every sequence of events up to a depth, without expanding a state twice."""

import time
from collections import deque

from ..almanac.vote import LEADER
from .search import Counterexample, Report, first_election, play


def possible_events(cluster, setting, count_used):
    """The events that the search tries next. `count_used(name)` counts a name on the path."""
    events = [("deliver", n) for n in cluster.network.messages]
    for replica in cluster.running():
        address = replica.settings.addr
        if replica.election_role == LEADER:
            for peer in replica.peers:
                task = cluster.append_tasks.get((address, peer))
                if task is None or task.done():
                    events.append(("append", address, peer))
            events += possible_orders(cluster, setting, address)
            if not any(x.kind == "read" and x.returned is None for x in cluster.operations):
                events.append(("read", address))
        if count_used("timeout") < setting.timeouts:
            events.append(("timeout", address))
        if count_used("power") < setting.crashes:
            events.append(("power", address, False, False))
    events += [("restart", a) for a in cluster.addresses if a not in cluster.replicas]
    return events


def possible_orders(cluster, setting, address):
    """A new order based on the replica's current configuration, and retries of the unconfirmed ones."""
    current = cluster.replicas[address].record.charter.get("chosen", 0)
    orders = [("order", address, x.number, x.base, x.author) for x in unconfirmed(cluster)]
    if len(cluster.orders) < setting.orders:
        author = f"op{len(cluster.orders)}"
        orders.append(("order", address, current + 1, current, author))
    return orders


def unconfirmed(cluster):
    """The orders sent so far that no reply has confirmed."""
    confirmed = {x.order for x in cluster.operations if x.confirmed}
    return [x for x in cluster.orders if x not in confirmed]


def breadth_first(setting, *, depth, max_states=10**9, seconds=10**9):
    """Plays every sequence of up to `depth` events after the first election; returns a Report.

    A state that was reached before is not expanded again. The search stops early at the first
    violation, after `max_states` states or after `seconds` of wall-clock time."""
    initial_events, report = first_election(setting), Report()
    started, seen = time.monotonic(), set()
    queue = deque([()])
    while queue:
        if report.states >= max_states or time.monotonic() - started > seconds:
            break
        path = queue.popleft()
        cluster, violation = play(setting, initial_events + list(path))
        report.states += 1
        report.events += len(path)
        report.depth = max(report.depth, len(path))
        if violation is not None:
            report.counterexample = Counterexample(violation=violation, events=initial_events + list(path))
            cluster.close()
            break
        if len(path) < depth:
            event_names = [event[0] for event in path]
            for event in possible_events(cluster, setting, event_names.count):
                queue.append((*path, event))
            queue = drop_if_seen(queue, seen, cluster)
        cluster.close()
    report.complete = not queue and report.counterexample is None
    report.seconds = time.monotonic() - started
    return report


def drop_if_seen(queue, seen, cluster):
    """Returns the queue without the successors of the current state if that state was expanded before.

    They are the paths at the queue's end that share one prefix."""
    fingerprint = cluster.fingerprint()
    if fingerprint not in seen:
        seen.add(fingerprint)
        return queue
    path = queue[-1][:-1]
    while queue and queue[-1][:-1] == path:
        queue.pop()
    return queue
