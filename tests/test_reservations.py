"""Reservations in a whole fleet in virtual time, on several seeds: served in a full fleet, through
fail-overs, lost and draining workers, clock jumps and restarts; lent and given back; requested concurrently,
sent again, refused; and the same seeds without reservations."""

import asyncio

import pytest
import reserved_world
from reserved_world import clean

from hollowhall.record.reservation_bodies import check_reservation


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_with_reservations_the_owners_have_all_of_it_soon_and_without_they_have_not(seed):
    with_it, without_it = reserved_world.play(seed), reserved_world.play(seed, reserved=False)
    clean(with_it), clean(without_it)
    reserved, unreserved = reserved_world.figures(with_it), reserved_world.figures(without_it)
    assert with_it.got["answer"][0] == 201 and reserved["most at once"] == reserved_world.COUNT
    assert reserved["all there after ms"] < 3000 and reserved["wait worst ms"] < 5000
    assert (
        unreserved["most at once"] < reserved_world.COUNT
        and reserved["team begun"] > 3 * unreserved["team begun"]
    )
    assert reserved["used"] > unreserved["used"] - 0.06


async def kill_primary(world, operator):
    await asyncio.sleep(reserved_world.OPEN + 4 - world.loop.virtual_time)
    world.kill(world.who("desk", "primary")[0])


async def lose(world, operator, at):
    await asyncio.sleep(at - world.loop.virtual_time)
    # two of the workers that are to serve the reservation
    for worker_id in sorted(reserved_world.primary(world).reserving.assigned["r"])[:2]:
        world.crash_worker(worker_id)


async def lose_before(world, operator):
    await lose(world, operator, reserved_world.OPEN - 4)


async def lose_within(world, operator):
    await lose(world, operator, reserved_world.OPEN + 4)


async def drain(world, operator):
    await asyncio.sleep(reserved_world.OPEN + 3 - world.loop.virtual_time)
    for worker_id in sorted(reserved_world.primary(world).reserving.assigned["r"])[:2]:
        await operator.ask("leave", "POST", f"/v1/workers/{worker_id}/leave", {})


async def jump(world, operator):
    for at, offset_ms in (
        (reserved_world.OPEN - 8, 3_600_000),
        (reserved_world.OPEN - 2, -3_600_000),
        (reserved_world.OPEN + 3, 3_600_000),
    ):
        await asyncio.sleep(at - world.loop.virtual_time)
        world.wall_offsets_ms["core-1"] = world.wall_offsets_ms["core-2"] = offset_ms


async def restart_all(world, operator):
    """Restarts the daemons of the core machines from their disks, one machine after the other."""
    for number in (1, 2, 3):
        await asyncio.sleep(reserved_world.OPEN - 13 + 4 * number - world.loop.virtual_time)
        names = world.power_off(f"core-{number}")
        await asyncio.sleep(0.5)
        world.power_on(f"core-{number}", names)


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
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_the_owners_are_served_through(steps, seeds):
    for seed in seeds:
        world = reserved_world.play(seed, steps=steps)
        clean(world)
        figures = reserved_world.figures(world)
        assert (
            world.got["answer"][0] == 201
            and figures["most at once"] == reserved_world.COUNT
            and figures["team begun"] > 90
        )
        if steps not in (kill_primary, lose_within, drain):
            assert figures["all there after ms"] < 4000


@pytest.mark.parametrize("seed", [104, 109, 111])
def test_under_faults_of_every_kind_while_reservations_come_and_go(seed):
    world = reserved_world.stormy(seed)
    clean(world)
    assert (
        world.seen["reservations"] > 4
        and reserved_world.figures(world)["most at once"] >= reserved_world.COUNT
    )


def test_in_a_window_whose_owners_want_nothing_only_what_can_be_given_back_runs_there():
    seen = {}

    async def look(world, operator):
        await asyncio.sleep(reserved_world.OPEN + 6 - world.loop.virtual_time)
        record = reserved_world.primary(world).record
        attempts = [
            (record.jobs[attempt.job].steps[attempt.step].spec, attempt)
            for attempt in record.attempts.values()
        ]
        seen["fixed"] = sum(not spec.get("saves") for spec, _ in attempts)
        seen["all"] = len(attempts)

    world = reserved_world.play(16, steps=look, begin=reserved_world.CLOSE - 6)
    clean(world)
    assert 24 < seen["all"] and seen["fixed"] <= 24
    figures = reserved_world.figures(world)
    # the owners came late, and all lent room was given back
    assert figures["most at once"] == reserved_world.COUNT


def test_before_a_window_only_work_that_ends_in_time_is_lent_room():
    seen = {}

    async def look(world, operator):
        client = world.requester(tag="long")
        await client.send(body=reserved_world.job("batch", 3000, tasks=48, estimateMs=1000))
        await asyncio.sleep(1)
        seen["short"] = len(reserved_world.primary(world).record.attempts)
        await asyncio.sleep(8)
        await client.send(body=reserved_world.job("batch", 25_000, tasks=48, estimateMs=25_000))
        await asyncio.sleep(reserved_world.OPEN - 0.1 - world.loop.virtual_time)
        seen["long"] = sum(
            attempt.lane == "batch" for attempt in reserved_world.primary(world).record.attempts.values()
        )

    world = reserved_world.play(17, steps=look, crowded=False)
    clean(world)
    figures = reserved_world.figures(world)
    assert seen == {"short": 48, "long": 24} and figures["others stopped"] == 0
    assert figures["all there after ms"] < 1500


def test_racing_reservations_through_all_masts_are_not_oversold():
    for seed in (18, 19):
        answers = []

        async def race(world, operator, answers=answers):
            operators = [world.operator(tag=f"op{n}") for n in range(12)]
            answers.extend(
                await asyncio.gather(
                    *[
                        client.reserve(
                            name=f"x{n}",
                            body=reserved_world.body(
                                count=4,
                                fromMs=reserved_world.ms(reserved_world.CLOSE + n % 3),
                                untilMs=reserved_world.ms(reserved_world.CLOSE + 9),
                            ),
                        )
                        for n, client in enumerate(operators)
                    ]
                )
            )

        world = reserved_world.play(seed, steps=race, crowded=False, end=reserved_world.OPEN)
        clean(world)
        assert sorted(status for status, _ in answers) == [201] * 6 + [409] * 6
        assert {(body["problem"], body["why"]) for status, body in answers if status == 409} == {
            ("NotReserved", "capacity")
        }


def test_a_crowd_of_reservations_is_told_to_come_back_at_once():
    results = []

    async def steps(world, operator):
        desk = reserved_world.primary(world)
        spec, digest = check_reservation(reserved_world.body(count=1))
        for n in range(20):
            desk.on_reserve(
                request={"name": f"x{n}", "spec": spec, "digest": digest}, callback=results.append, caller=""
            )
        assert [type(result).__name__ for result in results] == ["Full"] * 12 and results[0].after >= 1
        await asyncio.sleep(1)
        assert desk.reserves_pending == 0

    world = reserved_world.play(19, steps=steps, crowded=False, reserved=False, end=reserved_world.OPEN)
    clean(world)
    assert sum(result.ok for result in results) == 8


@pytest.mark.parametrize("seed", [20, 21, 22])
def test_confirmed_is_kept_when_the_primary_dies_and_silence_is_cured_by_sending_again(seed):
    got = {}

    async def steps(world, operator):
        body = reserved_world.body(count=2, fromMs=reserved_world.ms(60), untilMs=reserved_world.ms(70))
        got["first"] = await operator.reserve(name="q", body=body)
        world.kill(world.who("desk", "primary")[0])
        await asyncio.sleep(0.05 * seed % 0.2)
        second = asyncio.ensure_future(operator.reserve(name="s", body=body))
        status, view = await operator.reserve(name="q", body=body)
        got["again"] = (status, view.get("new"), (await second)[0])
        world.kill((world.who("desk", "primary") or ["none"])[0])
        got["s"] = await operator.reserve(name="s", body=body)
        got["other"] = await operator.reserve(name="s", body=body | {"count": 1})
        for name in ("q", "s"):
            got[name] = 0
            while got[name] != 200:
                got[name] = (await operator.reservation(name))[0]
        got["shorter"] = await operator.shorten("q", {"count": 1, "untilMs": reserved_world.ms(65)})
        got["gone"] = [await operator.release("q"), await operator.release("q")]
        got["late"] = await operator.reserve(name="q", body=body)

    world = reserved_world.play(seed, steps=steps, crowded=False, reserved=False, end=reserved_world.OPEN)
    clean(world)
    assert got["first"][0] == 201 and got["again"] == (200, False, 201)
    assert (got["q"], got["s"]) == (200, 200) and got["other"][1]["problem"] == "OtherBody"
    assert (
        got["shorter"][1]["count"] == 1 and [answer[1]["state"] for answer in got["gone"]] == ["released"] * 2
    )
    assert got["late"][1]["state"] == "released" and not got["late"][1]["new"]


def test_refusals_are_typed_and_said_at_once():
    got = {}

    async def steps(world, operator):
        async def put(name, **kw):
            started_at = world.loop.virtual_time
            status, body = await operator.reserve(name=name, body=reserved_world.body(**kw), tries=1)
            assert world.loop.virtual_time - started_at < 0.5
            return status, body.get("problem"), body.get("why"), body.get("free")

        got["kind"] = await put("a", kind="none")
        got["large"] = await put("b", room={"cores": 1, "gpus": 9})
        got["many"] = await put("c", count=25)
        got["past"] = await put("d", fromMs=reserved_world.ms(-200), untilMs=reserved_world.ms(0))
        got["lane"] = await put("e", lanes=["none"])
        got["bad"] = (await put("f", untilMs=0))[:2]
        got["list"] = (await operator.ask("list", "GET", "/v1/reservations"))[1]
        for method, path in (("GET", "none"), ("DELETE", "none"), ("PATCH", "none"), ("POST", "none")):
            status, body, _ = await operator.ask("x", method, f"/v1/reservations/{path}", {"count": 1})
            got[method] = (status, body["problem"])

    world = reserved_world.play(23, steps=steps, crowded=False, reserved=False, end=reserved_world.OPEN)
    clean(world)
    refused = (409, "NotReserved")
    assert got["kind"] == (*refused, "kind", 0) and got["large"] == (*refused, "room", 0)
    assert got["many"] == (*refused, "capacity", 24) and got["past"] == (*refused, "past", 0)
    assert got["lane"] == (*refused, "lane", 0) and got["bad"] == (422, "BadInput")
    assert got["list"] == {"reservations": []} and got["POST"] == (405, "BadMethod")
    assert {got[method] for method in ("GET", "DELETE", "PATCH")} == {(404, "Unknown")}
