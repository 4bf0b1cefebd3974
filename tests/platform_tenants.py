"""Tenants in a PlatformWorld: their limits, keys and loads change while machines are lost, overlapping.
The checker adds up what runs per tenant from what workers noted."""

import asyncio

from platform_faults import disk_lost, machine_replaced
from platform_standins import config as F
from platform_standins import jobs
from platform_world import URGENT, PlatformWorld

ONE, TWO = "one", "two"
HALF_S, MOMENT_S = 0.5, 0.1  # s; between two changes, the second within a refill and a beat


def tenants():
    return [
        F.tenant(ONE, keys=["k-one-a", "k-one-b"], weight=3, cpu=12_000, mem_mb=40_000),
        F.tenant(TWO, keys=["k-two-a"], weight=1, cpu=9_000, gpu=6),
    ]


def play(*, seed, faults, rate=5.0, seconds=15.0, **world):
    w = PlatformWorld(seed=seed, tenants=tenants(), **world)
    mix = jobs.mix(wall_ms=w.true_ms, racks=["r1-1", "r2-1"], label="a")
    bad, states = w.play(mix=mix, rate=rate, seconds=seconds, faults=faults, settle=20.0)
    return w, bad, states


def row(op, name):
    return next(t for t in op.config["tenantTable"] if t["name"] == name)


async def put_tenant(op, name, **fields):
    """A tenant with other fields, by name; taken in whatever time the losses leave."""
    assert await op.patch(upsert={"tenantTable": [row(op, name) | fields]}, limit=20.0)


async def set_limit(op, name, cpu):
    await put_tenant(op, name, upperBound={"cpu": cpu, "memMb": 0, "gpu": 0})


async def nothing(w, op, cs):
    """A calm day."""


async def limits_change_while_the_primary_is_lost(w, op, cs):
    """Far below what runs, up, and down within one refill, three times."""
    lost = asyncio.ensure_future(primaries_lost(w))
    for cpu in (1000, 14_000, 2000, 500, 20_000, 3000, 12_000):
        await set_limit(op, ONE, cpu)
        await asyncio.sleep(w.rng.choice((MOMENT_S, HALF_S, 2.0)))
    await lost


async def primaries_lost(w):
    for n in range(3):
        await asyncio.sleep(2)
        name = w.primary() or "core-1"
        if n == 1:
            await w.freeze(name, 2)
        else:
            await w.kill_and_start(name, power=bool(n))


async def keys_change_while_a_machine_is_cut_off(w, op, cs):
    """Keys are added, dropped, and move to another tenant in one version; unknown ones ask."""
    cut = asyncio.ensure_future(w.cut_off("edge-2", 5))
    unknown = w.s.client("unknown", zone="z1", queue=URGENT, key=lambda: "k-nobody")
    nobody = w.s.client("nobody", zone="z1", queue=URGENT)
    for n in range(4):
        await put_tenant(op, ONE, apiKeys=[f"k-one-{n}", f"k-one-{n + 1}"])
        for client in (unknown, nobody):
            job, body = client.new(jobs.simple)
            assert await client.submit(job, body) == "refused"
        await asyncio.sleep(2.5)
    both = [row(op, ONE) | {"apiKeys": ["k-two-a"]}, row(op, TWO) | {"apiKeys": ["k-one-4"]}]
    assert await op.patch(upsert={"tenantTable": both}, limit=20.0)
    await cut


async def a_tenant_is_removed_and_back(w, op, cs):
    """With runs under way, while the core loses its power; then another name takes its keys."""
    for n in range(2):
        await asyncio.sleep(2)
        kept = row(op, TWO)
        assert await op.patch(withdraw={"tenantTable": [TWO]}, limit=20.0)
        if n == 0:
            await asyncio.gather(*(w.kill_and_start(f"core-{m}", power=True) for m in (1, 2, 3)))
        await asyncio.sleep(HALF_S)
        assert await op.patch(upsert={"tenantTable": [kept]}, limit=20.0)


async def a_hot_tenant_while_the_leader_is_cut_off(w, op, cs):
    """Many times its usual from one tenant, and the budget's holder is away meanwhile."""
    cut = asyncio.ensure_future(w.cut_off(w.primary() or "core-1", 4))
    sent = []
    for _ in range(120):
        job, body = cs[0].new(w.rng.choice((jobs.simple, jobs.gang, jobs.large)))
        sent.append(asyncio.ensure_future(cs[0].submit(job, body)))
        await asyncio.sleep(0.04)
    await asyncio.gather(cut, *sent)


async def workers_go_silent_with_what_they_run(w, op, cs):
    """They run on while nobody hears them; some come back within their lease, one does not."""
    await asyncio.sleep(2)
    lost = sorted(w.s.workers)[:3]
    for n, i in enumerate(lost):
        w.hist.note("trouble", what="worker_cut", m=i, id="cut" + i)
        for name in w.cards:
            w.net.cut("w-" + i, name)
        await asyncio.sleep(n)
    await set_limit(op, ONE, 4000)
    await asyncio.sleep(3)
    w.net.heal()
    await asyncio.sleep(2)
    w.s.crash(lost[0])
    for i in lost:
        w.hist.note("calm", id="cut" + i)
    await set_limit(op, ONE, 12_000)


async def edges_restart_and_go_dark(w, op, cs):
    """Daemons that hold tokens are killed, frozen past their term, and cut off."""
    await asyncio.sleep(2)
    await w.kill_and_start("edge-1")
    frozen = asyncio.ensure_future(w.freeze("edge-2", 8))
    await w.kill_and_start("edge-1")
    await w.cut_off("edge-3", 7)
    await frozen


async def disk_lost_and_machine_replaced(w, op, cs):
    """The budget's holder loses its disk, and later another one is replaced by an empty machine."""
    await disk_lost(w, op, cs)
    await set_limit(op, ONE, 5000)
    await asyncio.sleep(2)
    await machine_replaced(w, op, cs)


async def invalid_tenants_and_races(w, op, cs):
    """Tables that are none are refused and never in force; of two changes one wins."""
    other = w.s.operator("op2")
    for n in range(3):
        for how in (*F.INVALID, *F.INVALID_TENANTS):
            assert 400 <= await op.spoiled(how) < 500
        other.config, base = op.config, op.config["revision"]
        changes = [
            {"tenantTable": [row(op, ONE) | {"apiKeys": [f"k-race-{n}-{who}", "k-one-a"]}]} for who in "ab"
        ]
        taken = await asyncio.gather(
            op.patch(upsert=changes[0], revision=base + 2), other.patch(upsert=changes[1], revision=base + 3)
        )
        assert sum(taken) == 1
        op.config = other.config = (op, other)[taken.index(True)].config
        await asyncio.sleep(2)


TENANT_FAULTS = (
    nothing,
    limits_change_while_the_primary_is_lost,
    keys_change_while_a_machine_is_cut_off,
    a_tenant_is_removed_and_back,
    a_hot_tenant_while_the_leader_is_cut_off,
    workers_go_silent_with_what_they_run,
    edges_restart_and_go_dark,
    disk_lost_and_machine_replaced,
    invalid_tenants_and_races,
)
