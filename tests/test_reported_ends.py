"""Ends that workers report while the batches that should record them are refused. Guards against running a
task twice, as on mandina-lima-large (docs/incidents/started-after-done.md): a success was forgotten with the
refused batch, its attempt counted as never started, and its task was started again."""

import asyncio
from types import SimpleNamespace

import pytest
from test_level_two import record_with_job, runs, step

from hollowhall.base.problems import NotPrimary, NotSynced, Unsure
from hollowhall.base.slab import PendingRequests
from hollowhall.desk.beats import BeatsMixin
from hollowhall.desk.turns import BatchesMixin

REFUSALS = [NotSynced(tries=0), Unsure(why="lead lost")]


class Desk(BatchesMixin, BeatsMixin):
    """A primary that handles heartbeats and commits batches; `refusal`: failure of its batches, if any."""

    def __init__(self, record):
        self.record, self.time_s, self.refusal = record, 10.0, None
        self.runtime, self.settings = (
            SimpleNamespace(now=lambda: self.time_s),
            SimpleNamespace(hold_ms=6000, margin_ms=1500),
        )
        self.epoch, self.leaving, self.until, self.primary_now = 1, False, 99.0, True
        self.sessions, self.beat_slab, self.aside_failure_share, self.recent_failures = (
            {},
            PendingRequests(capacity=64),
            {},
            {},
        )
        self.revoked_gang_runs, self.said = set(), []
        self.open_batches()

    def live(self):
        return self.primary_now

    def not_primary(self):
        return NotPrimary()

    def clock_ms(self):
        return int(self.time_s * 1000)

    def say(self, event, **fields):
        self.said.append((event.number, fields))

    def do_nothing(self, **_):
        pass

    judge_progress = copy_silent_workers = stop_before_departure = log_long_waits = retry_needed_workers = (
        check_health
    ) = do_nothing
    lift_probation = do_nothing

    async def reread(self):
        return True  # the batch was not applied

    async def commit(self, *, events):
        if self.refusal is not None:
            self.last_failure = self.refusal
            return None
        return [(event_result, 0) for event_result in self.record.do(*events, ms=self.clock_ms())]

    def beat(self, worker="w0", *, named=(), ends=(), **more):
        """Sends one heartbeat of a worker, with the next sequence number."""
        session = self.sessions.get(worker)
        seq = session.seq + 1 if session else 1
        request = {"id": worker, "boot": "1", "seq": seq, "keepsHold": True}
        self.on_beat(
            request=request | {"named": named, "ends": ends} | more, callback=lambda o: None, caller=worker
        )

    async def batch(self, *, refusal=None):
        """Puts the events that are held into a batch, which is applied or refused."""
        self.refusal = refusal
        items = self.next_items()
        await self.commit_batch(items=items, events=[event for event, _ in items])

    def look(self):
        self.check_workers(now=self.time_s, ms=self.clock_ms())


def primary_with_attempt(*, steps, leaves=True, **kw):
    """A primary that has heard w0 for a while, with a started attempt there; w0 is leaving."""
    desk = Desk(record_with_job(steps=steps, **kw))
    desk.record.do(["grant", "j/0.0/0", "w0"])
    if leaves:
        desk.record.do(["leave", "w0", "1"])
    desk.beat(named=[("j/0.0/0", 1, "", 5)])
    desk.time_s += 3.0
    return desk


def run_scenario(scenario):
    return asyncio.run(scenario())


@pytest.mark.parametrize("refusal", REFUSALS)
def test_a_good_end_whose_batch_was_refused_is_not_taken_for_an_attempt_that_never_began(refusal):
    async def scenario():
        desk = primary_with_attempt(steps=[step()])
        desk.beat(ends=[(1, "j/0.0/0", 1, "ok", "")])
        await desk.batch(refusal=refusal)
        desk.look()  # before the worker's next heartbeat
        await desk.batch()
        return desk

    desk = run_scenario(scenario)
    assert desk.record.jobs["j"].tasks["j/0.0/0"].state == "done"


@pytest.mark.parametrize("refusal", REFUSALS)
def test_an_end_whose_batch_was_refused_goes_into_the_next_one_without_a_further_beat(refusal):
    async def scenario():
        desk = primary_with_attempt(steps=[step()], leaves=False)
        desk.beat(ends=[(1, "j/0.0/0", 1, "ok", "")])
        await desk.batch(refusal=refusal)
        await desk.batch()
        return desk

    desk = run_scenario(scenario)
    assert desk.record.jobs["j"].state == "done"


def test_a_worker_that_goes_has_its_reported_ends_recorded_before_it_is_given_up():
    async def scenario():
        desk = primary_with_attempt(steps=[step()])
        desk.beat(ends=[(1, "j/0.0/0", 1, "ok", "")], leaves=True)
        items = desk.next_items()  # a batch is being committed
        desk.beat(bye=True, seq=1 << 60)
        desk.refusal = NotSynced(tries=0)
        await desk.commit_batch(items=items, events=[event for event, _ in items])
        await desk.batch()
        await desk.batch()
        return desk

    desk = run_scenario(scenario)
    assert desk.record.jobs["j"].state == "done" and "w0" not in desk.record.workers


def test_a_worker_whose_lease_ran_out_has_its_reported_ends_recorded_first():
    async def scenario():
        desk = primary_with_attempt(steps=[step()], leaves=False)
        desk.beat(ends=[(1, "j/0.0/0", 1, "ok", "")])
        items = desk.next_items()
        desk.time_s += 9.0
        desk.look()
        desk.refusal = NotSynced(tries=0)
        await desk.commit_batch(items=items, events=[event for event, _ in items])
        await desk.batch()
        desk.look()
        await desk.batch()
        return desk

    desk = run_scenario(scenario)
    assert desk.record.jobs["j"].state == "done" and "w0" not in desk.record.workers


def test_a_start_is_not_told_again_while_its_attempt_is_being_ended_as_never_begun():
    # otherwise two runs at once: the evacuation that revoked it ended before the batch was applied
    async def scenario():
        desk = Desk(record_with_job(steps=[step()]))
        desk.record.do(["grant", "j/0.0/0", "w0"], ["evacuate", "z0", True])
        desk.beat()
        desk.time_s += 3.0
        desk.beat()
        desk.look()
        desk.record.do(["evacuate", "z0", False])
        told = desk.orders(worker_id="w0", session=desk.sessions["w0"])[0]
        await desk.batch()
        return desk, told

    desk, told = run_scenario(scenario)
    assert told == [] and not desk.record.attempts


def test_no_more_is_held_once_the_primary_has_lost_its_lease():
    async def scenario():
        desk = primary_with_attempt(steps=[step()], leaves=False)
        desk.beat(ends=[(1, "j/0.0/0", 1, "ok", "")])
        desk.primary_now = False
        desk.drop_primary()
        return desk

    assert not run_scenario(scenario).pending_events


@pytest.mark.parametrize("ended, said", [(["stopped", "never began"], [406]), (["ok", ""], [])])
def test_a_good_end_that_comes_after_the_record_ended_its_attempt_otherwise_is_logged_once(ended, said):
    async def scenario():
        desk = primary_with_attempt(steps=[step(tasks=2)], leaves=False)
        desk.record.do(["end", runs(desk.record)[0], *ended])
        for _ in range(3):
            desk.beat(ends=[(1, "j/0.0/0", 1, "ok", "")])
        return desk

    assert [number for number, _ in run_scenario(scenario).said] == said
