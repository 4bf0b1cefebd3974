"""The store member (role `almanac`): one replica of the replicated store. It replicates the log, keeps
the keys, leases and record that the log describes, and runs for leader of the timestamp clock. This
module combines the parts; each mixin is in a module of its own."""

import asyncio

from ..base import constants, log_events
from ..base.daemon import Daemon
from ..base.problems import Raised
from ..base.ring_place import MonitoringMixin
from ..base.slab import PendingRequests
from ..record import Record
from .bootstrap import BootstrapMixin
from .clock import ClockMixin
from .confs import ConfMixin
from .copy import CopyMixin
from .follow import FollowMixin
from .joining import JoiningMixin
from .keys import Keys
from .members import MembersMixin
from .pictures import PicturesMixin
from .polls import LongPollMixin
from .ring import Ring
from .serve import ServeMixin
from .vote import BLANK, FOLLOWER, LEADER, VoteMixin


class Almanac(
    JoiningMixin,
    VoteMixin,
    BootstrapMixin,
    CopyMixin,
    FollowMixin,
    PicturesMixin,
    ServeMixin,
    LongPollMixin,
    ClockMixin,
    MembersMixin,
    ConfMixin,
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
        self.local_daemons, self.listeners = {settings.addr: self}, []
        self.term, self.vote, self.leader, self.rank = 0, "", "", FOLLOWER
        # the log's entries, [index, term, body], above the base: the last index that was compacted away
        self.book, self.base_i, self.base_term = [], 0, 0
        self.commit = self.applied = self.synced = self.snap_i = 0
        self.membership_changed_at = 0.0  # s; when the membership in force last changed on this replica
        self.blank, self.floor, self.handing_over = True, None, False
        self.hard_dirty = self.writing = False
        self.unsynced, self.sync_callbacks, self.inflight_callbacks, self.snap_in = [], [], [], None
        self.write_started, self.counted_on_disk = None, False
        self.pending, self.waits = PendingRequests(capacity=constants.PENDING_REQUESTS_PER_CONNECTION), {}
        self.led_since, self.match, self.next, self.blank_peers = 0.0, {}, {}, set()
        self.acked_at, self.acked_n, self.append_count, self.reads = {}, {}, 0, []
        self.hold_ends, self.expiring, self.noop_index = {}, set(), 0
        self.checksums, self.checksums_by_index = {}, {}
        self.kept, self.ballots, self.started_at = {}, [], runtime.now()
        # At a start an existing leader makes itself heard soon; if all members start together, none does.
        self.election_timer_start = runtime.now()
        self.election_timeout = constants.ELECTION_TIMEOUT_AT_START * (1 + runtime.rng.random())
        # When a leader was last heard; election_timer_start is also reset by this replica's own campaigns.
        self.leader_heard_at = 0.0

    def restore(self):
        """Loads the state from disk, before any socket opens; raises Raised if the disk is damaged."""
        self.ring = Ring(
            disk=self.runtime.disk, files=self.settings.ring_files, size=self.settings.ring_bytes
        )
        hard, snapshot, entries = self.ring.load()
        if self.ring.torn_frames:
            self.say(log_events.TAIL_CUT, frames=self.ring.torn_frames)
        if snapshot is not None:
            self.load_snapshot(snapshot)
            self.base_i, self.base_term = snapshot["i"], snapshot["t"]
            self.commit = self.applied = self.snap_i = snapshot["i"]
            self.load_membership(snapshot, keep=False)
        self.book = entries
        for entry in entries:
            self.add_membership_entry(entry)
        self.synced = self.last()
        self.term, self.vote = hard.get("t", 0), hard.get("v", "")
        self.blank = not hard.get("m", False)
        self.counted_on_disk = not self.blank
        self.rank = BLANK if self.blank else FOLLOWER
        if not self.blank and self.conf["v"] < 0:  # stopped before the log held a membership
            membership = self.conf | {"v": 0, "voters": sorted({*self.settings.seeds, self.settings.addr})}
            self.memberships = [(0, membership)]
            self.use_conf()
        if self.blank:
            self.floor = hard.get("f")  # learned before the process ended; still valid for this disk
        if self.blank and self.settings.join:
            self.floor = 0  # an address that was never a member has voted for nothing

    async def on_first_start(self):
        self.open_conf()
        if not self.settings.auto_members:
            self.settings.seeds = sorted(set(self.settings.seeds) | set(self.voters))
        self.disk_ev = asyncio.Event()
        self.open_pictures()
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
        self.run_task(coroutine=self.keep_snaps(), name="snaps")
        self.run_task(coroutine=self.watchdog(), name="watchdog")
        self.run_task(coroutine=self.expire_leases(), name="expire")
        self.run_task(coroutine=self.clock_run(), name="clock")
        self.run_task(coroutine=self.drive_changes(), name="steer")
        self.open_joining()
        self.opened = True
        self.use_conf()

    async def leave(self):
        await super().leave()
        if self.clk is not None:
            for _ in range(20):
                if self.clk is None:
                    break
                await asyncio.sleep(constants.CLOCK_REFRESH_PERIOD)
        self.handing_over = True
        if self.rank == LEADER:
            await self.hand_over()
            await asyncio.sleep(constants.LEADER_HEARTBEAT_PERIOD)
        await self.depart()
