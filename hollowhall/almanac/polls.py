"""Long polls. A request carries the version that its caller holds and is parked until there is a newer
one, or is answered empty when its time is over. Any replica answers from its applied state, but one that
is out of touch with the others refuses: its state may be old. How old the state of a replica may be at most is
measured without comparing clocks: a follower sends its own time with each answer to an append, and the
leader sends the last one back with the next append, which therefore was sent later."""

import asyncio
import math

from ..base import constants
from ..base.problems import NotLeader, Success
from .vote import LEADER


class LongPollMixin:
    """Parks long polls and answers them as entries are applied."""

    def park(self, *, test, callback, wait):
        """Answers at once if `test(False)` returns a result, else when it does. `test(True)` gives the
        answer when `wait` (s) is over. A replica that is out of touch answers NotLeader, at once or later."""
        if self.out_of_touch():
            callback(NotLeader(hint=""))
            return
        outcome = test(False)
        if outcome is not None:
            callback(outcome)
            return
        ticket = self.pending_polls.put(callback=callback)
        if ticket is None:
            callback(test(True))
            return
        self.polls[ticket] = test

        def lapse():
            if self.polls.pop(ticket, None) is not None:
                result = NotLeader(hint="") if self.out_of_touch() else test(True)
                self.pending_polls.take(index=ticket[0], generation=ticket[1])(result)

        asyncio.get_running_loop().call_later(wait, lapse)

    def out_of_touch(self):
        """Whether this replica has been cut off for so long that its state may be old."""
        if self.election_role == LEADER:
            return self.contact_age() > constants.LEADER_CONTACT_MAX_AGE
        return self.runtime.now() - self.leader_heard_at > constants.LEADER_CONTACT_MAX_AGE

    def state_age(self):
        """Seconds; everything that was confirmed longer ago is included in this replica's state."""
        if self.election_role == LEADER:
            return self.contact_age() if self.has_committed() else math.inf
        return self.runtime.now() - self.state_current_at

    def note_state_current(self, *, request, last_held):
        """Takes from an append how recent this replica's state is, if it holds all that the leader had
        committed. The leader's own contact to a majority may be some time ago, too. Leaders of older
        releases send neither time."""
        now = self.runtime.now()
        sent_after = request.get("echo", now)
        if last_held < request["c"] or sent_after is None or sent_after > now:  # now: as of an earlier life
            return
        self.state_current_at = max(self.state_current_at, sent_after - request.get("contact", 0.0))

    def drop_polls(self):
        """Answers all parked polls with NotLeader, so that their callers ask another replica."""
        for ticket in list(self.polls):
            del self.polls[ticket]
            self.pending_polls.take(index=ticket[0], generation=ticket[1])(NotLeader(hint=""))

    def answer_polls(self):
        """Answers the parked polls that have a result now."""
        for ticket, test in list(self.polls.items()):
            outcome = test(False)
            if outcome is not None:
                del self.polls[ticket]
                self.pending_polls.take(index=ticket[0], generation=ticket[1])(outcome)

    def on_watch(self, *, request, callback, caller):
        """A long poll for the keys under a prefix that changed after a revision."""

        def test(final):
            revision = self.keys.last_revision(prefix=request["p"])
            if revision > request["rev"] or final:
                return Success(
                    value={
                        "rev": max(revision, request["rev"]),
                        "news": revision > request["rev"],
                        "lead": self.leader,
                        "kv": self.keys.with_prefix(prefix=request["p"]) if revision > request["rev"] else {},
                    }
                )
            return None

        self.park(
            test=test,
            callback=callback,
            wait=min(request.get("wait", constants.LONG_POLL_TIMEOUT), constants.LONG_POLL_TIMEOUT),
        )

    def on_charter(self, *, request, callback, caller):
        """A long poll for a newer configuration than the caller's version."""

        def test(final):
            version = self.record.charter["version"]
            if version > request["version"] or final:
                return Success(
                    value=self.record.public_configuration() if version > request["version"] else None
                )
            return None

        self.park(test=test, callback=callback, wait=constants.LONG_POLL_TIMEOUT)

    def on_charter_version(self, *, request, callback, caller):
        """The version of the newest configuration, from this replica's state if that is recent enough."""
        if self.state_age() > constants.LEADER_CONTACT_MAX_AGE:
            callback(NotLeader(hint=""))
        else:
            callback(Success(value={"version": self.record.charter["version"]}))
