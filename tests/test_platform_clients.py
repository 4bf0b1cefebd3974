"""The platform's stand-in clients, its operator and its address: how they try again."""

import asyncio

from platform_standins import config as F
from platform_standins import jobs
from platform_standins.bench_stage import C1, C2
from platform_standins.clients import Queue
from platform_standins.stage import Script, Stage, ok

from hollowhall.mast import Reply


def test_a_client_sends_the_same_again_after_silence_and_backs_off_when_told_to():
    s, q = Stage(), Queue(host="h.example", prefix="/q/")
    out = [None, Reply(status=504), Reply(status=503, headers={"Retry-After": "2"}), ok()]
    door = Script(loop=s.loop, reply=lambda call: out.pop(0))
    s.serve(C1, "e", door.take)
    c = s.client("c1", queue=q, pick=lambda **kw: C1)
    job, body = c.new(jobs.simple)

    async def play():
        assert await c.submit(job, body) == "accepted"

    s.run(play())
    ts = [t for t, _ in door.calls]
    assert len({call.body for _, call in door.calls}) == 1
    assert {call.path for _, call in door.calls} == {"/q/" + job}
    assert {call.headers["host"] for _, call in door.calls} == {"h.example"}
    assert door.calls[0][1].headers["time-remaining"] == "3000"
    assert ts[1] >= 3 and 2 <= ts[3] - ts[2] < 2.6


def test_a_client_takes_a_clear_no_and_knows_when_it_does_not_know():
    for replies, want in (
        ([Reply(status=404)], "refused"),
        ([Reply(status=429)] * 5, "refused"),
        ([Reply(status=502), *[Reply(status=429)] * 4], "unsure"),
    ):
        s = Stage()
        out = list(replies)
        s.serve(C1, "e", Script(loop=s.loop, reply=lambda call, out=out: out.pop(0)).take)
        c = s.client("c1", queue=Queue(host="h", prefix="/q/"), pick=lambda **kw: C1)

        async def play(c=c, want=want):
            assert await c.submit(*c.new(jobs.simple)) == want

        s.run(play())


def test_an_operator_sends_unchanged_until_the_answer_is_clear():
    for replies, acked, n in (
        ([None, Reply(status=503), Reply(status=429), ok()], True, 4),
        ([Reply(status=412)], False, 1),
        ([Reply(status=404)] * 9, False, 3),
    ):
        s = Stage()
        out = list(replies)
        door = Script(loop=s.loop, reply=lambda call, out=out: out.pop(0))
        s.serve(C1, "k", door.take)
        s.controls.append(C1)
        o = s.operator("o")

        async def play(o=o, acked=acked):
            c = F.whole(revision=4, routes=[], services=[F.service("tiles")])
            assert await o.put(c) == acked

        s.run(play())
        assert len(door.calls) == n and len({c.body for _, c in door.calls}) == 1
        assert {c.headers["if-match"] for _, c in door.calls} == {"0"}


def test_the_platform_leaves_out_daemons_that_are_not_ready():
    s, up = Stage(), {C1: True, C2: False}
    for a in (C1, C2):
        s.serve(a, a, Script(loop=s.loop, reply=lambda call, a=a: Reply(status=200 if up[a] else 503)).take)
        s.balancer.add(front=a, readiness=a, zone="z1")

    async def play():
        t = asyncio.ensure_future(s.balancer.watch())

        def some():
            return {s.balancer.pick(zone="z1", client="c", attempt=n) for n in range(4)}

        await asyncio.sleep(0.5)
        assert some() == {C1, C2}  # one miss so far
        await asyncio.sleep(1.0)
        assert some() == {C1}
        up[C2] = True
        await asyncio.sleep(1.0)
        assert some() == {C1, C2}
        t.cancel()

    s.run(play())
