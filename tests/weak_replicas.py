"""Replicas of the store that lack one protection each, for tests/test_model.py and test_model_mends.py."""

from hollowhall.almanac.vote import LEADER
from hollowhall.base import constants
from hollowhall.base.problems import StaleBase, Success
from hollowhall.explore.replica import ModelReplica
from hollowhall.record import Record


class ReadsAlone(ModelReplica):
    """A leader answers reads without a confirmation by a majority."""

    def read(self, *, callback):
        if self.election_role == LEADER:
            callback(None)
        else:
            super().read(callback=callback)


class FoundersMajority(ModelReplica):
    """The majority is that of the founders, however many members there are now."""

    def majority(self):
        return len(self.settings.seeds) // 2 + 1


class HurriedNewcomer(ModelReplica):
    """A new member becomes a voter, and counts, before it holds the committed entries."""

    def advance_membership(self):
        learner = self.membership["learner"]
        if learner:
            self.match[learner] = self.last()
            self.propose_membership(voters=sorted([*self.membership["voters"], learner]), learner="")
        else:
            super().advance_membership()

    def advance(self):
        for peer in self.voter_peers if self.election_role == LEADER else ():
            if peer not in self.settings.seeds:
                self.match[peer] = self.last()
        super().advance()


class SnapshotWithoutMembership(ModelReplica):
    """Snapshots lack the membership."""

    def snapshot_header(self):
        return {key: value for key, value in super().snapshot_header().items() if key != "conf"}


class RecordWithoutKeys(Record):
    """Snapshots lack the idempotency keys of operators' edits."""

    def pack(self, *, jobs=True):
        return super().pack(jobs=jobs) | ({"taken": {}} if self.level > 1 else {})


class SnapshotWithoutKeys(ModelReplica):
    """Snapshots lack the idempotency keys of operators' edits."""

    make_record = RecordWithoutKeys


class NoKeys(Record):
    """An edit that was accepted is not recognized when it is sent again."""

    def edit_chosen(self, fields):
        if fields["on"] != self.charter.get("chosen", 0):
            return StaleBase(base=fields["on"], version=self.charter.get("chosen", 0))
        return super().edit_chosen(fields)


class ForgetsOrders(ModelReplica):
    """An edit that was accepted is not recognized when it is sent again."""

    make_record = NoKeys


class AnyBase(Record):
    """An edit is accepted whatever version it is based on."""

    def edit_chosen(self, fields):
        return super().edit_chosen(fields | {"on": self.charter.get("chosen", 0)})


class TakesAnyBase(ModelReplica):
    """An edit is accepted whatever version it is based on."""

    make_record = AnyBase


class EmptyDiskVotes(ModelReplica):
    """A replica that lost its disk counts from its start."""

    def restore(self):
        super().restore()
        self.blank, self.election_role = False, "follower"


class VotesBeforeSync(ModelReplica):
    """A vote is sent before it is on disk."""

    def on_vote(self, *, request, callback, caller):
        real, self.after_sync = self.after_sync, lambda callback_now: callback_now()
        super().on_vote(request=request, callback=callback, caller=caller)
        self.after_sync = real


class AnswersBeforeSync(ModelReplica):
    """Entries are acknowledged before they are on disk."""

    def on_append(self, *, request, callback, caller):
        real, self.after_sync = self.after_sync, lambda callback_now: callback_now()
        super().on_append(request=request, callback=callback, caller=caller)
        self.after_sync = real


class VotesForShorterLogs(ModelReplica):
    """Votes for candidates whose log lacks entries."""

    def log_up_to_date(self, request):
        return True


class CountsBeforeSnapshot(ModelReplica):
    """The disk says that a blank replica counts again before the snapshot that it counts by is on disk."""

    def counts_on_disk(self):
        return not self.blank


class ForgetsLearners(ModelReplica):
    """A learner that was dropped is not listed among the past members."""

    def propose_membership(self, *, callback=lambda o: None, **changes):
        if changes.get("learner") == "" and "past" in changes and "voters" not in changes:
            del changes["past"]
        super().propose_membership(callback=callback, **changes)


class TellsKnownLeasesOnly(ModelReplica):
    """A voter reports keep-alives only of leases whose grant it has applied."""

    def lease_ages(self):
        return {lease: age for lease, age in super().lease_ages().items() if lease in self.keys.leases}


class AnswersBelowSnapshots(ModelReplica):
    """Entries covered by a snapshot are acknowledged before the snapshot is on disk."""

    def on_append(self, *, request, callback, caller):
        if request["li"] + len(request["es"]) < self.base_index:
            callback(Success(value=self.ack(yes=True)))
        else:
            super().on_append(request=request, callback=callback, caller=caller)


class ChangesCountAsContact(ModelReplica):
    """A membership change counts as contact with a majority."""

    def out_of_touch(self):
        return (
            self.quorum_age() > constants.LEADER_CONTACT_MAX_AGE
            if self.election_role == LEADER
            else super().out_of_touch()
        )
