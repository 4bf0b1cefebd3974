"""Workers held back for steps that starve: only workers on which the step could start, and others in their
place once these become unfit. Guards against a failure of the simulated day (docs/incidents/): gangs starved
beside sixty empty workers, since the workers held back for them had come to be on trial or set aside."""

from test_level_two import record_with_job, step

from hollowhall.desk.place import Round
from hollowhall.record.charter import check_job

WAITED = 1000 + 1200  # ms; workers are held back for it by now, but it does not yet start on workers on trial
WAITED_LONG = 1000 + 2500  # ms; by now it may start on workers on trial


def gang(tasks=2, cores=8000):
    return step(tasks=tasks, gang=True, room={"cores": cores})


def busy(record, *workers):
    """Fills each of the workers with a task of another job."""
    spec = check_job({"lane": "q", "steps": [step(tasks=len(workers), room={"cores": 8000})]})
    record.do(["job", "f", *spec], *[["grant", f"f/0.0/{n}", w] for n, w in enumerate(workers)])


def test_no_worker_on_trial_or_set_aside_is_held_back_for_a_gang():
    record = record_with_job(steps=[gang()], workers=6)
    busy(record, "w0", "w1", "w2", "w3", "w4")
    placement_round = Round(rec=record, now=WAITED, most=9, trials={"w4"}, aside={"w5": (0.0, 9e9)})
    placement_round.run()
    assert set(placement_round.kept) <= {"w0", "w1", "w2", "w3"} and len(placement_round.kept) == 2


def test_a_held_worker_that_turns_unfit_is_replaced():
    record = record_with_job(steps=[gang()], workers=6)
    busy(record, "w0", "w1", "w2", "w3", "w4")
    kept = {"w0": ("j", "0.0"), "w1": ("j", "0.0")}
    placement_round = Round(rec=record, now=WAITED, most=9, kept=kept, aside={"w0": (0.0, 9e9)})
    placement_round.run()
    assert "w0" not in kept and "w1" in kept and len(kept) == 2


def test_what_does_not_suffice_any_more_is_given_free():
    record = record_with_job(steps=[gang()], workers=4)
    busy(record, "w0", "w1", "w2", "w3")
    kept = {"w0": ("j", "0.0"), "w1": ("j", "0.0")}
    placement_round = Round(
        rec=record, now=WAITED, most=9, kept=kept, aside={f"w{n}": (0.0, 9e9) for n in (0, 2, 3)}
    )
    placement_round.run()
    assert kept == {}


def test_a_gang_that_waits_long_starts_on_workers_on_trial_rather_than_not_at_all():
    def gangs(ms):
        record = record_with_job(steps=[gang()], workers=3)
        busy(record, "w0")
        placement_round = Round(rec=record, now=ms, most=9, trials={"w1", "w2"})
        placement_round.run()
        return placement_round.gangs

    assert not gangs(WAITED) and gangs(WAITED_LONG)


def test_a_worker_on_trial_that_runs_something_takes_no_member():
    record = record_with_job(steps=[gang(cores=4000)], workers=2)
    one = check_job({"lane": "q", "steps": [step(room={"cores": 1000})]})
    record.do(["job", "f", *one], ["grant", "f/0.0/0", "w1"])
    placement_round = Round(rec=record, now=WAITED_LONG, most=9, trials={"w1"}, aside={"w0": (0.0, 9e9)})
    placement_round.run()
    assert not placement_round.gangs
