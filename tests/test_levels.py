"""Format levels of the record: the level is raised when every member supports the next one, and never
lowered; a release that meets a newer level ends; an older daemon is refused; a member whose record differs
from the others' ends before it serves anything else."""

import asyncio

import pytest
import weak as W
from platform_world import PlatformWorld, table

from hollowhall.almanac import StoreMember
from hollowhall.base import constants
from hollowhall.base.circuit import pack
from hollowhall.check.judge import judge
from hollowhall.desk import Desk
from hollowhall.record import Record
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES


def daemons_that_logged(world, number):
    """Names of the daemons with a log event of that number, once for each event."""
    return [line.split()[1] for line in world.log if f" HH{number} " in line]


class Old:
    """A daemon of release 0.1.0, which states no level."""

    abstract = False

    def hello(self):
        return {name: value for name, value in super().hello().items() if name != "level"}

    def open_monitoring(self, **kw):
        super().open_monitoring(**kw)
        del self.card["level"]

    async def store(self, *, op, request, **kw):
        return await super().store(
            op=op, request={name: value for name, value in request.items() if name != "level"}, **kw
        )

    async def ask_any_member(self, *, op, request, **kw):
        return await super().ask_any_member(
            op=op, request={name: value for name, value in request.items() if name != "level"}, **kw
        )


class OldAlmanac(Old, StoreMember):
    """A store member of release 0.1.0."""


class OldDesk(Old, Desk):
    """A scheduler of release 0.1.0."""


def run(world, steps, *, seconds=14):
    async def go():
        world.start_all()
        operator, caller = world.operator(tag="op"), world.requester(tag="r")
        await operator.found(lanes=world.shape.lanes)
        world.add_crew()
        load = asyncio.ensure_future(caller.run(mix=world.shape.mix, seconds=seconds, settle=20))
        await steps(world)
        await load
        world.hist.note("calm")

    world.run(go())
    violations, seen = judge(world.hist.rows)
    assert violations == [], [(violation.rule, violation.text) for violation in violations[:3]]
    return seen


@pytest.mark.parametrize("role, old", [("almanac", OldAlmanac), ("desk", OldDesk)])
def test_the_level_waits_for_the_last_old_daemon(role, old):
    world, seen = World(seed=3, shape=SHAPES["cymylau"], masts=2), []
    real = world.build[role]
    world.build = W.REAL | {role: type("Mixed", (real,), {"abstract": False})}
    daemon_name = f"{role}-2"

    async def steps(world):
        world.kill(daemon_name)
        world.build = W.REAL | {role: old}
        world.start(daemon_name)
        await asyncio.sleep(5)
        seen.append(daemons_that_logged(world, 211))
        world.build = W.REAL
        world.kill(daemon_name)
        world.start(daemon_name)
        await asyncio.sleep(6)
        seen.append(daemons_that_logged(world, 211))
        world.build = W.REAL | {role: old}
        world.kill(daemon_name)
        world.start(daemon_name)
        await asyncio.sleep(3)

    world.cards[daemon_name]["level"] = 0
    world.extra = {}
    for card in world.cards.values():
        card.pop("level", None)
    real_start = world.start

    def start(name):
        if not seen and name == daemon_name and daemon_name not in [node.name for node in world.ended_nodes]:
            world.build = W.REAL | {role: old}
        real_start(name)
        world.build = W.REAL

    world.start = start
    run(world, steps, seconds=16)
    assert seen[0] == [] and len(set(seen[1])) == 3
    assert all(
        node.daemon.record.level == constants.LEVEL_DEFAULT
        for node in world.ended_nodes
        if node.name == "almanac-1" and node.daemon.applied
    )


def test_a_param_keeps_the_level_down():
    world = World(seed=3, shape=SHAPES["cymylau"], masts=1, settings={"level": 0})

    async def steps(world):
        await asyncio.sleep(5)

    run(world, steps, seconds=6)
    assert daemons_that_logged(world, 211) == [] and not any(
        node.daemon.record.level for node in world.ended_nodes if node.name.startswith("almanac")
    )


def test_a_version_that_meets_a_newer_record_ends():
    world = World(seed=3, shape=SHAPES["cymylau"], masts=1)

    async def go():
        world.start_all()
        await asyncio.sleep(4)
        leader = world.nodes[world.who("almanac", "leader")[0]].daemon
        leader.propose(request=pack(["level", constants.LEVEL + 1]), callback=lambda result: None)
        await asyncio.sleep(3)

    world.run(go())
    assert len(set(daemons_that_logged(world, 212))) >= 2 and not daemons_that_logged(world, 106)
    assert (
        not [name for name in world.nodes if name.startswith("almanac")]
        or len(set(daemons_that_logged(world, 212))) >= 2
    )


class OddRecord(Record):
    """Allows a task one failure more than its step does."""

    def task_failed(self, *, job, task, worker, stamp, why):
        spec = job.steps[task.step].spec
        job.steps[task.step].spec = spec | {"maxFailures": spec["maxFailures"] + 1}
        super().task_failed(job=job, task=task, worker=worker, stamp=stamp, why=why)
        job.steps[task.step].spec = spec


class OddOne(StoreMember):
    """Store members of which `almanac-2` has a record that diverges."""

    abstract = False

    def make_record(self):
        return OddRecord() if self.settings.id == "almanac-2" else Record()


@pytest.mark.parametrize("seed", [1, 2])
def test_a_member_that_differs_ends_and_the_others_serve(seed):
    world = World(seed=seed, shape=SHAPES["cymylau"], masts=2, build=W.REAL | {"almanac": OddOne})

    async def steps(world):
        await asyncio.sleep(2)
        caller = world.requester(tag="flop")
        for _ in range(6):
            await caller.send(
                body={
                    "lane": "tiles",
                    "steps": [
                        {"name": "a", "kind": "tile", "maxFailures": 1, "work": {"ms": 50, "flop": 1.0}}
                    ],
                }
            )
        for index in range(6):
            await caller.follow(f"flop-{index + 1}", until=world.loop.virtual_time + 5)

    run(world, steps)
    assert set(daemons_that_logged(world, 214)) == {"almanac.almanac-2"}


def test_a_new_store_takes_no_table_in_before_it_has_risen(monkeypatch):
    # Guards against jobs that run in the wrong service: in soaks 13 and 19 two queues were swapped in the
    # 1.2 s in which a new store passed the levels below 4, and jobs followed the name of their queue.
    world = PlatformWorld(seed=3, edges=1)
    levels, edit_chosen = [], Record.edit_chosen

    def noted(self, change):
        levels.append(self.level)
        return edit_chosen(self, change)

    monkeypatch.setattr(Record, "edit_chosen", noted)

    async def go():
        world.start_all()
        requests = []
        for index in range(50):  # a single caller would pause for longer than the level takes to rise
            requests.append(asyncio.ensure_future(world.s.operator(f"op{index}").put(table(), limit=8)))
            await asyncio.sleep(0.1)
        return await asyncio.gather(*requests)

    assert all(world.run(go())) and set(levels) == {constants.LEVEL}
