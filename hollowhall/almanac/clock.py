"""The timestamp oracle (the clock), after the TiKV placement driver. A store member campaigns by taking
a lease and writing the leader key if it does not exist (CreateRevision = 0); a member that lost watches
that key. The winner loads the saved bound, waits until it has passed, saves a new bound and then issues
timestamps from memory. Differences from TiKV: the lease is checked against a clock that counts suspended
time just before each timestamp is issued, timestamps carry the leader key's CreateRevision as their
epoch, and the physical part follows a monotonic clock that is slewed slowly towards the median of the
members' wall clocks. docs/design.md has the reasons."""

import asyncio
from dataclasses import dataclass, field

from ..base import constants, log_events
from ..base.problems import NotLeader, NotSynced, Success
from .vote import BLANK, LEADER

LEADER_KEY, BOUND_KEY = "clock/lead", "clock/bound"


@dataclass(kw_only=True)
class ClockLeadership:
    """What the clock leader keeps in memory while it leads."""

    epoch: int
    lease: int
    lease_end: float  # s, counts suspended time; when this member takes its lease to have expired
    synced: bool = False
    anchor: tuple = (0, 0.0)  # (ms, s): physical time at a moment of seam.now()
    correction: float = 0.0  # ms; how far the anchor is still to be slewed
    physical: int = 0  # ms; physical part of the timestamps issued now
    logical: int = 0
    saved_bound: int = 0  # ms; bound saved in the store (TiKV: lastSavedTime)
    wall_offsets: dict = field(default_factory=dict)  # by member, ms: its wall clock less the issued time
    delays: dict = field(default_factory=dict)  # by peer: [(half of a round trip in ms, when)]


class ClockMixin:
    """Campaigns for the leadership of the clock, and issues timestamps while this member has it."""

    def open_clock(self):
        self.clk, self.tracked_time, self.time_samples, self.clock_lead = None, None, [], ""
        self.stamps = self.stamp_calls = 0

    async def clock_run(self):
        """The clock's task: campaigns, leads while the lease lasts, else watches the leader key; repeats."""
        revision = 0
        while not self.leaving:
            outcome = await self.store(op="get", request={"p": LEADER_KEY}, safe=True)
            if outcome.ok and not outcome.value["kv"]:
                self.clock_lead = ""
                if self.election_role not in (LEADER, BLANK):  # the store's leader campaigns first
                    await asyncio.sleep(constants.CLOCK_CAMPAIGN_DELAY * (0.5 + self.runtime.rng.random()))
                if not self.blank:
                    await self.clock_campaign()
            elif outcome.ok:
                self.clock_lead = outcome.value["kv"][LEADER_KEY]["v"]
                revision = outcome.value["rev"]
                if self.clock_lead == self.settings.addr:  # written by an earlier process at this address
                    await self.store(op="revoke", request={"hold": outcome.value["kv"][LEADER_KEY]["hold"]})
                    continue
                await self.ask_any_member(
                    op="watch",
                    request={"p": "clock/lead", "rev": revision},
                    wait=constants.LONG_POLL_TIMEOUT + 1,
                )
            await asyncio.sleep(constants.CLOCK_REFRESH_PERIOD * (0.5 + self.runtime.rng.random()))

    async def clock_campaign(self):
        """Takes a lease, tries to write the leader key and leads if that succeeds."""
        sent_at = self.runtime.now()
        outcome = await self.store(op="grant", request={"ttl": constants.LEASE_TTL, "level": constants.LEVEL})
        if not outcome.ok:
            return
        lease, lease_end = (
            outcome.value["hold"],
            sent_at + constants.LEASE_TTL - constants.LEASE_SAFETY_MARGIN,
        )
        outcome = await self.store(
            op="txn",
            request={
                "cmp": [[LEADER_KEY, "made", 0]],
                "then": [["put", LEADER_KEY, self.settings.addr, lease]],
            },
        )
        if not (outcome.ok and outcome.value["yes"]):
            if outcome.ok:
                await self.store(op="revoke", request={"hold": lease})
            return
        leadership = self.clk = ClockLeadership(epoch=outcome.value["rev"], lease=lease, lease_end=lease_end)
        self.clock_lead = self.settings.addr
        self.say(log_events.CLOCK_WON, epoch=leadership.epoch)
        keeper = asyncio.ensure_future(self.keep_clock_lease(leadership))
        try:
            await self.lead_clock(leadership)
        finally:
            keeper.cancel()
            if self.clock_live(
                leadership
            ):  # e.g. the sync failed: free the leader key for the next one at once
                await self.store(op="revoke", request={"hold": lease}, safe=True, total=1.0)
            self.clk = None
            self.say(log_events.CLOCK_LOST, epoch=leadership.epoch)

    def clock_live(self, leadership):
        """Whether this leadership is still in force; checked just before timestamps are issued."""
        return self.clk is leadership and self.runtime.now() < leadership.lease_end

    async def keep_clock_lease(self, leadership):
        """Sends the lease's keep-alives. The leadership ends when none succeeds for a whole lease period."""
        gap = constants.KEEPALIVE_PERIOD
        while self.clock_live(leadership):
            await asyncio.sleep(gap)
            outcome, kept_at, gap = await self.keep_lease(hold=leadership.lease)
            if outcome.ok and self.clock_live(leadership):
                leadership.lease_end = kept_at + constants.LEASE_TTL - constants.LEASE_SAFETY_MARGIN
            elif not outcome.ok and type(outcome).__name__ == "Unknown":
                leadership.lease_end = 0.0

    async def lead_clock(self, leadership):
        """Issues timestamps until the lease ends or the daemon leaves."""
        if not await self.clock_sync(leadership):
            return
        last = self.runtime.now()
        while self.clock_live(leadership) and not self.leaving:
            await asyncio.sleep(constants.CLOCK_REFRESH_PERIOD)
            now = self.runtime.now()
            self.clock_slew(leadership=leadership, elapsed=now - last)
            if now - last > 0 and int(now / constants.TIME_BROADCAST_PERIOD) != int(
                last / constants.TIME_BROADCAST_PERIOD
            ):
                self.send_clock_time(leadership)
            last = now
            # saved ahead of time, so that no timestamp has to wait for the save
            if self.clock_physical_ms(leadership) >= leadership.saved_bound - constants.BOUND_SAVE_EARLY_MS:
                await self.clock_save(
                    leadership=leadership, bound=self.clock_physical_ms(leadership) + constants.BOUND_AHEAD_MS
                )
            self.clock_refresh(leadership)
        if self.leaving and self.clock_live(leadership):
            leadership.lease_end = 0.0
            await self.store(op="revoke", request={"hold": leadership.lease})

    async def clock_sync(self, leadership):
        """Loads the saved bound, waits until the time is past it, then saves the next bound. Returns
        whether timestamps may be issued."""
        outcome = await self.store(op="get", request={"p": BOUND_KEY}, safe=True)
        if not outcome.ok:
            return False
        saved = outcome.value["kv"].get(BOUND_KEY, {"v": 0})["v"]
        now = await self.estimate_now()
        wait = saved + constants.BOUND_GUARD_MS - now
        if wait > constants.BOUND_WAIT_MS:
            self.say(log_events.CLOCK_FROM_BOUND, ahead_ms=wait)
            now, wait = saved + constants.BOUND_GUARD_MS, 0
        leadership.anchor = (now, self.runtime.now())
        if wait > 0:
            self.say(log_events.CLOCK_WAITS, wait_ms=wait)
            await asyncio.sleep(wait / 1000)
        ms = max(self.clock_physical_ms(leadership), saved + constants.BOUND_GUARD_MS)
        leadership.anchor = (ms, self.runtime.now())
        if not await self.clock_save(leadership=leadership, bound=ms + constants.BOUND_AHEAD_MS):
            return False
        leadership.physical, leadership.logical, leadership.synced = ms, 0, True
        return True

    async def clock_save(self, *, leadership, bound):
        """Saves a new bound in the store; no timestamp above the old one is issued before. Returns
        whether it was saved."""
        outcome = await self.store(
            op="txn",
            total=1.0,
            request={"cmp": [[LEADER_KEY, "made", leadership.epoch]], "then": [["put", BOUND_KEY, bound, 0]]},
        )
        if outcome.ok and outcome.value["yes"]:
            leadership.saved_bound = bound
            return True
        if outcome.ok:
            leadership.lease_end = 0.0
        return False

    async def estimate_now(self):
        """The present time in ms: the time tracked from the last leader, else the median wall clock."""
        if (
            self.tracked_time is not None
            and self.runtime.now() - self.tracked_time[1] < constants.TRACKED_TIME_MAX_AGE
        ):
            return int(self.tracked_time[0] + (self.runtime.now() - self.tracked_time[1]) * 1000)
        offsets = []  # each wall clock less this member's suspend-counting clock, ms
        for peer in self.voter_peers:
            sent_at = self.runtime.now()
            outcome = await self.links[peer].call(op="wall", request={}, wait=0.3)
            if outcome.ok:
                offsets.append(outcome.value["wall"] - (sent_at + self.runtime.now()) * 500)
        offsets = sorted(offsets + [self.runtime.wall() - self.runtime.now() * 1000])
        return int(offsets[(len(offsets) - 1) // 2] + self.runtime.now() * 1000)

    def clock_refresh(self, leadership):
        """Advances the physical part to the present time, never past the bound. Returns whether it is
        within PHYSICAL_LAG_MAX_MS of the present time."""
        ms = self.clock_physical_ms(leadership)
        if leadership.physical < ms < leadership.saved_bound:
            leadership.physical, leadership.logical = ms, 0
        return ms - leadership.physical <= constants.PHYSICAL_LAG_MAX_MS

    def clock_physical_ms(self, leadership):
        """The physical part of the present time, ms, not limited by the saved bound."""
        return int(leadership.anchor[0] + (self.runtime.now() - leadership.anchor[1]) * 1000)

    def clock_slew(self, *, leadership, elapsed):
        """Slews the anchor towards the median wall clock, so slowly that the time never goes back."""
        step = max(
            -constants.CLOCK_SLEW_RATE * elapsed * 1000,
            min(constants.CLOCK_SLEW_RATE * elapsed * 1000, leadership.correction),
        )
        leadership.correction -= step
        leadership.anchor = (leadership.anchor[0] + step, leadership.anchor[1])
        now = self.runtime.now()
        leadership.anchor = (leadership.anchor[0] + (now - leadership.anchor[1]) * 1000, now)

    def send_clock_time(self, leadership):
        """Sends the issued time to the peers, which track it and answer how far their wall clocks are
        from it; the median of the answers is the correction to slew by."""
        ms = self.clock_physical_ms(leadership)
        leadership.wall_offsets[self.settings.addr] = self.runtime.wall() - ms

        sent_at = self.runtime.now()

        def then(peer, outcome):
            if outcome.ok:
                delay = (self.runtime.now() - sent_at) * 500
                leadership.wall_offsets[peer] = outcome.value["off"] - delay
                leadership.delays[peer] = [
                    sample
                    for sample in leadership.delays.get(peer, [])
                    if sent_at - sample[1] < constants.TRACKED_TIME_WINDOW
                ] + [(delay, sent_at)]
                offsets = sorted(leadership.wall_offsets.values())
                leadership.correction = (
                    offsets[(len(offsets) - 1) // 2] if len(offsets) >= self.majority() else 0.0
                )

        for peer in self.peers:
            self.link(addr=peer).send_request(
                op="track",
                request={"ms": ms, "half": self.one_way_delay(leadership=leadership, peer=peer)},
                wait=0.5,
                callback=lambda outcome, peer=peer: then(peer, outcome),
            )

    def one_way_delay(self, *, leadership, peer):
        """The shortest half round trip to a peer, ms; 0 until there are TRACKED_TIME_MIN_SAMPLES samples, because a
        single one may be of a peer that was suspended."""
        samples = leadership.delays.get(peer, [])
        return min(samples)[0] if len(samples) >= constants.TRACKED_TIME_MIN_SAMPLES else 0.0

    def on_track(self, *, request, callback, caller):
        """Notes the clock leader's time. Of the recent samples the one with the latest time is used:
        it was delayed least."""
        now, ms = self.runtime.now(), request["ms"] + request["half"]
        if (
            now - self.lag_measured_at < constants.LOOP_STALL
            and now - self.last_stall_at > constants.TRACKING_PAUSE_AFTER_FREEZE
        ):
            self.add_time_sample(now=now, ms=ms)  # after a suspension the messages in the sockets are old
        callback(Success(value={"off": self.runtime.wall() - request["ms"]}))

    def add_time_sample(self, *, now, ms):
        self.time_samples = [
            sample for sample in self.time_samples if now - sample[1] < constants.TRACKED_TIME_WINDOW
        ] + [(ms, now)]
        self.tracked_time = max(self.time_samples, key=lambda sample: sample[0] - sample[1] * 1000)

    def on_stamp(self, *, request, callback, caller, tries=0):
        """Issues request["n"] timestamps at once. If the logical part overflows, or the clock is not
        synced or is stale, tries again after a pause; NotSynced after TIMESTAMP_RETRIES_MAX tries."""
        leadership = self.clk
        if leadership is None or not self.clock_live(leadership):
            address = self.known_leaders[
                "clock"
            ]  # from the applied keys, which are newer than this member's last watch
            callback(NotLeader(hint=address if address != self.settings.addr else ""))
            return
        retry_after, event = constants.UNSYNCED_SLEEP, log_events.CLOCK_UNSYNCED
        if leadership.synced and not self.clock_refresh(leadership):
            retry_after, event = constants.CLOCK_REFRESH_PERIOD, log_events.CLOCK_STALE
        elif leadership.synced:
            leadership.logical += request["n"]
            if leadership.logical < constants.MAX_LOGICAL:
                self.stamps, self.stamp_calls = self.stamps + request["n"], self.stamp_calls + 1
                last_stamp = (leadership.physical << constants.LOGICAL_BITS) + leadership.logical
                callback(
                    Success(
                        value={
                            "first": last_stamp - request["n"] + 1,
                            "n": request["n"],
                            "e": leadership.epoch,
                        }
                    )
                )
                return
            retry_after, event = constants.CLOCK_REFRESH_PERIOD, log_events.CLOCK_OVERFLOW
        self.say(event, tries=tries)
        if tries >= constants.TIMESTAMP_RETRIES_MAX:
            callback(NotSynced(tries=tries))
            return
        asyncio.get_running_loop().call_later(
            retry_after,
            lambda: self.on_stamp(request=request, callback=callback, caller=caller, tries=tries + 1),
        )
