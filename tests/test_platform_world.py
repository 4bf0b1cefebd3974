"""The real daemons behind the platform's adapter, under the platform's stand-ins and faults:
no rule breaks, and what was accepted ends. Then the adapter with one thing broken at a time:
the checker sees it through the whole path. `PYTHONPATH=. python tests/test_platform_world.py
FIRST-LAST [--rate N] [fault ...]` plays more seeds and tells of those with a violation."""

import asyncio
import sys
from multiprocessing import Pool

import pytest
from platform_standins import config as F
from platform_standins import jobs
from platform_standins.clients import Queue
from platform_world import PlatformWorld, boot

import control  # the adapter's, found by way of platform_world
import front


def play(*, seed, faults=None, rate=4.0, extra=()):
    w = PlatformWorld(seed=seed)
    mix = jobs.mix(wall_ms=w.true_ms, racks=["r1-1", "r2-1"], label="a") + list(extra)
    bad, states = w.play(mix=mix, rate=rate, faults=faults)
    return w, bad, states


# --- what is done to the fleet

async def nothing(w, op, cs):
    pass


async def workers_crash(w, op, cs):
    for n in range(3):
        await asyncio.sleep(3)
        w.s.crash(w.rng.choice(sorted(w.s.workers)))
        await asyncio.sleep(1)
        w.s.add_worker(f"i-9{n}", rack="r1-1", guards=False, capacity=w.capacity, pace=0.98)


async def workers_leave(w, op, cs):
    for n in range(3):
        await asyncio.sleep(2)
        i = sorted(w.s.workers)[n]
        await w.s.workers[i].leave(notice_ms=(0, 3000, 6000)[n])


async def workers_cut_off(w, op, cs):
    await asyncio.sleep(3)
    lost = sorted(w.s.workers)[:3]
    for i in lost:
        w.hist.note("trouble", what="worker_cut", m=i, id="cut" + i)
        for n in w.cards:
            w.net.cut("w-" + i, n)
    await asyncio.sleep(9)
    w.net.heal()
    for i in lost:
        w.hist.note("calm", id="cut" + i)


async def workers_slow(w, op, cs):
    await asyncio.sleep(2)
    some = [w.s.workers[i] for i in sorted(w.s.workers)[:4]]
    for x in some[:3]:
        x.turn(slow=4.0)
    some[3].turn(stuck=True)
    await asyncio.sleep(8)
    for x in some:
        x.turn(slow=1.0, stuck=False)


async def evacuation(w, op, cs):
    await asyncio.sleep(3)
    assert await op.evacuate("z2")
    await asyncio.sleep(8)
    assert await op.evacuate("z2", withdraw=True)


async def primary_killed(w, op, cs):
    await asyncio.sleep(5)
    await w.kill_and_start(w.primary() or "core-1")
    await asyncio.sleep(6)
    await w.kill_and_start(w.primary() or "core-1", power=True)


async def primary_frozen(w, op, cs):
    await asyncio.sleep(5)
    await w.freeze(w.primary() or "core-1", w.rng.choice([2, 5, 9]))


async def primary_cut_off(w, op, cs):
    await asyncio.sleep(5)
    await w.cut_off(w.primary() or "core-1", w.rng.choice([3, 7]))


async def all_lose_power(w, op, cs):
    await asyncio.sleep(5)
    await asyncio.gather(*(w.kill_and_start(f"core-{n}", power=True) for n in (1, 2, 3)))


async def stopped_in_turn(w, op, cs):
    await asyncio.sleep(2)
    for n in sorted(w.cards):
        await w.roll(n)
        await asyncio.sleep(1.5)


async def edges(w, op, cs):
    await asyncio.sleep(3)
    await w.kill_and_start("edge-1")
    await w.freeze("edge-2", 4)
    await w.cut_off("edge-3", 4)


async def cancels(w, op, cs):
    c = cs[0]
    for _ in range(25):
        job, body = c.new(w.rng.choice([jobs.simple, jobs.chain, jobs.gang, jobs.saving,
                                        jobs.lasting, jobs.long]))
        if await c.submit(job, body) == "accepted":
            await asyncio.sleep(w.rng.random())
            assert await c.cancel(job) == 200


def add(name, prefix):
    return F.route(name, host="h.example", prefix=prefix, service="tiles")


async def configurations(w, op, cs):
    """Changes, invalid ones, races, and counts of queues added, removed, never there."""
    other = w.s.operator("op2")
    for n in range(3):
        assert await op.patch(upsert={"routeTable": [add(f"r-{n}", f"/n{n}/")]})
        for how in F.INVALID:
            assert 400 <= await op.spoiled(how) < 500
        won = await op.race(other, upserts=[add("r-x", f"/x{n}/"), add("r-y", f"/y{n}/")])
        assert len(won) == 1
        qs = [Queue(host="h.example", prefix=p) for p in (f"/n{n}/", f"/n{n - 1}/", "/never/")]
        for _ in range(6):
            for a in list(w.s.balancer.fronts):
                got = [await cs[0].count(addr=a, queue=q) for q in qs]
                assert got[2] is None
            await asyncio.sleep(0.6)
        if n:
            assert await op.patch(withdraw={"routeTable": [f"r-{n - 1}"]})


FAULTS = (nothing, workers_crash, workers_leave, workers_cut_off, workers_slow, evacuation,
          primary_killed, primary_frozen, primary_cut_off, all_lose_power, stopped_in_turn,
          edges, cancels, configurations)


@pytest.mark.parametrize("faults", FAULTS, ids=[f.__name__ for f in FAULTS])
def test_no_rule_breaks_and_what_was_accepted_ends(faults):
    w, bad, states = play(seed=11 + FAULTS.index(faults), faults=faults)
    assert bad == [] and w.loop.complaints == []
    ended = sum(x in ("complete", "failed", "cancelled") for x in states.values())
    assert len(states) > 30 and ended >= 0.9 * len(states)


# --- the adapter with one thing broken

REPORT, ORDERS, JOB_OF = control.Control.report, control.Control.orders, front.job_of
PARAMS_OF, TAKE, WHOLE = boot.params_of, front.Front.take, control.whole_config


def reported(m, **change):
    """Beats say something else about their worker."""
    m.setattr(control.Control, "report", lambda self, d, i: REPORT(self, d, i) | {
        k: f(d) for k, f in change.items()})


def job_without(m, **change):
    def job_of(*, body, lane, row):
        d = JOB_OF(body=body, lane=lane, row=row)
        d["steps"] = [{k: v for k, v in s.items() if k not in change} | {
            k: v for k, v in change.items() if v is not None} for s in d["steps"]]
        return d
    m.setattr(front, "job_of", job_of)


def no_capacity(m):
    reported(m, room=lambda d: [10**6, 10**7, 99])


def all_labels(m):
    reported(m, labels=lambda d: ["a", "b", *d["labels"]])


def never_leaves(m):
    reported(m, leaves=lambda d: False, leaveMs=lambda d: None)


def one_zone(m):
    reported(m, zone=lambda d: "z1")


def no_steps_before(m):
    job_without(m, after=[])


def no_limit_of_failures(m):
    job_without(m, maxFailures=50)


def a_member_left_out(m):
    def orders(self, v):
        d = ORDERS(self, v)
        return d | {"start": [x for x in d["start"] if not (
            x[0].endswith(".1") and x[2].startswith("profile of gang"))]}
    m.setattr(control.Control, "orders", orders)


def other_profile(m):
    m.setattr(control.Control, "orders", lambda self, v: ORDERS(self, v) | {
        "start": [[t, n, x + "?", s] for t, n, x, s in ORDERS(self, v)["start"]]})


def no_stops(m):
    m.setattr(control.Control, "orders", lambda self, v: ORDERS(self, v) | {"stop": []})


def short_leases(m):
    """The primary takes a worker for lost long before its lease is over."""
    def params_of(d, *, role):
        p = PARAMS_OF(d, role=role)
        p.margin_ms = -4000 if role == "hall" else p.margin_ms
        return p
    m.setattr(boot, "params_of", params_of)


def complete_too_soon(m):
    m.setitem(front.STATES, "open", "complete")


def older_read_back(m):
    m.setattr(control, "whole_config", lambda c: WHOLE(c) | {"revision": 1})


def answers(m, change):
    """Some answers to clients are changed on their way out."""
    def take(self, *, call, k):
        return TAKE(self, call=call, k=lambda r: k(change(call, r)))
    m.setattr(front.Front, "take", take)


def some_unknown(m):
    answers(m, lambda call, r: front.Reply(status=410, body={}) if call.method == "GET"
            and call.path[-1] in "0123" else r)


def refuses_and_runs(m):
    answers(m, lambda call, r: front.Reply(status=503, body={}) if call.method == "POST"
            and call.path[-1] in "0123" else r)




BROKEN = [(no_capacity, "LIMIT", nothing), (all_labels, "ROUTE", nothing),
          (never_leaves, "DRAIN", workers_leave), (one_zone, "EVAC", evacuation),
          (no_steps_before, "ORDER", nothing), (no_limit_of_failures, "BUDGET", nothing),
          (a_member_left_out, "GANG", nothing), (other_profile, "UNASKED", nothing),
          (no_stops, "UNASKED", cancels), (short_leases, "TWICE", workers_cut_off),
          (complete_too_soon, "MIXED", nothing), (older_read_back, "CONFIG", nothing),
          (some_unknown, "LOST", nothing), (refuses_and_runs, "REFUSED", nothing)]


@pytest.mark.parametrize("broken, rule, faults", BROKEN, ids=[b.__name__ for b, *_ in BROKEN])
def test_a_broken_adapter_is_seen(broken, rule, faults, monkeypatch):
    broken(monkeypatch)
    more = [(jobs.poison, 2), (jobs.labelled("a"), 2), (jobs.long, 2)]
    _, bad, _ = play(seed=5, faults=faults, rate=6.0, extra=more)
    assert rule in {b.rule for b in bad}


# --- more seeds

def one(a):
    name, seed, rate = a
    try:
        faults = next(f for f in FAULTS if f.__name__ == name)
        _, bad, _ = play(seed=seed, faults=faults, rate=rate)
        return name, seed, [f"{b.rule} {b.t:.0f} {b.text}" for b in bad]
    except Exception as e:      # an order that was not acknowledged, say
        return name, seed, [f"broke: {e!r}"[:200]]


def main(span, *names):
    rate, names = 4.0, list(names)
    if "--rate" in names:
        i = names.index("--rate")
        rate = float(names[i + 1])
        del names[i:i + 2]
    a, b = map(int, span.split("-"))
    days = [(f, n, rate) for f in names or [f.__name__ for f in FAULTS] for n in range(a, b + 1)]
    with Pool(3) as p:
        got = [x for x in p.imap_unordered(one, days) if x[2]]
    for name, seed, bad in sorted(got):
        print(name, seed, *bad[:4], sep="\n    ")
    print(f"{len(got)} of {len(days)} days with a violation")


if __name__ == "__main__":
    main(*sys.argv[1:])
