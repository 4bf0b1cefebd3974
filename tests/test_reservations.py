"""Reservations in a whole fleet in virtual time, on several seeds: served beside a crowd,
through handovers, lost and draining workers, jumping clocks and restarts; lent and given
back; racing, sent again, refused; and the same seeds without them."""

import asyncio

import pytest
import reserved_world as V
from reserved_world import clean

from hollowhall.record.reservation_bodies import check_reservation


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_with_reservations_the_owners_have_all_of_it_soon_and_without_they_have_not(seed):
    a, b = V.play(seed), V.play(seed, reserved=False)
    clean(a), clean(b)
    x, y = V.figures(a), V.figures(b)
    assert a.got["answer"][0] == 201 and x["most at once"] == V.COUNT
    assert x["all there after ms"] < 3000 and x["wait worst ms"] < 5000
    assert y["most at once"] < V.COUNT and x["team begun"] > 3 * y["team begun"]
    assert x["used"] > y["used"] - 0.06


async def kill_primary(w, op):
    await asyncio.sleep(V.OPEN + 4 - w.loop.vt)
    w.kill(w.who("desk", "primary")[0])


async def lose(w, op, at):
    await asyncio.sleep(at - w.loop.vt)
    for i in sorted(V.primary(w).reserving.assigned["r"])[:2]:  # two of those that are to serve
        w.crash_mate(i)


async def lose_before(w, op):
    await lose(w, op, V.OPEN - 4)


async def lose_within(w, op):
    await lose(w, op, V.OPEN + 4)


async def drain(w, op):
    await asyncio.sleep(V.OPEN + 3 - w.loop.vt)
    for i in sorted(V.primary(w).reserving.assigned["r"])[:2]:
        await op.ask("leave", "POST", f"/v1/workers/{i}/leave", {})


async def jump(w, op):
    for at, by in ((V.OPEN - 8, 3_600_000), (V.OPEN - 2, -3_600_000), (V.OPEN + 3, 3_600_000)):
        await asyncio.sleep(at - w.loop.vt)
        w.walls["core-1"] = w.walls["core-2"] = by


async def restart_all(w, op):
    """Every daemon of the core machines, one machine after the other, from their disks."""
    for k in (1, 2, 3):
        await asyncio.sleep(V.OPEN - 13 + 4 * k - w.loop.vt)
        names = w.power_off(f"core-{k}")
        await asyncio.sleep(0.5)
        w.power_on(f"core-{k}", names)


@pytest.mark.parametrize(
    "steps, seeds",
    [
        (kill_primary, (4, 5)),
        (lose_before, (6, 7)),
        (lose_within, (8, 9)),
        (drain, (10, 11)),
        (jump, (12, 13)),
        (restart_all, (14, 15)),
    ],
    ids=lambda x: getattr(x, "__name__", ""),
)
def test_the_owners_are_served_through(steps, seeds):
    for seed in seeds:
        w = V.play(seed, steps=steps)
        clean(w)
        x = V.figures(w)
        assert w.got["answer"][0] == 201 and x["most at once"] == V.COUNT and x["team begun"] > 90
        if steps not in (kill_primary, lose_within, drain):
            assert x["all there after ms"] < 4000


@pytest.mark.parametrize("seed", [104, 109, 111])
def test_under_faults_of_every_kind_while_reservations_come_and_go(seed):
    w = V.stormy(seed)
    clean(w)
    assert w.seen["reservations"] > 4 and V.figures(w)["most at once"] >= V.COUNT


def test_in_a_window_whose_owners_want_nothing_only_what_can_be_given_back_runs_there():
    seen = {}

    async def look(w, op):
        await asyncio.sleep(V.OPEN + 6 - w.loop.vt)
        d = V.primary(w).record
        gs = [(d.jobs[g.job].steps[g.step].spec, g) for g in d.legs.values()]
        seen["fixed"] = sum(not sp.get("saves") for sp, _ in gs)
        seen["all"] = len(gs)

    w = V.play(16, steps=look, begin=V.CLOSE - 6)
    clean(w)
    assert 24 < seen["all"] and seen["fixed"] <= 24
    x = V.figures(w)
    assert x["most at once"] == V.COUNT  # they came late, and all was given back


def test_before_a_window_only_work_that_ends_in_time_is_lent_room():
    seen = {}

    async def look(w, op):
        req = w.requester(tag="long")
        await req.send(body=V.job("batch", 3000, tasks=48, estimateMs=1000))
        await asyncio.sleep(1)
        seen["short"] = len(V.primary(w).record.legs)
        await asyncio.sleep(8)
        await req.send(body=V.job("batch", 25_000, tasks=48, estimateMs=25_000))
        await asyncio.sleep(V.OPEN - 0.1 - w.loop.vt)
        seen["long"] = sum(g.lane == "batch" for g in V.primary(w).record.legs.values())

    w = V.play(17, steps=look, crowded=False)
    clean(w)
    x = V.figures(w)
    assert seen == {"short": 48, "long": 24} and x["others stopped"] == 0
    assert x["all there after ms"] < 1500


def test_racing_reservations_through_all_masts_are_not_oversold():
    for seed in (18, 19):
        got = []

        async def race(w, op, got=got):
            ops = [w.operator(tag=f"op{n}") for n in range(12)]
            got.extend(
                await asyncio.gather(
                    *[
                        o.reserve(
                            name=f"x{n}",
                            body=V.body(count=4, fromMs=V.ms(V.CLOSE + n % 3), untilMs=V.ms(V.CLOSE + 9)),
                        )
                        for n, o in enumerate(ops)
                    ]
                )
            )

        w = V.play(seed, steps=race, crowded=False, end=V.OPEN)
        clean(w)
        assert sorted(st for st, _ in got) == [201] * 6 + [409] * 6
        assert {(v["problem"], v["why"]) for st, v in got if st == 409} == {("NotReserved", "capacity")}


def test_a_crowd_of_reservations_is_told_to_come_back_at_once():
    got = []

    async def steps(w, op):
        d = V.primary(w)
        spec, digest = check_reservation(V.body(count=1))
        for n in range(20):
            d.on_reserve(
                request={"name": f"x{n}", "spec": spec, "digest": digest}, callback=got.append, caller=""
            )
        assert [type(o).__name__ for o in got] == ["Full"] * 12 and got[0].after >= 1
        await asyncio.sleep(1)
        assert d.reserves_pending == 0

    w = V.play(19, steps=steps, crowded=False, reserved=False, end=V.OPEN)
    clean(w)
    assert sum(o.ok for o in got) == 8


@pytest.mark.parametrize("seed", [20, 21, 22])
def test_confirmed_is_kept_when_the_primary_dies_and_silence_is_cured_by_sending_again(seed):
    got = {}

    async def steps(w, op):
        b = V.body(count=2, fromMs=V.ms(60), untilMs=V.ms(70))
        got["first"] = await op.reserve(name="q", body=b)
        w.kill(w.who("desk", "primary")[0])
        await asyncio.sleep(0.05 * seed % 0.2)
        t = asyncio.ensure_future(op.reserve(name="s", body=b))
        st, v = await op.reserve(name="q", body=b)
        got["again"] = (st, v.get("new"), (await t)[0])
        w.kill((w.who("desk", "primary") or ["none"])[0])
        got["s"] = await op.reserve(name="s", body=b)
        got["other"] = await op.reserve(name="s", body=b | {"count": 1})
        for n in ("q", "s"):
            got[n] = 0
            while got[n] != 200:
                got[n] = (await op.reservation(n))[0]
        got["shorter"] = await op.shorten("q", {"count": 1, "untilMs": V.ms(65)})
        got["gone"] = [await op.release("q"), await op.release("q")]
        got["late"] = await op.reserve(name="q", body=b)

    w = V.play(seed, steps=steps, crowded=False, reserved=False, end=V.OPEN)
    clean(w)
    assert got["first"][0] == 201 and got["again"] == (200, False, 201)
    assert (got["q"], got["s"]) == (200, 200) and got["other"][1]["problem"] == "OtherBody"
    assert got["shorter"][1]["count"] == 1 and [x[1]["state"] for x in got["gone"]] == ["released"] * 2
    assert got["late"][1]["state"] == "released" and not got["late"][1]["new"]


def test_refusals_are_typed_and_said_at_once():
    got = {}

    async def steps(w, op):
        async def put(name, **kw):
            t = w.loop.vt
            st, v = await op.reserve(name=name, body=V.body(**kw), tries=1)
            assert w.loop.vt - t < 0.5
            return st, v.get("problem"), v.get("why"), v.get("free")

        got["kind"] = await put("a", kind="none")
        got["large"] = await put("b", room={"cores": 1, "gpus": 9})
        got["many"] = await put("c", count=25)
        got["past"] = await put("d", fromMs=V.ms(-200), untilMs=V.ms(0))
        got["lane"] = await put("e", lanes=["none"])
        got["bad"] = (await put("f", untilMs=0))[:2]
        got["list"] = (await op.ask("list", "GET", "/v1/reservations"))[1]
        for m, p in (("GET", "none"), ("DELETE", "none"), ("PATCH", "none"), ("POST", "none")):
            st, v, _ = await op.ask("x", m, f"/v1/reservations/{p}", {"count": 1})
            got[m] = (st, v["problem"])

    w = V.play(23, steps=steps, crowded=False, reserved=False, end=V.OPEN)
    clean(w)
    no = (409, "NotReserved")
    assert got["kind"] == (*no, "kind", 0) and got["large"] == (*no, "room", 0)
    assert got["many"] == (*no, "capacity", 24) and got["past"] == (*no, "past", 0)
    assert got["lane"] == (*no, "lane", 0) and got["bad"] == (422, "BadInput")
    assert got["list"] == {"reservations": []} and got["POST"] == (405, "BadMethod")
    assert {got[m] for m in ("GET", "DELETE", "PATCH")} == {(404, "Unknown")}
