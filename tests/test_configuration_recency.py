"""How recent a store member's state is, by which it tells gateways the newest version of the configuration; and
that the primary refuses what a gateway would still allow by an older one."""

import asyncio
import math
from types import SimpleNamespace

import pytest
from test_hall import ControllerWorld
from test_level_two import ROW, Played
from test_platform_translation import front

from hollowhall.almanac.polls import LongPollMixin
from hollowhall.almanac.vote import FOLLOWER, LEADER
from hollowhall.base import constants
from hollowhall.base.problems import NotLeader, Success, Unknown
from hollowhall.base.slab import PendingRequests
from hollowhall.desk.outcomes import JobRequestsMixin
from hollowhall.sim.loop import SimLoop

# --- how recent a store member's state is


class Replica(LongPollMixin):
    """A replica's own view of how recent its state is, on a clock of the test."""

    def __init__(self, *, role=FOLLOWER):
        self.seconds, self.election_role, self.state_current_at = 100.0, role, -math.inf
        self.leader_heard_at, self.contact, self.own_term = 0.0, 0.0, True
        self.runtime = SimpleNamespace(now=lambda: self.seconds)
        self.record = SimpleNamespace(charter={"version": 7})
        self.pending_polls, self.polls, self.leader = PendingRequests(capacity=4), {}, ""

    def contact_age(self):
        return self.contact

    def has_committed(self):
        return self.own_term

    def answers(self):
        """Whether it tells its version now."""
        results = []
        self.on_charter_version(request={}, callback=results.append, caller="m")
        return results[0].ok


def test_a_follower_tells_its_version_while_the_leader_returns_its_times():
    replica = Replica()
    assert not replica.answers()
    replica.note_state_current(request={"c": 5, "echo": 99.9, "contact": 0.1}, last_held=5)
    assert replica.answers() and replica.state_age() == pytest.approx(0.2)
    replica.seconds += constants.LEADER_CONTACT_MAX_AGE
    assert not replica.answers()


@pytest.mark.parametrize(
    "request_fields, last_held",
    [
        ({"c": 5, "echo": 99.9, "contact": 0.0}, 4),  # it lacks entries that were committed
        ({"c": 5, "echo": 99.0, "contact": 0.0}, 5),  # the append lay unread for a second
        ({"c": 5, "echo": 99.9, "contact": 0.9}, 5),  # the leader itself has lost its majority
        ({"c": 5, "echo": None, "contact": 0.0}, 5),  # a new leader that has committed nothing of its term
        ({"c": 5, "echo": 170.0, "contact": 0.0}, 5),  # a time of an earlier life of this machine
    ],
)
def test_a_follower_whose_state_may_be_old_does_not(request_fields, last_held):
    # Any append counted as a sign that the state was recent, also one that did not match.
    replica = Replica()
    replica.note_state_current(request=request_fields, last_held=last_held)
    assert not replica.answers()


def test_a_leader_answers_while_a_majority_does_and_once_it_has_committed():
    replica = Replica(role=LEADER)
    assert replica.answers()
    replica.contact = constants.LEADER_CONTACT_MAX_AGE + 0.1
    assert not replica.answers()
    replica.contact, replica.own_term = 0.0, False
    assert not replica.answers()


def test_a_poll_that_runs_out_during_a_freeze_is_not_answered_as_if_nothing_were_new():
    # A replica that woke answered its parked polls with "nothing new" before it had heard of the others.
    loop, results = SimLoop(), []

    async def go():
        replica = Replica()
        replica.leader_heard_at = replica.seconds
        replica.park(
            test=lambda final: Success(value=None) if final else None, callback=results.append, wait=1.0
        )
        replica.seconds += 5.0
        await asyncio.sleep(2.0)

    loop.run_until_complete(go())
    assert isinstance(results[0], NotLeader)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_members_of_a_running_store_say_their_version_and_one_that_is_cut_off_does_not(seed):
    world, seen = ControllerWorld(seed=seed), {}

    def told(node):
        results = []
        node.daemon.store.on_charter_version(request={}, callback=results.append, caller="m")
        return results[0].ok

    async def go():
        world.start_all()
        await asyncio.sleep(12)
        halls = sorted(name for name in world.nodes if name.startswith("hall"))
        seen["before"] = [told(world.nodes[name]) for name in halls]
        for other in world.cards:
            world.net.cut("core-2", world.cards[other]["machine"])
        await asyncio.sleep(2.0)
        seen["cut"] = [told(world.nodes[name]) for name in halls]

    world.run(go())
    assert all(seen["before"])
    assert [name for name, answers in zip("12345", seen["cut"]) if not answers] == ["2"]


# --- what the primary refuses


class Desk(JobRequestsMixin):
    """A primary over a record, without a store or a network."""

    def __init__(self, rec):
        self.record, self.queued = rec, []

    def check_primary(self, callback):
        return True

    def queue_event(self, *, event, callback):
        self.queued.append(event[0])


def changed_record():
    """A record whose second change dropped the queue at /a/, and gave its name to the one at /c/."""
    record = Played()
    for level in range(1, constants.LEVEL + 1):
        record.apply_entry(op="level", d=level)
    rows = {"a": ROW | {"place": "/a/"}, "b": ROW | {"place": "/b/"}}
    record.apply_entry(op="edit", d={"base": 1, "rows": rows, "whole": True})
    rows = {"a": ROW | {"place": "/c/"}, "b": ROW | {"place": "/b/"}}
    record.apply_entry(op="edit", d={"base": 2, "rows": rows, "whole": True})
    return record


@pytest.mark.parametrize("op", ["count", "state", "cancel"])
def test_what_an_older_configuration_allows_is_refused_by_the_primary(op):
    # A gateway that lagged got an answer for a queue that had been dropped.
    desk, results = Desk(changed_record()), []
    request = {"name": "j", "lane": "a", "place": "/a/", "version": 2}
    getattr(desk, "on_" + op)(request=request, callback=results.append, caller="m")
    assert results == [Unknown(what="queue", id="a")] and not desk.queued


@pytest.mark.parametrize(
    "fields",
    [
        {"lane": "b", "place": "/b/", "version": 2},  # the queue is still there
        {"lane": "d", "place": "/d/", "version": 4},  # of a version that the primary has not applied yet
        {"lane": "a", "place": "/a/"},  # names no version
    ],
)
def test_other_requests_are_served(fields):
    desk, results = Desk(changed_record()), []
    desk.on_count(request=fields, callback=results.append, caller="m")
    assert results[0].ok


def test_a_queue_that_the_primary_does_not_have_is_answered_404():
    assert front.failure_reply(Unknown(what="queue", id="a")).status == 404
    assert front.failure_reply(Unknown(what="job", id="a")).status == 410
