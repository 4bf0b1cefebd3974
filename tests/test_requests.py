"""A mast's requests: tried again while their client can use the answer, refused at once where
the mast is cut off, and 'unsure' only where an attempt of something that changes may have been
taken."""

import asyncio

import pytest

from hollowhall.base import problems as P
from hollowhall.base.slab import Slab
from hollowhall.mast.requests import RequestsMixin
from hollowhall.sim.loop import SimLoop


class Link:
    def __init__(self, outcomes):
        self.up, self.outcomes, self.n = True, list(outcomes), 0

    def ask(self, *, op, request, callback, wait):
        self.n += 1
        o = self.outcomes.pop(0) if self.outcomes else P.NotPrimary()
        if o is not None:  # None: silence
            callback(o)
        else:
            asyncio.get_running_loop().call_later(wait, callback, P.Late(op=op))


class Mast(RequestsMixin):
    def __init__(self, loop, outcomes):
        self.loop, self.slab, self.leaving, self.primary, self.alms = loop, Slab(cap=8), False, "a", ["s"]
        self.store, self.link_ = Link([]), Link(outcomes)
        self.retries, self.lag, self.params = 0, 0.0, self
        self.id, self.gauges, self.seam = "m", self, self

    def set_load(self, *, n, lag):
        pass

    def now(self):
        return self.loop.vt

    def link(self, *, addr):
        return self.store

    def way(self, *, op, addr):
        return self.link_

    def finish(self, *, s, o):
        k = self.slab.take(i=s[0], g=s[1])
        if k is not None:
            k(o)


def play(outcomes, *, op="job", wait=2.0, then=lambda m: None):
    loop, out = SimLoop(), []
    m = Mast(loop, outcomes)

    async def go():
        free = m.request(op=op, request={}, wait=wait, callback=lambda o: out.append((o, loop.vt)))
        then(m)
        while not out and m.slab.n:
            await asyncio.sleep(0.01)
        free()

    loop.run_until_complete(asyncio.wait_for(go(), 60))
    return m, out[0] if out else None


def test_it_goes_on_until_a_primary_answers():
    m, (o, t) = play([P.NotPrimary(), P.CircuitDown(), None, P.Success(value={"x": 1})])
    assert o.value == {"x": 1} and m.link_.n == 4 and m.slab.n == 0


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
    _, (o, t) = play([first], op=op)
    assert type(o) is kind and t <= 2.1


@pytest.mark.parametrize("o", [P.Full(where="desk"), P.BadInput(), P.Unknown(what="job"), P.OtherBody()])
def test_a_final_answer_is_told_at_once(o):
    m, (got, t) = play([o])
    assert got == o and m.link_.n == 1 and t < 0.05


@pytest.mark.parametrize("no", [P.Full(where="desk"), P.NotSynced(), P.Leaving()])
def test_a_refusal_after_an_unsure_attempt_is_not_sure(no):
    m, (o, t) = play([P.Unsure(), no, P.Success(value={"x": 1})])
    assert o.value == {"x": 1}
    _, (o, t) = play([None] + [no] * 99)
    assert isinstance(o, P.Unsure)  # 429 or 503 would say that it never runs
    m, (o, t) = play([P.Unsure(), P.OtherBody()])
    assert o == P.OtherBody()


def test_a_mast_that_is_cut_off_refuses_at_once():
    def cut(m):
        m.store.up = m.link_.up = False

    _, (o, t) = play([P.NotPrimary()], then=cut)
    assert isinstance(o, P.NotPrimary) and t < 0.2


def test_a_client_that_goes_away_frees_its_slot():
    m, out = play([P.NotPrimary()] * 99, then=lambda m: m.slab.take(i=0, g=0))
    assert out is None and m.slab.n == 0
