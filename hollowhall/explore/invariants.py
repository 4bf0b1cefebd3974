"""The invariants that are checked after each event. Each yields the details of its violations."""

import zlib

from ..almanac.vote import LEADER
from .history import Violation
from .history import violations as history_violations


def one_leader_a_term(cluster):
    """A term has at most one leader."""
    for replica in cluster.running():
        if replica.election_role == LEADER:
            other = cluster.leader_of_term.setdefault(
                replica.term, (replica.settings.addr, replica.incarnation)
            )
            if other != (replica.settings.addr, replica.incarnation):
                yield f"term {replica.term}: {other[0]} and {replica.settings.addr}"


def committed_stays(cluster):
    """All replicas, at all times, know the same entry as committed at an index."""
    for replica in cluster.running():
        address = replica.settings.addr
        start = max(replica.base_index, cluster.checked_to.get((address, replica.incarnation), 0))
        for index, term, body in replica.entries(start + 1):
            if index > replica.commit:
                break
            entry = (term, zlib.crc32(body))
            if cluster.committed.setdefault(index, entry) != entry:
                yield f"index {index} at {address}: {entry}, elsewhere {cluster.committed[index]}"
        cluster.checked_to[address, replica.incarnation] = replica.commit


def leader_holds_committed(cluster):
    """A new leader's log contains every entry that was committed before."""
    for replica in cluster.running():
        key = (replica.term, replica.settings.addr)
        if replica.election_role != LEADER or key in cluster.checked_leaders:
            continue
        cluster.checked_leaders.add(key)
        for index, (term, _) in cluster.committed.items():
            if index > replica.base_index and replica.term_at(index) != term:
                yield f"leader {replica.settings.addr} of term {replica.term} lacks index {index}"


def state_equal_at_equal_index(cluster):
    """Replicas that have applied entries up to the same index have the same state."""
    for replica in cluster.running():
        index = replica.applied
        if cluster.last_digested.get(replica.settings.addr) == (replica.incarnation, index):
            continue
        cluster.last_digested[replica.settings.addr] = (replica.incarnation, index)
        digest = (replica.record.digest(), sorted(replica.keys.kv.items()), replica.keys.rev)
        other = cluster.state_at_index.setdefault(index, digest)
        if other != digest:
            yield f"index {index} at {replica.settings.addr}"


def unheld_is_no_majority(cluster):
    """The voters that may vote and lack the last committed entry are never a majority of the
    current members, so the next leader has it. Members that restart with an empty disk do not vote."""
    if not cluster.committed:
        return
    index = max(cluster.committed)
    term = cluster.committed[index][0]
    voters = cluster.current_voters()
    lacking = [a for a in voters if cluster.may_vote(a) and not cluster.holds(a, index=index, term=term)]
    if 2 * len(lacking) > len(voters):
        yield f"index {index} is not at {', '.join(lacking)} of {', '.join(voters)}"


def orphan_is_never_counted(cluster):
    """A leader counts only its membership's voters, and no vote comes from a member that restarted
    with an empty disk and has not caught up."""
    for replica in cluster.running():
        if replica.election_role == LEADER:
            for address in replica.voter_peers:
                if address not in replica.membership["voters"]:
                    yield f"{replica.settings.addr} counts {address}"
    yield from cluster.invalid_votes


def nothing_crashed(cluster):
    """No task of a replica ended with an exception."""
    yield from cluster.loop.errors


INVARIANTS = (
    nothing_crashed,
    one_leader_a_term,
    committed_stays,
    leader_holds_committed,
    state_equal_at_equal_index,
    unheld_is_no_majority,
    orphan_is_never_counted,
)


def first_violation(cluster):
    """The first violation of an invariant or, after a reply to an operator, of a rule; else None."""
    for invariant in INVARIANTS:
        for detail in invariant(cluster):
            return Violation(rule=invariant.__name__, detail=detail)
    if cluster.history_changed:
        cluster.history_changed = False
        for violation in history_violations(cluster.operations):
            return violation
    return None
