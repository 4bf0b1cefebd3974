"""The platform's stand-ins by themselves, in virtual time: what a worker says in its beats
and does with the answers, how clients and the operator try again, and whole days of a small
system in memory, lawful or with one thing broken."""

import asyncio
import json

import pytest
from platform_standins import config as F
from platform_standins import jobs
from platform_standins.clients import Queue
from platform_standins.reference import Reference
from platform_standins.registry import Work
from platform_standins.rules import judge
from platform_standins.stage import Script, Stage, ok

from hollowhall.mast import Reply

J, G = "a" * 16, "b" * 16
T, U = f"{J}.0.0.0", f"{J}.0.0.1"
C1, C2 = "10.0.0.1:80", "10.0.0.2:80"


class World:
    """A stage with one control door that answers each beat from a list of orders."""

    def __init__(self, *stages, works=None, hold=4000, **kw):
        self.s = Stage(**kw)
        self.orders, self.hold, self.more, self.last = [], hold, {}, True
        self.door = Script(loop=self.s.loop, reply=self.answer)
        self.s.serve(C1, "core-1", self.door.take)
        self.s.controls.append(C1)
        body = {"jobProfile": "p", "stages": list(stages) or [{"taskCount": 2, "cpu": 1000}]}
        self.s.registry.add(job=J, body=body, works=works or [Work(ms=800)])
        self.s.registry.add(job=G, body=body, works=works or [Work(ms=800)])

    def answer(self, call):
        b = json.loads(call.body) if call.body else {}
        v = {"holdMs": self.hold, "retryAfterMs": 100} if self.hold else {}
        if self.last and b.get("ended"):
            v["lastSeen"] = max(e[0] for e in b["ended"])
        o = self.orders.pop(0) if self.orders else {}
        return ok(**v | o | self.more)

    def told(self, *starts, w=None, **kw):
        self.orders.append({"start": [[t, r, "p", s] for t, r, s in starts], **kw})

    @property
    def beats(self):
        return [(t, json.loads(c.body)) for t, c in self.door.calls if c.method == "PUT"]

    def ends(self, **d):
        return [(r["task"], r["run"], r["how"]) for r in self.s.rows("end", **d)]

    def play(self, seconds, then=None):
        async def go():
            await asyncio.sleep(seconds)
            if then is not None:
                await then()
        self.s.run(go())


def secs(w, ev, n=0, **d):
    return w.s.rows(ev, **d)[n]["t"] / 1000 - 1_780_000_000


# --- workers

def test_a_beat_has_all_its_fields_and_the_sequence_rises():
    w = World()
    w.s.add_worker("i-1", labels=["a"])
    w.told((T, 1, ""))
    w.play(3)
    first, running = w.beats[0][1], w.beats[2][1]
    assert set(first) == {"targetService", "address", "zone", "revision", "slots", "state",
                          "warmupLeftMs", "capacity", "labels", "clockMs", "sequence", "active",
                          "ended"}
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
    assert abs(secs(w, "lapse") - 6.0) < 0.01     # of the first beat, not of the short ones


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
    w.orders = [{"fenceToken": 7}, {"fenceToken": 6, "start": [[T, 1, "p", ""]]},
                {"start": [[U, 1, "p", ""]]}, {"fenceToken": 7, "start": [[T, 2, "p", ""]]}]
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
    assert w.ends() == [(T, 2, "done"), (T, 1, "refused"), (T, 2, "refused"), (U, 3, "refused"),
                        (U, 3, "refused"), (U, 4, "done")]


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
    assert len(ts) == 3 and abs(ts[1] - done - 0.05) < 0.005     # and at the latest keepaliveMs
    assert abs(ts[2] - ts[1] - 1.5) < 0.005


def test_an_end_while_an_answer_is_out_is_told_50_ms_after_the_answer():
    w = World(works=[Work(ms=100)])
    w.s.add_worker("i-1")
    w.told((T, 1, ""), retryAfterMs=20)
    w.s.loop.call_at(0.01, lambda: setattr(w.door, "reply", lambda call: (0.4, w.answer(call))))
    w.play(0.6)
    ts = [t for t, _ in w.beats]
    assert len(ts) == 3 and 0.47 < ts[2] < 0.5


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
    assert abs(secs(w, "end") - t - 0.1 - 0.5) < 0.01       # restoreMs, and what was left


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
    w = gang_world(works=[Work(ms=3000, fails=1 if how == "failed" else 0, at=0.2)],
                   checkpoints=True)
    w.s.add_worker("i-1")
    w.s.add_worker("i-2")
    w.door.reply = by_worker(w, {"i-1": (T, 1, "x" if how == "mixed" else ""),
                                 "i-2": (U, 1, "")})
    if how == "crash":
        w.s.loop.call_at(0.5, w.s.crash, "i-2")
    w.play(2)
    hows = sorted(h for *_, h in w.ends())
    assert hows == {"crash": ["broken"], "failed": ["broken", "failed"],
                    "mixed": ["broken", "broken"]}[how]


def test_affinity_slow_workers_and_standing_still():
    for kw, turn, s in (({"affinity": "r9"}, {}, 2.4), ({}, {"slow": 2.0}, 1.6),
                        ({}, {"stuck": True}, None)):
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
    w = World({"taskCount": 2, "cpu": 500, "longRunning": True},
              works=[Work(ms=300, fails=1, at=4.0)])
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
        w.play(1.1, then=w.s.workers["i-1"].leave if not notice else
               lambda w=w: w.s.workers["i-1"].leave(notice_ms=5000))
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
    w.s.loop.raw_at(0.5, w.s.nodes["i-1"].pause)
    w.s.loop.raw_at(6.0, w.s.nodes["i-1"].wake)
    w.play(9)
    assert w.ends() == [(T, 1, "lapsed")]


# --- clients and operators

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
    for replies, want in (([Reply(status=404)], "refused"), ([Reply(status=429)] * 5, "refused"),
                          ([Reply(status=502), *[Reply(status=429)] * 4], "unsure")):
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
            ([Reply(status=412)], False, 1), ([Reply(status=404)] * 9, False, 3)):
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
        s.serve(a, a, Script(loop=s.loop, reply=lambda call, a=a: Reply(
            status=200 if up[a] else 503)).take)
        s.balancer.add(front=a, readiness=a, zone="z1")

    async def play():
        t = asyncio.ensure_future(s.balancer.watch())
        some = lambda: {s.balancer.pick(zone="z1", client="c", attempt=n)  # noqa: E731
                        for n in range(4)}
        await asyncio.sleep(0.5)
        assert some() == {C1, C2}       # one miss so far
        await asyncio.sleep(1.0)
        assert some() == {C1}
        up[C2] = True
        await asyncio.sleep(1.0)
        assert some() == {C1, C2}
        t.cancel()
    s.run(play())


# --- whole days

def day(make, *, seed, extra=()):
    s = Stage(seed=seed)
    ref = make(loop=s.loop, wall_ms=s.true_ms, bounds=s.bounds)
    s.serve(C1, "core-1", ref.take)
    s.serve("10.0.1.1:80", "edge-1", ref.take)
    s.controls.append(C1)
    s.balancer.add(front="10.0.1.1:80", readiness="10.0.1.1:80", zone="z1")
    q = Queue(host="h.example", prefix="/q/")
    table = F.whole(revision=3, services=[F.service("tiles")],
                    routes=[F.route("r", host=q.host, prefix=q.prefix, service="tiles")])
    c, o = s.client("c1", queue=q), s.operator("o")

    async def faults():
        await asyncio.sleep(6)
        s.crash("i-5")
        await asyncio.sleep(2)
        s.add_worker("i-9", pace=0.98)
        await s.workers["i-0"].leave(notice_ms=4000)
        await o.evacuate("z2")
        await asyncio.sleep(7)
        await o.evacuate("z2", withdraw=True)
        assert await o.spoiled("unknown_service") == 400
        assert await o.patch(upsert={"routeTable": [F.route(
            "r2", host=q.host, prefix="/n/", service="tiles")]})
        assert await c.count(addr="10.0.1.1:80") is not None

    async def play():
        for i in range(6):
            s.add_worker(f"i-{i}", zone=f"z{i % 2 + 1}", rack=f"r{i % 2 + 1}", guards=bool(i % 2),
                         labels=["a"] if i % 3 else ["b"], pace=0.98 if i % 2 else 1.0)
        assert await o.put(table)
        t = [asyncio.ensure_future(x) for x in (s.balancer.watch(), faults())]
        mix = jobs.mix(wall_ms=s.true_ms, racks=["r1", "r2"], label="a") + list(extra)
        await c.run(mix=mix, rate=3, seconds=20, settle=12)
        await t[1]
        s.hist.note("finish")
        await asyncio.sleep(s.bounds.finish_s)
        await c.ask_all()
        await o.read_back()
        t[0].cancel()
    s.run(play())
    assert s.loop.complaints == []
    return s


@pytest.mark.parametrize("seed", range(1, 7))
def test_a_lawful_day_is_clean(seed):
    s = day(Reference, seed=seed)
    hows = {r["how"] for r in s.rows("end")}
    assert judge(s.hist.rows) == [] and {"done", "failed"} <= hows and len(s.rows("start")) > 100


class Overfull(Reference):
    def room(self):
        return {w: [10**6] * 3 for w in super().room()}


class Hasty(Reference):
    def due(self, j, p, step):
        return True


class Doubling(Reference):
    """Forgets now and then who runs what."""
    def beat(self, w, b):
        for j in list(self.jobs.values())[::9]:
            for t in j["tasks"].values():
                t.w = "" if t.sent else t.w
        return super().beat(w, b)


class Anywhere(Reference):
    def fits(self, j, n, t, left, w, to):
        return all(x <= a for x, a in zip([t.step.get("cpu", 0)], left))


class Endless(Reference):
    def state(self, j):
        st = super().state(j)
        return "active" if st == "failed" else st


class Splitting(Reference):
    """Starts members of a gang one by one."""
    def place_group(self, j, ts, free):
        for x in ts[:1]:
            super().place_group(j, [x], free)


class Garbling(Reference):
    def profile(self, j):
        return super().profile(j) + "?"


class DeafToCancels(Reference):
    def state(self, j):
        return super().state(j | {"cancelled": False})

    def beat(self, w, b):
        r = super().beat(w, b)
        r.body["stop"] = []
        return r


class DeafToDrains(Reference):
    def beat(self, w, b):
        return super().beat(w, b | {"state": "up"})


class DeafToEvacuations(Reference):
    def room(self):
        self.zones = set()
        return super().room()


class Early(Reference):
    """Says that a job is complete once all of its tasks were started."""
    def state(self, j):
        st = super().state(j)
        return "complete" if st == "active" and all(t.no for t in j["tasks"].values()) else st


class Forgetful(Reference):
    def bye(self, w):
        self.jobs = {i: j for i, j in self.jobs.items() if self.state(j) == "complete"}
        return super().bye(w)


class Stale(Reference):
    def on_config(self, call, body):
        r = super().on_config(call, body)
        return Reply(status=200, body=self.config | {"revision": 2}) if call.method == "GET" else r


class Refuser(Reference):
    """Says that it is busy, and runs the job."""
    def on_job(self, call, body):
        r = super().on_job(call, body)
        return Reply(status=503) if call.method == "POST" and call.path < "/q/4" else r


@pytest.mark.parametrize("make, rule", [
    (Overfull, "LIMIT"), (Hasty, "ORDER"), (Doubling, "TWICE"), (Anywhere, "ROUTE"),
    (Endless, "BUDGET"), (Splitting, "GANG"), (Garbling, "UNASKED"), (DeafToCancels, "UNASKED"),
    (DeafToDrains, "DRAIN"), (DeafToEvacuations, "EVAC"), (Early, "MIXED"), (Forgetful, "LOST"),
    (Stale, "CONFIG"), (Refuser, "REFUSED")])
def test_a_day_of_a_system_that_breaks_a_rule_is_caught(make, rule):
    """Within a few days: some faults need a cancel or a drain at the right moment."""
    more = [(jobs.poison, 1), (jobs.long, 2), (jobs.lasting, 1)]
    caught = ({b.rule for b in judge(day(make, seed=n, extra=more).hist.rows)}
              for n in range(1, 9))
    assert any(rule in x for x in caught)
