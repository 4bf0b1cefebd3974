"""Reservations with one protection removed each: the checker finds the violation, and the real daemons show
none under the same load. Also histories with a planted violation."""

import asyncio

import pytest
import reserved_world
import weak
from reserved_world import clean

from hollowhall.base.problems import Success
from hollowhall.check.judge import judge
from hollowhall.desk import Desk
from hollowhall.record import Record


class NoShare(Record):
    """Confirms more than the capacity."""

    def refusal_of(self, r, *, now, percent):
        why, fits = super().refusal_of(r, now=now, percent=percent)
        return ("", fits) if why == "capacity" else (why, fits)


class JudgesEarly(Desk):
    """Checks the capacity when the request arrives, not when the entry is applied."""

    abstract = False
    make_record = NoShare

    def on_reserve(self, *, request, callback, caller):
        spec = request["spec"]
        confirmed = sum(reservation.count for reservation in self.record.reservations.values())
        if confirmed + spec["count"] <= 24:
            super().on_reserve(request=request, callback=callback, caller=caller)
        else:
            callback(self.not_primary())


class NoPlan(Desk):
    """Confirms reservations but keeps no room for them."""

    abstract = False

    def plan_now(self, *, ms):
        return None


class NeverStops(Desk):
    """Keeps free room for owners, but stops nothing that runs in lent room."""

    abstract = False

    def give_back(self, *, placement_round, ms):
        return []


class SaysTooEarly(Desk):
    """Confirms to the client before the commit, and proposes the event 1 s later."""

    abstract = False

    def on_reserve(self, *, request, callback, caller):
        if self.check_primary(callback):
            callback(Success(value={"new": True, "state": "waiting"}))
            asyncio.get_running_loop().call_later(
                1.0,
                lambda: Desk.on_reserve(self, request=request, callback=lambda result: None, caller=caller),
            )


async def overbook(world, operator):
    operators = [world.operator(tag=f"op{n}") for n in range(4)]
    await asyncio.gather(
        *[
            client.reserve(
                name=f"x{n}",
                tries=3,
                body=reserved_world.body(
                    count=10, fromMs=reserved_world.ms(60), untilMs=reserved_world.ms(70)
                ),
            )
            for n, client in enumerate(operators)
        ]
    )


async def kill_and_read(world, operator):
    await operator.reserve(
        name="q",
        body=reserved_world.body(count=1, fromMs=reserved_world.ms(60), untilMs=reserved_world.ms(70)),
    )
    world.kill(world.who("desk", "primary")[0])
    await asyncio.sleep(6)
    await operator.reservation("q")


async def lasting(world, operator):
    """Sends work that takes far longer than its estimate."""
    client = world.requester(tag="long")
    for _n in range(6):
        await client.send(body=reserved_world.job("batch", 40_000, tasks=8, estimateMs=500))


@pytest.mark.parametrize(
    "rule, build, steps",
    [
        ("oversold", weak.with_record(NoShare), overbook),
        ("oversold", weak.with_record(NoShare) | {"desk": JudgesEarly}, overbook),
        ("unserved", weak.REAL | {"desk": NoPlan}, lasting),
        ("unserved", weak.REAL | {"desk": NeverStops}, lasting),
        ("forgotten", weak.REAL | {"desk": SaysTooEarly}, kill_and_read),
    ],
    ids=["no-share", "judged-early", "no-plan", "never-stops", "told-early"],
)
def test_weak_versions_are_caught_and_the_real_one_is_clean(rule, build, steps):
    settings = {
        "crowded": False,
        "steps": steps,
        "reserved": steps is lasting,
        "end": reserved_world.CLOSE if steps is lasting else reserved_world.OPEN,
    }
    assert rule in {violation.rule for violation in reserved_world.play(26, build=build, **settings).bad}
    clean(reserved_world.play(26, **settings))


RESERVATION = {
    "kind": "gpu",
    "count": 4,
    "room": {"cores": 1, "gpus": 1},
    "lanes": ["a"],
    "fromMs": 20_000,
    "untilMs": 60_000,
}


def history():
    """A history with one worker of 8 accelerators, of which half may be reserved and 4 are. Work of the
    owners waits for 10 s in the window, while others use all of the worker."""
    rows = [
        {"t": 0, "ev": "share", "percent": 50},
        {
            "t": 1,
            "ev": "worker",
            "w": "w1",
            "boot": "1",
            "kind": "gpu",
            "zone": "z1",
            "rack": "r",
            "room": [8, 0, 8],
        },
    ]

    def job(ms, name, lane, tasks):
        body = {
            "lane": lane,
            "steps": [{"name": "s", "kind": "gpu", "tasks": tasks, "room": {"cores": 1, "gpus": 1}}],
        }
        rows.extend(
            {"t": ms + i, "ev": event, "id": name, "name": name, "body": body, **more}
            for i, (event, more) in enumerate(
                (("put", {}), ("put.out", {"status": 201, "taken": "yes", "new": True}))
            )
        )

    reserve(rows, 10, "x", RESERVATION)
    job(100, "o", "b", 8)
    rows += [
        {
            "t": 200 + i,
            "ev": "start",
            "task": f"o/s/{i}",
            "run": str(i + 1),
            "job": "o",
            "step": "s",
            "w": "w1",
            "boot": "1",
        }
        for i in range(8)
    ]
    job(21_000, "j", "a", 4)
    rows += [{"t": 15_000 + 500 * i, "ev": "tick"} for i in range(32)]
    return rows


def reserve(rows, ms, name, body, state="waiting"):
    rows += [
        {"t": ms, "ev": "reserve", "id": name, "name": name, "body": body},
        {
            "t": ms + 1,
            "ev": "reserve.out",
            "id": name,
            "name": name,
            "body": body,
            "at": ms,
            "status": 201,
            "taken": "yes",
            "new": True,
            "state": state,
        },
    ]


def rules_broken(rows):
    return [
        violation.rule for violation in judge(rows)[0] if violation.rule not in ("forgotten", "unserved")
    ] or [violation.rule for violation in judge(rows)[0]]


def test_a_planted_wait_in_the_window_is_found_and_excused_only_with_cause():
    assert "unserved" in {violation.rule for violation in judge(history())[0]}
    for planted in (
        {"t": 12_500, "ev": "fault", "kind": "x", "until": 13_000},
        {"t": 20_500, "ev": "release", "id": "q", "name": "x"},
        {"t": 24_000, "ev": "left", "w": "w1", "boot": "1"},
    ):
        rows = history()
        rows.append(planted)
        late = planted["t"] == 12_500  # over long before the wait, so it does not excuse it
        assert ("unserved" in {violation.rule for violation in judge(rows)[0]}) is late, planted


def test_planted_confirmations_that_cannot_be():
    rows = history()
    reserve(rows, 12, "y", RESERVATION | {"count": 1, "fromMs": 59_000, "untilMs": 70_000})
    assert "oversold" in rules_broken(rows)
    rows = history()
    reserve(rows, 12, "y", RESERVATION | {"fromMs": 60_000, "untilMs": 70_000})
    assert "oversold" not in rules_broken(rows)
    reserve(rows, 14, "y", RESERVATION | {"fromMs": 60_001, "untilMs": 70_000})
    assert "second-reservation" in rules_broken(rows)
    rows = history()
    rows.append({"t": 300, "ev": "reservation.out", "id": "g", "name": "x", "at": 200, "status": 404})
    assert any("reservation x" in violation.text for violation in judge(rows)[0])
