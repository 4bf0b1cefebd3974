"""Bootstrap of the store, and recovery of a replica whose disk is empty. Such a replica (blank) neither
votes nor counts towards a majority until it has learned every other member's term (the highest is its
minimum term, `floor`) and has then caught up with a leader of a newer term. That leader was elected
without it, so whatever it acknowledged before its disk was lost is in that leader's log."""

from ..base import constants, log_events
from ..base.problems import Success
from .vote import BLANK, FOLLOWER


class BootstrapMixin:
    """Founds a new store, or brings a replica with an empty disk back as a counting member."""

    def on_status(self, *, request, callback, caller):
        """Answers this replica's state, for peers, joining members and operators."""
        callback(
            Success(
                value={
                    "t": self.term,
                    "last": self.last(),
                    "blank": self.blank,
                    "founding": self.blank and self.settings.found and self.term == 0,
                    "state": self.election_role,
                    "commit": self.commit,
                    "addr": self.settings.addr,
                    "conf": self.membership,
                    "joins": self.settings.join,
                    "lead": self.leader,
                    "clock": self.clk is not None,
                    "applied": self.applied,
                    "digest": self.record.digest() if request.get("digest") else "",
                }
            )
        )

    async def recover_blank(self):
        """Bootstraps a blank replica: founds the store with the other seeds, or learns the minimum term.
        The minimum term is saved on disk, so that a replica that stops before it counts need not hear
        from every member again."""
        if self.minimum_term is None:
            await self.learn_minimum_term()
            if self.minimum_term is not None:
                self.hard_dirty = True
                self.disk_event.set()

    async def learn_minimum_term(self):
        """Asks every peer for its status; founds the store if all are new, else sets `floor` once enough
        members have answered."""
        answers = {}
        for peer in list(self.peers):
            answer = await self.link(addr=peer).call(op="status", request={})
            if answer.ok:
                answers[peer] = answer.value
                if "conf" in answer.value:
                    self.adopt_membership(answer.value["conf"])
        if self.settings.auto_members and not self.settings.found and self.unknown_to_majority(answers):
            self.minimum_term = 0
            return
        if set(answers) != set(self.peers):
            if not self.settings.found and self.heard_enough(answers):
                self.minimum_term = max([self.term] + [status["t"] for status in answers.values()])
            return
        fresh = all(
            status["t"] == 0 and status["last"] == 0 and (status["founding"] or not status["blank"])
            for status in answers.values()
        )
        if self.settings.found and fresh and self.term == 0 and self.last() == 0:
            self.blank, self.hard_dirty = False, True
            await self.wait_synced()
            self.say(log_events.FOUNDED, members=len(self.peers) + 1)
            self.become(role=FOLLOWER, why="founded")
        elif not self.settings.found or any(not status["blank"] for status in answers.values()):
            if all(status["blank"] for status in answers.values()):
                return
            self.minimum_term = max([self.term] + [status["t"] for status in answers.values()])
            if self.settings.found:
                self.say(log_events.FOUND_REFUSED, floor=self.minimum_term)

    def heard_enough(self, answers):
        """Whether every majority that this replica may have been part of includes a member that answered
        and still has its disk, and EMPTY_REPLICA_WAIT has passed since the start, so that no vote that it was
        asked for is still pending."""
        members_heard = len([peer for peer in self.voters if peer in answers and not answers[peer]["blank"]])
        return (
            self.membership["v"] > 0
            and members_heard > len(self.voters) - self.majority()
            and self.runtime.now() - self.started_at > constants.EMPTY_REPLICA_WAIT
        )

    def count_if_caught_up(self, *, term, commit):
        """Called after an append: counts and votes again once this replica holds all that a leader of a
        term above the minimum term has committed."""
        if (
            not self.blank
            or self.minimum_term is None
            or term <= self.minimum_term
            or commit > self.last()
            or commit == 0
            or self.settings.addr not in self.voters
        ):
            return
        self.blank, self.hard_dirty = False, True
        if not self.vote:  # the term has a leader: do not vote for another candidate in it
            self.vote = self.leader

        def on_synced():
            self.say(log_events.CAUGHT_UP, term=term, index=commit)
            if self.election_role == BLANK:
                self.become(role=FOLLOWER, leader=self.leader, why="caught up")

        self.after_sync(on_synced)
