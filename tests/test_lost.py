"""Workers that are unreachable while their tasks run on: the tasks wait until the worker is heard again,
registers with a new boot id, or is declared gone. A build that starts such tasks elsewhere must be caught
by the checker."""

import asyncio

import pytest
import weak as W
from parts import play

from hollowhall.check.judge import judge
from hollowhall.record import Record
from hollowhall.record.charter import check_job
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES, step

ROOM = [8, 1024, 0]


class RestartsLostAtOnce(Record):
    """Starts a lost worker's tasks elsewhere, even if the worker does not stop them."""

    def may_restart(self, *, worker, attempt):
        return True


@pytest.mark.parametrize("seed", [3, 6])
def test_a_worker_that_runs_on_is_not_run_twice(seed):
    kinds = ("mate_run_on", "racked", "mate_run_on", "cancels")
    runs = [play(build, seed, kinds, 10) for build in (W.with_record(RestartsLostAtOnce), W.REAL)]
    assert "twice" in {build.rule for build in runs[0].bad}
    assert runs[1].bad == [] and any("HH414" in line for line in runs[1].log)


def record(*, level=1, keeps=False, **kw):
    built = Record()
    built.to_level(level)
    built.charter = {"version": 2, "rows": {"a": {"weight": 1, "limit": 0, "urgency": 0}}, "at": 0}
    more = [keeps] if level else []
    built.ev_worker(1, "w1", "b1", "k", "z", "r", ROOM, *more)
    spec, digest = check_job({"lane": "a", "steps": [step("s", "k", 100, tasks=2, **kw)]})
    built.ev_job(2, "j", spec, digest)
    for stamp, task in ((3, "j/s/0"), (4, "j/s/1")):
        assert built.ev_grant(stamp, task, "w1")[0] == "ok"
    return built


def states(of_record):
    return [task.state for task in of_record.jobs["j"].tasks.values()]


@pytest.mark.parametrize(
    "level, keeps, if_lost, waits",
    [
        (1, False, "auto", True),
        (1, True, "auto", False),
        (1, True, "wait", True),
        (1, False, "restart", False),
        (0, False, "wait", False),
    ],
)
def test_what_a_lost_worker_holds_back(level, keeps, if_lost, waits):
    lost = record(level=level, keeps=keeps, ifLost=if_lost)
    got = lost.ev_lost(10, "w1", "b1")
    assert (got[0] == "waits") == waits and (states(lost) == ["running"] * 2) == waits
    assert ("w1" in lost.workers) == waits
    loaded = Record()
    loaded.load(lost.pack())
    assert loaded.digest() == lost.digest()


def test_taken_in_before_the_level_was_raised_it_is_not_believed_to_stop():
    lost = record(level=0)
    lost.to_level(1)
    assert lost.ev_lost(10, "w1", "b1")[0] == "waits" and states(lost) == ["running"] * 2
    lost = record(level=0)
    lost.to_level(1)
    lost.ev_keeps(9, "w1", "b1", True)
    assert lost.ev_lost(10, "w1", "b1")[0] == "ok" and states(lost) == ["ready"] * 2


def test_heard_again_its_legs_go_on_and_end():
    lost = record()
    lost.ev_lost(10, "w1", "b1")
    assert lost.ev_grant(11, "j/s/0", "w1")[0] == "no" and lost.ev_back(12, "w1", "old") == ["none", ""]
    assert lost.ev_back(13, "w1", "b1") == ["ok", "up"]
    lost.ev_end(14, 3, "ok", "")
    assert states(lost) == ["done", "running"]


def test_left_before_it_was_lost_it_comes_back_as_leaving():
    lost = record()
    lost.ev_leave(9, "w1", "b1")
    lost.ev_lost(10, "w1", "b1")
    assert lost.ev_back(13, "w1", "b1") == ["ok", "leaving"]
    lost.ev_lost(14, "w1", "b1")
    assert lost.ev_worker(15, "w1", "b2", "k", "z", "r", ROOM, False) == ["ok", "up"]
    assert states(lost) == ["ready", "ready"]


def test_declared_gone_only_when_lost_and_its_boot_is_past():
    lost = record()
    assert lost.ev_gone(9, "w1", "b1") == ["no", "up"] and states(lost) == ["running"] * 2
    lost.ev_lost(10, "w1", "b1")
    assert lost.ev_gone(11, "w1", "b9") == ["none", ""] and lost.ev_gone(12, "w1", "") == ["ok", ""]
    assert states(lost) == ["ready", "ready"] and "w1" not in lost.workers
    assert lost.ev_worker(13, "w1", "b1", "k", "z", "r", ROOM, False)[0] == "old"


def test_an_operators_word_over_http():
    world, out = World(seed=4, shape=SHAPES["cymylau"], masts=2), {}
    body = {"lane": "tiles", "steps": [step("a", "tile", 4000, tasks=18, spread={"perWorker": 1})]}

    async def go():
        world.start_all()
        operator, caller = world.operator(tag="op"), world.requester(tag="r")
        await operator.found(lanes=world.shape.lanes)
        world.add_crew()
        await asyncio.sleep(3)
        await caller.send(body=body, name="j")
        await asyncio.sleep(1)
        out["heard"], out["none"] = await operator.gone("tile-04"), await operator.gone("tile-99")
        worker = world.mates["tile-04"]
        world.crash_worker("tile-04")
        await asyncio.sleep(5)
        out["early"] = await operator.gone("tile-04")
        await asyncio.sleep(8)
        out["open"] = (await caller.ask("get", "GET", "/v1/jobs/j", name="j"))[1]["tasks"]
        out["lost"] = await operator.gone("tile-04")
        out["end"] = await caller.follow("j", until=world.loop.virtual_time + 30)
        out["keeps"] = worker.keeps

    world.run(go())
    assert out["heard"] == 409 and out["none"] == 404 and out["early"] == 409
    assert out["open"]["running"] == 1 and not out["keeps"]
    assert out["lost"] == 200 and out["end"] == "done" and judge(world.hist.rows)[0] == []
