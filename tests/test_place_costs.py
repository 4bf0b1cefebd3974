"""What a round of placement over a large backlog costs, in counts: workers are scanned once for each shape
that waits, not for each job, gang or preferred rack."""

import pytest
from test_level_two import ROW, record_with_job, step

from hollowhall.base import constants
from hollowhall.desk import fit, gather
from hollowhall.desk.place import Round
from hollowhall.record.charter import check_job

WORKERS, JOBS = 120, 80


@pytest.fixture
def looks(monkeypatch):
    """How often a worker's room was checked, for steps and for gangs."""
    counts = {"steps": 0, "gangs": 0}

    def counted(function, name):
        def wrapper(**kw):
            counts[name] += 1
            return function(**kw)

        return wrapper

    monkeypatch.setattr(fit, "has_room", counted(fit.has_room, "steps"))
    monkeypatch.setattr(gather, "rooms_that_fit", counted(gather.rooms_that_fit, "gangs"))
    return counts


def crowd(*, ms, usual=0, idle=0, far=2.0, racks=2, **kw):
    """A round in which all but `idle` workers are full and JOBS jobs wait, each preferring one of `racks`
    racks."""
    record = record_with_job(
        steps=[step(tasks=WORKERS - idle, room={"cores": 8000})], workers=WORKERS, rows={"q": ROW}
    )
    record.do(*[["grant", f"j/0.0/{n}", f"w{n}"] for n in range(WORKERS - idle)])
    for n in range(JOBS):
        record.do(
            [
                "job",
                f"c{n}",
                *check_job({"lane": "q", "steps": [step(near=f"r{n % racks}", room={"cores": 1000}, **kw)]}),
            ]
        )
    placement_round = Round(rec=record, now=1000 + ms, most=400, far=far, usual={"q": usual})
    return placement_round, placement_round.run()


@pytest.mark.parametrize("ms", [constants.GANG_STARVATION_MS // 2, 10 * constants.GANG_STARVATION_MS])
def test_a_crowd_of_gangs_looks_through_the_workers_a_few_times(looks, ms):
    placement_round, _ = crowd(ms=ms, tasks=4, gang=True, tight=True)
    assert not placement_round.gangs and looks["gangs"] <= 6 * WORKERS


def test_the_oldest_gangs_that_starve_get_workers_kept_for_them_all_the_same():
    placement_round, _ = crowd(ms=10 * constants.GANG_STARVATION_MS, tasks=4, gang=True)
    assert {step_key for step_key in placement_round.kept.values()} == {("c0", "0.0"), ("c1", "0.0")}


@pytest.mark.parametrize("ms", [500, 5000])
def test_steps_that_wish_for_other_racks_look_through_the_workers_once(looks, ms):
    crowd(ms=ms, usual=2000, racks=10)
    assert looks["steps"] <= 2 * WORKERS


def test_who_has_waited_enough_still_goes_to_its_own_rack_first():
    _, starts = crowd(ms=5000, usual=2000, idle=2)  # w118 of r0 and w119 of r1 are free
    workers = {task.split("/")[0]: worker for task, worker in starts}
    assert len(workers) == 16 and all(workers[f"c{n}"] == f"w{118 + n % 2}" for n in range(16))


def test_with_its_rack_full_it_goes_elsewhere_once_it_has_waited_and_not_before():
    assert {worker for _, worker in crowd(ms=5000, usual=2000, idle=1)[1]} == {"w119"}
    late, soon = crowd(ms=5000, usual=2000, idle=1)[1], crowd(ms=500, usual=2000, idle=1)[1]
    assert len(late) == 8 and {task.split("/")[0] for task, _ in late} == {f"c{n}" for n in range(8)}
    assert {int(task.split("/")[0][1:]) % 2 for task, _ in soon} == {1}
