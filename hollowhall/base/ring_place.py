"""Failure detection between daemons. Each daemon sends heartbeats to its watchers, the next few daemons on a
ring of hashed ids. Every daemon computes the same ring from the fleet view, which it long-polls with the
version it has. A watcher reports daemons that it has not heard."""

import asyncio
import hashlib
from bisect import bisect
from functools import lru_cache

from . import constants, log_events
from .problems import Success


@lru_cache(maxsize=4096)
def ring_position(daemon_id):
    """The position of an id on the ring."""
    return hashlib.sha256(daemon_id.encode()).digest()[:8]


class MonitoringRing:
    """The monitoring ring of the given ids, computed once for each fleet view."""

    def __init__(self, *, ids):
        self.order = sorted(ids, key=ring_position)
        self.at = {daemon_id: position for position, daemon_id in enumerate(self.order)}

    def watchers(self, daemon_id):
        """The ids that watch a daemon, in the ring or not: the next few after it."""
        first = (
            self.at[daemon_id] + 1
            if daemon_id in self.at
            else bisect(self.order, ring_position(daemon_id), key=ring_position)
        )
        return self.next_few(first=first, but=daemon_id)

    def watched_by(self, daemon_id):
        """The ids that a daemon watches: the few before it, the nearest last."""
        if daemon_id not in self.at:
            return []
        position, count = self.at[daemon_id], min(constants.WATCHERS_PER_DAEMON, len(self.order) - 1)
        return [self.order[position - distance] for distance in range(count, 0, -1)]

    def next_few(self, *, first, but):
        """The ids from position `first` on, as many as watch the daemon `but`."""
        size = len(self.order)
        count = min(constants.WATCHERS_PER_DAEMON, size - (but in self.at))
        return [self.order[(first + offset) % size] for offset in range(count)]


class MonitoringMixin:
    """Registers a daemon in the store and takes part in failure detection."""

    def open_monitoring(self, *, extra=None):
        self.fleet, self.fleet_revision, self.pulses, self.reported_suspects = {}, 0, {}, {}
        self.monitoring_ring, self.ring_rev = MonitoringRing(ids=()), 0
        self.card = {
            "role": self.role,
            "addr": self.settings.addr,
            "zone": self.settings.zone,
            "http": self.settings.http,
            "boot": self.runtime.rng.getrandbits(48),
            "build": self.settings.build,
            "level": constants.LEVEL,
        }
        self.run_task(coroutine=self.enrol(), name="enrol")
        self.run_task(coroutine=self.follow_daemons(), name="see")
        if self.role != "almanac":
            self.run_task(coroutine=self.follow_almanacs(), name="almanacs")
        self.run_task(coroutine=self.pulse(), name="pulse")

    async def enrol(self):
        """Registers this daemon in the store, and again if its entry is replaced."""
        while True:
            card = self.fleet.get(self.settings.id)
            if card is None or card["boot"] != self.card["boot"]:
                await self.store(
                    op="txn",
                    safe=True,
                    request={"cmp": [], "then": [["put", "member/" + self.settings.id, self.card, 0]]},
                )
            await asyncio.sleep(constants.MONITORING_HEARTBEAT_PERIOD)

    async def follow_almanacs(self):
        """Follows the store's membership; the seeds serve at the start only."""
        rev = 0
        while True:
            result = await self.ask_any_member(
                op="watch", request={"p": "store/", "rev": rev}, wait=constants.LONG_POLL_TIMEOUT + 1
            )
            if result.ok and result.value["news"] and result.value["rev"] > rev:
                rev, members = result.value["rev"], result.value["kv"]["store/members"]["v"]
                self.store_addresses = [
                    *members["voters"],
                    *([members["learner"]] if members["learner"] else []),
                ]
                for address in members["past"]:
                    if address in self.links:
                        self.links.pop(address).close()
                for address in self.store_addresses:
                    self.link(addr=address)
            elif not result.ok:
                await asyncio.sleep(constants.RECONNECT_DELAY)

    async def follow_daemons(self):
        """Follows the registered daemons."""
        while True:
            result = await self.ask_any_member(
                op="watch",
                request={"p": "member/", "rev": self.fleet_revision},
                wait=constants.LONG_POLL_TIMEOUT + 1,
            )
            if result.ok and result.value["news"] and result.value["rev"] > self.fleet_revision:
                self.fleet_revision = result.value["rev"]
                self.fleet = {key.split("/", 1)[1]: entry["v"] for key, entry in result.value["kv"].items()}
                self.say(log_events.VIEW_NEW, rev=self.fleet_revision, daemons=len(self.fleet))
            elif not result.ok:
                await asyncio.sleep(constants.RECONNECT_DELAY)

    def on_pulse(self, *, request, callback, caller):
        self.pulses[request["id"]] = self.runtime.now()
        callback(Success(value={}))

    async def pulse(self):
        """Sends heartbeats to the watchers of this daemon and reports the silent ones that it watches."""
        last = self.runtime.now()
        while True:
            await asyncio.sleep(constants.MONITORING_HEARTBEAT_PERIOD)
            now = self.runtime.now()
            if self.ring_rev != self.fleet_revision:
                self.monitoring_ring, self.ring_rev = MonitoringRing(ids=self.fleet), self.fleet_revision
            if (
                now - last > constants.SUSPECT_AFTER_SILENCE
            ):  # this process was frozen, so silence proves nothing
                self.pulses = {}
            last = now
            for watcher in self.monitoring_ring.watchers(self.settings.id):
                address = self.fleet[watcher]["addr"]
                self.link(addr=address).send_request(
                    op="pulse", request={"id": self.settings.id}, callback=lambda result: None
                )
            watched = self.monitoring_ring.watched_by(self.settings.id)
            for daemon_id in watched:
                self.pulses.setdefault(daemon_id, now)
            suspects = [
                daemon_id
                for daemon_id in watched
                if now - self.pulses[daemon_id] > constants.SUSPECT_AFTER_SILENCE
            ]
            if suspects or self.reported_suspects:
                await self.store(
                    op="suspect",
                    request={"by": self.settings.id, "ids": suspects},
                    safe=True,
                    total=constants.MONITORING_HEARTBEAT_PERIOD,
                )
            self.reported_suspects = suspects
