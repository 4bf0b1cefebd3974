"""Failure detection: which daemons are in the fleet and which are down. Every daemon registers itself
under member/ and sends heartbeats to a few watchers, given by its position on a monitoring ring of ids. A
watcher that hears nothing reports the daemon as suspected to the store's leader. A daemon is marked down
only when enough of its watchers agree and are not partitioned themselves."""

import asyncio

from ..base import constants, log_events
from ..base.circuit import pack
from ..base.problems import Diverged, NotLeader, Success
from .vote import LEADER


class FailureDetectionMixin:
    """The leader's view of the fleet: daemons that are down, the format level that all support, and state
    checksums."""

    def open_members(self):
        self.suspicions = {}
        self.run_task(coroutine=self.update_down_members(), name="judge")

    def on_suspect(self, *, request, callback, caller):
        """A watcher's full list of the daemons that it suspects; replaces its previous list."""
        if self.election_role != LEADER:
            callback(NotLeader(hint=self.leader))
            return
        self.suspicions[request["by"]] = (self.runtime.now(), set(request["ids"]))
        callback(Success(value={}))

    # --- the format level, and state checksums

    def known_level(self):
        """The highest format level that the settings allow and that every store member, and every
        scheduler and gateway that is not down, supports."""
        cards = [entry["v"] for entry in self.keys.with_prefix(prefix="member/").values()]
        members = {card["addr"]: card.get("level", 0) for card in cards if card["role"] == "almanac"}
        known = [members.get(addr, 0) for addr in self.store_addresses]
        known += [
            card.get("level", 0) for card in cards if card["role"] != "almanac" and not card.get("down")
        ]
        return min(constants.LEVEL, self.settings.level, *known)

    def raise_level(self):
        """Proposes the highest level that all support: up to the usual level step by step, and from there
        at once, because work accepted at a level in between would follow rules that hold only briefly."""
        now, self.level_known = self.record.level, self.known_level()
        if self.level_known > now:
            level = self.level_known if now >= constants.LEVEL_DEFAULT else now + 1
            self.propose(request=pack(["level", level]), callback=lambda outcome: None)

    def note_checksum(self, index):
        """Keeps the record's checksum at an index, for comparison with the other members'."""
        self.checksums[index] = self.record.sum
        for old_index in [
            old_index
            for old_index in self.checksums
            if old_index <= index - constants.CHECKSUM_INTERVAL_ENTRIES * constants.CHECKSUMS_KEPT
        ]:
            del self.checksums[old_index]

    def compare_checksums(self, *, peer, reported):
        """Compares the members' state checksums at one index, on the leader. A member that differs from a
        majority is told to end, and the leader ends if it is the one that differs."""
        if reported is None or reported[0] not in self.checksums:
            return
        index, own_address = reported[0], self.settings.addr
        by_member = self.checksums_by_index.setdefault(index, {})
        by_member[own_address], by_member[peer] = self.checksums[index], reported[1]
        for member in [member for member in self.checksums_by_index if member not in self.checksums]:
            del self.checksums_by_index[member]
        sums = list(by_member.values())
        majority_sum = max(set(sums), key=sums.count)
        if sums.count(majority_sum) < self.majority() or sums.count(majority_sum) == len(sums):
            return
        for member, checksum in by_member.items():
            if checksum != majority_sum and member == own_address:
                self.end_with_failure(Diverged(index=index, have=checksum, most=majority_sum))
            elif checksum != majority_sum:
                self.links[member].send_request(
                    op="odd", request={"i": index, "s": majority_sum}, callback=lambda outcome: None
                )

    def on_marks(self, *, request, callback, caller):
        """Answers this replica's state checksums, by log index."""
        callback(Success(value=self.checksums))

    def on_odd(self, *, request, callback, caller):
        """The leader reports that this replica's checksum differs from the majority's: ends if it does."""
        if self.checksums.get(request["i"], request["s"]) != request["s"]:
            self.end_with_failure(
                Diverged(index=request["i"], have=self.checksums[request["i"]], most=request["s"])
            )
        callback(Success(value={}))

    async def update_down_members(self):
        """The leader's task that marks daemons down or up by what their watchers report."""
        while True:
            await asyncio.sleep(constants.MONITORING_HEARTBEAT_PERIOD)
            if self.election_role != LEADER:
                self.suspicions = {}
                continue
            if self.runtime.now() - self.led_since < constants.SUSPECT_AFTER_SILENCE:
                continue  # the watchers have not found this leader yet
            now, entries = self.runtime.now(), self.keys.with_prefix(prefix="member/")
            self.raise_level()
            ids = [key.split("/", 1)[1] for key in entries]
            recent = {
                watcher: suspects
                for watcher, (reported_at, suspects) in self.suspicions.items()
                if now - reported_at < constants.SUSPECT_AFTER_SILENCE * 2
            }
            # a watcher that suspects most of the fleet is partitioned itself
            credible = {
                watcher: suspects
                for watcher, suspects in recent.items()
                if len(suspects) * 2 <= max(2, len(ids))
            }
            for daemon in ids:
                card = entries["member/" + daemon]["v"]
                accusers = sum(1 for suspects in credible.values() if daemon in suspects)
                down = accusers >= min(constants.SUSPECTING_WATCHERS_MIN, max(1, len(ids) - 1))
                if down != bool(card.get("down")):
                    self.say(
                        log_events.MEMBER_DOWN if down else log_events.MEMBER_UP, id=daemon, accusers=accusers
                    )
                    revision = entries["member/" + daemon]["mod"]
                    self.propose(
                        callback=lambda outcome: None,
                        request=pack(
                            [
                                "txn",
                                [["member/" + daemon, "mod", revision]],
                                [["put", "member/" + daemon, card | {"down": down}, 0]],
                                [],
                            ]
                        ),
                    )
