"""A gateway's requests to the primary: retried while the client can use the answer, refused at once if the
gateway is isolated, and 'unsure' only if an attempt of a change may have been accepted."""

import asyncio

import pytest

from hollowhall.base import problems as P
from hollowhall.base.slab import PendingRequests
from hollowhall.mast.requests import RequestsMixin
from hollowhall.sim.loop import SimLoop


class RpcClient:
    """A connection whose answers are given; None is silence."""

    def __init__(self, results):
        self.up, self.results, self.sent = True, list(results), 0

    def send_request(self, *, op, request, callback, wait):
        self.sent += 1
        result = self.results.pop(0) if self.results else P.NotPrimary()
        if result is not None:
            callback(result)
        else:
            asyncio.get_running_loop().call_later(wait, callback, P.Late(op=op))


class Mast(RequestsMixin):
    """A gateway's retries, with a primary and a store member of the test; it is its own clock and metrics."""

    def __init__(self, loop, results):
        self.loop, self.pending_requests, self.leaving, self.primary, self.store_addresses = (
            loop,
            PendingRequests(capacity=8),
            False,
            "a",
            ["s"],
        )
        self.store, self.link_ = RpcClient([]), RpcClient(results)
        self.retries, self.loop_lag, self.settings = 0, 0.0, self
        self.id, self.gauges, self.runtime = "m", self, self

    def set_load(self, *, n, lag):
        pass

    def now(self):
        return self.loop.virtual_time

    def link(self, *, addr):
        return self.store

    def way(self, *, op, addr):
        return self.link_

    def finish(self, *, slot, result):
        callback = self.pending_requests.take(index=slot[0], generation=slot[1])
        if callback is not None:
            callback(result)


def play(results, *, op="job", wait=2.0, then=lambda mast: None):
    """(gateway, (result, time of the answer) or None) of one request."""
    loop, answers = SimLoop(), []
    mast = Mast(loop, results)

    async def go():
        free = mast.request(
            op=op, request={}, wait=wait, callback=lambda result: answers.append((result, loop.virtual_time))
        )
        then(mast)
        while not answers and mast.pending_requests.n:
            await asyncio.sleep(0.01)
        free()

    loop.run_until_complete(asyncio.wait_for(go(), 60))
    return mast, answers[0] if answers else None


def test_it_goes_on_until_a_primary_answers():
    mast, (result, answered_at) = play([P.NotPrimary(), P.CircuitDown(), None, P.Success(value={"x": 1})])
    assert result.value == {"x": 1} and mast.link_.sent == 4 and mast.pending_requests.n == 0


@pytest.mark.parametrize(
    "op, first, kind",
    [
        ("job", P.NotPrimary(), P.NotPrimary),
        ("job", P.Unsure(), P.Unsure),
        ("cancel", None, P.Unsure),
        ("state", P.Unsure(), P.NotPrimary),
        ("count", None, P.NotPrimary),
    ],
)
def test_what_is_told_when_the_time_is_over(op, first, kind):
    _, (result, answered_at) = play([first], op=op)
    assert type(result) is kind and answered_at <= 2.1


@pytest.mark.parametrize("result", [P.Full(where="desk"), P.BadInput(), P.Unknown(what="job"), P.OtherBody()])
def test_a_final_answer_is_told_at_once(result):
    mast, (got, answered_at) = play([result])
    assert got == result and mast.link_.sent == 1 and answered_at < 0.05


@pytest.mark.parametrize("no", [P.Full(where="desk"), P.NotSynced(), P.Leaving()])
def test_a_refusal_after_an_unsure_attempt_is_not_sure(no):
    mast, (result, answered_at) = play([P.Unsure(), no, P.Success(value={"x": 1})])
    assert result.value == {"x": 1}
    _, (result, answered_at) = play([None] + [no] * 99)
    assert isinstance(result, P.Unsure)  # 429 or 503 would say that it never runs
    mast, (result, answered_at) = play([P.Unsure(), P.OtherBody()])
    assert result == P.OtherBody()


def test_a_mast_that_is_cut_off_refuses_at_once():
    def cut(mast):
        mast.store.up = mast.link_.up = False

    _, (result, answered_at) = play([P.NotPrimary()], then=cut)
    assert isinstance(result, P.NotPrimary) and answered_at < 0.2


def test_a_client_that_goes_away_frees_its_slot():
    mast, out = play(
        [P.NotPrimary()] * 99, then=lambda mast: mast.pending_requests.take(index=0, generation=0)
    )
    assert out is None and mast.pending_requests.n == 0
