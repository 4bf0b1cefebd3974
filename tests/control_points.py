"""The five kinds of trouble of the control side, each in several shapes, on the real daemons behind
the platform's adapter in virtual time: a cut-off machine, operators' numbers, losses that follow
each other, members that fall behind, connections that break. `play` runs one shape and seed;
`python tests/control_points.py FIRST-LAST [POINT]` runs many and prints what broke."""

import asyncio
import sys
from multiprocessing import Pool

from platform_standins import config as F
from platform_standins import jobs
from platform_standins.caller import Answer
from platform_world import AGAIN, PORTS, PlatformWorld

from hollowhall.explore.history import violations
from hollowhall.explore.orders import Operation, Order

CUT = 12.0  # s; beyond all time-outs of the control side, as 20 s are
LOST = 0.6  # part of the answers to an operator that are lost
SYNC_S = 4.0  # s; a machine is lost for so long after its start


def addr(name):
    return f"10.0.0.{name.rsplit('-', 1)[1]}:{PORTS['control']}"


def halls(w):
    return sorted(n for n in w.cards if w.cards[n]["role"] == "hall")


def followers(w):
    return [n for n in halls(w) if n in w.nodes and n != w.primary()]


def pinned(w, name, to):
    """An operator that reaches one machine only."""
    op = w.s.operator(name, daemons=lambda: [addr(to)])
    return op


def route(n):
    return F.route(f"x{n}", host="h.example", prefix=f"/x{n}/", service="tiles")


async def change(op, n):
    """One change by name, until it has a clear answer or a few seconds have passed."""
    return await op.patch(upsert={"routeTable": [route(n)]}, limit=8.0)


async def changes(w, op, *, seconds, gap=0.4):
    """Changes and reads, one after the other."""
    end, n = w.loop.vt + seconds, 0
    while w.loop.vt < end:
        n += 1
        await change(op, n % 7)
        await op.read(limit=4.0)
        await asyncio.sleep(gap)


async def orders_at(w, op, name, *, seconds):
    """Orders and reads sent to one machine alone, on what is current at their start."""
    there = pinned(w, f"at-{name}", name)
    end = w.loop.vt + seconds
    while w.loop.vt < end:
        there.config = op.config
        await there.patch(upsert={"routeTable": [route(9)]}, limit=0.5)
        await there.read(limit=0.5)
        if there.config["revision"] > op.config["revision"]:
            op.config = there.config
        await asyncio.sleep(0.3)


# --- 1: a machine that is cut off


def cut(w, name, others, *, both=True):
    i = w.trouble("freeze", name)  # for the checker: a machine in trouble until it is calm
    for other in others:
        w.net.cut(name, other, both=both)
    return i


async def cut_for(w, op, name, others, *, both=True, reset=False):
    i = cut(w, name, others, both=both)
    if reset:
        w.net.down_wires(w.nodes[name])
    await asyncio.gather(changes(w, op, seconds=CUT), orders_at(w, op, name, seconds=CUT + 2))
    w.net.heal()
    await asyncio.sleep(2)
    w.hist.note("calm", id=i)


async def leader_cut_from_all(w, op, cs):
    name = w.primary()
    await cut_for(w, op, name, [n for n in w.cards if n != name])


async def follower_cut_from_all(w, op, cs):
    name = followers(w)[0]
    await cut_for(w, op, name, [n for n in w.cards if n != name])


async def leader_cut_from_core(w, op, cs):
    name = w.primary()
    await cut_for(w, op, name, [n for n in halls(w) if n != name])


async def leader_cut_one_way(w, op, cs):
    name = w.primary()
    await cut_for(w, op, name, [n for n in halls(w) if n != name], both=False)


async def leader_cut_with_reset(w, op, cs):
    name = w.primary()
    await cut_for(w, op, name, [n for n in w.cards if n != name], reset=True)


async def core_in_halves(w, op, cs):
    """Five in two and three; the leader is among the two."""
    two = [w.primary(), followers(w)[0]]
    ids = [cut(w, n, [x for x in halls(w) if x not in two]) for n in two]
    await asyncio.gather(changes(w, op, seconds=6), orders_at(w, op, two[0], seconds=8))
    w.net.heal()
    await asyncio.sleep(2)
    for i in ids:
        w.hist.note("calm", id=i)


# --- 2: operators' numbers


def lose_answers(w, op, *, seconds):
    """From here on answers to this operator are lost on their way, most of them."""
    real, end = op.caller.once, w.loop.vt + seconds

    async def once(**call):
        answer = await real(**call)
        if w.loop.vt < end and op.rng.random() < LOST:
            return Answer(status=0, headers={}, addr=answer.addr, why="silence")
        return answer

    op.caller.once = once


async def eight_at_once(w, op, cs):
    """Eight operators change one version at the same time, some under one number."""
    for _ in range(3):
        others = [w.s.operator(f"o{n}-{w.loop.vt:.0f}") for n in range(8)]
        base = op.config["revision"]
        for x in others:
            x.config = op.config
        done = await asyncio.gather(
            *(
                x.patch(upsert={"routeTable": [route(n)]}, revision=base + 1 + n % 3, limit=8.0)
                for n, x in enumerate(others)
            )
        )
        won = [x for x, ok in zip(others, done) if ok]
        assert len(won) == 1, [x.name for x in won]
        op.config = won[0].config
        await asyncio.sleep(0.5)


async def answers_lost(w, op, cs):
    lose_answers(w, op, seconds=12)
    await changes(w, op, seconds=12)


async def answers_lost_at_a_handover(w, op, cs):
    lose_answers(w, op, seconds=12)
    t = asyncio.ensure_future(changes(w, op, seconds=12))
    await asyncio.sleep(3)
    await w.kill_and_start(w.primary() or "core-1", power=True)
    await t


async def sent_again_at_all(w, op, cs):
    """One change, whole and by name, sent to each daemon again and again, also at once."""
    base, config = op.config["revision"], op.config
    whole = config | {"revision": base + 2}
    assert await op.put(whole)
    ops = [pinned(w, f"again-{n}", n) for n in halls(w)]
    for x in ops:
        x.config = config
    assert all(await asyncio.gather(*(x.put(whole, base=base, limit=8.0) for x in ops)))
    for x in ops:
        x.config = whole
    body = {"upsert": {"routeTable": [route(1)]}, "revision": base + 5, "limit": 8.0}
    assert all(await asyncio.gather(*(x.patch(**body) for x in ops)))
    op.config = ops[0].config


async def sent_again_after_many(w, op, cs):
    """A change that was taken comes again after 300 others: taken or unclear, never refused."""
    first, base = op.config | {"revision": op.config["revision"] + 1}, op.config["revision"]
    assert await op.put(first)
    for n in range(300):
        revision = op.config["revision"]
        assert await op.put(op.config | {"revision": revision + 1 + n % 3}, limit=8.0)
    answer = await op.caller.once(
        method="PUT", addr=addr("core-1"), path="/config", body=first, headers={"If-Match": str(base)}
    )
    assert answer.ok or answer.moves, answer.status


# --- 3: losses that follow each other


async def wipe(w, name, *, down=0.5):
    i = w.trouble("kill", name)
    w.power_off(name)
    w.disks[name].lose()
    await asyncio.sleep(down)
    w.net.dark.discard(name)
    w.start(name)
    return i


def newcomer(w, n):
    w.add_machine("hall", f"core-{n}", f"10.0.0.{n}", zone=1, first=False)
    w.start(f"core-{n}")


async def replaced_then_wiped(w, op, cs):
    """One is gone for good, a new one comes; `syncS` after its start another loses its disk."""
    gone = w.rng.choice(halls(w))
    w.trouble("kill", gone)
    w.power_off(gone)
    await asyncio.sleep(w.rng.choice((0.5, 1.0, 2.0)))
    newcomer(w, 9)
    await asyncio.sleep(SYNC_S + w.rng.random() * 5)
    i = await wipe(w, w.rng.choice([n for n in followers(w) if n != "core-9"] or ["core-9"]))
    await changes(w, op, seconds=6)
    w.hist.note("calm", id=i)


async def planned_then_lost(w, op, cs):
    """The newcomer first; as the one it replaces ends in order, another is gone for good."""
    newcomer(w, 9)
    await asyncio.sleep(SYNC_S + 1)
    old, lost = [n for n in halls(w) if n != "core-9"][:2]
    w.trouble("term", old)
    node = w.nodes[old]

    async def leave():
        await node.daemon.leave()
        node.daemon.ended.set()

    node.run(leave())
    while node.alive:
        await asyncio.sleep(0.05)
    w.trouble("kill", lost)
    w.power_off(lost)
    await changes(w, op, seconds=8)
    assert w.primary(), "no majority is left"


async def newcomer_killed(w, op, cs):
    """A newcomer is killed at some stage of being let in, and comes back."""
    gone = followers(w)[0]
    w.trouble("kill", gone)
    w.power_off(gone)
    await asyncio.sleep(1)
    newcomer(w, 9)
    await asyncio.sleep(w.rng.random() * 3)
    await w.kill_and_start("core-9", power=w.rng.random() < 0.5)
    await changes(w, op, seconds=6)


async def replaced_three_times(w, op, cs):
    for n in (7, 8, 9):
        gone = next(x for x in halls(w) if x in w.nodes)
        w.trouble("kill", gone)
        w.power_off(gone)
        await asyncio.sleep(1)
        newcomer(w, n)
        await changes(w, op, seconds=SYNC_S + 1)
    assert w.primary()


async def dark_at_once(w, names, *, lost=""):
    """All these lose power at the same moment, one its disk with it, and come back."""
    ids = [w.trouble("kill", n) for n in names]
    for n in names:
        w.power_off(n)
    if lost:
        w.disks[lost].lose()
    await asyncio.sleep(AGAIN)
    for n in names:
        w.net.dark.discard(n)
        w.start(n)
    await asyncio.sleep(3)
    for i in ids:
        w.hist.note("calm", id=i)


async def all_dark_and_one_disk_lost(w, op, cs):
    """All lose power at once, and one its disk with it."""
    await change(op, 1)
    await dark_at_once(w, halls(w), lost=w.rng.choice(halls(w)))
    await changes(w, op, seconds=3)


# --- 4: members that fall behind


async def behind(w, op, cs, *, back, n=120):
    """One misses many changes, comes back in some way, and soon the others end at once."""
    name = followers(w)[0]
    others = [x for x in halls(w) if x != name]
    i = w.trouble("kill", name)
    w.power_off(name) if back != "frozen" else w.pause(name)
    for k in range(n):
        await op.put(op.config | {"revision": op.config["revision"] + 1 + k % 3}, limit=8.0)
    if back == "frozen":
        w.pause(name, on=False)
    else:
        if back == "wiped":
            w.disks[name].lose()
        w.net.dark.discard(name)
        w.start(name)
    if back == "again":
        await asyncio.sleep(w.rng.random() * 0.5)
        w.power_off(name)
        w.net.dark.discard(name)
        w.start(name)
    await asyncio.sleep(2.0)
    store = w.nodes[name].daemon.store
    if back != "wiped":
        newest = op.config["revision"]
        assert store.record.charter.get("chosen") == newest, "not current within 2 s"
    w.hist.note("calm", id=i)
    if back == "wiped":
        await asyncio.sleep(SYNC_S)
    await dark_at_once(w, others)
    await changes(w, op, seconds=2)


async def behind_and_restarted(w, op, cs):
    await behind(w, op, cs, back="restarted")


async def behind_and_frozen(w, op, cs):
    await behind(w, op, cs, back="frozen")


async def behind_and_wiped(w, op, cs):
    await behind(w, op, cs, back="wiped")


async def behind_and_restarted_again(w, op, cs):
    await behind(w, op, cs, back="again")


# --- 5: connections that break


async def connections_reset(w, op, cs):
    """Connections between and to our machines are reset again and again."""
    end = w.loop.vt + 8
    t = asyncio.ensure_future(changes(w, op, seconds=8))
    while w.loop.vt < end:
        name = w.rng.choice(sorted(w.nodes))
        i = w.trouble("freeze", name)
        w.net.down_wires(w.nodes[name])
        await asyncio.sleep(0.1 + 0.5 * w.rng.random())
        w.hist.note("calm", id=i)
    await t


async def silences(w, op, cs):
    """Machines stand still for less or more than what waits for them waits."""
    for _ in range(4):
        name = w.rng.choice(sorted(w.nodes))
        await asyncio.gather(w.freeze(name, w.rng.choice((0.4, 0.9, 1.4, 2.5))), changes(w, op, seconds=2.5))


async def address_taken_over(w, op, cs):
    """A worker ends and another one, with another name, is at its place at once."""
    for n in range(4):
        i = sorted(w.s.workers)[0]
        w.s.crash(i)
        w.s.add_worker(f"i-8{n}", rack="r1-1", guards=False, capacity=w.capacity, pace=0.98)
        await changes(w, op, seconds=1.5)


async def edge_gone_after_it_accepted(w, op, cs):
    """An edge machine loses power right after it accepted a job and never comes back."""
    c = cs[0]
    job, body = c.new(jobs.simple)
    assert await c.submit(job, body) == "accepted"
    accepted = [r for r in w.hist.rows if r["ev"] == "submit_out" and r["job"] == job]
    machine = next(
        (r["m"] for r in w.hist.rows if r["ev"] == "daemon" and r["addr"] == accepted[-1]["by"]), "edge-1"
    )
    w.trouble("kill", machine)
    w.power_off(machine)
    await changes(w, op, seconds=4)


POINTS = {
    1: (
        leader_cut_from_all,
        follower_cut_from_all,
        leader_cut_from_core,
        leader_cut_one_way,
        leader_cut_with_reset,
        core_in_halves,
    ),
    2: (eight_at_once, answers_lost, answers_lost_at_a_handover, sent_again_at_all, sent_again_after_many),
    3: (
        replaced_then_wiped,
        planned_then_lost,
        newcomer_killed,
        replaced_three_times,
        all_dark_and_one_disk_lost,
    ),
    4: (behind_and_restarted, behind_and_frozen, behind_and_wiped, behind_and_restarted_again),
    5: (connections_reset, silences, address_taken_over, edge_gone_after_it_accepted),
}
FIVE_MEMBERS = (core_in_halves,)


def operations(rows):
    """The operators' orders and reads as a history of the configuration's register."""
    out, open_ones = [], {}
    for r in rows:
        if r["ev"] == "config":
            order = Order(number=r["revision"], base=r["base"], author=repr(r["body_sent"]))
            open_ones[r["id"]] = Operation(kind="order", invoked=r["t"], order=order)
        elif r["ev"] == "read":
            open_ones[r["id"]] = Operation(kind="read", invoked=r["t"])
        elif r["ev"] in ("config_out", "read_out") and r["id"] in open_ones:
            x = open_ones.pop(r["id"])
            x.returned, x.confirmed = r["t"], r["status"] == 200
            x.refused = r["status"] in (400, 409, 412, 413, 422)
            if x.kind == "read" and x.confirmed:
                x.value = (r["body"]["revision"], "")
            out.append(x)
    return out + list(open_ones.values())


def register_violations(rows):
    """What is wrong with the history; what a read shows is compared by its number alone."""
    return [v for v in violations(operations(rows)) if v.rule != "read_shows_what_was_sent"]


def play(shape, seed, **more):
    """One run; what broke, as text, and the world."""
    w = PlatformWorld(seed=seed, cores=5 if shape in FIVE_MEMBERS else 3, **more)
    mix = jobs.mix(wall_ms=w.true_ms, racks=["r1-1", "r2-1"], label="a")

    async def faults(w, op, cs):
        await asyncio.sleep(1 + w.rng.random())
        await shape(w, op, cs)

    bad, _ = w.play(mix=mix, rate=0.7, seconds=8.0, settle=6.0, faults=faults)
    found = [f"{x.rule}: {x.text}" for x in bad]
    return found + [f"{v.rule}: {v.detail}" for v in register_violations(w.hist.rows)], w


def one(job):
    point, shape, seed = job
    try:
        found, _ = play(shape, seed)
    except Exception as error:
        found = [f"{type(error).__name__}: {error}"]
    return point, shape.__name__, seed, found


def main(span, *points):
    first, last = map(int, span.split("-"))
    wanted = [int(p) for p in points] or list(POINTS)
    runs = [(p, s, seed) for seed in range(first, last + 1) for p in wanted for s in POINTS[p]]
    played, broken = dict.fromkeys(wanted, 0), 0
    with Pool(7) as pool:
        for point, name, seed, found in pool.imap_unordered(one, runs):
            played[point] += 1
            if found:
                broken += 1
                print(point, name, seed, found[:3], flush=True)
    print("runs by point", played, "broken", broken)


if __name__ == "__main__":
    main(*sys.argv[1:])
