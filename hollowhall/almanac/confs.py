"""Membership of the store. The membership is an entry of the store's own log and takes effect when the
entry is appended. A change is made in entries that each touch one member: a learner is added, catches up,
becomes a voter, and the member that it replaces is removed. No such entry is proposed before the previous
one is committed. What remains to be done is part of the membership itself, so a new leader continues where
the old one stopped. An operator cannot add a removed address again: what it voted for is not known."""

import asyncio

from ..base import constants, log_events
from ..base.circuit import pack, unpack
from ..base.problems import NotLeader, Refused, StaleBase, Success, Unknown
from .vote import FOLLOWER, LEADER

ENTRY_PREFIX = pack(["members", 0])[:9]
MEMBERS_KEY = "store/members"


class MembershipMixin:
    """The membership in force, and its changes."""

    def open_membership(self):
        own = [] if self.settings.join else [self.settings.addr]
        first = {"v": 0, "voters": sorted({*self.settings.seeds, *own}), "learner": "", "out": "", "past": []}
        if self.settings.auto_members and not self.settings.found:
            # version -1: only addresses to ask; any membership that a member reports replaces it
            first |= {"v": -1, "voters": sorted({*self.settings.seeds} - {self.settings.addr})}
        self.memberships, self.replication_tasks, self.replication_events, self.peers = (
            [(0, first)],
            {},
            {},
            [],
        )
        self.opened = self.removed = False
        self.next, self.match, self.acked_number = {}, {}, {}
        self.apply_membership()

    @property
    def membership(self):
        return self.memberships[-1][1]

    def apply_membership(self):
        """Puts the newest membership into force: the only place where peers, voters and the tasks that
        replicate to peers change."""
        self.membership_changed_at = self.runtime.now()
        membership, own_address = self.membership, self.settings.addr
        self.voters = membership["voters"]
        self.voter_peers = [peer for peer in self.voters if peer != own_address]
        self.peers = [
            peer
            for peer in dict.fromkeys([*self.voters, membership["learner"]])
            if peer not in ("", own_address)
        ]
        self.store_addresses = [*self.voters, *([membership["learner"]] if membership["learner"] else [])]
        for peer in self.peers:
            if peer not in self.replication_events:
                self.replication_events[peer] = asyncio.Event()
                self.next[peer], self.match[peer], self.acked_number[peer] = self.last() + 1, 0, 0
            if self.opened:
                self.link(addr=peer)
                if peer not in self.replication_tasks:
                    self.replication_tasks[peer] = self.run_task(coroutine=self.replicate(peer), name="feed")
        for peer in [peer for peer in self.replication_tasks if peer not in self.peers]:
            self.replication_tasks.pop(peer).cancel()
            del self.replication_events[peer]

    def add_membership_entry(self, entry):
        """Called for each appended entry: a membership takes effect at once."""
        if entry[2][:9] == ENTRY_PREFIX:
            self.memberships.append((entry[0], unpack(entry[2])[1]))
            self.apply_membership()

    def drop_memberships_after(self, index):
        """Called when the entries after `index` were dropped from the log: so are their memberships."""
        if self.memberships[-1][0] > index:
            self.memberships = [x for x in self.memberships if x[0] <= index] or self.memberships[:1]
            self.apply_membership()

    def membership_at(self, index):
        """The membership in force at a log index."""
        return [
            membership
            for since, membership in self.memberships
            if since <= index or since == self.memberships[0][0]
        ][-1]

    def load_membership(self, snapshot, *, keep):
        """Takes the membership from a snapshot; those of later log entries stay if `keep`."""
        later = [x for x in self.memberships if keep and x[0] > snapshot["i"]]
        self.memberships = [(snapshot["i"], snapshot.get("conf") or self.memberships[0][1]), *later]
        self.apply_membership()

    def adopt_membership(self, membership):
        """Takes a newer membership than the settings name; only while the log is empty."""
        if membership["v"] > self.membership["v"] and self.last() == 0:
            self.memberships = [(0, membership)]
            self.apply_membership()

    def enact_membership(self, membership):
        """Applies a committed membership: writes it to the keys, and steps down if it leaves this member
        out."""
        self.keys.rev += 1
        self.keys.put(key=MEMBERS_KEY, value=membership, lease=0)
        left_out = (
            self.settings.addr not in (*membership["voters"], membership["learner"])
            and not self.settings.join
        )
        self.removed = self.removed and left_out
        if membership["v"] >= self.membership["v"] and left_out and not self.removed:
            self.removed = True
            self.say(log_events.MEMBER_OUT, voters=len(membership["voters"]))
            if self.election_role == LEADER:
                self.run_task(coroutine=self.step_out(), name="step out")
        return Success(value=membership)

    async def step_out(self):
        """Hands over the leadership of a leader that was removed."""
        await self.hand_over()
        if self.election_role == LEADER:
            self.become(role=FOLLOWER, why="taken out")

    # --- on the leader

    def settled(self):
        """Whether this leader may propose a membership: it has committed an entry of its own term, and
        the last membership is committed."""
        return (
            self.election_role == LEADER
            and self.term_at(self.commit) == self.term
            and self.memberships[-1][0] <= self.commit
        )

    def propose_membership(self, *, callback=lambda outcome: None, **changes):
        """Proposes the present membership with these fields changed."""
        membership = self.membership | changes
        self.propose(request=pack(["members", membership | {"v": membership["v"] + 1}]), callback=callback)

    def alive(self, address):
        """Whether a member counts and has answered within the longest election timeout."""
        return (
            address == self.settings.addr
            or address not in self.blank_peers
            and self.runtime.now() - self.acked_at.get(address, 0.0) < constants.ELECTION_TIMEOUT_MAX
        )

    def counts_when_promoted(self, address):
        """Whether a learner counts as soon as it is a voter. A blank one that does not know its minimum
        term would only make the majority larger."""
        minimum_term = self.minimum_terms.get(address)
        return address not in self.blank_peers or minimum_term is not None and minimum_term < self.term

    def voter_recently_silent(self):
        """Whether a voter is silent, but not yet for so long that it may be removed. No learner is made a
        voter meanwhile: with an even number of voters, one silent, the next loss could cost the majority."""
        now = self.runtime.now()
        return self.settings.auto_members and any(
            now - self.acked_at.get(peer, 0.0) > constants.ELECTION_TIMEOUT_MAX
            and now - max(self.acked_at.get(peer, 0.0), self.led_since) <= constants.REPLACEABLE_AFTER
            for peer in self.voter_peers
        )

    def has_live_majority(self, voters):
        """Whether a majority of these voters is alive."""
        return 2 * sum(1 for voter in voters if self.alive(voter)) > len(voters)

    async def drive_changes(self):
        """The leader's task that drives membership changes, also those that a previous leader began."""
        while True:
            await asyncio.sleep(constants.LEADER_HEARTBEAT_PERIOD)
            if self.settled():
                self.advance_membership()

    def advance_membership(self):
        """Proposes the next entry that a change in progress, or the members' state, requires, if any."""
        membership, learner = self.membership, self.membership["learner"]
        if (
            learner
            and self.match.get(learner, 0) >= self.commit
            and learner in self.acked_at
            and self.counts_when_promoted(learner)
            and not self.voter_recently_silent()
        ):
            self.say(log_events.MEMBER_COUNTS, addr=learner, index=self.match[learner])
            self.propose_membership(voters=sorted([*membership["voters"], learner]), learner="")
        elif not learner and membership["out"] in membership["voters"]:
            remaining = [voter for voter in membership["voters"] if voter != membership["out"]]
            if self.has_live_majority(remaining):
                self.propose_membership(
                    voters=remaining, out="", past=[*membership["past"], membership["out"]]
                )
        elif self.settings.auto_members:
            self.steer_automatic()

    def on_members_now(self, *, request, callback, caller):
        """A confirmed read of the membership, with the members that are alive."""

        def view(failure):
            callback(
                failure
                if failure is not None
                else Success(
                    value=self.membership
                    | {
                        "version": self.membership["v"],
                        "level": self.record.level,
                        "lead": self.settings.addr,
                        "up": [address for address in self.store_addresses if self.alive(address)],
                    }
                )
            )

        self.read(callback=view)

    def on_members(self, *, request, callback, caller):
        """An operator's change: adds, removes or replaces a member, based on the version it names."""
        if self.election_role != LEADER:
            callback(NotLeader(hint=self.leader))
            return
        self.run_task(coroutine=self.change(request, callback), name="change")

    async def change(self, request, callback):
        """Checks an operator's change and proposes its first entry."""
        newcomer = {"add": request["addr"], "replace": request["by"]}.get(request["do"], "")
        failure = await self.check_joinable(newcomer) if newcomer else None
        reply = lambda o: callback(Success(value=o.value | {"version": o.value["v"]}) if o.ok else o)  # noqa: E731
        failure = failure or self.check_change(request)
        if failure is not None:
            callback(failure)
        elif request["do"] == "add":
            self.propose_membership(learner=newcomer, callback=reply)
        elif request["do"] == "replace":
            self.propose_membership(learner=newcomer, out=request["addr"], callback=reply)
        elif request["addr"] == self.membership["learner"]:
            self.propose_membership(
                learner="", out="", past=[*self.membership["past"], request["addr"]], callback=reply
            )
        else:
            self.propose_membership(out=request["addr"], callback=reply)

    async def check_joinable(self, addr):
        """The Refused that says why a store member at this address cannot be added, or None."""
        if addr in self.store_addresses or addr in self.membership["past"]:
            return Refused(why="the address is, or once was, a member's")
        outcome = await self.link(addr=addr).call(op="status", request={})
        for _ in range(10):
            if outcome.ok:
                break
            await asyncio.sleep(constants.LEADER_HEARTBEAT_PERIOD)
            outcome = await self.link(addr=addr).call(op="status", request={})
        if not outcome.ok:
            return Refused(why="no almanac answers at the new address")
        if (
            not outcome.value["blank"]
            or not outcome.value.get("joins")
            or outcome.value["last"]
            and outcome.value["lead"] == ""
        ):
            return Refused(why="the new almanac is not blank, or was not started to join")
        return None

    def check_change(self, request):
        """The failure that says why an operator's change cannot begin now, or None."""
        membership = self.membership
        if not self.settled():
            return (
                Refused(why="a change is under way")
                if self.election_role == LEADER
                else NotLeader(hint=self.leader)
            )
        if self.record.level < 1:
            return Refused(why="the format level does not know changes of members yet")
        if request["base"] != membership["v"]:
            return StaleBase(base=request["base"], version=membership["v"])
        drops_learner = request["do"] == "remove" and request["addr"] == membership["learner"] != ""
        if (membership["learner"] or membership["out"]) and not drops_learner:
            return Refused(why="a change is under way")
        if request["do"] != "add" and request["addr"] not in (*membership["voters"], membership["learner"]):
            return Unknown(what="member", id=request["addr"])
        remaining = [voter for voter in membership["voters"] if voter != request["addr"]]
        if (
            request["do"] == "remove"
            and not drops_learner
            and (not remaining or not self.has_live_majority(remaining))
        ):
            return Refused(why="no living majority would be left")
        return None
