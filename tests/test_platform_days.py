"""Whole days of a small system in memory, lawful or with one thing broken, under the platform's
stand-ins and checker."""

import asyncio

import pytest
from platform_standins import config as F
from platform_standins import jobs
from platform_standins.bench_stage import C1
from platform_standins.clients import Queue
from platform_standins.reference import Reference
from platform_standins.rules import judge
from platform_standins.stage import Stage

from hollowhall.mast import Reply


def day(make, *, seed, extra=()):
    s = Stage(seed=seed)
    ref = make(loop=s.loop, wall_ms=s.true_ms, bounds=s.bounds)
    s.serve(C1, "core-1", ref.take)
    s.serve("10.0.1.1:80", "edge-1", ref.take)
    s.controls.append(C1)
    s.balancer.add(front="10.0.1.1:80", readiness="10.0.1.1:80", zone="z1")
    q = Queue(host="h.example", prefix="/q/")
    table = F.whole(
        revision=3,
        services=[F.service("tiles")],
        routes=[F.route("r", host=q.host, prefix=q.prefix, service="tiles")],
    )
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
        assert await o.patch(
            upsert={"routeTable": [F.route("r2", host=q.host, prefix="/n/", service="tiles")]}
        )
        assert await c.count(addr="10.0.1.1:80") is not None

    async def play():
        for i in range(6):
            s.add_worker(
                f"i-{i}",
                zone=f"z{i % 2 + 1}",
                rack=f"r{i % 2 + 1}",
                guards=bool(i % 2),
                labels=["a"] if i % 3 else ["b"],
                pace=0.98 if i % 2 else 1.0,
            )
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
    def fits(self, j, n, t, left, worker, to):
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


@pytest.mark.parametrize(
    "make, rule",
    [
        (Overfull, "LIMIT"),
        (Hasty, "ORDER"),
        (Doubling, "TWICE"),
        (Anywhere, "ROUTE"),
        (Endless, "BUDGET"),
        (Splitting, "GANG"),
        (Garbling, "UNASKED"),
        (DeafToCancels, "UNASKED"),
        (DeafToDrains, "DRAIN"),
        (DeafToEvacuations, "EVAC"),
        (Early, "MIXED"),
        (Forgetful, "LOST"),
        (Stale, "CONFIG"),
        (Refuser, "REFUSED"),
    ],
)
def test_a_day_of_a_system_that_breaks_a_rule_is_caught(make, rule):
    """Within a few days: some faults need a cancel or a drain at the right moment."""
    more = [(jobs.poison, 1), (jobs.long, 2), (jobs.lasting, 1)]
    caught = ({b.rule for b in judge(day(make, seed=n, extra=more).hist.rows)} for n in range(1, 9))
    assert any(rule in x for x in caught)
