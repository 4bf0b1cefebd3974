"""Snapshots of a replica's state: saved on disk, and sent to those that are too far behind the log. A
snapshot is taken in slices between other work, and written by one task at a time. It is sent in chunks, and
a broken connection does not restart it. Members and schedulers that do not support chunks get the whole
snapshot in one frame, as in 0.1.0."""

import asyncio

from ..base import constants, log_events
from ..base.circuit import pack, unpack
from ..base.problems import Success
from .vote import BLANK, FOLLOWER, LEADER


class SnapshotsMixin:
    """Takes, saves, sends and receives snapshots."""

    def open_snapshots(self):
        self.snapshot_lock, self.snapshot_event = asyncio.Lock(), asyncio.Event()
        # (index, term, bytes) of the snapshot that is sent; (key, bytes so far) of one that is received
        self.outgoing_snapshot, self.incoming_snapshot = None, None
        self.snapshot_due = self.snapshot_interval()
        self.snapshot_progress = {}  # by peer: (index of a snapshot, bytes of it that the peer has)

    def snapshot_interval(self):
        """Entries until the next snapshot; randomized, so that members do not all take one at once."""
        return int(
            self.settings.snap_every * (1 + constants.SNAPSHOT_INTERVAL_SPREAD * self.runtime.rng.random())
        )

    def snapshot_header(self):
        """What a snapshot holds besides the record: index, term, keys and membership."""
        membership = self.membership_at(self.applied)
        return {
            "i": self.applied,
            "t": self.term_at(self.applied),
            "keys": unpack(pack(self.keys.pack())),
        } | ({"conf": membership} if membership["v"] else {})

    def whole_snapshot(self):
        """A snapshot taken at once, without slices."""
        self.runtime.spend(s=self.record.task_count() * constants.PACK_TASK_CPU_TIME)
        return self.snapshot_header() | {"record": self.record.pack()}

    async def take_snapshot(self):
        """Takes a snapshot in slices; None if a newer one was loaded meanwhile."""
        if not self.record.level:
            return self.whole_snapshot()
        taken = await self.record.picture(
            spend=self.runtime.spend, now=self.runtime.now, also=self.snapshot_header
        )
        return taken and taken[1] | {"record": taken[0]}

    async def run_snapshots(self):
        """The task that saves a snapshot whenever one is due."""
        while True:
            await self.snapshot_event.wait()
            self.snapshot_event.clear()
            await self.save_snapshot()

    async def save_snapshot(self):
        """Takes a snapshot, saves it and drops log entries that it covers. A quarter of an interval is
        kept for members that are only a little behind."""
        async with self.snapshot_lock:
            snapshot = await self.take_snapshot()
            if snapshot is None or snapshot["i"] <= self.snap_i:
                return
            await self.segments.snap(snapshot=snapshot)
            if snapshot["i"] <= self.snap_i:
                return
            self.snap_i = snapshot["i"]
            cut = min(snapshot["i"], self.last()) - self.settings.snap_every // 4
            if cut > self.base_index:
                cut_term = self.term_at(cut)
                self.log_entries = self.entries(cut + 1)
                self.base_index, self.base_term = cut, cut_term
            self.snapshot_due = self.snapshot_interval()
            self.say(log_events.SNAP_SAVED, index=snapshot["i"])

    def load_snapshot(self, snapshot):
        self.keys.load(snapshot["keys"])
        self.record.load(snapshot["record"])
        self.runtime.spend(s=self.record.task_count() * constants.LOAD_TASK_CPU_TIME)

    # --- sending, in chunks

    def snapshot_to_send(self):
        """(index, term, bytes) of the snapshot on disk; None while one that was just received from the
        leader is still being written."""
        if self.outgoing_snapshot is None or self.outgoing_snapshot[0] != self.snap_i:
            saved = self.segments.snapshot_bytes()
            self.outgoing_snapshot = saved and (saved[1], saved[2], saved[0])
        return (
            self.outgoing_snapshot
            if self.outgoing_snapshot and self.outgoing_snapshot[0] >= self.base_index
            else None
        )

    def chunk(self, *, offset):
        """The message fields of one chunk of the snapshot on disk; None if there is none to send."""
        snapshot = self.snapshot_to_send()
        if snapshot is None:
            return None
        index, term, body = snapshot
        return {
            "i": index,
            "st": term,
            "off": offset,
            "all": len(body),
            "by": self.settings.addr,
            "b": body[offset : offset + constants.SNAPSHOT_CHUNK_BYTES],
        }

    async def send_snapshot(self, *, peer, term):
        """Sends a peer the snapshot; returns (the last answer, the snapshot's index)."""
        if self.links[peer].level < 1 or self.snapshot_to_send() is None:
            snapshot = self.whole_snapshot()
            return await self.links[peer].call(
                op="snap",
                wait=5.0,
                request={"t": term, "l": self.settings.addr, "d": snapshot, "h": self.lease_ages()},
            ), snapshot["i"]
        while True:
            index = self.snapshot_to_send()[0]
            progress = self.snapshot_progress.get(peer)
            chunk = self.chunk(offset=progress[1] if progress and progress[0] == index else 0)
            sent_at = self.runtime.now()
            outcome = await self.links[peer].call(
                op="snap",
                wait=5.0,
                request=chunk | {"t": term, "l": self.settings.addr, "h": self.lease_ages()},
            )
            if (
                not outcome.ok
                or "have" not in outcome.value
                or self.term != term
                or peer not in self.peers
                or self.election_role != LEADER
            ):
                return outcome, index
            self.acked_at[peer], self.snapshot_progress[peer] = sent_at, (index, outcome.value["have"])

    # --- receiving

    def on_snap(self, *, request, callback, caller):
        """Takes a snapshot, or a chunk of one, from the leader; answers a whole one after the sync."""
        if request["t"] < self.term:
            callback(Success(value=self.ack(yes=False)))
            return
        if (
            request["t"] > self.term
            or self.leader != request["l"]
            or self.election_role not in (FOLLOWER, BLANK)
        ):
            self.become(role=FOLLOWER, term=request["t"], leader=request["l"], why="leader heard")
        self.election_timer_start = self.leader_heard_at = self.runtime.now()
        self.merge_lease_ages(request.get("h", {}))
        snapshot = request["d"] if "d" in request else self.add_chunk(request)
        if snapshot is None:
            callback(Success(value=self.ack(yes=True) | {"have": len(self.incoming_snapshot[1])}))
            return
        if snapshot["i"] > self.applied:
            self.load_snapshot(snapshot)
            keep = self.term_at(snapshot["i"]) == snapshot["t"]
            self.log_entries = self.entries(snapshot["i"] + 1) if keep else []
            self.load_membership(snapshot, keep=keep)
            self.unsynced = [entry for entry in self.unsynced if keep and entry[0] > snapshot["i"]]
            self.base_index, self.base_term = snapshot["i"], snapshot["t"]
            self.commit = self.applied = self.snap_i = snapshot["i"]
            self.synced = max(self.synced, snapshot["i"]) if keep else snapshot["i"]
            self.received_snapshot = snapshot | {"keep": keep}
            self.say(log_events.SNAP_TAKEN, index=snapshot["i"])
            self.answer_polls()
        answer = self.ack(yes=True)
        self.after_sync(lambda: callback(Success(value=answer)))

    def add_chunk(self, request):
        """Adds a chunk of a snapshot; returns the whole snapshot with the last chunk, None before."""
        key = (request["by"], request["i"], request["all"])
        if self.incoming_snapshot is None or self.incoming_snapshot[0] != key:
            self.incoming_snapshot = (key, bytearray())
        body = self.incoming_snapshot[1]
        if request["off"] == len(body):
            body += request["b"]
        if len(body) < request["all"]:
            return None
        self.incoming_snapshot = None
        return unpack(bytes(body))
