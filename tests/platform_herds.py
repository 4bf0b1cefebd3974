"""Troubles of the grown sites, as coroutines of a PlatformWorld, the operator and the clients: herds of
processes killed at one moment, leaders killed again and again, machines of ours that are slow by
many times, clients that shift to another zone. And what a day shows of them."""

import asyncio

BACK = 0.8  # s; a herd's processes are back after this
SLOW = 40.0  # times; slower than its like


async def herd(w, names):
    """All processes of some machines end at one moment, and are back with their disks."""
    ids = [w.trouble("kill", n) for n in names]
    for n in names:
        w.kill(n)
    await asyncio.sleep(BACK)
    for n in names:
        w.start(n)
    w.back_at = w.loop.virtual_time
    for i in ids:
        w.hist.note("calm", id=i)


def core(w):
    return sorted(n for n in w.cards if n.startswith("core"))


def edge(w):
    return sorted(n for n in w.cards if n.startswith("edge"))


async def whole_core(w, op, cs):
    await asyncio.sleep(4)
    w.mark = len(w.log)
    await herd(w, core(w))


async def whole_core_twice(w, op, cs):
    await whole_core(w, op, cs)
    await asyncio.sleep(3)
    w.mark = len(w.log)
    await herd(w, core(w))


async def most_edges(w, op, cs):
    await asyncio.sleep(4)
    await herd(w, edge(w)[: -(-len(edge(w)) * 6 // 10)])


async def leader_again(w, op, cs):
    """Whoever decides is killed, four times, each time that somebody does."""
    await asyncio.sleep(3)
    w.kills = 0
    for _ in range(4):
        end = w.loop.virtual_time + 8
        while not w.primary() and w.loop.virtual_time < end:
            await asyncio.sleep(0.05)
        w.kills += bool(w.primary())
        await herd(w, [w.primary() or "core-1"])
        await asyncio.sleep(1.2)


def slow_machine(which, *, seconds=6.0, times=SLOW):
    async def go(w, op, cs):
        await asyncio.sleep(4)
        w.first = n = w.primary()
        if which == "follower":
            n = next(x for x in core(w) if x != n)
        i = w.trouble("slow", n)
        w.nodes[n].times = times
        w.span = (w.true_ms(), w.true_ms() + seconds * 1000)
        await asyncio.sleep(seconds / 2)
        w.midway = w.primary()
        await asyncio.sleep(seconds / 2)
        w.nodes[n].times = 1.0
        w.hist.note("calm", id=i)

    return go


async def shift(w, op, cs):
    """The clients of one zone come to another's daemons, with what they have handed in."""
    await asyncio.sleep(5)
    for c in cs:
        c.zone = "z2"
    w.moved_at = w.true_ms()


# --- what a day shows


def accepted(w, *, since, until=float("inf")):
    """(sent, ms until the answer) of each submission that was taken, by when it was sent."""
    return sorted(
        (r["sent"], r["t"] - r["sent"])
        for r in w.s.rows("submit_out")
        if r["status"] == 200 and since <= r["sent"] < until
    )


def served_after(w):
    """S from when a herd was back until the first job was taken that was sent after the kill."""
    at = (w.back_at - BACK) * 1000 + w.true_ms() - w.loop.virtual_time * 1000
    return min((s + ms for s, ms in accepted(w, since=at)), default=1e15) / 1000 - at / 1000 - BACK


def won(w):
    """How often a desk became primary since a herd."""
    return sum(" HH400 " in x for x in w.log[w.mark :])


def worst(xs, part=0.95):
    xs = sorted(ms for _, ms in xs)
    return xs[min(len(xs) - 1, int(part * len(xs)))] if xs else float("inf")
