"""A request to the store that is retried: if an earlier try may have been applied, the answer is unsure,
even if the last try was certainly not applied."""

import asyncio

import pytest

from hollowhall.base.problems import CircuitDown, Late, NotLeader, Success
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES


class Answers:
    """A store member that gives the answers of a list in turn, and then repeats the last one."""

    def __init__(self, *outcomes):
        self.left = list(outcomes)

    def silent(self, *, now):
        return False

    async def call(self, *, op, request, wait):
        await asyncio.sleep(0.01)
        return self.left.pop(0) if len(self.left) > 1 else self.left[0]


@pytest.mark.parametrize(
    "outcomes, taken",
    [
        ([Late(op="edit"), NotLeader(hint="")], "unsure"),
        ([NotLeader(hint=""), CircuitDown(addr="")], "no"),
        ([Late(op="edit"), Success(value={})], None),
    ],
)
def test_an_attempt_that_may_have_been_taken_is_remembered(outcomes, taken):
    world, result = World(seed=3, shape=SHAPES["cymylau"], masts=1), {}

    async def go():
        world.start_all()
        await asyncio.sleep(2)
        gateway = world.nodes["mast-1"].daemon
        member = Answers(*outcomes)
        gateway.link = lambda *, addr: member
        result["o"] = await gateway.store(op="edit", request={}, safe=True, wait=0.2, total=0.5)

    world.run(go())
    assert result["o"].ok if taken is None else result["o"].taken == taken
