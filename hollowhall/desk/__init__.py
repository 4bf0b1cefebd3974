"""The scheduler (role `desk`). One scheduler is primary, by a lease in the store; the others are
standbys that tail the record. This module elects the primary, renews its lease, hands over to
a successor on shutdown and holds the scheduler's state."""

import asyncio

from ..base import constants, log_events
from ..base.daemon import Daemon
from ..base.problems import NotPrimary
from ..base.ring_place import MonitoringMixin
from ..record import Record
from .beats import BeatsMixin
from .budget_requests import BudgetRequestsMixin
from .leaving import LeavingMixin
from .outcomes import JobRequestsMixin
from .pace import ProgressMixin
from .placing import PlacementMixin
from .policy import read_policy
from .primary import PrimaryMixin
from .record_tail import RecordTailMixin
from .reservation_requests import ReservationRequestsMixin
from .trace import TraceMixin
from .turns import BatchesMixin

PRIMARY_KEY, NEXT_KEY = "desk/primary", "desk/next"
TAILING, OPENING, PRIMARY = "tailing", "opening", "primary"


class Desk(
    RecordTailMixin,
    LeavingMixin,
    ProgressMixin,
    TraceMixin,
    PrimaryMixin,
    BatchesMixin,
    PlacementMixin,
    BeatsMixin,
    JobRequestsMixin,
    ReservationRequestsMixin,
    BudgetRequestsMixin,
    MonitoringMixin,
    Daemon,
):
    """A scheduler daemon, primary or standby.

    `part` is its role in the election (TAILING, OPENING or PRIMARY), `epoch` the store revision at
    which it became primary, `hold` the id of its lease and `until` when it stops acting as primary.
    `applied` is the index of the last entry in `record`, `loaded` that of the last snapshot taken, and
    `checksums` the record's checksums by index, to be compared with the store's.
    """

    role = "desk"
    make_record = Record

    def __init__(self, *, settings, runtime):
        super().__init__(settings=settings, runtime=runtime)
        self.policy = read_policy(off=settings.policy_off)
        self.record, self.applied = self.make_record(), 0
        self.part, self.epoch, self.hold, self.until = TAILING, 0, 0, 0.0
        self.primary, self.checksums, self.snapshot_index = "", {}, 0
        self.snapshot_chunks = None  # a snapshot that arrives in chunks: (its identity, bytes so far)
        self.recent_failures = {}  # worker: whether each of its last attempts failed

    async def open(self):
        self.open_batches()
        self.open_place()
        self.open_pace()
        self.open_trace()
        self.open_beats()
        self.open_budget_requests()
        self.open_monitoring()
        self.run_task(coroutine=self.tail(), name="tail")
        self.run_task(coroutine=self.pair(), name="pair")
        self.run_task(coroutine=self.listen_primary(), name="listen")

    def to(self, *, state):
        """Changes this scheduler's role in the election; nothing else does."""
        was, self.part = self.part, state
        if state == PRIMARY:
            self.say(log_events.DESK_WON, epoch=self.epoch, index=self.applied)
        elif was == PRIMARY:
            self.say(log_events.DESK_LOST, epoch=self.epoch)
            self.open_trace()
            self.drop_primary()

    def live(self):
        """Whether this scheduler is primary now, by a clock that also runs while the machine is suspended."""
        return self.part == PRIMARY and self.runtime.now() < self.until

    # --- the standby

    def note_batch(self, batch):
        """Takes note of a batch's events before they are applied to the record."""
        ms = batch["s"] >> constants.LOGICAL_BITS
        self.note_ends(batch["v"])
        self.note_health(events=batch["v"], ms=ms)
        self.learn_durations(events=batch["v"], ms=ms)
        if self.part == PRIMARY:
            self.note_trace(events=batch["v"], ms=ms)

    # --- the election

    async def pair(self):
        """Watches for a free primary lease and campaigns for it, until this daemon leaves."""
        while not self.leaving:
            result = await self.store(op="get", request={"p": "desk/"}, safe=True)
            if not result.ok:
                continue
            primary_entry, next_entry = result.value["kv"].get(PRIMARY_KEY), result.value["kv"].get(NEXT_KEY)
            self.primary = primary_entry["v"]["addr"] if primary_entry else ""
            if primary_entry is not None and self.primary == self.settings.addr:  # from before a restart
                await self.store(op="revoke", request={"hold": primary_entry["hold"]})
                continue
            if primary_entry is not None:
                result = await self.ask_any_member(
                    op="watch",
                    request={"p": "desk/", "rev": result.value["rev"]},
                    wait=constants.LONG_POLL_TIMEOUT + 1,
                )
                if not result.ok:
                    await asyncio.sleep(constants.KEEPALIVE_RETRY_DELAY)
                continue
            successor = next_entry["v"] if next_entry else ""
            if successor and successor != self.settings.id and not self.held_back:
                self.held_back = True  # the named successor campaigns first, once
                await asyncio.sleep(constants.KEEPALIVE_PERIOD)
                continue
            self.held_back = False
            await self.defer_campaign()
            if not self.can_read_all():
                await asyncio.sleep(constants.KEEPALIVE_PERIOD)
                continue
            await self.campaign()

    held_back = False

    async def defer_campaign(self):
        """Lets a scheduler that is better placed campaign first; a separate process has no preference."""

    def can_read_all(self):
        """Whether this scheduler could read all confirmed entries if it became primary."""
        return True

    def successor(self):
        """The id of the scheduler that is to campaign first when this one leaves; '' for no preference."""
        ids = sorted(
            member_id
            for member_id, card in self.fleet.items()
            if card["role"] == "desk" and member_id != self.settings.id and not card.get("down")
        )
        return ids[0] if ids else ""

    def have(self):
        """Index of the last entry held here; the store sends later ones with its answer."""
        return self.applied

    async def campaign(self):
        """Acquires a lease, puts it on the primary key and serves as primary for as long as it lasts."""
        asked_at = self.runtime.now()
        result = await self.store(op="grant", request={"ttl": constants.LEASE_TTL, "level": constants.LEVEL})
        if not result.ok:
            return
        self.hold, self.until = (
            result.value["hold"],
            asked_at + constants.LEASE_TTL - constants.LEASE_SAFETY_MARGIN,
        )
        card = {"id": self.settings.id, "addr": self.settings.addr}
        result = await self.store(
            op="txn",
            request={
                "cmp": [[PRIMARY_KEY, "made", 0]],
                "then": [["put", PRIMARY_KEY, card, self.hold], ["put", NEXT_KEY, "", 0]],
            },
        )
        if not (result.ok and result.value["yes"]):
            if result.ok:
                await self.store(op="revoke", request={"hold": self.hold})
            return
        self.epoch, self.primary, behind = result.value["rev"], self.settings.addr, False
        renewal = asyncio.ensure_future(self.renew_lease())
        try:
            self.to(state=OPENING)
            if await self.fence_earlier_epochs():
                self.to(state=PRIMARY)
                await self.run_batches()
            elif self.runtime.now() < self.until:  # another scheduler may be able to read the record
                self.until, behind = 0.0, True
                self.say(log_events.DESK_BEHIND, index=self.applied)
                await self.store(op="revoke", request={"hold": self.hold}, safe=True, total=1.0)
        finally:
            renewal.cancel()
            self.to(state=TAILING)
        if behind:
            # the others campaign first: whoever revokes the lease would learn of it before them
            await asyncio.sleep(constants.LEASE_TTL)

    async def renew_lease(self):
        """Renews the primary's lease until it has expired or the store no longer knows it."""
        pause = constants.KEEPALIVE_PERIOD
        while self.runtime.now() < self.until:
            await asyncio.sleep(pause)
            result, granted_at, pause = await self.keep_lease(hold=self.hold)
            if result.ok and self.runtime.now() < self.until:
                self.until = granted_at + constants.LEASE_TTL - constants.LEASE_SAFETY_MARGIN
            elif type(result).__name__ == "Unknown":
                self.until = 0.0

    async def fence_earlier_epochs(self):
        """Reads all confirmed entries, then commits a batch that fences every earlier epoch. True if both
        were done within RECORD_READ_TIMEOUT and the lease."""
        deadline = self.runtime.now() + constants.RECORD_READ_TIMEOUT
        while self.runtime.now() < min(self.until, deadline):
            result = await self.store(op="where_to", request={}, safe=True, total=1.0)
            if result.ok and await self.tail_to(result.value["i"], wait=1.0):
                if await self.commit(events=[["open"]]) is not None:
                    self.start_beats()
                    return True
        return False

    async def leave(self):
        """Leaves; a primary first ends its batch, names a successor and revokes its lease."""
        await super().leave()
        if self.part != PRIMARY:
            return
        await self.wait_for_batch()
        self.until, successor = 0.0, self.successor()
        self.say(log_events.DESK_NAMED, successor=successor)
        await self.store(
            op="txn",
            safe=True,
            total=2.0,
            request={"cmp": [[PRIMARY_KEY, "made", self.epoch]], "then": [["put", NEXT_KEY, successor, 0]]},
        )
        await self.store(op="revoke", request={"hold": self.hold}, safe=True, total=2.0)

    def not_primary(self):
        return NotPrimary(hint=self.primary if self.primary != self.settings.addr else "")
