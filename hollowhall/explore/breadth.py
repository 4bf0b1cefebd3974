"""Breadth-first search: every order of events up to a depth, states met twice left out."""

import time
from collections import deque

from ..almanac.vote import LEADER
from .search import Found, Report, elected, play


def choices(cluster, setting, used):
    """The events that a breadth-first search tries from here."""
    out = [("deliver", n) for n in cluster.network.messages]
    for replica in cluster.running():
        address = replica.params.addr
        if replica.rank == LEADER:
            for peer in replica.peers:
                task = cluster.feeding.get((address, peer))
                if task is None or task.done():
                    out.append(("append", address, peer))
            out += order_choices(cluster, setting, address)
            if not any(x.kind == "read" and x.returned is None for x in cluster.operations):
                out.append(("read", address))
        if used("timeout") < setting.timeouts:
            out.append(("timeout", address))
        if used("power") < setting.crashes:
            out.append(("power", address, False, False))
    out += [("restart", a) for a in cluster.addresses if a not in cluster.replicas]
    return out


def order_choices(cluster, setting, address):
    """A new order on what is current here, or one that had no answer sent again."""
    current = cluster.replicas[address].record.charter.get("chosen", 0)
    out = [("order", address, x.number, x.base, x.author) for x in unconfirmed(cluster)]
    if len(cluster.orders) < setting.orders:
        author = f"op{len(cluster.orders)}"
        out.append(("order", address, current + 1, current, author))
    return out


def unconfirmed(cluster):
    confirmed = {x.order for x in cluster.operations if x.confirmed}
    return [x for x in cluster.orders if x not in confirmed]


def breadth_first(setting, *, depth, most_states=10**9, seconds=10**9):
    """Every order of events up to `depth` after the first election, states met twice left out."""
    begin, report = elected(setting), Report()
    started, seen = time.monotonic(), set()
    queue = deque([()])
    while queue:
        if report.states >= most_states or time.monotonic() - started > seconds:
            break
        path = queue.popleft()
        cluster, violation = play(setting, begin + list(path))
        report.states += 1
        report.events += len(path)
        report.depth = max(report.depth, len(path))
        if violation is not None:
            report.found = Found(violation=violation, events=begin + list(path))
            cluster.close()
            break
        if len(path) < depth:
            names = [event[0] for event in path]
            for event in choices(cluster, setting, names.count):
                queue.append((*path, event))
            queue = fresh(queue, seen, cluster)
        cluster.close()
    report.complete = not queue and report.found is None
    report.seconds = time.monotonic() - started
    return report


def fresh(queue, seen, cluster):
    """Drops what was just added where this state was met before."""
    fingerprint = cluster.fingerprint()
    if fingerprint not in seen:
        seen.add(fingerprint)
        return queue
    path = queue[-1][:-1]
    while queue and queue[-1][:-1] == path:
        queue.pop()
    return queue
