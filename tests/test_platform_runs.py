"""The platform's stand-in workers at work: stops, checkpoints, gangs, what is slow or stands
still, tasks that last, leaving in order."""

import asyncio

import pytest
from platform_standins.bench_stage import T, U, World, secs
from platform_standins.registry import Work


def test_a_stop_takes_its_time_and_brings_the_progress():
    w = World({"taskCount": 1, "cpu": 1000, "checkpoints": True}, works=[Work(ms=5000)])
    w.s.add_worker("i-1")
    w.told((T, 1, ""))
    w.s.loop.call_at(1.5, lambda: w.orders.append({"stop": [[T, 1]]}))
    w.play(3)
    saved = w.s.rows("saved")
    assert len(saved) == 2 and w.ends() == [(T, 1, "stopped")]
    assert 0 <= secs(w, "end") - secs(w, "saved", 1) <= 0.4
    assert w.s.rows("end")[0]["saved"] == saved[1]["saved"]
    assert abs(w.s.registry.saves[saved[1]["saved"]][1] - 1500) < 200


def test_a_checkpoint_is_renewed_and_a_start_resumes_from_it():
    w = World({"taskCount": 1, "cpu": 1000, "checkpoints": True}, works=[Work(ms=2500)])
    w.s.add_worker("i-1")
    w.s.add_worker("i-2")
    w.told((T, 1, ""))

    async def then():
        a = next(i for i in ("i-1", "i-2") if w.s.rows("start", w=i))
        w.s.crash(a)
        w.told((T, 2, w.s.rows("saved")[1]["saved"]))
        await asyncio.sleep(2)

    w.play(2.2, then=then)
    t = secs(w, "start", 1)
    assert len(w.s.rows("saved")) == 2 and w.ends() == [(T, 2, "done")]
    assert abs(secs(w, "end") - t - 0.1 - 0.5) < 0.01  # restoreMs, and what was left


def gang_world(*, works=None, **kw):
    step = {"taskCount": 2, "cpu": 1000, "gangScheduled": True} | kw
    return World(step, works=works or [Work(ms=800)])


def test_a_gang_member_ends_alone_after_its_wait():
    w = gang_world()
    w.s.add_worker("i-1")
    w.told((T, 1, ""))
    w.play(5)
    assert w.ends() == [(T, 1, "alone")]
    assert abs(secs(w, "end") - secs(w, "start") - 3.0) < 0.001


def test_a_gang_ends_done_together_and_is_slow_across_racks():
    for rack, times in (("r1", 1), ("r2", 3)):
        w = gang_world(sameRack=True)
        w.s.add_worker("i-1")
        w.told((T, 1, ""))
        w.s.loop.call_at(0.5, lambda w=w, rack=rack: w.s.add_worker("i-2", rack=rack))
        w.door.reply = by_worker(w, {"i-1": (T, 1, ""), "i-2": (U, 1, "")})
        w.play(4)
        assert sorted(w.ends()) == [(T, 1, "done"), (U, 1, "done")]
        t = secs(w, "start", 1)
        assert abs(secs(w, "end", 0) - t - 0.8 * times) < 0.001
        assert secs(w, "end", 0) == secs(w, "end", 1)


def by_worker(w, orders):
    def reply(call):
        i, r = call.path.rsplit("/", 1)[1], w.answer(call)
        o = orders.pop(i, None)
        if o is not None:
            r.body["start"] = [[o[0], o[1], "p", o[2]]]
        return r

    return reply


@pytest.mark.parametrize("how", ["crash", "failed", "mixed"])
def test_the_end_of_one_member_breaks_the_others(how):
    w = gang_world(works=[Work(ms=3000, fails=1 if how == "failed" else 0, at=0.2)], checkpoints=True)
    w.s.add_worker("i-1")
    w.s.add_worker("i-2")
    w.door.reply = by_worker(w, {"i-1": (T, 1, "x" if how == "mixed" else ""), "i-2": (U, 1, "")})
    if how == "crash":
        w.s.loop.call_at(0.5, w.s.crash, "i-2")
    w.play(2)
    hows = sorted(h for *_, h in w.ends())
    assert hows == {"crash": ["broken"], "failed": ["broken", "failed"], "mixed": ["broken", "broken"]}[how]


def test_affinity_slow_workers_and_standing_still():
    for kw, turn, s in (({"affinity": "r9"}, {}, 2.4), ({}, {"slow": 2.0}, 1.6), ({}, {"stuck": True}, None)):
        w = World({"taskCount": 1, "cpu": 1000} | kw)
        x = w.s.add_worker("i-1")
        if turn:
            x.turn(**turn)
        w.told((T, 1, ""))
        w.play(4)
        assert (abs(secs(w, "end") - secs(w, "start") - s) < 0.001) if s else w.ends() == []


def test_a_run_that_hangs_shows_no_progress_and_the_next_one_is_done():
    w = World(works=[Work(ms=400, hangs=1)])
    w.s.add_worker("i-1")
    w.told((T, 1, ""))
    w.s.loop.call_at(2.0, lambda: w.told((T, 2, ""), stop=[[T, 1]]))
    w.play(4)
    seen = {b["active"][0][3] for t, b in w.beats if 1 < t < 2 and b["active"]}
    assert seen == {50} and sorted(w.ends()) == [(T, 1, "stopped"), (T, 2, "done")]


def test_a_lasting_task_goes_on_until_it_is_stopped_or_fails():
    w = World({"taskCount": 2, "cpu": 500, "longRunning": True}, works=[Work(ms=300, fails=1, at=4.0)])
    w.s.registry.tries[U] = 1
    w.s.add_worker("i-1")
    w.told((T, 1, ""), (U, 1, ""))
    w.s.loop.call_at(5.0, lambda: w.orders.append({"stop": [[U, 1]]}))
    w.play(6)
    assert w.ends() == [(T, 1, "failed"), (U, 1, "stopped")]


def test_a_leaving_worker_drains_takes_leave_and_ends_and_says_how_long_it_stays():
    for notice, heard in ((0, True), (5000, True), (0, False)):
        w = World(works=[Work(ms=90_000)])
        w.s.add_worker("i-1")
        w.told((T, 1, ""))
        if not heard:
            w.s.loop.call_at(1.0, lambda w=w: setattr(w.door, "reply", lambda call: None))
        w.play(
            1.1,
            then=w.s.workers["i-1"].leave
            if not notice
            else lambda w=w: w.s.workers["i-1"].leave(notice_ms=5000),
        )
        gone = secs(w, "gone", how="left")
        bs = [b for _, b in w.beats if b["state"] == "draining"]
        assert bs and all("leaveAtMs" in b for b in bs)
        assert all(a["leaveAtMs"] >= b["leaveAtMs"] for a, b in zip(bs, bs[1:]))
        methods = [c.method for _, c in w.door.calls]
        if heard:
            assert abs(gone - secs(w, "drain_acked") - max(2, notice / 1000) - 0.2) < 0.05
            assert methods[-1] == "DELETE" and w.door.calls[-1][1].path == "/instances/i-1"
        else:
            assert 1.1 + 5 < gone < 1.1 + 9


def test_a_frozen_worker_kills_everything_when_it_wakes_after_its_lease():
    w = World(works=[Work(ms=5000)])
    w.s.add_worker("i-1")
    w.told((T, 1, ""))
    w.s.loop.call_outside_nodes(0.5, w.s.nodes["i-1"].pause)
    w.s.loop.call_outside_nodes(6.0, w.s.nodes["i-1"].wake)
    w.play(9)
    assert w.ends() == [(T, 1, "lapsed")]
