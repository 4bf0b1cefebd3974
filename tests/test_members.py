"""Members of the store replaced while jobs flow: each in turn, the leader too, with
faults amid the change, operators racing one another, and what must be refused. A
version whose leader counts a new member before it has caught up must be caught."""

import asyncio

import pytest

from hollowhall.check.judge import judge
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES


def world(seed, **kw):
    return World(seed=seed, shape=SHAPES["cymylau"], masts=2, **kw)


def joiner(w, n):
    """A blank almanac on a new machine, started to join."""
    name = f"almanac-{n}"
    w.add_card(name, "almanac", f"core-{n}", f"10.0.0.{n}:7000", zone=n, data="/d", join=True)
    w.start(name)
    return f"10.0.0.{n}:7000"


async def change(op, do, addr, by="", base=None):
    st, v, _ = await op.ask("members", "GET", "/v1/members")
    st, v, _ = await op.ask(
        "change",
        "POST",
        "/v1/members",
        {"base": v["version"] if base is None else base, "do": do, "addr": addr, "by": by},
    )
    return st, v


async def until(w, op, test, secs=30):
    end = w.loop.vt + secs
    while w.loop.vt < end:
        st, v, _ = await op.ask("members", "GET", "/v1/members")
        if st == 200 and test(v):
            return v
        await asyncio.sleep(0.2)
    return None


def settled(v):
    return not v["learner"] and not v["out"]


def play(w, steps, *, seconds=20):
    async def go():
        w.start_all()
        op, req = w.operator(tag="op"), w.requester(tag="r")
        await op.found(lanes=w.shape.lanes)
        w.add_crew()
        load = asyncio.ensure_future(req.run(mix=w.shape.mix, seconds=seconds, settle=20))
        await asyncio.sleep(3)
        await steps(op)
        w.hist.note("fault", what="the last change")
        await req.one(body=w.shape.mix[0][0](req.rng), until=w.loop.vt + 14)
        await load
        w.hist.note("calm")
        await op.read()

    w.run(go())
    assert not [x for x in w.log if "HH106" in x or "HH111" in x]
    bad, seen = judge(w.hist.rows)
    return bad + [x for x in w.log if "HH214" in x], seen


@pytest.mark.parametrize("seed", [1, 2])
def test_each_of_three_is_replaced_the_leader_too(seed):
    w, out = world(seed), []

    async def steps(op):
        for n in (4, 5, 6):
            lead = w.who("almanac", "leader")
            old = (
                lead[0]
                if lead and n != 5
                else sorted(x for x in w.nodes if x in ("almanac-1", "almanac-2", "almanac-3"))[0]
            )
            if n == 6:
                old = [x for x in w.nodes if x in ("almanac-1", "almanac-2", "almanac-3")][0]
            new = joiner(w, n)
            addr = w.cards[old]["addr"]
            out.append((await change(op, "replace", addr, new))[0])
            v = await until(w, op, lambda v, new=new: new in v["voters"] and settled(v))
            out.append(v is not None and addr not in v["voters"])
            w.kill(old)
            await asyncio.sleep(1)
        out.append(sorted(v["voters"]))

    bad, seen = play(w, steps, seconds=24)
    assert out[:6] == [200, True] * 3 and bad == []
    assert out[6] == [f"10.0.0.{n}:7000" for n in (4, 5, 6)]
    assert seen["jobs_accepted"] > 80


@pytest.mark.parametrize("what", ["dead", "leader killed", "learner killed", "cut", "power"])
def test_a_fault_amid_the_change(what):
    w, out = world(7), []

    async def steps(op):
        lead = w.who("almanac", "leader")[0]
        old = "almanac-1" if lead != "almanac-1" else "almanac-2"
        if what == "dead":
            w.power_off(w.cards[old]["machine"])
            w.disks[w.cards[old]["machine"]].lose()
        new = joiner(w, 4)
        await asyncio.sleep(0.5)
        assert (await change(op, "replace", w.cards[old]["addr"], new))[0] == 200
        if what == "leader killed":
            w.kill(lead)
            await asyncio.sleep(4)
            w.start(lead)
        elif what == "learner killed":
            w.kill("almanac-4")
            await asyncio.sleep(4)
            w.start("almanac-4")
        elif what == "cut":
            w.net.cut("core-4", w.cards[lead]["machine"])
            await asyncio.sleep(4)
            w.net.heal()
        elif what == "power":
            names = w.power_off(w.cards[lead]["machine"])
            await asyncio.sleep(4)
            w.power_on(w.cards[lead]["machine"], names)
        v = await until(w, op, lambda v: new in v["voters"] and settled(v))
        out.append(v is not None and w.cards[old]["addr"] not in v["voters"])

    bad, _ = play(w, steps)
    assert out == [True] and bad == [], bad[:4]


def test_one_taken_out_and_woken_late_disturbs_nobody():
    w, out = world(5), {}

    async def steps(op):
        lead = w.who("almanac", "leader")[0]
        old = "almanac-3" if lead != "almanac-3" else "almanac-1"
        w.pause(old)
        new = joiner(w, 4)
        assert (await change(op, "replace", w.cards[old]["addr"], new))[0] == 200
        out["v"] = await until(w, op, settled)
        n = len([x for x in w.log if "HH200" in x])
        w.pause(old, on=False)
        await asyncio.sleep(8)
        out["roles"] = len([x for x in w.log if "HH200" in x and old not in x.split()[1]]) - n
        out["lead"] = w.who("almanac", "leader")
        out["was"] = [lead]

    bad, _ = play(w, steps)
    assert out["v"] and out["roles"] <= 0 and out["lead"] == out["was"] and bad == []


async def held_up(w, names):
    """Freezes the one of some joiners that is let in, once it is a learner: the change stays under way."""
    while not (lead := w.who("almanac", "leader")) or not w.nodes[lead[0]].daemon.conf["learner"]:
        await asyncio.sleep(0.001)
    learner = w.nodes[lead[0]].daemon.conf["learner"]
    name = next(n for n in names if w.cards[n]["addr"] == learner)
    w.pause(name)
    return name


@pytest.mark.parametrize("seed", [4, 6, 7])
def test_racing_operators_and_what_is_refused(seed):
    w, out = world(seed), {}

    async def steps(op):
        a, b = joiner(w, 4), joiner(w, 5)
        op2, op3 = w.operator(tag="op2"), w.operator(tag="op3")
        one, two, three = (f"10.0.0.{n}:7000" for n in (1, 2, 3))
        learner = asyncio.ensure_future(held_up(w, ("almanac-4", "almanac-5")))
        race = await asyncio.gather(
            change(op, "replace", one, a, base=0), change(op2, "replace", two, b, base=0)
        )
        out["race"] = sorted(status for status, _ in race)
        out["meanwhile"] = await change(op3, "remove", three)
        w.pause(await learner, on=False)
        v = await until(w, op, settled)
        out["n"] = len(v["voters"])
        free = b if b not in v["voters"] else a
        out["stale"] = await change(op, "add", free, base=0)
        gone = one if one not in v["voters"] else two
        out["unknown"] = await change(op, "remove", "10.9.9.9:1")
        out["past"] = await change(op, "add", gone)
        out["none"] = await change(op, "replace", three, "10.9.9.9:1")
        out["bad"] = (
            await op.ask("change", "POST", "/v1/members", {"base": 1, "do": "replace", "addr": three})
        )[0]
        w.kill([n for n in w.who("almanac", "follower") if w.cards[n]["addr"] in v["voters"]][0])
        await asyncio.sleep(2)
        lead = w.cards[w.who("almanac", "leader")[0]]["addr"]
        out["last"] = await change(op, "remove", lead)
        out["add"] = (await change(op, "add", free))[0]
        out["four"] = await until(w, op, lambda v: free in v["voters"])

    bad, _ = play(w, steps)
    assert out["race"] == [200, 409] and out["n"] == 3 and bad == []
    assert out["stale"][1]["problem"] == "StaleBase" and out["unknown"][0] == 404
    for x in ("meanwhile", "past", "none", "last"):
        assert out[x][0] == 409 and out[x][1]["why"], (x, out[x])
    assert out["bad"] == 422 and out["add"] == 200 and out["four"]
