"""Regression tests for faults that a review of the store found, as written-out runs of the model
checker. Most runs are also played with a replica that lacks the protection, and
must then show the fault."""

import pytest
import weak_replicas as weak
from model_script import A, B, C, D, Script

from hollowhall.base import constants
from hollowhall.explore.replica import ModelReplica


@pytest.mark.parametrize(
    "replica_class, rule", [(ModelReplica, None), (weak.VotesBeforeSync, "one_leader_a_term")]
)
def test_a_vote_is_on_disk_before_it_is_sent(replica_class, rule):
    """C loses power while its vote for A waits for the disk; then B asks for C's vote in the same
    term. A vote sent before the sync would let A and B lead in one term."""
    run = Script(replica_class=replica_class)
    run.play("timeout", A)
    run.exchange(A, C, "prevote")
    run.play("hold", C)
    run.request(A, C, "vote")
    if run.in_flight(C, A, "vote", reply=True):  # sent before it was on disk
        run.reply(C, A, "vote")
    run.play("power", C, False, False)
    run.play("restart", C)
    run.play("timeout", B)
    run.exchange(B, C, "prevote")
    run.exchange(B, C, "vote")
    run.close()
    assert (run.violation and run.violation.rule) == rule


@pytest.mark.parametrize(
    "replica_class, counted_too_early", [(ModelReplica, False), (weak.CountsBeforeSnapshot, True)]
)
@pytest.mark.parametrize("renamed", [False, True])
def test_a_member_counts_on_disk_only_with_the_snapshot_it_counts_by(
    replica_class, counted_too_early, renamed
):
    """A replica with a new disk catches up by a snapshot and loses power before the snapshot is on
    disk. A disk that says that it counts as a member must hold the snapshot: else the member would
    vote without the committed entries."""
    run = Script(replica_class=replica_class, snap_every=4)
    run.elect(A, C)
    run.append(A, C, times=2)
    for number in range(1, 9):
        run.order(A, number, number - 1)
        run.append(A, C, times=2)
    run.play("snapshot", A)
    assert run.replica(A).base_index > 5
    run.play("wipe", C)
    run.play("restart", C)
    run.play("timeout", C)
    for peer in (A, B):
        run.exchange(C, peer, "status")
    run.append(A, B, times=6)
    assert run.replica(C).minimum_term is not None
    run.elect(A, B)
    run.append(A, B, times=3)
    replica = run.replica(C)
    run.play("hold", C)
    for _ in range(12):  # all messages arrive while the first write of the new term waits for the disk
        if not replica.blank:
            break
        run.play("append", A, C)
        operation = "snap" if run.in_flight(A, C, "snap") else "append"
        run.request(A, C, operation)
        if run.in_flight(C, A, operation, reply=True):
            run.reply(C, A, operation)
        else:
            run.play("lose", (A, C, operation, False, 10**6))  # no such message: only checks the rules
            run.cluster.append_tasks.pop((A, C), None)
            run.replica(A).next[C] = replica.last() + 1
    assert not replica.blank and replica.received_snapshot is not None, "a snapshot must be under way"
    run.play("sync", C)  # the waiting write
    run.play("sync", C)  # the frame before the snapshot
    run.play("power", C, True, renamed)
    index = max(run.cluster.committed)
    term = run.cluster.committed[index][0]
    counts = C in run.cluster.stopped_voters
    holds = run.cluster.holds(C, index=index, term=term) or renamed
    run.close()
    assert (counts and not holds) == (counted_too_early and not renamed)


def test_a_removed_learner_that_lost_its_disk_may_not_vote():
    """D is added as a learner, loses its disk and is removed. When it comes back the members still
    know its address, so it may not vote: its lost disk may have held a vote."""
    run = Script(spares=1)
    run.elect(A, B)
    run.append(A, B, times=2)
    run.append(A, C, times=2)
    run.play("timeout", D)
    for peer in (A, B, C):
        run.exchange(D, peer, "status")
    assert run.replica(D).minimum_term == 0  # no member has ever known it
    run.play("knock", D)
    run.play("steer", A)
    assert run.replica(A).membership["learner"] == D
    run.append(A, B, times=2)
    run.play("wipe", D)
    for _ in range(3):
        run.play("silence")
        run.append(A, B, times=2)
        run.append(A, C, times=2)
    run.play("steer", A)
    run.append(A, B, times=2)
    run.append(A, C, times=2)
    assert run.replica(A).membership["learner"] == "" and D in run.replica(A).membership["past"]
    run.play("restart", D)
    run.play("timeout", D)
    for peer in (A, B, C):
        run.exchange(D, peer, "status")
    assert run.replica(D).minimum_term != 0 and not run.replica(D).may_vote()
    run.close()


def test_a_removed_learner_that_was_forgotten_may_vote():
    """The same, with replicas that forget removed learners: D may vote."""
    run = Script(spares=1, replica_class=weak.ForgetsLearners)
    run.elect(A, B)
    run.append(A, B, times=2)
    run.append(A, C, times=2)
    run.replica(A).propose_membership(learner=D)
    run.append(A, B, times=2)
    run.append(A, C, times=2)
    run.replica(A).propose_membership(learner="", out="", past=[D])
    run.append(A, B, times=2)
    run.append(A, C, times=2)
    run.play("timeout", D)
    for peer in (A, B, C):
        run.exchange(D, peer, "status")
    assert run.replica(D).may_vote()
    run.close()


@pytest.mark.parametrize("replica_class, waits", [(ModelReplica, True), (weak.AnswersBelowSnapshots, False)])
def test_entries_covered_by_a_snapshot_are_acknowledged_once_it_is_on_disk(replica_class, waits):
    """B receives a snapshot that is not on disk yet. A late append of entries that the snapshot
    covers must be acknowledged only after the sync: the leader counts the reply as durable."""
    run = Script(replica_class=replica_class, snap_every=4)
    run.elect(A, C)
    for number in range(1, 9):
        run.order(A, number, number - 1)
        run.append(A, C, times=2)
    run.play("snapshot", A)
    run.append(A, C, times=1)
    run.play("hold", B)
    for _ in range(6):
        run.play("append", A, B)
        operation = "snap" if run.in_flight(A, B, "snap") else "append"
        run.request(A, B, operation)
        if not run.in_flight(B, A, operation, reply=True):
            break
        run.reply(B, A, operation)
    assert operation == "snap" and run.replica(B).base_index > 0
    answers = []
    late = {"t": run.replica(A).term, "l": A, "li": 1, "lt": 1, "es": [], "c": 1, "h": {}}
    run.replica(B).serve(op="append", request=late, caller=A, callback=answers.append)
    run.cluster.loop.settle()
    assert (answers == []) == waits
    for _ in range(6):
        run.play("sync", B)
    assert answers and answers[0].value["yes"]
    run.close()


@pytest.mark.parametrize(
    "replica_class, refuses", [(ModelReplica, True), (weak.ChangesCountAsContact, False)]
)
def test_an_isolated_leader_that_changes_the_membership_serves_no_configuration(replica_class, refuses):
    """A has lost contact with the majority and changes the membership by an entry that no one else
    has. The new membership does not count as contact, so A must refuse to serve the configuration."""
    run = Script(replica_class=replica_class, spares=1)
    run.elect(A, B)
    run.append(A, B, times=2)
    run.cluster.loop.advance(constants.LEADER_CONTACT_MAX_AGE)
    run.replica(A).propose_membership(learner=D)  # appended at A only
    run.cluster.loop.advance(0.1)
    leader = run.replica(A)
    assert leader.quorum_age() < constants.ELECTION_TIMEOUT_MAX  # not yet time to step down
    assert leader.out_of_touch() == refuses
    answers = []
    leader.serve(op="charter", request={"version": 0}, caller="gateway", callback=answers.append)
    assert bool(answers and not answers[0].ok) == refuses
    run.close()


def keep_alive_through_lagging_voter(replica_class):
    """A and C know a lease whose grant B lacks. Only B receives a keep-alive, and its reply confirms
    it although B's log does not match yet; then A fails, and C is elected by B's vote. Returns (time
    of the keep-alive, time at which C expires the lease), in seconds."""
    run = Script(replica_class=replica_class)
    run.elect(A, C)
    run.append(A, C, times=3)
    granted, kept = [], []
    run.replica(A).serve(
        op="grant", request={"ttl": 0.95, "level": 9}, caller="primary", callback=granted.append
    )
    run.append(A, C, times=3)
    lease = granted[0].value["hold"]
    run.elect(A, C)
    run.append(A, C, times=3)
    run.cluster.loop.advance(0.9)
    now = run.replica(A).runtime.now()
    run.replica(A).serve(op="keep", request={"hold": lease}, caller="primary", callback=kept.append)
    run.append(A, B, times=1)
    assert kept[0].ok and lease not in run.replica(B).keys.leases, "A confirms, and B lacks the lease"
    run.play("power", A, False, False)
    run.elect(C, B)
    ends = run.replica(C).lease_ends[lease]
    run.close()
    return now, ends


def test_a_keep_alive_is_known_to_a_voter_that_has_not_applied_the_lease():
    """A vote carries the keep-alives of leases that the voter does not know, so that the new leader
    does not expire such a lease early."""
    now, ends = keep_alive_through_lagging_voter(ModelReplica)
    assert ends >= now + 0.95 - 1e-6


def test_a_voter_that_reports_only_known_leases_makes_it_expire_early():
    now, ends = keep_alive_through_lagging_voter(weak.TellsKnownLeasesOnly)
    assert ends < now + 0.5


def test_keep_alive_times_of_revoked_leases_are_dropped():
    """Keep-alive times of revoked leases are dropped after a while, so that they do not pile up."""
    run = Script()
    run.elect(A, C)
    run.append(A, C, times=3)
    leader, granted = run.replica(A), []
    for _ in range(30):
        leader.serve(op="grant", request={"ttl": 0.95, "level": 9}, caller="primary", callback=granted.append)
        run.append(A, C, times=2)
        leader.serve(
            op="revoke",
            request={"hold": granted[-1].value["hold"]},
            caller="primary",
            callback=lambda result: None,
        )
        run.append(A, C, times=2)
    assert len(leader.lease_ages()) == 30
    run.cluster.loop.advance(constants.UNKNOWN_KEEPALIVE_KEPT + 1)
    assert leader.lease_ages() == {} and leader.lease_kept_at == {}
    run.close()
