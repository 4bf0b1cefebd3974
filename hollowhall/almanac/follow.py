"""A replica's own copy of the log: the appends that it takes from the leader, and its disk. One task
writes the disk, one frame and one sync at a time. No other process is told of an entry, a term or a vote
before it is synced."""

import asyncio

from ..base.problems import Success
from .vote import BLANK, FOLLOWER


class FollowMixin:
    """Writes this replica's log to disk, and takes appends from the leader."""

    # --- disk

    def after_sync(self, callback):
        """Calls back once everything that this replica holds now is synced to disk."""
        if self.hard_dirty or self.unsynced or self.received_snapshot:
            self.sync_callbacks.append(callback)
            self.disk_event.set()
        elif self.writing:
            self.inflight_callbacks.append(callback)
        else:
            callback()

    async def wait_synced(self):
        done = asyncio.get_running_loop().create_future()
        self.after_sync(lambda: done.done() or done.set_result(None))
        await done

    async def keep_disk(self):
        """The task that writes the disk. If the disk fails, the daemon logs it and ends."""
        while True:
            await self.disk_event.wait()
            self.disk_event.clear()
            while self.hard_dirty or self.unsynced or self.sync_callbacks or self.received_snapshot:
                entries, callbacks, snapshot = self.unsynced, self.sync_callbacks, self.received_snapshot
                self.unsynced, self.sync_callbacks, self.received_snapshot = [], [], None
                self.hard_dirty, self.writing, self.inflight_callbacks = False, True, callbacks
                self.write_started = self.runtime.now()
                hard = {"t": self.term, "v": self.vote, "m": not self.blank, "f": self.minimum_term}
                if snapshot is not None:
                    if not snapshot["keep"]:
                        before = hard | {"m": self.counts_on_disk()}
                        await self.segments.put(hard=before, entries=[], cut=snapshot["i"])
                    async with self.snapshot_lock:
                        await self.segments.snap(snapshot=snapshot)
                await self.write_entries(hard=hard, entries=entries)
                self.counted_on_disk = hard["m"]
                self.writing, self.write_started = False, None
                for entry in reversed(entries):
                    if self.term_at(entry[0]) == entry[1]:
                        self.synced = max(self.synced, entry[0])
                        break
                callbacks, self.inflight_callbacks = self.inflight_callbacks, []
                for callback in callbacks:
                    callback()
                self.advance()
            if (
                self.applied - self.snap_i >= self.snapshot_due
                or self.segments.free_files() * 2 <= self.segments.file_count
                and self.applied > self.snap_i
            ):
                self.snapshot_event.set()

    def counts_on_disk(self):
        """Whether the disk says that this replica counts. It must not say so before the snapshot by which
        a blank replica counts again is on disk: without that snapshot the replica holds nothing of what
        it acknowledged before its disk was lost."""
        return self.counted_on_disk

    async def write_entries(self, *, hard, entries):
        """Group commit: writes all entries in one frame, or in frames of at most half a segment file."""
        while True:
            count = size = 0
            while count < len(entries) and (
                count == 0 or size + len(entries[count][2]) < self.segments.size // 2
            ):
                size += len(entries[count][2]) + 32
                count += 1
            if self.segments.free_files() < 2 and self.applied > self.snap_i:
                await self.save_snapshot()
            await self.segments.put(hard=hard, entries=entries[:count])
            entries = entries[count:]
            if not entries:
                return
            self.write_started = self.runtime.now()

    def on_append(self, *, request, callback, caller):
        """Takes the leader's entries if the log matches before them; answers after the sync."""
        if request["t"] < self.term:
            callback(Success(value=self.ack(yes=False)))
            return
        if (
            request["t"] > self.term
            or self.election_role not in (FOLLOWER, BLANK)
            or self.leader != request["l"]
        ):
            self.become(role=FOLLOWER, term=request["t"], leader=request["l"], why="leader heard")
        self.election_timer_start = self.leader_heard_at = self.runtime.now()
        self.merge_lease_ages(request.get("h", {}))
        previous_index = request["li"]
        if previous_index < self.base_index:
            skip = self.base_index - previous_index
            entries, previous_index, previous_term = request["es"][skip:], self.base_index, self.base_term
            if skip > len(request["es"]):  # the snapshot covers them; it may not be on disk yet
                answer = self.ack(yes=True)
                self.after_sync(lambda: callback(Success(value=answer)))
                return
        else:
            entries, previous_term = request["es"], request["lt"]
        if self.term_at(previous_index) != previous_term:
            callback(Success(value=self.ack(yes=False, last=min(self.last(), previous_index - 1))))
            return
        for entry in entries:
            if entry[0] <= self.last():
                if self.term_at(entry[0]) == entry[1]:
                    continue
                self.log_entries = self.log_entries[: entry[0] - self.base_index - 1]
                self.unsynced = [pending for pending in self.unsynced if pending[0] < entry[0]]
                self.synced = min(self.synced, entry[0] - 1)
                self.drop_memberships_after(entry[0] - 1)
            self.log_entries.append(entry)
            self.add_membership_entry(entry)
            self.unsynced.append(entry)
        last_held = previous_index + len(entries)
        if min(request["c"], last_held) > self.commit:
            self.commit = min(request["c"], last_held)
            self.apply()
        self.note_state_current(request=request, last_held=last_held)
        if last_held >= request["c"]:
            self.count_if_caught_up(term=request["t"], commit=request["c"])
        answer = self.ack(yes=True)
        self.after_sync(lambda: callback(Success(value=answer)))

    def ack(self, *, yes, last=None):
        """The answer to an append or a snapshot. If `yes` is false the leader continues from `last`."""
        return {
            "t": self.term,
            "yes": yes,
            "blank": self.blank,
            "floor": self.minimum_term,
            "mark": max(self.checksums.items(), default=None),
            "time": self.runtime.now(),
            "last": self.last() if last is None else last,
        }
