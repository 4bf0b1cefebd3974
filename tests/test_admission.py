"""Admission of tenants' jobs at a gateway: from its own token bucket, without a call. Guards against jobs
that wait for the primary's answer, fixed shares per gateway, and tokens that outlive their term."""

import asyncio

import pytest

from hollowhall.base import constants, log_events
from hollowhall.base import problems as P
from hollowhall.base.slab import PendingRequests
from hollowhall.mast.admission import AdmissionMixin, charge_of
from hollowhall.mast.gauges import Gauges

STEP = {"tasks": 4, "room": [1000, 0, 0], "estimateMs": 500}


def spec(*steps, standing=False):
    return {"standing": standing, "steps": list(steps) or [STEP]}


@pytest.mark.parametrize(
    "job, limits, charge",
    [
        (spec(), [4000, 0, 0], 500),  # 4 tasks x a quarter of the limit x 500 ms
        (spec(STEP, STEP), [4000, 0, 0], 1000),
        (spec(STEP | {"gang": True}), [4000, 0, 0], 1000),
        (spec(STEP | {"room": [1000, 500, 0]}), [4000, 1000, 0], 1000),  # the resource it uses most of
        (spec(STEP | {"tasks": 1, "estimateMs": 0}), [4000, 0, 0], 250),
        (spec(STEP | {"tasks": 1, "forever": True}), [40000, 0, 0], 125),
        (spec(STEP | {"tasks": 1}, standing=True), [40000, 0, 0], 125),
        (spec(STEP | {"tasks": 4000}), [4000, 0, 0], constants.CHARGE_MAX),
        (spec(STEP | {"room": [1, 0, 0]}), [1 << 40, 0, 0], 1),
        (spec(), [0, 0, 0], 0),
        (spec(), [0, 0, 8], 1),
    ],
)
def test_a_job_is_charged_by_size_and_kind(job, limits, charge):
    assert charge_of(spec=job, limits=limits) == charge


class Clock:
    """A clock that the test sets."""

    at = 100.0

    def now(self):
        return self.at


class RpcClient:
    """The connection to the primary; the test gives the answers to refills."""

    def __init__(self):
        self.requests, self.answer = [], lambda request: P.NotPrimary()

    async def call(self, *, op, request, wait):
        self.requests.append(request)
        return self.answer(request)


class Edge(AdmissionMixin):
    """A gateway's admission control, with clock and connection of the test; its tasks don't run."""

    def __init__(self, **limits):
        self.runtime, self.gauges, self.pending_requests, self.link = (
            Clock(),
            Gauges(),
            PendingRequests(capacity=9),
            RpcClient(),
        )
        rows = {name: {"cores": cores, "memMb": 0, "gpus": 0} for name, cores in limits.items()}
        self.charter, self.primary, self.logged = {"tenants": rows}, "p", []
        self.buckets, self.life, self.refill_seq, self.refill_answered = {}, "e1/a", 0, 0
        self.refilled_at, self.refill_wanted, self.sent = self.runtime.at, asyncio.Event(), []
        self.last_refill_ok = True

    def tenants_configured(self):
        return self.charter.get("tenants") is not None

    def run_task(self, *, coroutine, name):
        coroutine.close()

    def way(self, *, op, addr):
        return self.link

    def say(self, event, **fields):
        self.logged.append(event)

    def request(self, *, op, request, callback, wait):
        self.sent.append((request, callback))

    def grants(self, tokens):
        self.link.answer = lambda request: P.Success(
            value={"granted": {row[0]: tokens for row in request["rows"]}}
        )
        asyncio.run(self.refill())

    def take(self, job=None):
        return self.admit(tenant="t", spec=job or spec())


def test_a_new_tenant_s_first_job_is_let_in_and_paid_for_later():
    edge = Edge(t=4000)
    assert edge.take().value == 500 and edge.buckets["t"].tokens == -constants.NEW_BUCKET_DEBT_MAX
    assert isinstance(edge.take(), P.Throttled)
    edge.grants(500)
    assert not edge.take().ok
    edge.grants(300)
    assert edge.take().ok and edge.link.requests[0]["rows"] == [["t", -500, 1000]]


def test_admission_calls_nobody():
    edge = Edge(t=4000)
    edge.take(), edge.take()
    assert edge.link.requests == [] and edge.refill_wanted.is_set()


def test_a_refusal_names_the_resource_the_operation_and_the_limit():
    edge = Edge(t=4000)
    edge.take()
    refusal = edge.take()
    assert (refusal.status, refusal.taken) == (429, "no")
    assert (refusal.resource, refusal.operation, refusal.limit) == ("tenant", "submit", "budget")


def test_without_contact_what_is_left_is_spent_and_then_nothing_after_the_term():
    edge = Edge(t=4000)
    edge.take()
    edge.grants(5000)
    edge.runtime.at += constants.LOAN_TERM - 0.1
    assert edge.take().ok
    edge.runtime.at += 0.2
    refusal = edge.take()
    assert isinstance(refusal, P.BudgetUnknown) and refusal.status == 503


def test_tenants_without_limits_are_never_refused():
    edge = Edge(t=0)
    assert all(edge.take().value == 0 for _ in range(50)) and edge.buckets == {}
    assert edge.admit(tenant="", spec=spec()).value == 0


@pytest.mark.parametrize(
    "result, back",
    [
        (P.Success(value={"new": True}), 0),
        (P.Success(value={"new": False}), 500),  # sent again: already paid for
        (P.Full(where="desk"), 500),
        (P.Unsure(), 0),
    ],
)
def test_tokens_come_back_where_a_job_is_not_new_or_surely_not_taken(result, back):
    edge, told = Edge(t=4000), []
    job = {"name": "j", "spec": spec(), "digest": "d"}
    edge.submit(request=job, tenant="t", callback=told.append, wait=1.0)
    before = edge.buckets["t"].tokens
    edge.sent[0][1](result)
    assert edge.buckets["t"].tokens - before == back and told == [result]


def test_a_lost_answer_is_told_with_the_next_refill():
    edge = Edge(t=4000)
    edge.take()
    edge.link.answer = lambda request: P.Late(op="refill")
    asyncio.run(edge.refill())
    edge.grants(10)
    edge.grants(10)
    assert [(r["seq"], r["have"]) for r in edge.link.requests] == [(1, 0), (2, 0), (3, 2)]
    assert [r["rows"][0][2] for r in edge.link.requests] == [500, 500, 0]


def test_a_series_of_lost_refills_is_told_once():
    edge = Edge(t=4000)
    edge.take()
    edge.link.answer = lambda request: P.CircuitDown()
    for _ in range(4):
        asyncio.run(edge.refill())
    edge.grants(10)
    edge.link.answer = lambda request: P.CircuitDown()
    asyncio.run(edge.refill())
    assert edge.logged == [log_events.REFILL_FAILED] * 2


def test_what_is_spent_while_a_refill_is_under_way_stays_spent():
    edge = Edge(t=4000)
    edge.take()
    edge.grants(1000)

    def answer(request):
        edge.take()
        return P.Success(value={"granted": {"t": 100}})

    edge.link.answer = answer
    before = edge.buckets["t"].tokens
    asyncio.run(edge.refill())
    assert edge.buckets["t"].tokens == before - 500 + 100 and edge.buckets["t"].asked == 500


def test_idle_buckets_and_those_of_removed_tenants_are_dropped():
    edge = Edge(t=4000, u=4000)
    edge.take()
    edge.admit(tenant="u", spec=spec())
    edge.charter = {"tenants": {"t": edge.charter["tenants"]["t"]}}
    edge.drop_idle_buckets()
    assert edge.buckets.keys() == {"t"}
    edge.runtime.at += constants.LOAN_TERM + 0.1
    edge.drop_idle_buckets()
    assert edge.buckets == {}


def test_figures_tell_who_was_refused_and_no_key():
    edge = Edge(t=4000)
    edge.take(), edge.take()
    text = edge.gauges.text(version=1)
    assert 'hollowhall_tenant_refused_total{tenant="t"} 1.0' in text
    assert 'hollowhall_tenant_admitted_total{tenant="t"} 1.0' in text
