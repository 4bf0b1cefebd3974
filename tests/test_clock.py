"""The timestamp oracle: timestamps of a later epoch are above all of an earlier one, whoever is killed,
suspended or cut off and however wall clocks jump. A version that does not wait until the saved bound has
passed breaks this under the same seeds."""

import asyncio

import pytest
import weak as weaker

from hollowhall.almanac import StoreMember
from hollowhall.base import constants
from hollowhall.sim.faults import Faults, schedule
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES

KINDS = ["pause_clock", "kill_leader", "pause_leader", "wall_jump", "split_core", "power"]


class NoBound(StoreMember):
    """Starts at its own wall clock and ignores the saved bound."""

    async def estimate_now(self):
        return self.runtime.wall()

    async def clock_sync(self, leadership):
        ms = await self.estimate_now()
        leadership.anchor = (ms, self.runtime.now())
        leadership.saved_bound, leadership.physical, leadership.synced = (
            ms + constants.BOUND_AHEAD_MS,
            ms,
            True,
        )
        return True


def make_world(seed, build=StoreMember):
    return World(seed=seed, shape=SHAPES["cymylau"], desks=1, masts=1, build=weaker.REAL | {"almanac": build})


def issued_stamps(seed, build=StoreMember):
    """All timestamps issued in a run of clock faults: [(epoch, first, last, true time in ms)]."""
    world, issued = make_world(seed, build), []

    class RecordsStamps(build):
        """Notes every timestamp as it is issued."""

        def on_stamp(self, *, request, callback, caller, tries=0):
            def k2(outcome):
                if outcome.ok:
                    issued.append(
                        (
                            outcome.value["e"],
                            outcome.value["first"],
                            outcome.value["first"] + outcome.value["n"] - 1,
                            world.true_ms(),
                        )
                    )
                callback(outcome)

            super().on_stamp(request=request, callback=callback if tries else k2, caller=caller, tries=tries)

    RecordsStamps.abstract = False
    world.build = world.build | {"almanac": RecordsStamps}

    async def scenario():
        world.start_all()
        faults = Faults(world=world, requester=None, operators=[], calm=5)
        plan = schedule(seed=seed, kinds=KINDS, fault_count=8, start=2, end=25)
        running = asyncio.ensure_future(faults.run(plan))
        while not running.done():
            desk = world.nodes["desk-1"].daemon if "desk-1" in world.nodes else None
            if desk is not None and hasattr(desk, "now_ms"):
                world.nodes["desk-1"].run(desk.stamp(world.rng.randint(1, 50)))
            await asyncio.sleep(0.05)
        await asyncio.sleep(6)

    world.run(scenario())
    return issued


def count_overlaps(issued):
    """The number of answers and of epochs whose timestamps are not above those of the previous one."""
    span = {}
    for epoch, first, last, _ in issued:
        low, high = span.get(epoch, (first, last))
        span[epoch] = (min(low, first), max(high, last))
    epochs = sorted(span)
    within = sum(
        1
        for epoch in epochs
        for earlier, later in zip(
            sorted(stamps for stamps in issued if stamps[0] == epoch),
            sorted(stamps for stamps in issued if stamps[0] == epoch)[1:],
        )
        if later[1] <= earlier[2]
    )
    return within + sum(1 for earlier, later in zip(epochs, epochs[1:]) if span[later][0] <= span[earlier][1])


def test_epochs_never_overlap():
    runs_with_two_epochs = 0
    for seed in range(1, 9):
        issued = issued_stamps(seed)
        assert len(issued) > 100 and count_overlaps(issued) == 0
        runs_with_two_epochs += len({stamps[0] for stamps in issued}) >= 2
    assert runs_with_two_epochs >= 5


def overlaps_after_kill(build):
    """All wall clocks are set 5 s back when the clock's leader is killed; returns the overlaps."""
    world, issued = make_world(2, build), []

    async def scenario():
        world.start_all()
        await asyncio.sleep(3)
        leader = [name for name, node in world.nodes.items() if getattr(node.daemon, "clk", None)][0]
        for round_number in range(40):
            if round_number == 5:
                for machine in world.disks:
                    world.wall_offsets_ms[machine] = -5000
                world.kill(leader)
            outcome = await request_stamps(world, 10)
            if outcome.ok:
                issued.append((outcome.value["e"], outcome.value["first"], outcome.value["first"] + 9, 0))
            await asyncio.sleep(0.1)

    world.run(scenario())
    assert len({stamps[0] for stamps in issued}) == 2
    return count_overlaps(issued)


def test_without_the_bound_they_do():
    assert overlaps_after_kill(NoBound) > 0
    assert overlaps_after_kill(StoreMember) == 0


@pytest.mark.parametrize("jump", [-3_600_000, -5000, 5000, 3_600_000])
def test_a_wall_that_jumps_does_not_move_due_times(jump):
    """The wall clock of the clock's leader jumps, then the leader changes; timestamps keep true time."""
    world, errors_ms = make_world(3), []

    async def scenario():
        world.start_all()
        await asyncio.sleep(3)
        leader = [name for name, node in world.nodes.items() if getattr(node.daemon, "clk", None)][0]
        world.wall_offsets_ms[world.cards[leader]["machine"]] = jump
        for round_number in range(8):
            if round_number == 3:
                world.kill(leader)
            outcome = await request_stamps(world, 1)
            if outcome.ok:
                errors_ms.append((outcome.value["first"] >> constants.LOGICAL_BITS) - world.true_ms())
            await asyncio.sleep(1)

    world.run(scenario())
    assert len(errors_ms) >= 6 and max(abs(x) for x in errors_ms) < 100


async def request_stamps(world, count):
    node = world.nodes["desk-1"]
    task = node.run(node.daemon.stamp(count))
    await asyncio.wait([task], timeout=8)
    return task.result()


def test_overflow_is_retried_and_then_a_typed_problem():
    world, outcomes = make_world(1), []

    async def scenario():
        world.start_all()
        await asyncio.sleep(3)
        outcomes.append(await request_stamps(world, constants.MAX_LOGICAL - 1))
        outcomes.append(await request_stamps(world, constants.MAX_LOGICAL - 1))
        outcomes.append(await request_stamps(world, constants.MAX_LOGICAL + 1))

    world.run(scenario())
    assert outcomes[0].ok and outcomes[1].ok and outcomes[1].value["first"] > outcomes[0].value["first"]
    assert not outcomes[2].ok and any("HH304" in line for line in world.log)


@pytest.mark.parametrize("seed", range(1, 7))
def test_no_stamp_is_behind_its_time_while_the_bound_cannot_be_saved(seed):
    """The other members are suspended around the time when the bound must be saved."""
    world, errors_ms = make_world(seed), []

    async def scenario():
        world.start_all()
        await asyncio.sleep(3)
        leader = [name for name, node in world.nodes.items() if getattr(node.daemon, "clk", None)][0]
        others = [member for member in world.nodes if member.startswith("almanac") and member != leader]
        for round_number in range(12):
            for member in others:
                world.pause(member, on=round_number % 3 != 0)
            for _ in range(5):
                asked_at = world.true_ms()
                outcome = await request_stamps(world, 1)
                if outcome.ok:  # of a time between the request and its answer, however slow
                    stamp_ms = outcome.value["first"] >> constants.LOGICAL_BITS
                    errors_ms.append(max(asked_at - stamp_ms, stamp_ms - world.true_ms()))
                await asyncio.sleep(0.07)

    world.run(scenario())
    assert len(errors_ms) > 10 and max(errors_ms) < 100
