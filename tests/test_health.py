"""Worker health by the results of attempts: suspicion, probation that doubles, trials with one attempt
at a time, tasks that fail everywhere and blame no worker, and a bound on how many are set aside."""

import pytest
from test_level_two import record_with_job, step
from test_pace import Desk as PaceDesk

from hollowhall.base import constants
from hollowhall.desk.care import WorkerChecksMixin
from hollowhall.desk.health import ASIDE, MOVES, SOUND, SUSPECTED, TRIAL, HealthMixin


class Desk(WorkerChecksMixin, PaceDesk):
    """A scheduler with worker monitoring over a record, primary or standby."""

    def __init__(self, rec):
        super().__init__(rec)
        self.recent_failures, self.aside_failure_share, self.primary = {}, {}, True

    def live(self):
        return self.primary

    def clock_ms(self):
        return 1000 + int(self.now_s * 1000)

    def do(self, *events):
        self.note_ends(events)
        self.note_health(events=events, ms=self.clock_ms())
        results = self.record.do(*events, ms=int(self.now_s * 1000))
        self.now_s += 0.01
        return results

    def ends(self, worker, how, tasks):
        """Starts tasks on a worker and ends them there with result `how`, one after the other."""
        for number in tasks:
            started = self.do(["grant", f"j/{number}", worker])[0]
            assert started[0] == "ok", (number, worker, started)
            self.do(["end", started[1], how, "x"])

    def state(self, worker_id):
        return self.health_of(worker_id).state


def new_desk(workers=6, tasks=200, steps=4):
    return Desk(
        record_with_job(
            steps=[step(f"0.{number}", tasks=tasks, maxFailures=99) for number in range(steps)],
            workers=workers,
        )
    )


def flush(desk):
    """Applies the events that the scheduler has queued."""
    events, desk.events = desk.events, []
    if events:
        desk.do(*events)


def test_two_failures_that_others_do_not_share_set_a_worker_aside():
    desk = new_desk()
    desk.ends("w1", "ok", ["0.0/0", "0.1/0"])
    desk.ends("w0", "bad", ["0.0/1"])
    assert desk.state("w0") == SUSPECTED and desk.events == [] and "w0" in desk.health_view()["doubt"]
    desk.ends("w0", "bad", ["0.1/1"])
    assert (
        desk.state("w0") == ASIDE
        and desk.events == [["flaky", "w0", desk.health["w0"].aside_until_ms]]
        and "w0" in desk.health_view()["aside"]
    )
    flush(desk)
    assert desk.record.workers["w0"].flaky > desk.clock_ms() and [e[0] for e in desk.said] == [413]


def test_a_step_that_fails_everywhere_blames_nobody():
    desk = new_desk()
    desk.ends("w0", "bad", ["0.0/0", "0.0/1", "0.0/2"])
    assert desk.state("w0") == SUSPECTED  # one step, which no other worker has tried
    desk.ends("w1", "bad", ["0.0/3"])
    assert desk.state("w0") == desk.state("w1") == SOUND
    assert desk.health["w0"].evidence < 0.1 and desk.health["w1"].evidence < 0.1


def test_what_is_cleared_later_comes_back_at_once():
    desk = new_desk()
    desk.ends("w0", "bad", ["0.0/0", "0.1/0", "0.2/0"])
    flush(desk)
    assert desk.state("w0") == ASIDE
    desk.ends("w1", "bad", ["0.0/1", "0.1/1", "0.2/1"])
    flush(desk)
    assert desk.state("w0") == SOUND and desk.record.workers["w0"].flaky == 0
    assert desk.health["w0"].relapses == 0 and 417 in [e[0] for e in desk.said]


def test_probation_doubles_with_each_relapse_up_to_a_bound():
    desk, spans = new_desk(tasks=400), []
    desk.ends("w1", "ok", ["0.0/0", "0.1/0", "0.2/0"])
    failures = 0
    for _ in range(7):
        while desk.state("w0") in (SOUND, SUSPECTED, TRIAL):
            failures += 1
            desk.ends("w0", "bad", [f"0.{failures % 3}/{failures}"])
        flush(desk)
        spans.append(desk.health["w0"].aside_until_ms - desk.clock_ms())
        desk.now_s = (desk.health["w0"].aside_until_ms - 1000) / 1000 + 0.01
        desk.check_health(ms=desk.clock_ms())
        assert desk.state("w0") == TRIAL
    assert failures == 2 + 6  # two failures to the first time aside, then one for each trial
    assert [round(span, -2) for span in spans] == [
        min(constants.PROBATION_MAX_MS, constants.PROBATION_MS << relapse) for relapse in range(7)
    ]


def test_good_ends_end_a_trial_and_one_at_a_time_is_all_it_gets():
    desk = new_desk(workers=1)
    desk.ends("w0", "bad", ["0.0/0", "0.1/0", "0.2/0"])
    health = desk.health["w0"]
    if health.state != ASIDE:  # the only worker of a kind may not be set aside
        assert (
            not desk.may_set_aside(desk.record.workers["w0"])
            or health.evidence < constants.EVIDENCE_SET_ASIDE
        )
    flush(desk)
    desk.now_s += 6.0
    desk.check_health(ms=desk.clock_ms())
    assert desk.state("w0") == TRIAL
    grants = [e for e in desk.place_tasks(most=50) if e[0] == "grant"]
    assert len(grants) == 1
    run = desk.do(*grants)[0][1]
    assert desk.place_tasks(most=50) == []  # the first attempt of the trial is still running
    desk.do(["end", run, "ok", ""])
    desk.ends("w0", "ok", ["0.1/9"])
    assert desk.state("w0") == SOUND and len(desk.place_tasks(most=50)) > 3


def test_never_more_than_a_part_of_a_kind_is_set_aside():
    desk = new_desk(workers=9, tasks=2, steps=24)
    for number in range(8):
        steps = [3 * number, 3 * number + 1, 3 * number + 2]
        desk.ends("w8", "ok", [f"0.{number_of_step}/0" for number_of_step in steps])
        desk.ends(f"w{number}", "bad", [f"0.{number_of_step}/1" for number_of_step in steps])
        flush(desk)
    assert (
        1
        <= sum(desk.state(f"w{number}") == ASIDE for number in range(9))
        <= 9 * constants.ASIDE_MAX_FRACTION + 1
    )


def test_what_failed_is_tried_next_where_nothing_is_doubted():
    desk = new_desk(workers=3)
    desk.ends("w2", "ok", ["0.0/0"])
    desk.ends("w0", "bad", ["0.1/1"])  # suspected
    desk.ends("w1", "bad", ["0.0/1"])
    desk.health["w1"].state = SOUND
    placed = dict(e[1:] for e in desk.place_tasks(most=400) if e[0] == "grant")
    assert placed["j/0.0/1"] == "w2"  # it failed on w1, and w0 is suspected


def test_an_understudy_judges_alike_and_sets_nobody_aside():
    desk = new_desk()
    desk.primary = False
    desk.ends("w1", "ok", ["0.0/0", "0.1/0"])
    desk.ends("w0", "bad", ["0.0/1", "0.1/1", "0.2/1"])
    assert (
        desk.state("w0") == SUSPECTED
        and desk.events == []
        and desk.health["w0"].evidence > constants.EVIDENCE_SET_ASIDE
    )
    desk.do(["flaky", "w0", desk.clock_ms() + 5000])  # the primary's decision, from the record
    assert desk.state("w0") == ASIDE


@pytest.mark.parametrize("state", sorted(MOVES))
def test_no_other_change_of_state_is_possible(state):
    for target in MOVES:
        desk = new_desk()
        desk.health_of("w0").state = state
        if target in MOVES[state]:
            desk.set_health_state(worker_id="w0", state=target, ms=5)
            assert desk.state("w0") == target
        else:
            with pytest.raises(AssertionError):
                desk.set_health_state(worker_id="w0", state=target, ms=5)


class Blaming(HealthMixin):
    """A faulty version: every failure counts against the worker, whatever the step's results elsewhere."""

    def blame(self, *, worker_id, step_key, tallies, weight, ms):
        return super().blame(
            worker_id=worker_id,
            step_key=step_key,
            tallies={worker_id: tallies[worker_id]},
            weight=weight,
            ms=ms,
        )


def test_a_judge_that_blames_workers_for_poison_is_seen():
    class Weak(Blaming, Desk):
        """The scheduler with the faulty version."""

        pass

    states = {}
    for make in (Desk, Weak):
        desk = make(new_desk(workers=6).record)
        for number in range(3):
            desk.ends("w0", "bad", [f"0.{number}/0"])
            desk.ends("w1", "bad", [f"0.{number}/1"])
        states[make] = desk.state("w0"), desk.state("w1")
    assert states[Desk] == (SOUND, SOUND) and states[Weak] != states[Desk]


def test_one_that_stands_still_again_on_trial_is_set_aside_for_longer():
    desk, spans = new_desk(), []
    for _ in range(3):
        spans.append(desk.note_slow_worker(worker_id="w0", ms=desk.clock_ms()))
        # another sign of slowness while set aside is no relapse
        assert desk.note_slow_worker(worker_id="w0", ms=desk.clock_ms()) == spans[-1]
        desk.now_s += spans[-1] / 1000 + 0.01
        desk.check_health(ms=desk.clock_ms())
        assert desk.state("w0") == TRIAL
    assert spans == [int(constants.SLOW_WORKER_ASIDE_S * 1000) << relapse for relapse in range(3)]
