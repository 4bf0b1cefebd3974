"""Replication of the store's log, on the leader. One task per peer sends it entries or a snapshot; one
task writes the disk. An entry is committed when a majority has synced it and it is of the leader's own
term. A read is answered once a majority has answered an append that was sent after the read arrived, so
that a leader that was suspended does not answer with old state."""

import asyncio

from ..base import constants
from ..base.circuit import pack, unpack
from ..base.loop_time import in_section
from ..base.problems import Full, NotLeader, TooLarge, Unsure
from .vote import FOLLOWER, LEADER


class ReplicationMixin:
    """The log, and its replication to the peers while this member leads."""

    def last(self):
        """The index of the last log entry."""
        return self.log_entries[-1][0] if self.log_entries else self.base_index

    def term_at(self, index):
        """The term of the entry at an index; -1 if the log does not hold it."""
        if index == self.base_index:
            return self.base_term
        position = index - self.base_index - 1
        return self.log_entries[position][1] if 0 <= position < len(self.log_entries) else -1

    def entries(self, index):
        """The log's entries from an index on."""
        return self.log_entries[max(0, index - self.base_index - 1) :]

    # --- leader

    def start_leading(self):
        """Resets what a leader knows of its peers, extends the leases and appends a no-op: an entry of the
        new term, without which nothing earlier can be committed."""
        self.led_since = self.runtime.now()
        self.next = {peer: self.last() + 1 for peer in self.peers}
        self.match = {peer: 0 for peer in self.peers}
        self.acked_at, self.acked_number, self.append_count = {}, {peer: 0 for peer in self.peers}, 0
        self.peer_times = {}
        self.minimum_terms = {}
        self.blank_peers, self.pending_reads, self.lease_ends, self.expiring = set(), [], {}, set()
        for lease, fields in self.keys.leases.items():
            self.lease_ends[lease] = self.latest_keep_alive(lease) + fields["ttl"]
        self.noop_index = self.add(data=pack(["noop"]))

    def latest_keep_alive(self, lease):
        """The latest time at which a keep-alive of this lease can have been confirmed. A confirmed one was
        in an append that a majority answered, so one of the members that voted for this leader knows of
        it. A voter forgets what it heard before it started, so its start is taken instead."""
        ages = [self.runtime.now() - max(self.lease_kept_at.get(lease, 0.0), self.started_at)]
        ages += [
            vote["h"].get(lease, vote["born"]) if "h" in vote else 0.0
            for term, vote in self.ballots
            if term == self.term
        ]
        return self.runtime.now() - max(0.0, min(ages))

    def lease_ages(self):
        """Seconds since the last keep-alive of each lease, sent with appends and votes. Includes leases
        whose grant is not applied here yet: a lagging voter may be the only one to know of a confirmed
        keep-alive. Leases that are gone are forgotten after UNKNOWN_KEEPALIVE_KEPT."""
        now = self.runtime.now()
        self.lease_kept_at = {
            lease: kept_at
            for lease, kept_at in self.lease_kept_at.items()
            if lease in self.keys.leases or now - kept_at < constants.UNKNOWN_KEEPALIVE_KEPT
        }
        known = dict.fromkeys([*self.keys.leases, *self.lease_kept_at])
        return {lease: now - max(self.lease_kept_at.get(lease, 0.0), self.started_at) for lease in known}

    def merge_lease_ages(self, ages):
        now = self.runtime.now()
        for lease, age in ages.items():
            self.lease_kept_at[lease] = max(self.lease_kept_at.get(lease, 0.0), now - age)

    def stop_leading(self):
        """Answers all pending proposals as unsure, since the next leader may still commit them, and all
        reads with NotLeader."""
        for callback in self.pending.drain():
            callback(Unsure(why="lead lost"))
        self.pending_proposals = {}
        for _, _, callback in self.pending_reads:
            callback(NotLeader(hint=""))
        self.pending_reads = []

    def add(self, *, data):
        """Appends an entry to the leader's log; returns its index."""
        entry = [self.last() + 1, self.term, data]
        self.log_entries.append(entry)
        self.unsynced.append(entry)
        self.add_membership_entry(entry)
        self.disk_event.set()
        for peer in self.peers:
            self.replication_events[peer].set()
        return entry[0]

    def propose(self, *, request, callback):
        """Appends a packed operation to the log. The callback gets its result once it is applied, or a
        failure."""
        if self.election_role != LEADER or self.handing_over:
            callback(NotLeader(hint="" if self.handing_over else self.leader))
            return
        if len(request) > min(constants.ENTRY_MAX_BYTES, self.segments.size // 2):
            callback(TooLarge(limit=min(constants.ENTRY_MAX_BYTES, self.segments.size // 2)))
            return
        if self.last() - self.commit > constants.UNCOMMITTED_ENTRIES_MAX:
            callback(Full(where="store", after=constants.RETRY_AFTER))
            return
        ticket = self.pending.put(callback=callback)
        if ticket is None:
            callback(Full(where="store", after=constants.RETRY_AFTER))
            return
        self.pending_proposals[self.add(data=request)] = ticket

    def read(self, *, callback):
        """Calls back with None once a majority has confirmed that this member still led after the call, and
        with a failure otherwise."""
        if self.election_role != LEADER:
            callback(NotLeader(hint=self.leader))
            return
        self.pending_reads.append((self.append_count, max(self.commit, self.noop_index), callback))
        for peer in self.peers:
            self.replication_events[peer].set()
        self.advance()

    async def replicate(self, peer):
        """Sends appends or snapshots until the address is no longer a peer. That is checked in the loop,
        because wait_for loses a cancellation that arrives together with the event."""
        event = self.replication_events[peer]
        while self.replication_events.get(peer) is event:
            try:
                await asyncio.wait_for(event.wait(), constants.LEADER_HEARTBEAT_PERIOD)
            except TimeoutError:
                pass
            event.clear()
            while (
                self.election_role == LEADER
                and self.replication_events.get(peer) is event
                and await self.replicate_once(peer)
            ):
                pass

    async def replicate_once(self, peer):
        """Sends one append or snapshot; returns whether there is more to send at once."""
        term, next_index = self.term, self.next[peer]
        if self.links[peer].level < self.record.level:
            return False  # too old for the record's format; it logs this itself when it asks
        self.append_count += 1
        number, sent_at = self.append_count, self.runtime.now()
        if next_index <= self.base_index:
            outcome, last_sent = await self.send_snapshot(peer=peer, term=term)
        else:
            entries, size = [], 0
            for entry in self.entries(next_index):
                entries.append(entry)
                size += len(entry[2])
                if size > constants.APPEND_MAX_BYTES:
                    break
            outcome = await self.links[peer].call(
                op="append",
                wait=1.0,
                request={
                    "t": term,
                    "l": self.settings.addr,
                    "li": next_index - 1,
                    "lt": self.term_at(next_index - 1),
                    "es": entries,
                    "c": self.commit,
                    "h": self.lease_ages(),
                    "contact": self.contact_age(),
                    "echo": self.peer_times.get(peer) if self.has_committed() else None,
                },
            )
            last_sent = next_index - 1 + len(entries)
        if not outcome.ok or self.election_role != LEADER or self.term != term or peer not in self.peers:
            return False
        answer = outcome.value
        if answer["t"] > self.term:
            self.become(role=FOLLOWER, term=answer["t"], why="newer term seen")
            return False
        (self.blank_peers.add if answer["blank"] else self.blank_peers.discard)(peer)
        self.minimum_terms[peer] = answer["floor"]
        if (
            answer["blank"]
            and answer["floor"] is not None
            and answer["floor"] >= term
            and answer["yes"]
            and last_sent >= self.last()
        ):
            self.run_task(coroutine=self.campaign(forced=True), name="renew")
            return False
        self.acked_at[peer], self.acked_number[peer] = sent_at, number
        self.peer_times[peer] = answer.get("time")
        self.compare_checksums(peer=peer, reported=answer.get("mark"))
        if answer["yes"]:
            self.match[peer], self.next[peer] = last_sent, last_sent + 1
        else:
            self.next[peer] = max(1, min(next_index - 1, answer["last"] + 1))
        self.advance()
        return not answer["yes"] or last_sent < self.last()

    def has_committed(self):
        """Whether this leader has committed an entry of its own term, and so knows all that was confirmed."""
        return self.term_at(self.commit) == self.term

    def advance(self):
        """Advances the commit index and answers reads, as far as a majority has answered."""
        if self.election_role != LEADER:
            return
        counted_peers = [peer for peer in self.voter_peers if peer not in self.blank_peers]
        is_voter = self.settings.addr in self.voters
        held = sorted([self.synced] * is_voter + [self.match[peer] for peer in counted_peers], reverse=True)
        if len(held) >= self.majority():
            index = min(held[self.majority() - 1], self.last())
            if index > self.commit and self.term_at(index) == self.term:
                self.commit = index
                self.apply()
                for peer in self.peers:
                    self.replication_events[peer].set()
        answered = sorted(
            [self.append_count + 1] * is_voter + [self.acked_number[peer] for peer in counted_peers],
            reverse=True,
        )
        if self.pending_reads and len(answered) >= self.majority():
            confirmed, waiting, ready = answered[self.majority() - 1], [], []
            for read in self.pending_reads:
                (ready if read[0] < confirmed and read[1] <= self.applied else waiting).append(read)
            self.pending_reads = waiting
            for read in ready:
                read[2](None)

    @in_section("apply")
    def apply(self):
        """Applies the committed entries and answers their proposals."""
        while self.applied < self.commit:
            entry = self.log_entries[self.applied - self.base_index]
            outcome = self.apply_entry(index=entry[0], command=unpack(entry[2]))
            self.applied = entry[0]
            if entry[0] % constants.CHECKSUM_INTERVAL_ENTRIES == 0 and self.record.level:
                self.note_checksum(entry[0])
            ticket = self.pending_proposals.pop(entry[0], None)
            callback = self.pending.take(index=ticket[0], generation=ticket[1]) if ticket else None
            if callback is not None:
                callback(outcome)
        self.answer_polls()
