"""Progress and room of gangs: a member that has finished its part stands still until all have, which is no
evidence against its worker; room for a gang is made on the workers held back for it."""

from test_level_two import ROW, record_with_job, step
from test_pace import Desk, placement_events, urgent

from hollowhall.base import constants
from hollowhall.record.charter import check_job


def test_a_gangs_member_that_is_through_says_nothing_of_its_worker():
    desk = Desk(record_with_job(steps=[step(tasks=6, gang=True, room={"cores": 4000})], workers=3))
    desk.record.do(["gang", "j", "0.0", ["w0", "w0", "w1", "w1", "w2", "w2"]])
    while desk.now_s < 8:
        for worker_id, worker in desk.record.workers.items():
            percent = min(100, int((24 if worker_id == "w0" else 15) * (desk.now_s - 1)))
            desk.report(
                worker_id, named=[(attempt.task, attempt.no, "", percent) for attempt in worker.runs.values()]
            )
        desk.judge_progress(now=desk.now_s, ms=desk.clock_ms())
        desk.now_s += 0.25
    assert not [event for event in desk.events if desk.record.attempts[event[1]].worker == "w0"]
    assert "w0" not in desk.slow


def test_a_gang_keeps_all_it_needs_or_nothing_and_what_is_less_urgent_makes_room():
    desk = Desk(
        record_with_job(
            steps=[step(tasks=8, saves=True, room={"cores": 8000})],
            workers=8,
            rows={"q": ROW, "hot": ROW | {"urgency": 9}},
        )
    )
    desk.record.do(*[["grant", f"j/0.0/{i}", f"w{i}"] for i in range(8)])
    for name, tasks in (("a", 4), ("b", 4), ("c", 5)):
        spec, digest = check_job(
            {"lane": "hot", "steps": [step(tasks=tasks, gang=True, room={"cores": 8000})]}
        )
        desk.record.do(["job", name, spec, digest], ms=1000)
    stops = placement_events(desk, 1100 + constants.GANG_STARVATION_MS)
    assert sorted(set(desk.kept.values())) == [("a", "0.0")] and len(desk.kept) == 4
    assert {event[0] for event in stops} == {"stop"}
    assert {desk.record.attempts[event[1]].worker for event in stops} == set(desk.kept)
    desk.record.do(*stops, ms=1600)
    desk.record.do(*[["end", event[1], "stopped", "", "cp"] for event in stops], ms=1600)
    gangs = [
        event for event in placement_events(desk, 1700 + constants.GANG_STARVATION_MS) if event[0] == "gang"
    ]
    assert [event[1] for event in gangs] == ["a"] and not set(gangs[0][3]) - {f"w{i}" for i in range(8)}


def test_room_for_a_gang_is_made_on_its_own_workers_and_no_more_than_it_needs():
    desk = urgent(gang=True)
    assert placement_events(desk, 1100) == []
    stops = placement_events(desk, 1100 + constants.GANG_STARVATION_MS)
    assert [event[0] for event in stops] == ["stop", "stop"]
    assert {desk.record.attempts[event[1]].worker for event in stops} == set(desk.kept)
    desk.record.do(*stops, ms=1600)
    assert (
        placement_events(desk, 1700 + constants.GANG_STARVATION_MS) == []
    )  # the stopped attempts have not ended yet
