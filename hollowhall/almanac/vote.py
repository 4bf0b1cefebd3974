"""Leader election of the store. Members vote by term after a pre-vote round; term and vote are on disk
before anyone is told of them. A blank replica (empty disk) neither votes nor counts until it has learned
every other member's term and then caught up with a leader of a newer term than any of those: that leader
was elected without it, so whatever it acknowledged before is in that leader's log. A store is founded only
while all founding members are new."""

import asyncio

from ..base import constants, log_events
from ..base.problems import Success

BLANK, FOLLOWER, CANDIDATE, LEADER = "blank", "follower", "candidate", "leader"


class ElectionMixin:
    """Elections, and the steps into and out of leadership."""

    def become(self, *, role, term=None, leader="", why=""):
        """The only place where this replica's election role or term changes."""
        previous, previous_term = self.election_role, self.term
        if term is not None and term > self.term:
            self.term, self.vote, self.hard_dirty = term, "", True
        if self.blank and role != LEADER:
            role = BLANK
        self.election_role, self.leader = role, leader
        if leader:  # requests that this process sends to the store go to this leader
            self.known_leaders["store"] = leader
        self.election_timer_start = self.runtime.now()
        self.election_timeout = (
            constants.ELECTION_TIMEOUT_MIN
            + (constants.ELECTION_TIMEOUT_MAX - constants.ELECTION_TIMEOUT_MIN) * self.runtime.rng.random()
        )
        if previous == LEADER and role != LEADER:
            self.stop_leading()
        if role == LEADER:
            self.start_leading()
        if (previous, previous_term) != (role, self.term):
            self.say(log_events.ROLE, role=role, was=previous, term=self.term, why=why)
        if self.hard_dirty:
            self.disk_event.set()

    def majority(self):
        return len(self.voters) // 2 + 1

    def disk_stalled(self):
        """Whether a write to disk has been pending for longer than DISK_SYNC_MAX."""
        return (
            self.write_started is not None
            and self.runtime.now() - self.write_started > constants.DISK_SYNC_MAX
        )

    async def watchdog(self):
        """The task that starts elections, bootstraps a blank replica, and steps down a leader whose disk
        stalls, that was suspended, or that has lost its majority."""
        last = self.runtime.now()
        while True:
            await asyncio.sleep(constants.LEADER_CHECK_PERIOD)
            now = self.runtime.now()
            slept, last = now - last > constants.FROZEN_LOOP_LAG, now
            if slept:
                self.election_timer_start = now
            if self.election_role == LEADER:
                if self.disk_stalled():
                    self.say(log_events.DISK_STALLED)
                    self.become(role=FOLLOWER, why="disk stalled")
                elif slept or self.quorum_age() > constants.ELECTION_TIMEOUT_MAX:
                    self.become(role=FOLLOWER, why="quorum not heard")
            elif self.blank:
                await self.recover_blank()
            elif now - self.election_timer_start > self.election_timeout and not self.disk_stalled():
                await self.campaign()

    def quorum_age(self):
        """Seconds since a majority last answered this leader. A membership change counts as such an answer,
        because a new voter has not yet reported that it counts. No second change is made before the
        first is committed, so this prolongs the term of a leader that is cut off only once."""
        return min(self.contact_age(), self.runtime.now() - self.membership_changed_at)

    def contact_age(self):
        """Seconds since a majority last answered this leader."""
        answered = sorted(
            (
                self.acked_at.get(peer, self.led_since)
                for peer in self.voter_peers
                if peer not in self.blank_peers
            ),
            reverse=True,
        )
        needed = self.majority() - (self.settings.addr in self.voters)
        if needed == 0:
            return 0.0
        return self.runtime.now() - (answered[needed - 1] if len(answered) >= needed else self.led_since)

    async def request_votes(self, *, op, term, forced=False):
        """Asks every voter for its vote (`vote`) or whether it would vote (`prevote`); returns whether a
        majority agreed."""
        decided, granted, answered = asyncio.get_running_loop().create_future(), [1], [0]
        request = {
            "t": term,
            "c": self.settings.addr,
            "li": self.last(),
            "lt": self.term_at(self.last()),
            "f": forced,
        }

        def count_vote(outcome):
            answered[0] += 1
            if outcome.ok and outcome.value["t"] > max(self.term, term):
                self.become(role=FOLLOWER, term=outcome.value["t"], why="newer term seen")
            if outcome.ok and outcome.value["yes"]:
                granted[0] += 1
            if outcome.ok and outcome.value["yes"] and op == "vote":
                self.ballots = [ballot for ballot in self.ballots if ballot[0] == term] + [
                    (term, outcome.value)
                ]
            if not decided.done() and (granted[0] >= self.majority() or answered[0] == len(self.voter_peers)):
                decided.set_result(granted[0] >= self.majority())

        for peer in self.voter_peers:
            self.links[peer].send_request(
                op=op, request=request, callback=count_vote, wait=constants.ELECTION_TIMEOUT_MIN
            )
        if not self.voter_peers:
            return True
        return await decided

    async def campaign(self, *, forced=False):
        """Runs for leader of the next term. `forced` skips the pre-vote."""
        term = self.term + 1
        if self.settings.addr not in self.voters:
            return
        if not forced:
            if not await self.request_votes(op="prevote", term=term):
                self.election_timer_start = (
                    self.runtime.now() if self.runtime.rng.random() < 0.5 else self.election_timer_start
                )
                return
            if (
                self.term + 1 != term
                or self.runtime.now() - self.election_timer_start < constants.ELECTION_TIMEOUT_MIN / 2
            ):
                return
        self.become(role=CANDIDATE, term=term, why="forced" if forced else "no leader heard")
        self.vote, self.hard_dirty = self.settings.addr, True
        await self.wait_synced()
        if self.term != term or self.election_role != CANDIDATE:
            return
        if (
            await self.request_votes(op="vote", term=term, forced=forced)
            and self.term == term
            and self.election_role == CANDIDATE
        ):
            self.become(role=LEADER, leader=self.settings.addr, why="elected")

    def log_up_to_date(self, request):
        """Whether the candidate's log holds at least everything that this replica's log does."""
        return (request["lt"], request["li"]) >= (self.term_at(self.last()), self.last())

    def may_vote(self):
        """A blank replica may not: it may have voted before its disk was lost. A minimum term of 0 means
        that it was never a member."""
        return not self.blank or self.minimum_term == 0

    def on_prevote(self, *, request, callback, caller):
        """Whether this member would vote for the candidate: only if it has not heard a leader lately."""
        leader_silent = (
            self.election_role != LEADER
            and self.runtime.now() - self.leader_heard_at > constants.ELECTION_TIMEOUT_MIN
        )
        granted = (
            self.may_vote() and leader_silent and request["t"] > self.term and self.log_up_to_date(request)
        )
        callback(Success(value={"t": self.term, "yes": granted}))

    def on_vote(self, *, request, callback, caller):
        """Answers after the vote is on disk. The answer carries what this member knows of keep-alives."""
        if request["t"] > self.term:
            self.become(role=FOLLOWER, term=request["t"], why="asked for a vote")
        granted = (
            request["t"] == self.term
            and self.may_vote()
            and self.election_role != LEADER
            and self.vote in ("", request["c"])
            and self.log_up_to_date(request)
            and not self.disk_stalled()
        )
        if granted and not self.vote:
            self.vote, self.hard_dirty = request["c"], True
            self.election_timer_start = self.runtime.now()
        term = self.term
        self.after_sync(
            lambda: callback(
                Success(
                    value={
                        "t": term,
                        "yes": granted,
                        "h": self.lease_ages(),
                        "born": self.runtime.now() - self.started_at,
                    }
                )
            )
        )

    def on_now(self, *, request, callback, caller):
        """The leader hands its leadership over to this replica, which campaigns at once."""
        if request["t"] == self.term and self.election_role == FOLLOWER and not self.blank:
            self.run_task(coroutine=self.campaign(forced=True), name="campaign")
        callback(Success())

    async def hand_over(self):
        """Hands the leadership over to the peer that holds most of the log."""
        candidates = [
            successor
            for successor in self.voter_peers
            if successor not in self.blank_peers and self.links[successor].up
        ]
        if self.election_role != LEADER or not candidates:
            return
        successor = max(candidates, key=lambda peer: self.match.get(peer, 0))
        for _ in range(20):
            if self.match.get(successor, 0) >= self.last() or self.election_role != LEADER:
                break
            self.replication_events[successor].set()
            await asyncio.sleep(constants.LEADER_CHECK_PERIOD)
        self.say(log_events.HANDED, to=successor)
        await self.links[successor].call(op="now", request={"t": self.term})
