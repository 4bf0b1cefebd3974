"""Reservations in the record: confirmed whole or refused with a reason, never above the limit in whatever
order they arrive, recognized by id and digest when sent again, forgotten after a while, and part of
snapshots from level 3 on."""

import random

import pytest
from test_level_two import Played

from hollowhall.base import constants
from hollowhall.base.problems import Raised
from hollowhall.record import Record
from hollowhall.record.reservation_bodies import check_reduction, check_reservation

T = 1000  # ms; first time of the record in these tests
ROW = {"weight": 1.0, "limit": 0, "urgency": 5}


def record_with_workers(*, level=3, workers=4, gpus=8):
    record = Played()
    for level_index in range(level):
        record.apply_entry(op="level", d=level_index + 1)
    record.apply_entry(op="edit", d={"base": 1, "rows": {"a": ROW, "b": ROW}, "whole": True})
    for index in range(workers):
        record.do(
            [
                "worker",
                f"w{index}",
                "1",
                "k",
                f"z{index % 2}",
                f"r{index}",
                [64, 64, gpus],
                True,
                [f"l{index % 2}"] if level > 1 else [],
            ]
        )
    return record


def body(**kw):
    return {
        "kind": "k",
        "count": 4,
        "room": {"cores": 0, "gpus": 1},
        "lanes": ["a"],
        "fromMs": T + 10_000,
        "untilMs": T + 20_000,
    } | kw


def reserve(record, name, percent=50, **kw):
    return record.do(["reserve", name, *check_reservation(body(**kw)), percent])[0]


def test_the_sum_of_what_overlaps_stays_within_the_share():
    record = record_with_workers()
    assert reserve(record, "x", count=10) == ["new", "confirmed"]
    assert reserve(record, "y", count=7) == ["no", "capacity", 6]
    assert reserve(record, "y", count=6) == ["new", "confirmed"]
    assert reserve(record, "z", count=1) == ["no", "capacity", 0]
    assert reserve(record, "z", count=16, fromMs=T + 20_000, untilMs=T + 30_000) == ["new", "confirmed"]
    assert reserve(record, "u", count=1, percent=60, fromMs=T + 19_999) == ["new", "confirmed"]


@pytest.mark.parametrize(
    "kw, why",
    [
        ({"kind": "none"}, "kind"),
        ({"zone": "z9"}, "kind"),
        ({"label": "none"}, "kind"),
        ({"room": {"cores": 0, "gpus": 9}}, "room"),
        ({"count": 17}, "capacity"),
        ({"lanes": ["a", "none"]}, "lane"),
        ({"fromMs": 0, "untilMs": T - 1}, "past"),
        ({"fromMs": T, "untilMs": T + 40 * 86_400_000}, "far"),
        ({"fromMs": T + 10**11, "untilMs": T + 10**11 + 1}, "far"),
    ],
)
def test_what_is_refused_says_why_and_leaves_nothing(kw, why):
    record = record_with_workers()
    assert reserve(record, "x", **kw)[:2] == ["no", why]
    assert record.reservations == {}


def test_a_window_that_began_long_ago_is_past_and_one_just_begun_is_not():
    record = record_with_workers()
    record.do(["open"], ms=200_000)
    assert reserve(record, "x", fromMs=T + 100_000, untilMs=T + 10**6)[1] == "past"
    assert reserve(record, "x", fromMs=T + 190_000, untilMs=T + 10**6)[0] == "new"


def test_a_shape_counts_by_whole_workers_and_zones_and_labels_by_theirs():
    record = record_with_workers()
    assert reserve(record, "x", 100, room={"cores": 0, "gpus": 5}, count=5) == ["no", "capacity", 4]
    assert reserve(record, "x", 100, room={"cores": 0, "gpus": 5}, count=4)[0] == "new"
    assert reserve(record, "y", 100, zone="z0", count=7) == ["no", "capacity", 6]
    assert reserve(record, "y", 100, zone="z0", label="l1", count=1)[1] == "kind"
    assert reserve(record, "y", 100, label="l1", count=6)[0] == "new"


def test_known_by_id_and_digest_and_released_stays_released():
    record = record_with_workers()
    assert reserve(record, "x")[0] == "new" and reserve(record, "x") == ["same", "confirmed"]
    assert reserve(record, "x", count=3) == ["other", "confirmed"]
    assert record.do(["release", "x"])[0] == ["ok", "released"] == record.do(["release", "x"])[0]
    assert reserve(record, "x") == ["same", "released"] and record.do(["release", "q"])[0] == ["none", ""]
    assert reserve(record, "y", count=16)[0] == "new"  # its resources are free again


def test_shortened_in_time_and_count_never_lengthened():
    record = record_with_workers()
    reserve(record, "x", count=16)
    assert record.do(["shorten", "x", T + 30_000, None])[0] == ["no", "larger", 0]
    assert record.do(["shorten", "x", None, 17])[0] == ["no", "larger", 0]
    assert record.do(["shorten", "x", T + 5_000, None])[0] == ["no", "window", 0]
    assert record.do(["shorten", "x", T + 15_000, 10])[0] == ["ok", "confirmed"]
    assert record.do(["shorten", "x", T + 15_000, 10])[0] == ["ok", "confirmed"]
    assert reserve(record, "y", count=6)[0] == "new" and reserve(record, "x", count=16)[0] == "same"
    assert reserve(record, "z", count=10, fromMs=T + 15_000)[0] == "new"
    record.do(["open"], ms=60_000)
    assert record.do(["shorten", "x", None, 1])[0] == ["no", "over", 0]


def test_workers_that_leave_or_stand_in_an_evacuated_zone_carry_nothing_new():
    record = record_with_workers()
    record.do(["leave", "w0", "1"], ["evacuate", "z1", True])
    assert reserve(record, "x", count=5) == ["no", "capacity", 4]


def test_ended_and_released_ones_are_forgotten_after_a_while():
    record = record_with_workers()
    reserve(record, "x")
    reserve(record, "y", untilMs=T + 10**7)
    record.do(["release", "y"])
    kept = constants.RULES[3]["reservation_kept_ms"]
    record.do(["forget"], ms=20_000 + kept)
    assert set(record.reservations) == {"x", "y"}
    record.do(["forget"], ms=20_100 + kept)
    assert set(record.reservations) == {"y"}  # a late resend must still find it released
    record.do(["forget"], ms=10**7 + 100 + kept)
    assert record.reservations == {}


def test_pictures_carry_them_at_level_three_only_and_older_levels_know_none():
    record = record_with_workers(level=2)
    assert reserve(record, "x") == ["no", "level", 0] and "reservations" not in record.pack()
    record.apply_entry(op="level", d=3)
    assert reserve(record, "x")[0] == "new"
    loaded = Record()
    loaded.load(record.pack())
    assert loaded.digest() == record.digest() and loaded.reservations == record.reservations
    assert loaded.apply_entry(op="turn", d={"e": 1, "c": 1, "s": record.last + 1, "v": [["release", "x"]]}).ok
    assert loaded.sum != record.sum


@pytest.mark.parametrize("seed", range(6))
def test_racing_reservations_are_never_oversold(seed):
    """Random reservations are made, released and reduced while workers join and leave. After each
    confirmation their sum, computed here, is within the share at every moment; and a second record that
    applies the same entries is equal."""
    draw, record, twin = random.Random(seed), record_with_workers(workers=6), record_with_workers(workers=6)
    ms = 0
    for index in range(150):
        ms += draw.randrange(200)
        chance = draw.random()
        if chance < 0.7:
            begin = T + ms + draw.randrange(20_000)
            event = [
                "reserve",
                f"x{draw.randrange(60)}",
                *check_reservation(
                    body(
                        count=draw.randint(1, 12),
                        room={"cores": draw.randint(0, 8), "gpus": draw.randint(1, 4)},
                        fromMs=begin,
                        untilMs=begin + draw.randint(1, 10_000),
                    )
                ),
                50,
            ]
        elif chance < 0.85:
            event = [draw.choice(["release", "shorten"]), f"x{draw.randrange(60)}"]
            event += [None, draw.randint(1, 4)] if event[0] == "shorten" else []
        else:
            worker_id = f"w{draw.randrange(6)}"
            event = (
                ["lost", worker_id, record.workers[worker_id].boot]
                if worker_id in record.workers and draw.random() < 0.5
                else ["worker", worker_id, f"b{index}", "k", "z0", "r", [64, 64, 8], True]
            )
        results = record.do(event, ms=ms)
        assert results == twin.do(event, ms=ms)
        if results[0][0] != "new":
            continue
        confirmed, most = (
            record.reservations[event[1]],
            sum(worker.room[2] for worker in record.workers.values()) // 2,
        )
        live = [
            reservation for reservation in record.reservations.values() if reservation.state == "confirmed"
        ]
        for moment in range(confirmed.begin, confirmed.until, 50):
            assert (
                sum(
                    reservation.count * reservation.room[2]
                    for reservation in live
                    if reservation.begin <= moment < reservation.until
                )
                <= most
            )
    assert record.digest() == twin.digest() and len(record.reservations) > 5


@pytest.mark.parametrize(
    "kw",
    [
        {"count": 0},
        {"lanes": []},
        {"untilMs": 1},
        {"more": 1},
        {"room": {"cores": 0}},
        {"kind": "a b"},
        {"fromMs": "soon"},
    ],
)
def test_bad_bodies_are_refused_with_the_field(kw):
    with pytest.raises(Raised) as raised:
        check_reservation(body(**kw))
    assert raised.value.failure.errors
    with pytest.raises(Raised):
        check_reduction({"count": 0} if "count" in kw else {})
