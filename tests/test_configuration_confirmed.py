"""How a gateway knows how old its configuration is, and what it answers meanwhile."""

import asyncio
from types import SimpleNamespace

import pytest
from test_platform_translation import CONFIG, ROUTE, front, tables

from hollowhall.base import constants
from hollowhall.base.doors import Call
from hollowhall.base.problems import CircuitDown, Late, NotLeader, Success
from hollowhall.mast.configuration import ConfigurationMixin
from hollowhall.mast.keys import KeysMixin
from hollowhall.record.tenant_bodies import key_digest
from hollowhall.sim.loop import SimLoop

SECRET = "k-of-the-team"


class Member:
    """A connected store member. `answers`: by operation, a result, or None for silence."""

    def __init__(self, *, level=constants.LEVEL, **answers):
        self.up, self.level, self.answers, self.asked = True, level, answers, []

    def send_request(self, *, op, request, callback, wait):
        self.asked.append(op)
        result = self.answers[op]
        loop = asyncio.get_running_loop()
        if result is None:
            loop.call_later(wait, callback, Late(op=op))
        else:
            loop.call_soon(callback, result)

    async def call(self, *, op, request, wait=1.0):
        self.asked.append(op)
        await asyncio.sleep(0.001)
        return self.answers[op] or Late(op=op)


class Gateway(ConfigurationMixin, KeysMixin):
    """A gateway that holds version 2 of a configuration; `pushed` arrives by its long poll after 0.1 s."""

    confirms_configuration = True

    def __init__(self, loop, members, *, pushed=None):
        self.runtime, self.loop = SimpleNamespace(now=lambda: loop.virtual_time), loop
        self.links = {f"m{number}": member for number, member in enumerate(members)}
        self.store_addresses, self.avoided_until, self.pushed = list(self.links), {}, pushed
        self.charter = configuration(version=2)
        self.sent, self.gauges = [], SimpleNamespace(unauthorized=lambda: None)

    def link(self, *, addr):
        return self.links[addr]

    def run_task(self, *, coroutine, name):
        self.loop.create_task(coroutine)

    async def follow_configuration(self):
        await asyncio.sleep(0.1)
        self.take_configuration(self.pushed)

    def request(self, *, op, request, callback, wait):
        self.sent.append(op)
        callback(Success(value={"waiting": 0}))
        return lambda: None


def configuration(*, version, routes=(ROUTE,), **more):
    rows = vars(tables.read_config(CONFIG | {"routeTable": list(routes)}))
    return {"version": version, "chosen": version} | {k: v for k, v in rows.items() if v is not None} | more


NEW_ROUTE = ROUTE | {"name": "r-2", "pathPrefix": "/new/"}
NEWER = configuration(version=3, routes=(ROUTE, NEW_ROUTE))
AT_2, AT_3 = Success(value={"version": 2}), Success(value={"version": 3})


def ask(members, *, path="/new/", pushed=None, after_s=0.0, **headers):
    """(gateway, status of the answer, s until it came) of one GET after the gateway's start."""
    loop, replies = SimLoop(), []

    async def go():
        gateway = Gateway(loop, members, pushed=pushed)
        gateway.open_configuration()
        handler = front.Front(mast=gateway)
        await asyncio.sleep(after_s)
        began = loop.virtual_time
        call = Call(method="GET", path=path, headers={"host": "h.example"} | headers)
        handler.take(call=call, callback=lambda reply: replies.append((reply, loop.virtual_time - began)))
        while not replies and loop.virtual_time < 30:
            await asyncio.sleep(0.01)
        return gateway

    gateway = loop.run_until_complete(go())
    return gateway, replies[0][0].status, replies[0][1]


def test_a_route_that_is_not_known_is_refused_once_the_configuration_is_confirmed():
    _, status, took = ask([Member(charter_version=AT_2)])
    assert status == 404 and took < 0.1


def test_a_route_of_a_version_that_the_long_poll_did_not_bring_is_served():
    # The gateway answered 404 until the poll at its silent store member had been given up.
    gateway, status, took = ask([Member(charter_version=AT_3, charter=Success(value=NEWER))])
    assert (
        status == 200
        and took <= constants.CONFIGURATION_PUSH_DELAY + 0.05
        and gateway.charter["version"] == 3
    )


def test_a_version_that_the_long_poll_brings_is_not_fetched_again():
    # Versions that went out once for each question overloaded a large fleet.
    member = Member(charter_version=AT_3, charter=Success(value=NEWER))
    _, status, took = ask([member], pushed=NEWER)
    assert status == 200 and took < 0.2 and "charter" not in member.asked


@pytest.mark.parametrize("silent", [1, 2, 4])
def test_silent_members_cost_a_short_delay_each(silent):
    members = [Member(charter_version=None) for _ in range(silent)] + [Member(charter_version=AT_2)]
    _, status, took = ask(members)
    assert status == 404 and took <= silent * constants.CONFIRMATION_NEXT_DELAY + 0.05


@pytest.mark.parametrize("silent", [1, 2])
def test_a_silent_member_is_asked_last_for_some_time(silent):
    members = [Member(charter_version=None) for _ in range(silent)] + [Member(charter_version=AT_2)]
    ask(members, after_s=1.9)
    assert [len(member.asked) for member in members[:silent]] == [1] * silent


@pytest.mark.parametrize("answer", [None, NotLeader(hint=""), CircuitDown(addr="m0")])
def test_where_no_member_confirms_the_client_is_told_to_come_back(answer):
    # A 404 would say for sure that the queue does not exist.
    _, status, took = ask([Member(charter_version=answer) for _ in range(3)])
    assert (
        status == 503
        and took <= 2 * constants.CONFIRMATION_NEXT_DELAY + constants.CONFIRMATION_TIMEOUT + 0.05
    )


def test_a_gateway_without_connections_refuses_at_once():
    members = [Member(charter_version=AT_2)]
    members[0].up = False
    _, status, took = ask(members)
    assert status == 503 and took < 0.05


def test_store_members_of_an_older_release_leave_the_decision_to_the_version_held():
    _, status, _ = ask([Member(level=5)])
    assert status == 404


def test_a_lost_answer_to_the_fetch_does_not_confirm():
    _, status, _ = ask([Member(charter_version=AT_3, charter=None)])
    assert status == 503


def test_an_age_is_counted_from_the_question_and_not_from_the_answer():
    loop = SimLoop()

    async def go():
        gateway = Gateway(loop, [Member(charter_version=AT_2), Member(charter_version=None)])
        gateway.open_configuration()
        await asyncio.sleep(constants.CONFIRMATION_NEXT_DELAY + 0.01)
        return gateway.confirmed_at

    assert loop.run_until_complete(go()) == pytest.approx(constants.CONFIRMATION_NEXT_DELAY, abs=0.005)


def test_a_disconnected_client_leaves_nothing_behind():
    loop, replies = SimLoop(), []

    async def go():
        gateway = Gateway(loop, [Member(charter_version=AT_2)])
        gateway.open_configuration()
        call = Call(method="GET", path="/new/", headers={"host": "h.example"})
        release = front.Front(mast=gateway).take(call=call, callback=replies.append)
        release()
        assert gateway.confirmation_waiters == []
        await asyncio.sleep(0.2)

    loop.run_until_complete(go())
    assert replies == []


def test_a_key_that_was_added_by_a_version_on_its_way_is_taken():
    # A key is refused by the same rule as a route: only by a configuration that was confirmed.
    tenants = {"team": {"keys": [key_digest(SECRET)], "weight": 1}}
    newer = configuration(version=3, tenants=tenants)
    member = Member(charter_version=AT_3, charter=Success(value=newer))
    loop_members = [member]
    gateway_before = configuration(version=2, tenants={})
    original = Gateway.__init__

    class KeyedGateway(Gateway):
        def __init__(self, *arguments, **more):
            original(self, *arguments, **more)
            self.charter = gateway_before

    loop, replies = SimLoop(), []

    async def go():
        gateway = KeyedGateway(loop, loop_members)
        gateway.open_configuration()
        call = Call(method="GET", path="/q/", headers={"host": "h.example", "credential": SECRET})
        front.Front(mast=gateway).take(call=call, callback=replies.append)
        await asyncio.sleep(1.0)

    loop.run_until_complete(go())
    assert replies[0].status == 200


def test_an_error_in_one_waiting_call_does_not_end_the_confirmations():
    loop, answers = SimLoop(), []

    def breaks(confirmed):
        raise ValueError("planted")

    async def go():
        gateway = Gateway(loop, [Member(charter_version=AT_2)])
        gateway.open_configuration()
        for callback in (breaks, answers.append):
            gateway.when_confirmed(callback)
        await asyncio.sleep(2.0)
        return gateway.is_confirmed()

    assert loop.run_until_complete(go()) and answers == [True]
