"""Automatic membership changes, where the settings allow them. A store member that is not in the
membership asks the leader to be added; the leader adds one at a time, as a learner first. A voter that
has long been silent is removed when the number of voters is even, as it is after a newcomer became a
voter, and only if the remaining voters have a live majority of their own. A removed member that comes
back asks again: with its disk it continues from there; without it, it is blank and counts only by the
rule for blank replicas."""

import asyncio

from ..base import constants, log_events
from ..base.problems import NotLeader, Success
from .vote import LEADER


class JoiningMixin:
    """Requests to join and to leave, and the leader's automatic membership changes."""

    def open_joining(self):
        self.join_requests, self.departing, self.learner_since = {}, {}, 0.0
        if self.settings.auto_members:
            self.run_task(coroutine=self.request_join(), name="knock")

    async def request_join(self):
        """The task that asks the leader to be added while this member is not in the membership."""
        while True:
            await asyncio.sleep(constants.JOIN_REQUEST_PERIOD * (0.5 + self.runtime.rng.random()))
            if self.settings.addr not in self.store_addresses:
                if self.blank and self.minimum_term is None:
                    continue  # unblank() has not learned yet who the members are
                await self.store(op="join", request={"addr": self.settings.addr}, safe=True, total=1.0)
            elif (
                self.runtime.now() - self.leader_heard_at > constants.REMOVED_CHECK_AFTER
                and self.election_role != LEADER
            ):
                await self.check_removed()

    async def check_removed(self):
        """Called when no leader was heard for long: this member may have been removed while it was
        unreachable. If a peer's newer membership says so, asks to be added again."""
        for peer in list(self.peers):
            answer = await self.link(addr=peer).call(op="status", request={}, wait=0.5)
            if (
                answer.ok
                and answer.value["conf"]["v"] > self.membership["v"]
                and answer.value["lead"]
                and self.settings.addr
                not in (*answer.value["conf"]["voters"], answer.value["conf"]["learner"])
            ):
                for address in answer.value["conf"]["voters"]:
                    self.link(addr=address)
                await asyncio.sleep(constants.JOIN_REQUEST_PERIOD)
                await self.link(addr=answer.value["lead"]).call(
                    op="join", request={"addr": self.settings.addr}
                )
                return

    def on_join(self, *, request, callback, caller):
        """A store member asks to be added; queued until a change may begin."""
        if self.election_role != LEADER:
            callback(NotLeader(hint=self.leader))
            return
        if request["addr"] not in self.store_addresses and self.settings.auto_members:
            self.join_requests[request["addr"]] = self.runtime.now()
        callback(Success(value={"conf": self.membership}))

    # --- orderly departure

    async def depart(self):
        """Asks to be removed before the daemon ends, if the number of voters is even. Its replacement has
        already joined then, and until the leader noticed by silence that this member is gone, the larger
        membership could not lose another voter."""
        if not self.settings.auto_members or not self.even_voters():
            return
        await self.store(
            op="depart",
            request={"addr": self.settings.addr},
            safe=True,
            total=constants.DEPARTURE_NOTIFY_TIMEOUT,
        )
        end = self.runtime.now() + constants.DEPARTURE_REMOVAL_TIMEOUT
        while self.even_voters() and self.runtime.now() < end:
            await asyncio.sleep(constants.LEADER_CHECK_PERIOD)

    def even_voters(self):
        return self.settings.addr in self.voters and len(self.voters) % 2 == 0

    def on_depart(self, *, request, callback, caller):
        """A member is about to end. Answered at once; the membership changes when that is due."""
        if self.election_role != LEADER:
            callback(NotLeader(hint=self.leader))
            return
        self.departing[request["addr"]] = self.runtime.now()
        callback(Success(value={}))

    def steer_automatic(self):
        """Proposes one membership change, if one is due. Called when none is in progress."""
        membership, now = self.membership, self.runtime.now()
        if membership["v"] == 0:
            self.propose_membership()  # puts the founders into the log, whatever seeds a restart names
            return
        if membership["learner"]:
            if now - self.learner_since > constants.SILENT_LEARNER_REMOVED_AFTER and not self.alive(
                membership["learner"]
            ):
                self.propose_membership(learner="", out="", past=[*membership["past"], membership["learner"]])
            return
        self.join_requests = {
            address: asked_at
            for address, asked_at in self.join_requests.items()
            if now - asked_at < constants.JOIN_REQUEST_EXPIRY and address not in self.store_addresses
        }
        even = len(membership["voters"]) % 2 == 0  # one voter fewer would tolerate as many losses
        self.departing = {
            voter: asked_at
            for voter, asked_at in self.departing.items()
            if now - asked_at < constants.DEPARTURE_EXPIRY
        }
        leaving = [
            voter for voter in membership["voters"] if voter in self.departing and voter != self.settings.addr
        ]
        dead = [
            voter
            for voter in membership["voters"]
            if voter != self.settings.addr
            and now - max(self.acked_at.get(voter, 0.0), self.led_since)
            > (constants.REPLACEABLE_AFTER_EVEN if even else constants.REPLACEABLE_AFTER)
        ]
        dead.sort(key=lambda voter: self.acked_at.get(voter, 0.0))  # silent the longest first
        dead = dead or (leaving if even else [])
        remaining = [voter for voter in membership["voters"] if voter not in dead[:1]]
        if dead and even and self.has_live_majority(remaining):
            self.say(log_events.MEMBER_DROPPED, addr=dead[0], voters=len(remaining))
            self.propose_membership(voters=remaining, past=[*membership["past"], dead[0]])
        elif self.join_requests and (len(membership["voters"]) < constants.VOTERS_MAX or dead):
            address = min(self.join_requests)
            del self.join_requests[address]
            self.learner_since = now
            self.say(log_events.MEMBER_ASKS, addr=address)
            self.propose_membership(
                learner=address, past=[voter for voter in membership["past"] if voter != address]
            )

    def unknown_to_majority(self, answers):
        """Whether a majority of the voters answered and no membership names this address: then it cannot
        have voted or acknowledged anything before."""
        membership, own_address = self.membership, self.settings.addr
        memberships = [answer["conf"] for answer in answers.values()]
        return 2 * len(
            [voter for voter in membership["voters"] if voter in answers and not answers[voter]["blank"]]
        ) > len(membership["voters"]) and not any(
            own_address in (*known["voters"], *known["past"], known["learner"])
            for known in [membership, *memberships]
        )
