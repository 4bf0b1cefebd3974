"""The store member (role `almanac`): one replica of the replicated store. It replicates the log, keeps
the keys, leases and record that the log describes, and runs for leader of the timestamp clock. This
module combines the parts; each mixin is in a module of its own."""

import asyncio
import math

from ..base import constants, log_events
from ..base.daemon import Daemon
from ..base.problems import Raised
from ..base.ring_place import MonitoringMixin
from ..base.slab import PendingRequests
from ..record import Record
from .bootstrap import BootstrapMixin
from .clock import ClockMixin
from .confs import MembershipMixin
from .copy import ReplicationMixin
from .follow import FollowMixin
from .joining import JoiningMixin
from .keys import Keys
from .members import FailureDetectionMixin
from .pictures import SnapshotsMixin
from .polls import LongPollMixin
from .ring import LogSegments
from .serve import ServeMixin
from .vote import BLANK, FOLLOWER, LEADER, ElectionMixin


class StoreMember(
    JoiningMixin,
    ElectionMixin,
    BootstrapMixin,
    ReplicationMixin,
    FollowMixin,
    SnapshotsMixin,
    ServeMixin,
    LongPollMixin,
    ClockMixin,
    FailureDetectionMixin,
    MembershipMixin,
    MonitoringMixin,
    Daemon,
):
    """One replica of the store."""

    role = "almanac"
    make_record = Record  # subclasses with another record class override this

    def __init__(self, *, settings, runtime):
        super().__init__(settings=settings, runtime=runtime)
        self.keys, self.record = Keys(), self.make_record()
        # listeners are called with (operation, body) before an entry is applied to the record
        self.local_daemons, self.entry_listeners = {settings.addr: self}, []
        self.term, self.vote, self.leader, self.election_role = 0, "", "", FOLLOWER
        # the log's entries, [index, term, body], above the base: the last index that was compacted away
        self.log_entries, self.base_index, self.base_term = [], 0, 0
        self.commit = self.applied = self.synced = self.snap_i = 0
        self.membership_changed_at = 0.0  # s; when the membership in force last changed on this replica
        self.blank, self.minimum_term, self.handing_over = True, None, False
        self.hard_dirty = self.writing = False
        self.unsynced, self.sync_callbacks, self.inflight_callbacks, self.received_snapshot = [], [], [], None
        self.write_started, self.counted_on_disk = None, False
        self.pending, self.pending_proposals = (
            PendingRequests(capacity=constants.PENDING_REQUESTS_PER_CONNECTION),
            {},
        )
        self.led_since, self.match, self.next, self.blank_peers = 0.0, {}, {}, set()
        self.acked_at, self.acked_number, self.append_count, self.pending_reads = {}, {}, 0, []
        self.lease_ends, self.expiring, self.noop_index = {}, set(), 0
        self.checksums, self.checksums_by_index = {}, {}
        self.lease_kept_at, self.ballots, self.started_at = {}, [], runtime.now()
        # At a start an existing leader makes itself heard soon; if all members start together, none does.
        self.election_timer_start = runtime.now()
        self.election_timeout = constants.ELECTION_TIMEOUT_AT_START * (1 + runtime.rng.random())
        # When a leader was last heard; election_timer_start is also reset by this replica's own campaigns.
        self.leader_heard_at = 0.0
        self.state_current_at = -math.inf  # s; everything confirmed before then is in this replica's state

    def restore(self):
        """Loads the state from disk, before any socket opens; raises Raised if the disk is damaged."""
        self.segments = LogSegments(
            disk=self.runtime.disk, files=self.settings.ring_files, size=self.settings.ring_bytes
        )
        hard, snapshot, entries = self.segments.load()
        if self.segments.torn_frames:
            self.say(log_events.TAIL_CUT, frames=self.segments.torn_frames)
        if snapshot is not None:
            self.load_snapshot(snapshot)
            self.base_index, self.base_term = snapshot["i"], snapshot["t"]
            self.commit = self.applied = self.snap_i = snapshot["i"]
            self.load_membership(snapshot, keep=False)
        self.log_entries = entries
        for entry in entries:
            self.add_membership_entry(entry)
        self.synced = self.last()
        self.term, self.vote = hard.get("t", 0), hard.get("v", "")
        self.blank = not hard.get("m", False)
        self.counted_on_disk = not self.blank
        self.election_role = BLANK if self.blank else FOLLOWER
        if not self.blank and self.membership["v"] < 0:  # stopped before the log held a membership
            membership = self.membership | {
                "v": 0,
                "voters": sorted({*self.settings.seeds, self.settings.addr}),
            }
            self.memberships = [(0, membership)]
            self.apply_membership()
        if self.blank:
            self.minimum_term = hard.get("f")  # learned before the process ended; still valid for this disk
        if self.blank and self.settings.join:
            self.minimum_term = 0  # an address that was never a member has voted for nothing

    async def on_first_start(self):
        self.open_membership()
        if not self.settings.auto_members:
            self.settings.seeds = sorted(set(self.settings.seeds) | set(self.voters))
        self.disk_event = asyncio.Event()
        self.open_snapshots()
        self.open_serve()
        self.open_clock()
        try:
            self.restore()
        except Raised as e:
            self.say(log_events.DISK_DAMAGE, problem=e.failure)
            raise

    async def open(self):
        self.open_members()
        self.open_monitoring()
        self.run_task(coroutine=self.keep_disk(), name="disk")
        self.run_task(coroutine=self.run_snapshots(), name="snaps")
        self.run_task(coroutine=self.watchdog(), name="watchdog")
        self.run_task(coroutine=self.expire_leases(), name="expire")
        self.run_task(coroutine=self.clock_run(), name="clock")
        self.run_task(coroutine=self.drive_changes(), name="steer")
        self.open_joining()
        self.opened = True
        self.apply_membership()

    async def leave(self):
        await super().leave()
        if self.clk is not None:
            for _ in range(20):
                if self.clk is None:
                    break
                await asyncio.sleep(constants.CLOCK_REFRESH_PERIOD)
        self.handing_over = True
        if self.election_role == LEADER:
            await self.hand_over()
            await asyncio.sleep(constants.LEADER_HEARTBEAT_PERIOD)
        await self.depart()
