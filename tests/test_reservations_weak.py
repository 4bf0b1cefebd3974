"""Reservations without one protection each: the checker finds what must never happen, and
the real daemons are clean under the same. And histories with a planted violation."""

import asyncio

import pytest
import reserved_world as V
import weak as W
from reserved_world import clean

from hollowhall.base.problems import Success
from hollowhall.check.judge import judge
from hollowhall.desk import Desk
from hollowhall.record import Record


class NoShare(Record):
    """Confirms whatever is wanted."""

    def refusal_of(self, r, *, now, percent):
        why, fits = super().refusal_of(r, now=now, percent=percent)
        return ("", fits) if why == "capacity" else (why, fits)


class JudgesEarly(Desk):
    """Judges when it is asked, and not when the entry is applied."""

    abstract = False
    make_record = NoShare

    def on_reserve(self, *, request, callback, caller):
        sp = request["spec"]
        n = sum(r.count for r in self.record.reservations.values())
        if n + sp["count"] <= 24:
            super().on_reserve(request=request, callback=callback, caller=caller)
        else:
            callback(self.not_primary())


class NoPlan(Desk):
    """Confirms and does nothing more."""

    abstract = False

    def plan_now(self, *, ms):
        return None


class NeverStops(Desk):
    """Keeps room free, but gives nothing back that was lent."""

    abstract = False

    def give_back(self, *, placement_round, ms):
        return []


class SaysTooEarly(Desk):
    """Tells of a confirmation before it is committed, and proposes it late."""

    abstract = False

    def on_reserve(self, *, request, callback, caller):
        if self.ready_to(callback):
            callback(Success(value={"new": True, "state": "waiting"}))
            asyncio.get_running_loop().call_later(
                1.0, lambda: Desk.on_reserve(self, request=request, callback=lambda o: None, caller=caller)
            )


async def many(w, op):
    ops = [w.operator(tag=f"op{n}") for n in range(4)]
    await asyncio.gather(
        *[
            o.reserve(name=f"x{n}", tries=3, body=V.body(count=10, fromMs=V.ms(60), untilMs=V.ms(70)))
            for n, o in enumerate(ops)
        ]
    )


async def kill_and_read(w, op):
    await op.reserve(name="q", body=V.body(count=1, fromMs=V.ms(60), untilMs=V.ms(70)))
    w.kill(w.who("desk", "primary")[0])
    await asyncio.sleep(6)
    await op.reservation("q")


async def lasting(w, op):
    """Work that takes far longer than it says."""
    req = w.requester(tag="long")
    for _n in range(6):
        await req.send(body=V.job("batch", 40_000, tasks=8, estimateMs=500))


@pytest.mark.parametrize(
    "rule, build, steps",
    [
        ("oversold", W.with_record(NoShare), many),
        ("oversold", W.with_record(NoShare) | {"desk": JudgesEarly}, many),
        ("unserved", W.REAL | {"desk": NoPlan}, lasting),
        ("unserved", W.REAL | {"desk": NeverStops}, lasting),
        ("forgotten", W.REAL | {"desk": SaysTooEarly}, kill_and_read),
    ],
    ids=["no-share", "judged-early", "no-plan", "never-stops", "told-early"],
)
def test_weak_versions_are_caught_and_the_real_one_is_clean(rule, build, steps):
    kw = {
        "crowded": False,
        "steps": steps,
        "reserved": steps is lasting,
        "end": V.CLOSE if steps is lasting else V.OPEN,
    }
    assert rule in {b.rule for b in V.play(26, build=build, **kw).bad}
    clean(V.play(26, **kw))


B = {
    "kind": "gpu",
    "count": 4,
    "room": {"cores": 1, "gpus": 1},
    "lanes": ["a"],
    "fromMs": 20_000,
    "untilMs": 60_000,
}


def history():
    """One worker of eight; half of it may be reserved; four of it are. Work waits for 10 s in the
    window, while others run on all of it."""
    out = [
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

    def job(t, name, lane, tasks):
        b = {
            "lane": lane,
            "steps": [{"name": "s", "kind": "gpu", "tasks": tasks, "room": {"cores": 1, "gpus": 1}}],
        }
        out.extend(
            {"t": t + i, "ev": e, "id": name, "name": name, "body": b, **more}
            for i, (e, more) in enumerate(
                (("put", {}), ("put.out", {"status": 201, "taken": "yes", "new": True}))
            )
        )

    reserve(out, 10, "x", B)
    job(100, "o", "b", 8)
    out += [
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
    out += [{"t": 15_000 + 500 * i, "ev": "tick"} for i in range(32)]
    return out


def reserve(out, task, name, body, state="waiting"):
    out += [
        {"t": task, "ev": "reserve", "id": name, "name": name, "body": body},
        {
            "t": task + 1,
            "ev": "reserve.out",
            "id": name,
            "name": name,
            "body": body,
            "at": task,
            "status": 201,
            "taken": "yes",
            "new": True,
            "state": state,
        },
    ]


def found(rows):
    return [b.rule for b in judge(rows)[0] if b.rule not in ("forgotten", "unserved")] or [
        b.rule for b in judge(rows)[0]
    ]


def test_a_planted_wait_in_the_window_is_found_and_excused_only_with_cause():
    assert "unserved" in {b.rule for b in judge(history())[0]}
    for plant in (
        {"t": 12_500, "ev": "fault", "kind": "x", "until": 13_000},
        {"t": 20_500, "ev": "release", "id": "q", "name": "x"},
        {"t": 24_000, "ev": "left", "w": "w1", "boot": "1"},
    ):
        rows = history()
        rows.append(plant)
        late = plant["t"] == 12_500  # long past when the wait has lasted for its time
        assert ("unserved" in {b.rule for b in judge(rows)[0]}) is late, plant


def test_planted_confirmations_that_cannot_be():
    rows = history()
    reserve(rows, 12, "y", B | {"count": 1, "fromMs": 59_000, "untilMs": 70_000})
    assert "oversold" in found(rows)
    rows = history()
    reserve(rows, 12, "y", B | {"fromMs": 60_000, "untilMs": 70_000})
    assert "oversold" not in found(rows)
    reserve(rows, 14, "y", B | {"fromMs": 60_001, "untilMs": 70_000})
    assert "second-reservation" in found(rows)
    rows = history()
    rows.append({"t": 300, "ev": "reservation.out", "id": "g", "name": "x", "at": 200, "status": 404})
    assert any("reservation x" in b.text for b in judge(rows)[0])
