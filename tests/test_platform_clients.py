"""The platform's simulated clients, operator and load balancer: how they retry."""

import asyncio

from platform_standins import config as F
from platform_standins import jobs
from platform_standins.bench_stage import C1, C2
from platform_standins.clients import Queue
from platform_standins.stage import Script, Stage, ok

from hollowhall.mast import Reply


def test_a_client_sends_the_same_again_after_silence_and_backs_off_when_told_to():
    stage, queue = Stage(), Queue(host="h.example", prefix="/q/")
    replies_left = [None, Reply(status=504), Reply(status=503, headers={"Retry-After": "2"}), ok()]
    door = Script(loop=stage.loop, reply=lambda call: replies_left.pop(0))
    stage.serve(C1, "e", door.take)
    client = stage.client("c1", queue=queue, pick=lambda **kw: C1)
    job, body = client.new(jobs.simple)

    async def play():
        assert await client.submit(job, body) == "accepted"

    stage.run(play())
    times = [time for time, _ in door.calls]
    assert len({call.body for _, call in door.calls}) == 1
    assert {call.path for _, call in door.calls} == {"/q/" + job}
    assert {call.headers["host"] for _, call in door.calls} == {"h.example"}
    assert door.calls[0][1].headers["time-remaining"] == "3000"
    assert times[1] >= 3 and 2 <= times[3] - times[2] < 2.6


def test_a_client_takes_a_clear_no_and_knows_when_it_does_not_know():
    for replies, want in (
        ([Reply(status=404)], "refused"),
        ([Reply(status=429)] * 5, "refused"),
        ([Reply(status=502), *[Reply(status=429)] * 4], "unsure"),
    ):
        stage = Stage()
        replies_left = list(replies)
        stage.serve(
            C1,
            "e",
            Script(loop=stage.loop, reply=lambda call, replies_left=replies_left: replies_left.pop(0)).take,
        )
        client = stage.client("c1", queue=Queue(host="h", prefix="/q/"), pick=lambda **kw: C1)

        async def play(client=client, want=want):
            assert await client.submit(*client.new(jobs.simple)) == want

        stage.run(play())


def test_an_operator_sends_unchanged_until_the_answer_is_clear():
    for replies, acked, count in (
        ([None, Reply(status=503), Reply(status=429), ok()], True, 4),
        ([Reply(status=412)], False, 1),
        ([Reply(status=404)] * 9, False, 3),
    ):
        stage = Stage()
        replies_left = list(replies)
        door = Script(loop=stage.loop, reply=lambda call, replies_left=replies_left: replies_left.pop(0))
        stage.serve(C1, "k", door.take)
        stage.controls.append(C1)
        operator = stage.operator("o")

        async def play(operator=operator, acked=acked):
            config = F.whole(revision=4, routes=[], services=[F.service("tiles")])
            assert await operator.put(config) == acked

        stage.run(play())
        assert len(door.calls) == count and len({call.body for _, call in door.calls}) == 1
        assert {call.headers["if-match"] for _, call in door.calls} == {"0"}


def test_the_platform_leaves_out_daemons_that_are_not_ready():
    stage, up = Stage(), {C1: True, C2: False}
    for address in (C1, C2):
        stage.serve(
            address,
            address,
            Script(
                loop=stage.loop, reply=lambda call, address=address: Reply(status=200 if up[address] else 503)
            ).take,
        )
        stage.balancer.add(front=address, readiness=address, zone="z1")

    async def play():
        watcher = asyncio.ensure_future(stage.balancer.watch())

        def some():
            return {stage.balancer.pick(zone="z1", client="c", attempt=n) for n in range(4)}

        await asyncio.sleep(0.5)
        assert some() == {C1, C2}  # only one failed check so far
        await asyncio.sleep(1.0)
        assert some() == {C1}
        up[C2] = True
        await asyncio.sleep(1.0)
        assert some() == {C1, C2}
        watcher.cancel()

    stage.run(play())
