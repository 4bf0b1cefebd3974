"""Keep-alives of leases under faults, in virtual time: a lease counts from the start of the attempt that
was answered, not from a lost attempt before it nor from the answer. A store on a slow processor keeps its
leader while it takes a snapshot."""

import asyncio
from statistics import median

from hollowhall.base import constants
from hollowhall.base.problems import Late, Success
from hollowhall.record.copying import SnapshotCopy
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES
from hollowhall.tools.measure.crowd import crowd


class Attempts:
    """A store member that answers only the n-th attempt, after `took` s; `sent` has the time of each."""

    def __init__(self, *, loop, nth, took):
        self.loop, self.nth, self.took, self.sent = loop, nth, took, []

    def silent(self, *, now):
        return False

    async def call(self, *, op, request, wait):
        if request.get("hold") != 1:  # the daemon's own lease
            return Late(op=op)
        self.sent.append(self.loop.virtual_time)
        if len(self.sent) < self.nth:
            await asyncio.sleep(wait)
            return Late(op=op)
        await asyncio.sleep(self.took)
        return Success(value={})


def play_keep_alive(nth, took):
    """(start of the lease period, times of the attempts, s until the next keep-alive, whether answered)."""
    world = World(seed=3, shape=SHAPES["cymylau"], masts=1)
    seen = {}

    async def scenario():
        world.start_all()
        await asyncio.sleep(2)
        daemon = world.nodes[world.who("desk", "primary")[0]].daemon
        member = Attempts(loop=world.loop, nth=nth, took=took)
        pace, base = (
            world.clock_rates[world.cards[daemon.settings.id]["machine"]],
            daemon.runtime.now() - world.loop.virtual_time,
        )
        daemon.link = lambda addr: member
        outcome, counts_from, gap = await daemon.keep_lease(hold=1)
        seen["x"] = counts_from - base, member.sent, gap, outcome.ok
        assert abs(pace - 1) < 0.01

    world.run(scenario())
    return seen["x"]


def test_a_lease_counts_from_the_attempt_that_was_answered():
    at, sent, gap, ok = play_keep_alive(1, 0.1)
    assert ok and abs(at - sent[0]) < 0.01 and abs(gap - (constants.KEEPALIVE_PERIOD - 0.1)) < 0.01
    at, sent, gap, ok = play_keep_alive(2, 0.2)
    assert ok and len(sent) == 2 and abs(at - sent[1]) < 0.01
    assert at < sent[1] + 0.05 and sent[1] - sent[0] > constants.KEEPALIVE_ATTEMPT_TIMEOUT
    assert gap == constants.KEEPALIVE_RETRY_DELAY  # a period has passed: the next one is sent at once


def test_a_keep_alive_that_nobody_answers_renews_nothing():
    *_, gap, ok = play_keep_alive(9, 0.0)
    assert not ok and gap == constants.KEEPALIVE_RETRY_DELAY


def test_slices_of_a_picture_go_by_how_long_the_last_one_took():
    class EmptyRecord:
        """A record without jobs."""

        jobs = {}

        def pack(self, jobs):
            return {}

    copying = SnapshotCopy(rec=EmptyRecord())
    for _ in range(20):
        copying.adapt_slice_size(
            s=copying.most * constants.PACK_TASK_CPU_TIME * 24
        )  # a processor 24 times slower
    assert (
        copying.most * constants.PACK_TASK_CPU_TIME * 24 < 1.5 * constants.PACK_SLICE_TARGET_TIME
        and copying.most >= constants.PACK_SLICE_MIN_TASKS
    )
    for _ in range(20):
        copying.adapt_slice_size(s=copying.most * constants.PACK_TASK_CPU_TIME)
    assert copying.most == constants.PACK_SLICE_MAX_TASKS
    copying.adapt_slice_size(s=9.0)
    assert copying.most == constants.PACK_SLICE_MIN_TASKS


def test_a_crowd_on_slow_processors_does_not_cost_the_leads():
    """The run of test_crowd.py. The store lost its leader four times, and the scheduler its primary four
    times and once more at the end. How often the primary changes varies by chance between runs (1 to 3
    times), so its changes are bounded over six seeds by median, sum and maximum; the store must not lose
    its leader with any seed."""
    import hollowhall.sim.world as world_module

    worlds, real_init = [], world_module.World.__init__

    def note(self, **kw):
        real_init(self, **kw)
        worlds.append(self)

    world_module.World.__init__ = note
    try:
        for seed in range(1, 7):
            crowd(seed, "cymylau", times=30, slow=24.0, secs=6.0)
    finally:
        world_module.World.__init__ = real_init
    lost = [line for world in worlds for line in world.log if "HH200" in line and "was=leader" in line]
    desk_takeovers = sorted(sum("HH401" in line for line in world.log) for world in worlds)
    assert lost == [], lost
    assert median(desk_takeovers) <= 2 and sum(desk_takeovers) <= 13 and desk_takeovers[-1] <= 3, (
        desk_takeovers
    )
