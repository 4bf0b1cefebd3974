"""The planner says beforehand what a change then does, and refuses bad input."""

import asyncio
import json

import pytest

from hollowhall.base.problems import BadInput, Raised, StaleBase, Unknown
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES, room, step
from hollowhall.tools.plan.change import Change, read_change, read_picture
from hollowhall.tools.plan.plan import plan


def scene(change_then):
    """A lane at its limit, a picture, then the change for real and what it started."""
    w, out = World(seed=6, shape=SHAPES["cymylau"], masts=2), {}
    body = {"lane": "composites", "steps": [step("long", "tile", 60_000, tasks=40, room=room(8, 1024))]}

    async def go():
        w.start_all()
        op, req = w.operator(tag="op"), w.requester(tag="r")
        await op.found(lanes=w.shape.lanes | {"composites": {"weight": 2, "limit": 9}})
        w.add_crew()
        await asyncio.sleep(1)
        await req.send(body=body, name="job")
        await asyncio.sleep(2)
        st, out["before"], _ = await op.ask("picture", "GET", "/v1/picture")
        await change_then(op, out["before"])
        await asyncio.sleep(2)
        st, out["after"], _ = await op.ask("picture", "GET", "/v1/picture")

    w.run(go())
    return out


def legs(pic):
    return {g["task"]: g["worker"] for g in pic["record"]["legs"]}


def test_a_raised_limit_starts_what_the_plan_said():
    row = {"weight": 2, "limit": 21, "urgency": 0}

    async def change(op, pic):
        v = pic["record"]["charter"]["version"]
        assert (await op.edit(base=v, rows={"composites": row}))[0] == 200

    s = scene(change)
    p = plan(picture=s["before"], change=Change(rows={"composites": row}))
    new = {t: x for t, x in legs(s["after"]).items() if t not in legs(s["before"])}
    assert len(new) == 12
    assert {t: x for t, x in p["starts"]["composites"]} == new


def test_a_plan_changes_nothing_and_knows_what_becomes_impossible():
    async def nothing(op, pic):
        pass

    s = scene(nothing)
    was = json.dumps(s["before"])
    tiles = [w["id"] for w in s["before"]["record"]["workers"] if w["kind"] == "tile"]
    p = plan(picture=s["before"], change=Change(lose=tiles))
    assert json.dumps(s["before"]) == was
    assert len(p["stops"]["composites"]) == 9 and p["starts"] == {}
    assert len(p["impossible"]["composites"]) == 40


@pytest.mark.parametrize(
    "change, problem",
    [
        (Change(rows={"tiles": {"weight": 1}}, base=99), StaleBase),
        (Change(rows={"nolane": None}), Unknown),
        (Change(drain=["nobody"]), Unknown),
        (Change(rows={"tiles": {"weight": "x"}}), BadInput),
    ],
)
def test_bad_changes_are_typed_problems(change, problem):
    pic = {"at": 1, "record": World(seed=1, shape=SHAPES["cymylau"]).build["desk"].make_record().pack()}
    with pytest.raises(Raised) as e:
        plan(picture=json.loads(json.dumps(pic)), change=change)
    assert isinstance(e.value.problem, problem)


def test_an_unreadable_picture_is_a_typed_problem():
    with pytest.raises(Raised) as e:
        read_picture({"record": {"epoch": 1}})
    assert isinstance(e.value.problem, BadInput)


def test_every_fault_of_a_change_is_told():
    with pytest.raises(Raised) as e:
        read_change({"base": "1", "rows": [], "drain": "w1", "add": [{"id": "w"}], "x": 1})
    assert {k for k, _ in e.value.problem.errors} == {"base", "rows", "drain", "add.0.kind", "x"}
    c = read_change({"add": [{"id": "w", "kind": "tile", "cores": 4}], "whole": False})
    assert c.add[0].room == [4, 0, 0]
    with pytest.raises(Raised):
        read_change([])
