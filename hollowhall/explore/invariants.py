"""What must hold after each event. Each takes the cluster and yields what breaks it."""

import zlib

from ..almanac.vote import LEADER
from .history import Violation
from .history import violations as history_violations


def one_leader_a_term(cluster):
    """No two replicas ever lead in one term."""
    for replica in cluster.running():
        if replica.rank == LEADER:
            other = cluster.leaders.setdefault(replica.term, (replica.params.addr, replica.life))
            if other != (replica.params.addr, replica.life):
                yield f"term {replica.term}: {other[0]} and {replica.params.addr}"


def committed_stays(cluster):
    """What one replica holds as committed is the same entry wherever an entry of that index is
    held as committed, at any time."""
    for replica in cluster.running():
        address = replica.params.addr
        start = max(replica.base_i, cluster.checked.get((address, replica.life), 0))
        for index, term, body in replica.entries(start + 1):
            if index > replica.commit:
                break
            entry = (term, zlib.crc32(body))
            if cluster.committed.setdefault(index, entry) != entry:
                yield f"index {index} at {address}: {entry}, elsewhere {cluster.committed[index]}"
        cluster.checked[address, replica.life] = replica.commit


def leader_holds_committed(cluster):
    """A new leader's log holds every entry that was committed before."""
    for replica in cluster.running():
        key = (replica.term, replica.params.addr)
        if replica.rank != LEADER or key in cluster.elected:
            continue
        cluster.elected.add(key)
        for index, (term, _) in cluster.committed.items():
            if index > replica.base_i and replica.term_at(index) != term:
                yield f"leader {replica.params.addr} of term {replica.term} lacks index {index}"


def state_equal_at_equal_index(cluster):
    """Replicas that have applied the same entries hold the same state."""
    for replica in cluster.running():
        index = replica.applied
        if cluster.digested.get(replica.params.addr) == (replica.life, index):
            continue
        cluster.digested[replica.params.addr] = (replica.life, index)
        digest = (replica.record.digest(), sorted(replica.keys.kv.items()), replica.keys.rev)
        other = cluster.digests.setdefault(index, digest)
        if other != digest:
            yield f"index {index} at {replica.params.addr}"


def unheld_is_no_majority(cluster):
    """The voters that may vote and lack a committed entry are never a majority of the present
    members: whoever leads next holds it. Members whose disk came back empty do not vote."""
    if not cluster.committed:
        return
    index = max(cluster.committed)
    term = cluster.committed[index][0]
    voters = cluster.present_voters()
    lacking = [a for a in voters if cluster.may_vote(a) and not cluster.holds(a, index=index, term=term)]
    if 2 * len(lacking) > len(voters):
        yield f"index {index} is not at {', '.join(lacking)} of {', '.join(voters)}"


def orphan_is_never_counted(cluster):
    """A leader counts nobody that is outside its list of members, and nobody whose disk came
    back empty and who has not caught up."""
    for replica in cluster.running():
        if replica.rank == LEADER:
            for address in replica.voter_peers:
                if address not in replica.conf["voters"]:
                    yield f"{replica.params.addr} counts {address}"
    yield from cluster.counted_orphans


def nothing_crashed(cluster):
    """No task of a replica ended by an error."""
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


def broken(cluster):
    """The first rule that does not hold now, or None."""
    for invariant in INVARIANTS:
        for detail in invariant(cluster):
            return Violation(rule=invariant.__name__, detail=detail)
    if cluster.history_changed:
        cluster.history_changed = False
        for violation in history_violations(cluster.operations):
            return violation
    return None
