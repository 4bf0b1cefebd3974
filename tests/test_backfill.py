"""Workers held back for what starves: only such that it could start on, and others in their place
once they turn unfit. Found on a day of the bench (docs/incidents/): gangs starved beside sixty
empty workers, for what was held back for them had come to be on trial or set aside."""

from test_level_two import made, step

from hollowhall.desk.place import Round
from hollowhall.record.charter import check_job

WAITED = 1000 + 1200  # ms; long enough to be held workers for, too short for those on trial
WAITED_LONG = 1000 + 2500  # ms; so long that workers on trial are better than none


def gang(tasks=2, cores=8000):
    return step(tasks=tasks, gang=True, room={"cores": cores})


def busy(r, *workers):
    """A job that fills each of the workers."""
    spec = check_job({"lane": "q", "steps": [step(tasks=len(workers), room={"cores": 8000})]})
    r.do(["job", "f", *spec], *[["grant", f"f/0.0/{n}", w] for n, w in enumerate(workers)])


def test_no_worker_on_trial_or_set_aside_is_held_back_for_a_gang():
    r = made(steps=[gang()], workers=6)
    busy(r, "w0", "w1", "w2", "w3", "w4")
    x = Round(rec=r, now=WAITED, most=9, trials={"w4"}, aside={"w5": (0.0, 9e9)})
    x.run()
    assert set(x.kept) <= {"w0", "w1", "w2", "w3"} and len(x.kept) == 2


def test_a_held_worker_that_turns_unfit_is_replaced():
    r = made(steps=[gang()], workers=6)
    busy(r, "w0", "w1", "w2", "w3", "w4")
    kept = {"w0": ("j", "0.0"), "w1": ("j", "0.0")}
    x = Round(rec=r, now=WAITED, most=9, kept=kept, aside={"w0": (0.0, 9e9)})
    x.run()
    assert "w0" not in kept and "w1" in kept and len(kept) == 2


def test_what_does_not_suffice_any_more_is_given_free():
    r = made(steps=[gang()], workers=4)
    busy(r, "w0", "w1", "w2", "w3")
    kept = {"w0": ("j", "0.0"), "w1": ("j", "0.0")}
    x = Round(rec=r, now=WAITED, most=9, kept=kept, aside={f"w{n}": (0.0, 9e9) for n in (0, 2, 3)})
    x.run()
    assert kept == {}


def test_a_gang_that_waits_long_starts_on_workers_on_trial_rather_than_not_at_all():
    def gangs(ms):
        r = made(steps=[gang()], workers=3)
        busy(r, "w0")
        x = Round(rec=r, now=ms, most=9, trials={"w1", "w2"})
        x.run()
        return x.gangs

    assert not gangs(WAITED) and gangs(WAITED_LONG)


def test_a_worker_on_trial_that_runs_something_takes_no_member():
    r = made(steps=[gang(cores=4000)], workers=2)
    one = check_job({"lane": "q", "steps": [step(room={"cores": 1000})]})
    r.do(["job", "f", *one], ["grant", "f/0.0/0", "w1"])
    x = Round(rec=r, now=WAITED_LONG, most=9, trials={"w1"}, aside={"w0": (0.0, 9e9)})
    x.run()
    assert not x.gangs
