"""The platform's simulated workers alone, in virtual time: what a worker reports in its heartbeats, when its
lease ends, and what it does with the answers."""

import asyncio

import pytest
from platform_standins.bench_stage import C1, C2, J, T, U, World, secs
from platform_standins.registry import Work
from platform_standins.rules import judge
from platform_standins.stage import Script, ok

from hollowhall.mast import Reply


def test_a_beat_has_all_its_fields_and_the_sequence_rises():
    world = World()
    world.s.add_worker("i-1", labels=["a"])
    world.told((T, 1, ""))
    world.play(3)
    first, running = world.beats[0][1], world.beats[2][1]
    assert set(first) == {
        "targetService",
        "address",
        "zone",
        "revision",
        "slots",
        "state",
        "warmupLeftMs",
        "capacity",
        "labels",
        "clockMs",
        "sequence",
        "active",
        "ended",
    }
    assert [beat["sequence"] for _, beat in world.beats] == list(range(1, len(world.beats) + 1))
    assert running["active"][0][:3] == [T, 1, ""] and 0 < running["active"][0][3] < 100
    assert first["labels"] == ["a", "r1"] and world.door.calls[0][1].path == "/instances/i-1"


@pytest.mark.parametrize("pace, lapse", [(1.0, 4.0), (0.98, 4.0 / 0.98), (1.02, 4.0 / 1.02)])
def test_the_lease_runs_on_the_workers_own_clock_from_when_the_beat_was_sent(pace, lapse):
    world = World(works=[Work(ms=90_000)])
    world.s.add_worker("i-1", pace=pace)
    world.told((T, 1, ""))
    world.play(0.05, then=lambda: silent(world))
    assert abs(secs(world, "lapse") - lapse) < 0.002
    assert world.ends() == [(T, 1, "lapsed")]


async def silent(world, seconds=8):
    world.door.reply = lambda call: None
    await asyncio.sleep(seconds)


def test_a_lease_is_cut_to_the_longest_and_never_shortens():
    world = World(works=[Work(ms=90_000)], hold=60_000)
    world.s.add_worker("i-1")
    world.told((T, 1, ""))

    async def then():
        world.hold = 1000
        await asyncio.sleep(0.3)
        await silent(world, 9)

    world.play(0.05, then=then)
    assert abs(secs(world, "lapse") - 6.0) < 0.01  # by the first heartbeat's lease, not by the shorter ones


def test_without_a_lease_nothing_is_started():
    world = World(hold=0)
    world.s.add_worker("i-1")
    world.told((T, 1, ""), lastSeen=0)
    world.play(3)
    assert world.s.rows("order") == [] and len(world.beats) >= 2


def test_an_answer_later_than_a_second_is_dropped_and_another_daemon_is_called():
    world = World()
    other = Script(loop=world.s.loop, reply=lambda call: ok(holdMs=4000))
    world.s.serve(C2, "core-2", other.take)
    world.door.reply = lambda call: (1.2, ok(holdMs=4000, start=[[T, 1, "p", ""]]))
    world.s.controls.append(C2)
    world.s.add_worker("i-1")
    world.play(6)
    assert world.s.rows("start") == [] and len(world.door.calls) <= 1 and len(other.calls) >= 2


@pytest.mark.parametrize("status", [408, 429, 500, 503, 400])
def test_an_answer_without_acknowledgement_moves_it_with_growing_pauses(status):
    world = World()
    world.door.reply = lambda call: Reply(status=status, body={})
    world.s.add_worker("i-1")
    world.play(5)
    times = [time for time, _ in world.beats]
    gaps = [beat - earlier for earlier, beat in zip(times, times[1:])]
    assert gaps[0] < 0.1 and gaps[3] > 2 * gaps[0] and max(gaps) < 2.6
    assert world.s.workers["i-1"].acked == 0


def test_a_redirect_is_followed_twice_not_three_times():
    world, paths = World(), []

    def reply(call):
        paths.append(call.path)
        count = len(paths)
        return Reply(status=307, body={}, headers={"Location": f"http://{C1}/x{count}/instances/i-1"})

    world.door.reply = reply
    world.s.add_worker("i-1")
    world.play(0.04)
    assert paths == ["/instances/i-1", "/x1/instances/i-1", "/x2/instances/i-1"]


def test_keepalive_target_holds_until_a_beat_there_fails():
    world = World()
    there = Script(loop=world.s.loop, reply=lambda call: ok(holdMs=4000))
    node = world.s.serve(C2, "core-2", there.take)
    world.more = {"keepaliveTarget": C2}
    world.s.add_worker("i-1")

    async def then():
        assert len(world.beats) == 1 and len(there.calls) == 3
        node.kill()
        world.s.net.down(node, silent=False)
        await asyncio.sleep(3)
        assert len(world.beats) >= 2

    world.play(4, then=then)


def test_a_lower_fence_does_nothing_and_none_counts_as_zero():
    world = World()
    world.s.add_worker("i-1")
    world.orders = [
        {"fenceToken": 7},
        {"fenceToken": 6, "start": [[T, 1, "p", ""]]},
        {"start": [[U, 1, "p", ""]]},
        {"fenceToken": 7, "start": [[T, 2, "p", ""]]},
    ]
    world.play(0.6)
    assert [(r["task"], r["run"]) for r in world.s.rows("start")] == [(T, 2)]


def test_runs_not_above_one_that_ended_or_stopped_are_turned_away():
    world = World(works=[Work(ms=150)])
    world.s.add_worker("i-1")
    world.told((T, 2, ""))
    world.orders += [{}] * 4
    world.told((T, 1, ""), (T, 2, ""))
    world.orders += [{"stop": [[U, 3]]}]
    world.told((U, 3, ""), (U, 4, ""))
    world.play(3)
    assert world.ends() == [
        (T, 2, "done"),
        (T, 1, "refused"),
        (T, 2, "refused"),
        (U, 3, "refused"),
        (U, 3, "refused"),
        (U, 4, "done"),
    ]


def test_a_worker_with_guards_turns_away_what_does_not_fit_and_one_without_is_flagged():
    for guards, how in ((True, "refused"), (False, "done")):
        world = World(hold=4000)
        world.s.add_worker("i-1", guards=guards, capacity=(1500, 8192, 0))
        body = {"jobProfile": "p", "stages": [{"taskCount": 2, "cpu": 1000}]}
        world.s.hist.note("submit", id="s", job=J, host="h", prefix="/q/", by="", body=body)
        world.told((T, 1, ""), (U, 1, ""))
        world.play(3)
        assert sorted(world.ends()) == [(T, 1, "done"), (U, 1, how)]
        assert [beat.rule for beat in judge(world.s.hist.rows)] == ([] if guards else ["LIMIT"])


def test_ends_are_sent_again_until_seen_and_500_at_once():
    world = World(works=[Work(ms=10)])
    world.last = False
    world.s.add_worker("i-1")
    world.s.registry.jobs[J][0]["stages"][0]["cpu"] = 0
    world.told(*((f"{J}.0.0.{n}", 1, "") for n in range(700)))
    world.s.loop.call_at(1.0, lambda: world.orders.append({"lastSeen": 500}))
    world.play(2)
    sizes = [[e[0] for e in beat["ended"]] for _, beat in world.beats]
    assert list(range(1, 501)) in sizes and sizes[-1] == list(range(501, 701))
    assert sizes.count(list(range(1, 501))) > 5


def test_the_next_beat_goes_out_50_ms_after_an_end():
    world = World(works=[Work(ms=300)])
    world.more = {"retryAfterMs": 5000}
    world.s.add_worker("i-1")
    world.told((T, 1, ""))
    world.play(1.9)
    times = [time for time, _ in world.beats]
    done = secs(world, "end")
    assert len(times) == 3 and abs(times[1] - done - 0.05) < 0.005  # and at the latest keepaliveMs
    assert abs(times[2] - times[1] - 1.5) < 0.005


def test_an_end_while_an_answer_is_out_is_told_50_ms_after_the_answer():
    world = World(works=[Work(ms=100)])
    world.s.add_worker("i-1")
    world.told((T, 1, ""), retryAfterMs=20)
    world.s.loop.call_at(0.01, lambda: setattr(world.door, "reply", lambda call: (0.4, world.answer(call))))
    world.play(0.6)
    times = [time for time, _ in world.beats]
    assert len(times) == 3 and 0.47 < times[2] < 0.5
