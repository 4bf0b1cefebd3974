"""Random walks: each next event is drawn by a seed from those that mean something now."""

import random
import time

from ..almanac.vote import LEADER
from .search import Found, Report, step

WEIGHTS = {
    "deliver": 60,
    "append": 25,
    "steer": 6,
    "order": 6,
    "read": 5,
    "knock": 4,
    "depart": 1,
    "timeout": 2,
    "lose": 2,
    "duplicate": 1,
    "snapshot": 1,
    "restart": 3,
    "power": 1,
    "kill": 0.5,
    "wipe": 0.4,
    "hold": 1,
    "sync": 8,
    "silence": 0.7,
}


def walk_event(cluster, setting, rng):
    """One random event that means something now."""
    kinds = list(WEIGHTS)
    for _ in range(50):
        kind = rng.choices(kinds, [WEIGHTS[k] for k in kinds])[0]
        event = WALK[kind](cluster, setting, rng)
        if event is not None:
            return event
    return ("silence",)


def any_message(name):
    def choose(cluster, setting, rng):
        numbers = list(cluster.network.messages)
        if not numbers:
            return None
        if name == "duplicate":
            return ("deliver", rng.choice(numbers), True)
        return (name, rng.choice(numbers))

    return choose


def any_running(name, *more):
    def choose(cluster, setting, rng):
        if not cluster.replicas:
            return None
        return (name, rng.choice(list(cluster.replicas)), *more)

    return choose


def walk_append(cluster, setting, rng):
    leaders = [r for r in cluster.running() if r.rank == LEADER and r.peers]
    if not leaders:
        return None
    leader = rng.choice(leaders)
    return ("append", leader.params.addr, rng.choice(leader.peers))


def at_leader(name):
    def choose(cluster, setting, rng):
        leaders = [r.params.addr for r in cluster.running() if r.rank == LEADER]
        return (name, rng.choice(leaders)) if leaders else None

    return choose


def walk_order(cluster, setting, rng):
    """A new order, one with a number that is in use, or one sent again."""
    leaders = [r for r in cluster.running() if r.rank == LEADER]
    if not leaders:
        return None
    leader = rng.choice(leaders)
    if cluster.orders and rng.random() < 0.4:
        x = rng.choice(cluster.orders[-4:])
        return ("order", leader.params.addr, x.number, x.base, x.author)
    base = leader.record.charter.get("chosen", 0)
    number = base + rng.choice((1, 1, 2, 5))
    return ("order", leader.params.addr, number, base, f"op{len(cluster.orders)}")


def may_lose(cluster, setting, *, disk):
    """Whether one more of those that count may go: service needs a majority of them running,
    and no more disks are lost than the setting allows."""
    if disk and cluster.counts["lost disks"] >= setting.lost_disks:
        return False
    return len(cluster.replicas) > 1


def walk_power(cluster, setting, rng):
    if not may_lose(cluster, setting, disk=False):
        return None
    address = rng.choice(list(cluster.replicas))
    return ("power", address, rng.random() < 0.5, rng.random() < 0.5)


def walk_kill(cluster, setting, rng):
    if not may_lose(cluster, setting, disk=False):
        return None
    return ("kill", rng.choice(list(cluster.replicas)))


def walk_wipe(cluster, setting, rng):
    if not may_lose(cluster, setting, disk=True):
        return None
    return ("wipe", rng.choice(cluster.addresses))


def walk_restart(cluster, setting, rng):
    down = [a for a in cluster.addresses if a not in cluster.replicas]
    return ("restart", rng.choice(down)) if down else None


def walk_sync(cluster, setting, rng):
    waiting = [a for a in cluster.replicas if cluster.disks[a].waiting]
    return ("sync", rng.choice(waiting)) if waiting else None


def walk_knock(cluster, setting, rng):
    outside = [r.params.addr for r in cluster.running() if r.params.addr not in r.alms]
    return ("knock", rng.choice(outside)) if outside else None


WALK = {
    "deliver": any_message("deliver"),
    "lose": any_message("lose"),
    "duplicate": any_message("duplicate"),
    "append": walk_append,
    "steer": at_leader("steer"),
    "order": walk_order,
    "read": any_running("read"),
    "knock": walk_knock,
    "timeout": any_running("timeout"),
    "depart": any_running("depart"),
    "snapshot": any_running("snapshot"),
    "restart": walk_restart,
    "power": walk_power,
    "kill": walk_kill,
    "wipe": walk_wipe,
    "hold": any_running("hold"),
    "sync": walk_sync,
    "silence": lambda cluster, setting, rng: ("silence",),
}


def random_walk(setting, *, seed, steps):
    """One walk; its report has the run where a rule broke."""
    rng, report, started = random.Random(seed), Report(), time.monotonic()
    cluster, events, states = setting.cluster(seed), [], set()
    for _ in range(steps):
        event = walk_event(cluster, setting, rng)
        events.append(event)
        violation = step(cluster, event)
        states.add(cluster.fingerprint())
        if violation is not None:
            report.found = Found(violation=violation, events=events)
            break
    report.states, report.events, report.depth = len(states), len(events), len(events)
    report.seconds = time.monotonic() - started
    cluster.close()
    return report
