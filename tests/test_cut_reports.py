"""Reports of workers that list only a part of their ends. Guards against running a task twice, as in review/11
(docs/incidents/ends-not-listed.md): what such a report does not list was taken for an attempt that never began,
and its task was started again although it had ended well.

`PYTHONPATH=.:platform python tests/test_cut_reports.py FIRST-LAST` plays more seeds and prints those with a violation."""

import asyncio
import sys
from types import SimpleNamespace

import control
import pytest
from platform_refusals import play
from platform_seeds import sweep
from platform_standins import beats, jobs
from platform_standins.bounds import Bounds
from platform_standins.registry import Work
from platform_world import PlatformWorld
from tenant_store import tenant
from test_level_two import runs, step
from test_reported_ends import Desk, primary_with_attempt, run_scenario
from test_taken_back import Desk as OrdersDesk
from test_taken_back import granted

from hollowhall.desk.reports import ReportsMixin

DONE = [(1, "j/0.0/0", 1, "ok", "")]
ENDS_TOLD = 2  # ends; in one report of the workers of a simulated day with short reports


def restart_causes(desk, cause):
    """Why an attempt that has not begun would be taken back."""
    run = runs(desk.record)[0]
    desk.record.do(
        {
            "leaves": ["leave", "w0", "1"],
            "evacuated": ["evacuate", "z0", True],
            "stopped": ["stop", run, "room"],
        }[cause]
    )


@pytest.mark.parametrize("cause", ["leaves", "evacuated", "stopped"])
def test_an_end_that_is_not_listed_yet_is_not_taken_for_an_attempt_that_never_began(cause):
    async def scenario():
        desk = primary_with_attempt(steps=[step()], leaves=False)
        restart_causes(desk, cause)
        for _ in range(3):  # other ends fill these reports
            desk.beat(ends=[(1, "other/0.0/0", 1, "ok", "")], complete=False)
            desk.time_s += 1.0
            desk.look()
            await desk.batch()
        desk.beat(ends=[(2, *DONE[0][1:])])
        await desk.batch()
        return desk

    desk = run_scenario(scenario)
    assert desk.record.jobs["j"].tasks["j/0.0/0"].state == "done"


def test_what_never_began_is_taken_back_once_a_complete_report_lacks_it():
    async def scenario():
        desk = Desk(primary_with_attempt(steps=[step()]).record)
        for complete in (True, False, False):
            desk.beat(complete=complete)
            desk.time_s += 1.0
            desk.look()
        waiting = list(desk.pending_events)
        desk.beat()
        desk.look()
        await desk.batch()
        return desk, waiting

    desk, waiting = run_scenario(scenario)
    assert waiting == [] and not desk.record.attempts


def test_a_report_of_departure_says_nothing_about_what_ended():
    # the worker is given up with all its attempts; none of them is said never to have begun
    async def scenario():
        desk = primary_with_attempt(steps=[step()])
        desk.beat(leaves=True, complete=False)
        desk.beat(bye=True, seq=1 << 60, complete=False)
        desk.time_s += 2.0
        desk.look()
        return [event[0] for event, *_ in desk.pending_events]

    assert "end" not in run_scenario(scenario)


def told_orders(*, complete, pause_s):
    """How many starts and stops a worker is told `pause_s` seconds after the first answer.
    It reports one attempt as running; another is to start, the third is to be stopped."""

    async def scenario():
        desk = primary_with_attempt(steps=[step(tasks=3)], leaves=False)
        for index in (1, 2):
            desk.record.do(["grant", f"j/0.0/{index}", "w0"])
        desk.record.do(["stop", runs(desk.record)[1], "room"])
        desk.beat(named=[("j/0.0/0", 1, "", 5)], complete=complete)
        session = desk.sessions["w0"]
        assert len(session.starts_sent) == 1  # the beat was answered with the start
        desk.time_s += pause_s
        answer = desk.beat_answer(worker_id="w0", session=session).value
        return [len(answer[orders]) for orders in ("starts", "stops")]

    return run_scenario(scenario)


def test_attempts_that_an_incomplete_report_lacks_are_not_stopped_nor_told_to_start_again_at_once():
    assert told_orders(complete=True, pause_s=0.5) == [1, 1]
    assert told_orders(complete=False, pause_s=0.5) == [0, 0]
    assert told_orders(complete=False, pause_s=1.5) == [1, 0]


def test_a_gang_is_not_taken_back_for_a_member_that_may_have_ended():
    store, attempts = granted(gang=True, tasks=2, limit=2000)
    desk = OrdersDesk(store)
    store.limit(t=tenant(cores=1000))
    assert desk.orders_for("w0", report_complete=False) == ([], []) and desk.held == []
    desk.orders_for("w0")
    assert {event[1] for event in desk.held} == set(attempts)


def report_of(ends):
    body = {
        "targetService": "tiles",
        "zone": "z1",
        "sequence": 4,
        "ended": [[n + 1, f"5c0e7a21d94b36f8.0.0.{n}", 1, "done", ""] for n in range(ends)],
    }
    adapter = control.Control(hall=SimpleNamespace(desk=None), addr="10.0.0.1:8144")
    return adapter.report(body, "i-1")


@pytest.mark.parametrize("ends, complete", [(0, True), (499, True), (500, False)])
def test_a_report_with_as_many_ends_as_one_can_list_may_lack_others(ends, complete):
    assert report_of(ends)["complete"] is complete


def short_reports(monkeypatch, *, ends=ENDS_TOLD):
    """Makes the simulated workers list this many ends at once, and the adapter know it."""
    monkeypatch.setattr(beats, "ENDS_MOST", ends)
    monkeypatch.setattr(control, "REPORTED_ENDS_MAX", ends, raising=False)


@pytest.mark.parametrize("seed", [1, 2])
def test_no_rule_breaks_where_reports_are_cut_and_batches_are_refused(monkeypatch, seed):
    short_reports(monkeypatch)
    world, violations, states = play(seed=seed)
    assert violations == [] and world.loop.complaints == [] and len(states) > 30


def many_tasks(rng):
    """A job of many small tasks that end within a moment."""
    return jobs.job(rng, "many", [jobs.step(40, cpu=20)]), [Work(ms=1500)]


async def zones_and_workers_go(world, operator, clients):
    """Zones are evacuated and workers leave while many tasks end at once; then the primary is killed."""
    for zone in ("z1", "z2", "z3"):
        await asyncio.sleep(1.0)
        assert await operator.evacuate(zone)
        await asyncio.sleep(1.5)
        assert await operator.evacuate(zone, withdraw=True)
    leaving = sorted(world.s.workers)[0]
    asyncio.ensure_future(world.s.workers[leaving].leave(notice_ms=1000))
    await asyncio.sleep(1.0)
    await world.kill_and_start(world.primary() or "core-1")


def play_many(seed):
    world = PlatformWorld(seed=seed, workers=4, bounds=Bounds(keepalive_ms=800, hold_max_ms=10_000))
    violations, states = world.play(
        mix=[(many_tasks, 1)], rate=2.0, seconds=10.0, faults=zones_and_workers_go
    )
    return violations, states


@pytest.mark.parametrize("seed", [1, 2])
def test_many_tasks_that_end_at_once_in_an_evacuated_zone_run_once(monkeypatch, seed):
    short_reports(monkeypatch, ends=4)
    violations, states = play_many(seed)
    assert violations == [] and set(states.values()) <= {"complete", "cancelled"}


def lists_all(self, *, session, worker):
    """The former conclusion: what a report does not list has not begun."""
    session.report_complete = True
    return NEVER_BEGAN(self, session=session, worker=worker)


NEVER_BEGAN = ReportsMixin.never_began


def test_the_judge_sees_a_conclusion_from_a_cut_report(monkeypatch):
    short_reports(monkeypatch, ends=4)
    monkeypatch.setattr(ReportsMixin, "never_began", lists_all)
    assert "TWICE" in {violation.rule for violation in play_many(1)[0]}


def violations_of(seed):
    beats.ENDS_MOST = control.REPORTED_ENDS_MAX = ENDS_TOLD
    return play(seed=seed)[1] + play_many(seed)[0]


if __name__ == "__main__":
    first, last = map(int, sys.argv[1].split("-"))
    sweep(violations_of, [(seed,) for seed in range(first, last + 1)])
