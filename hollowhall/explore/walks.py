"""Random walks: a seeded generator draws each next event among the possible ones."""

import random
import time

from ..almanac.vote import LEADER
from .search import Counterexample, Report, play_event

EVENT_WEIGHTS = {
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


def random_event(cluster, setting, rng):
    """A random event that is possible in the current state."""
    kinds = list(EVENT_WEIGHTS)
    for _ in range(50):
        kind = rng.choices(kinds, [EVENT_WEIGHTS[k] for k in kinds])[0]
        event = EVENT_CHOOSERS[kind](cluster, setting, rng)
        if event is not None:
            return event
    return ("silence",)


def choose_message(name):
    def choose(cluster, setting, rng):
        numbers = list(cluster.network.messages)
        if not numbers:
            return None
        if name == "duplicate":
            return ("deliver", rng.choice(numbers), True)
        return (name, rng.choice(numbers))

    return choose


def choose_running(name, *more):
    def choose(cluster, setting, rng):
        if not cluster.replicas:
            return None
        return (name, rng.choice(list(cluster.replicas)), *more)

    return choose


def choose_append(cluster, setting, rng):
    leaders = [r for r in cluster.running() if r.election_role == LEADER and r.peers]
    if not leaders:
        return None
    leader = rng.choice(leaders)
    return ("append", leader.settings.addr, rng.choice(leader.peers))


def choose_leader(name):
    def choose(cluster, setting, rng):
        leaders = [r.settings.addr for r in cluster.running() if r.election_role == LEADER]
        return (name, rng.choice(leaders)) if leaders else None

    return choose


def choose_order(cluster, setting, rng):
    """A retry of a recent order, or a new one, whose number may be in use already."""
    leaders = [r for r in cluster.running() if r.election_role == LEADER]
    if not leaders:
        return None
    leader = rng.choice(leaders)
    if cluster.orders and rng.random() < 0.4:
        order = rng.choice(cluster.orders[-4:])
        return ("order", leader.settings.addr, order.number, order.base, order.author)
    base = leader.record.charter.get("chosen", 0)
    number = base + rng.choice((1, 1, 2, 5))
    return ("order", leader.settings.addr, number, base, f"op{len(cluster.orders)}")


def may_lose(cluster, setting, *, disk):
    """Whether one more replica may fail: another one must keep running, and the number of lost
    disks is limited by the setting."""
    if disk and cluster.event_counts["lost disks"] >= setting.lost_disks:
        return False
    return len(cluster.replicas) > 1


def choose_power(cluster, setting, rng):
    if not may_lose(cluster, setting, disk=False):
        return None
    address = rng.choice(list(cluster.replicas))
    return ("power", address, rng.random() < 0.5, rng.random() < 0.5)


def choose_kill(cluster, setting, rng):
    if not may_lose(cluster, setting, disk=False):
        return None
    return ("kill", rng.choice(list(cluster.replicas)))


def choose_wipe(cluster, setting, rng):
    if not may_lose(cluster, setting, disk=True):
        return None
    return ("wipe", rng.choice(cluster.addresses))


def choose_restart(cluster, setting, rng):
    down = [a for a in cluster.addresses if a not in cluster.replicas]
    return ("restart", rng.choice(down)) if down else None


def choose_sync(cluster, setting, rng):
    waiting = [a for a in cluster.replicas if cluster.disks[a].waiting_syncs]
    return ("sync", rng.choice(waiting)) if waiting else None


def choose_knock(cluster, setting, rng):
    outside = [r.settings.addr for r in cluster.running() if r.settings.addr not in r.store_addresses]
    return ("knock", rng.choice(outside)) if outside else None


EVENT_CHOOSERS = {
    "deliver": choose_message("deliver"),
    "lose": choose_message("lose"),
    "duplicate": choose_message("duplicate"),
    "append": choose_append,
    "steer": choose_leader("steer"),
    "order": choose_order,
    "read": choose_running("read"),
    "knock": choose_knock,
    "timeout": choose_running("timeout"),
    "depart": choose_running("depart"),
    "snapshot": choose_running("snapshot"),
    "restart": choose_restart,
    "power": choose_power,
    "kill": choose_kill,
    "wipe": choose_wipe,
    "hold": choose_running("hold"),
    "sync": choose_sync,
    "silence": lambda cluster, setting, rng: ("silence",),
}


def random_walk(setting, *, seed, steps):
    """One walk; if a rule breaks, its report has the run as counterexample."""
    rng, report, started = random.Random(seed), Report(), time.monotonic()
    cluster, events, states = setting.cluster(seed), [], set()
    for _ in range(steps):
        event = random_event(cluster, setting, rng)
        events.append(event)
        violation = play_event(cluster, event)
        states.add(cluster.fingerprint())
        if violation is not None:
            report.counterexample = Counterexample(violation=violation, events=events)
            break
    report.states, report.events, report.depth = len(states), len(events), len(events)
    report.seconds = time.monotonic() - started
    cluster.close()
    return report
