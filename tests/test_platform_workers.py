"""The platform's stand-in workers by themselves, in virtual time: what a worker says in its
beats, how long it goes on, and what it does with the answers."""

import asyncio

import pytest
from platform_standins.bench_stage import C1, C2, J, T, U, World, secs
from platform_standins.registry import Work
from platform_standins.rules import judge
from platform_standins.stage import Script, ok

from hollowhall.mast import Reply


def test_a_beat_has_all_its_fields_and_the_sequence_rises():
    w = World()
    w.s.add_worker("i-1", labels=["a"])
    w.told((T, 1, ""))
    w.play(3)
    first, running = w.beats[0][1], w.beats[2][1]
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
    assert [b["sequence"] for _, b in w.beats] == list(range(1, len(w.beats) + 1))
    assert running["active"][0][:3] == [T, 1, ""] and 0 < running["active"][0][3] < 100
    assert first["labels"] == ["a", "r1"] and w.door.calls[0][1].path == "/instances/i-1"


@pytest.mark.parametrize("pace, lapse", [(1.0, 4.0), (0.98, 4.0 / 0.98), (1.02, 4.0 / 1.02)])
def test_the_lease_runs_on_the_workers_own_clock_from_when_the_beat_was_sent(pace, lapse):
    w = World(works=[Work(ms=90_000)])
    w.s.add_worker("i-1", pace=pace)
    w.told((T, 1, ""))
    w.play(0.05, then=lambda: silent(w))
    assert abs(secs(w, "lapse") - lapse) < 0.002
    assert w.ends() == [(T, 1, "lapsed")]


async def silent(w, s=8):
    w.door.reply = lambda call: None
    await asyncio.sleep(s)


def test_a_lease_is_cut_to_the_longest_and_never_shortens():
    w = World(works=[Work(ms=90_000)], hold=60_000)
    w.s.add_worker("i-1")
    w.told((T, 1, ""))

    async def then():
        w.hold = 1000
        await asyncio.sleep(0.3)
        await silent(w, 9)

    w.play(0.05, then=then)
    assert abs(secs(w, "lapse") - 6.0) < 0.01  # of the first beat, not of the short ones


def test_without_a_lease_nothing_is_started():
    w = World(hold=0)
    w.s.add_worker("i-1")
    w.told((T, 1, ""), lastSeen=0)
    w.play(3)
    assert w.s.rows("order") == [] and len(w.beats) >= 2


def test_an_answer_later_than_a_second_is_dropped_and_another_daemon_is_called():
    w = World()
    other = Script(loop=w.s.loop, reply=lambda call: ok(holdMs=4000))
    w.s.serve(C2, "core-2", other.take)
    w.door.reply = lambda call: (1.2, ok(holdMs=4000, start=[[T, 1, "p", ""]]))
    w.s.controls.append(C2)
    w.s.add_worker("i-1")
    w.play(6)
    assert w.s.rows("start") == [] and len(w.door.calls) <= 1 and len(other.calls) >= 2


@pytest.mark.parametrize("status", [408, 429, 500, 503, 400])
def test_an_answer_without_acknowledgement_moves_it_with_growing_pauses(status):
    w = World()
    w.door.reply = lambda call: Reply(status=status, body={})
    w.s.add_worker("i-1")
    w.play(5)
    ts = [t for t, _ in w.beats]
    gaps = [b - a for a, b in zip(ts, ts[1:])]
    assert gaps[0] < 0.1 and gaps[3] > 2 * gaps[0] and max(gaps) < 2.6
    assert w.s.workers["i-1"].acked == 0


def test_a_redirect_is_followed_twice_not_three_times():
    w, paths = World(), []

    def reply(call):
        paths.append(call.path)
        n = len(paths)
        return Reply(status=307, body={}, headers={"Location": f"http://{C1}/x{n}/instances/i-1"})

    w.door.reply = reply
    w.s.add_worker("i-1")
    w.play(0.04)
    assert paths == ["/instances/i-1", "/x1/instances/i-1", "/x2/instances/i-1"]


def test_keepalive_target_holds_until_a_beat_there_fails():
    w = World()
    there = Script(loop=w.s.loop, reply=lambda call: ok(holdMs=4000))
    node = w.s.serve(C2, "core-2", there.take)
    w.more = {"keepaliveTarget": C2}
    w.s.add_worker("i-1")

    async def then():
        assert len(w.beats) == 1 and len(there.calls) == 3
        node.kill()
        w.s.net.down(node, silent=False)
        await asyncio.sleep(3)
        assert len(w.beats) >= 2

    w.play(4, then=then)


def test_a_lower_fence_does_nothing_and_none_counts_as_zero():
    w = World()
    w.s.add_worker("i-1")
    w.orders = [
        {"fenceToken": 7},
        {"fenceToken": 6, "start": [[T, 1, "p", ""]]},
        {"start": [[U, 1, "p", ""]]},
        {"fenceToken": 7, "start": [[T, 2, "p", ""]]},
    ]
    w.play(0.6)
    assert [(r["task"], r["run"]) for r in w.s.rows("start")] == [(T, 2)]


def test_runs_not_above_one_that_ended_or_stopped_are_turned_away():
    w = World(works=[Work(ms=150)])
    w.s.add_worker("i-1")
    w.told((T, 2, ""))
    w.orders += [{}] * 4
    w.told((T, 1, ""), (T, 2, ""))
    w.orders += [{"stop": [[U, 3]]}]
    w.told((U, 3, ""), (U, 4, ""))
    w.play(3)
    assert w.ends() == [
        (T, 2, "done"),
        (T, 1, "refused"),
        (T, 2, "refused"),
        (U, 3, "refused"),
        (U, 3, "refused"),
        (U, 4, "done"),
    ]


def test_a_worker_with_guards_turns_away_what_does_not_fit_and_one_without_is_flagged():
    for guards, how in ((True, "refused"), (False, "done")):
        w = World(hold=4000)
        w.s.add_worker("i-1", guards=guards, capacity=(1500, 8192, 0))
        body = {"jobProfile": "p", "stages": [{"taskCount": 2, "cpu": 1000}]}
        w.s.hist.note("submit", id="s", job=J, host="h", prefix="/q/", by="", body=body)
        w.told((T, 1, ""), (U, 1, ""))
        w.play(3)
        assert sorted(w.ends()) == [(T, 1, "done"), (U, 1, how)]
        assert [b.rule for b in judge(w.s.hist.rows)] == ([] if guards else ["LIMIT"])


def test_ends_are_sent_again_until_seen_and_500_at_once():
    w = World(works=[Work(ms=10)])
    w.last = False
    w.s.add_worker("i-1")
    w.s.registry.jobs[J][0]["stages"][0]["cpu"] = 0
    w.told(*((f"{J}.0.0.{n}", 1, "") for n in range(700)))
    w.s.loop.call_at(1.0, lambda: w.orders.append({"lastSeen": 500}))
    w.play(2)
    sizes = [[e[0] for e in b["ended"]] for _, b in w.beats]
    assert list(range(1, 501)) in sizes and sizes[-1] == list(range(501, 701))
    assert sizes.count(list(range(1, 501))) > 5


def test_the_next_beat_goes_out_50_ms_after_an_end():
    w = World(works=[Work(ms=300)])
    w.more = {"retryAfterMs": 5000}
    w.s.add_worker("i-1")
    w.told((T, 1, ""))
    w.play(1.9)
    ts = [t for t, _ in w.beats]
    done = secs(w, "end")
    assert len(ts) == 3 and abs(ts[1] - done - 0.05) < 0.005  # and at the latest keepaliveMs
    assert abs(ts[2] - ts[1] - 1.5) < 0.005


def test_an_end_while_an_answer_is_out_is_told_50_ms_after_the_answer():
    w = World(works=[Work(ms=100)])
    w.s.add_worker("i-1")
    w.told((T, 1, ""), retryAfterMs=20)
    w.s.loop.call_at(0.01, lambda: setattr(w.door, "reply", lambda call: (0.4, w.answer(call))))
    w.play(0.6)
    ts = [t for t, _ in w.beats]
    assert len(ts) == 3 and 0.47 < ts[2] < 0.5
