"""The planner predicts what a change does, and rejects bad input."""

import asyncio
import json

import pytest

from hollowhall.base.problems import BadInput, Raised, StaleBase, Unknown
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES, room, step
from hollowhall.tools.plan.change import Change, read_change, read_picture
from hollowhall.tools.plan.plan import plan


def snapshots_around(change_then):
    """Runs a cluster with a queue at its limit and makes a change. Returns the snapshots before and after it."""
    world, snapshots = World(seed=6, shape=SHAPES["cymylau"], masts=2), {}
    body = {"lane": "composites", "steps": [step("long", "tile", 60_000, tasks=40, room=room(8, 1024))]}

    async def go():
        world.start_all()
        operator, requester = world.operator(tag="op"), world.requester(tag="r")
        await operator.found(lanes=world.shape.lanes | {"composites": {"weight": 2, "limit": 9}})
        world.add_crew()
        await asyncio.sleep(1)
        await requester.send(body=body, name="job")
        await asyncio.sleep(2)
        _status, snapshots["before"], _ = await operator.ask("picture", "GET", "/v1/picture")
        await change_then(operator, snapshots["before"])
        await asyncio.sleep(2)
        _status, snapshots["after"], _ = await operator.ask("picture", "GET", "/v1/picture")

    world.run(go())
    return snapshots


def attempts(picture):
    return {attempt["task"]: attempt["worker"] for attempt in picture["record"]["legs"]}


def test_a_raised_limit_starts_what_the_plan_said():
    row = {"weight": 2, "limit": 21, "urgency": 0}

    async def change(operator, picture):
        version = picture["record"]["charter"]["version"]
        assert (await operator.edit(base=version, rows={"composites": row}))[0] == 200

    snapshots = snapshots_around(change)
    planned = plan(picture=snapshots["before"], change=Change(rows={"composites": row}))
    new = {
        task: worker
        for task, worker in attempts(snapshots["after"]).items()
        if task not in attempts(snapshots["before"])
    }
    assert len(new) == 12
    assert {task: worker for task, worker in planned["starts"]["composites"]} == new


def test_a_plan_changes_nothing_and_knows_what_becomes_impossible():
    async def nothing(operator, picture):
        pass

    snapshots = snapshots_around(nothing)
    before = json.dumps(snapshots["before"])
    tiles = [worker["id"] for worker in snapshots["before"]["record"]["workers"] if worker["kind"] == "tile"]
    planned = plan(picture=snapshots["before"], change=Change(lose=tiles))
    assert json.dumps(snapshots["before"]) == before
    assert len(planned["stops"]["composites"]) == 9 and planned["starts"] == {}
    assert len(planned["impossible"]["composites"]) == 40


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
    picture = {"at": 1, "record": World(seed=1, shape=SHAPES["cymylau"]).build["desk"].make_record().pack()}
    with pytest.raises(Raised) as raised:
        plan(picture=json.loads(json.dumps(picture)), change=change)
    assert isinstance(raised.value.failure, problem)


def test_an_unreadable_picture_is_a_typed_problem():
    with pytest.raises(Raised) as raised:
        read_picture({"record": {"epoch": 1}})
    assert isinstance(raised.value.failure, BadInput)


def test_every_fault_of_a_change_is_told():
    with pytest.raises(Raised) as raised:
        read_change({"base": "1", "rows": [], "drain": "w1", "add": [{"id": "w"}], "x": 1})
    assert {key for key, _ in raised.value.failure.errors} == {"base", "rows", "drain", "add.0.kind", "x"}
    change = read_change({"add": [{"id": "w", "kind": "tile", "cores": 4}], "whole": False})
    assert change.add[0].room == [4, 0, 0]
    with pytest.raises(Raised):
        read_change([])
