"""The checker's rules of starts: a planted violation that it must catch, and a near miss that
the page excuses and that it must not flag."""

import pytest
from platform_standins.planted import Pairs, found, two_versions
from platform_standins.rows import (
    T0,
    G,
    J,
    K,
    add,
    call,
    config,
    end,
    one,
    ran,
    row,
    start,
    submit,
    table,
    trouble,
    worker,
)

A, B, M = f"{K}.0.0.0", f"{K}.0.0.1", f"{G}.0.0.0"
PAIRS = Pairs()
pair = PAIRS.pair


@pair(
    "LIMIT",
    bad={},
    bad_while_it_is_stopped={"t": 2600},
    ended_that_moment={"t": 3000},
    elsewhere={"w": "w2"},
    guarded={"guards": True},
)
def too_full(r, t=2500, w="w1", guards=False):
    for x in ("w1", "w2"):
        row(r, "worker", w=x)["guards"] = guards
    submit(r, 2000, K, one(taskCount=2, cpu=3000))
    ran(r, 2100, 3000, A, how="stopped")
    ran(r, t, 3500, B, w=w)


@pair(
    "TWICE",
    bad={},
    bad_cut_off={"cut": True},
    ended={"t": 2500},
    crashed={"gone": True},
    copies={"copies": True},
)
def at_once(r, t=2300, gone=False, copies=False, cut=False):
    submit(r, 2000, K, one(duplicateRun=copies))
    if gone:
        add(r, 2200, "gone", w="w1", how="crash")
    if cut:
        trouble(r, 2200, "loss", "w1")
    start(r, 2100, A)
    end(r, 2500, A, how="lapsed")
    ran(r, t, 3000, A, run=2, w="w2")


@pair(
    "TWICE",
    bad={},
    bad_noted_later={"noted": 5000, "t": 4000},
    void={"lapse": 2550},
    bad_void_too_late={"lapse": 2650},
    unknown={"noted": None, "t": 9000},
    lasting={"kw": {"longRunning": True}},
    copies={"kw": {"duplicateRun": True}, "t": 3500},
    bad_copies={"kw": {"duplicateRun": True}, "t": 3700},
    copies_out_of_touch={"kw": {"duplicateRun": True}, "t": 3700, "slow": True},
)
def again(r, noted=2600, t=3000, lapse=None, kw=None, slow=False):
    submit(r, 2000, K, one(**kw or {}))
    ran(r, 2100, 2500, A, noted=noted)
    if lapse:
        add(r, lapse, "lapse", w="w1", dead=[])
    if slow:
        trouble(r, 2000, "slow", "k1", until=2100)
    ran(r, t, t + 300, A, run=2, w="w2", how="stopped")


@pair("TWICE", bad={}, soon={"t": 2700})
def after_it_was_shown(r, t=2800):
    ran(r, t, t + 100, f"{J}.0.0.0", run=2, how="stopped")
    for x in [x for x in r if x["ev"] == "noted" and x["w"] == "w1"]:
        r.remove(x)


@pair("TWICE", bad={}, never_noted={"noted": None})
def a_gang_again(r, noted=2600):
    """One member's end counts for all of them."""
    submit(r, 2000, G, one(taskCount=2, gangScheduled=True))
    ran(r, 2100, 2500, M, noted=noted)
    start(r, 2100, f"{G}.0.0.1", w="w2")
    add(r, 2400, "gone", w="w2", how="crash")
    ran(r, 4000, 4200, f"{G}.0.0.1", run=2, how="stopped")


@pair("ORDER", bad={}, that_moment={"t": 2500}, bad_lost={"how": "lapsed", "t": 2600})
def before_its_step(r, t=2499, how="done"):
    submit(r, 2000, K, one(), one(dependsOn=[0]))
    ran(r, 2100, 2500, A, how=how)
    ran(r, t, 2900, f"{K}.0.1.0", w="w2")


@pair("ORDER", bad={}, just={"t": 5750}, clocks={"t": 900, "jump": True}, bad_clocks={"t": 700, "jump": True})
def before_its_time(r, t=5740, jump=False):
    """The second time, due at 6000."""
    submit(r, 200, K, one(), runCount=2, firstRunMs=T0 + 2000, intervalMs=4000)
    if jump:
        trouble(r, 100, "clock", "k2")
    ran(r, t, t + 100, f"{K}.1.0.0", w="w2")


@pair("ROUTE", bad={}, maybe={"to": "other"})
def other_service(r, to="tiles"):
    submit(r, 2000, K, one())
    worker(r, "w3", 1, service="other")
    config(r, 2050, table(7, to=to), base=5, status=None)
    ran(r, 2100, 2500, A, w="w3")


@pair("ROUTE", bad={}, has_it={"label": "a"}, rack={"label": "r1"})
def without_label(r, label="b"):
    submit(r, 2000, K, one(requiredLabels=label))
    ran(r, 2100, 2500, A)


@pair("ROUTE", bad={}, one_after_the_other={"t": 2500}, other_worker={"w": "w2"})
def crowded(r, t=2400, w="w1"):
    submit(r, 2000, K, one(taskCount=2, antiAffinity=1))
    ran(r, 2100, 2500, A)
    ran(r, t, 2900, B, w=w)


@pair(
    "BUDGET",
    bad={},
    bad_noted_later={"noted": 9000},
    not_noted={"noted": None},
    lasting={"kw": {"longRunning": True}},
    stopped={"how": "stopped"},
    copies={"kw": {"duplicateRun": True}},
    bad_copies={"kw": {"duplicateRun": True}, "t": 3700},
)
def too_often(r, noted=2650, how="failed", kw=None, t=3000):
    submit(r, 2000, K, one(**kw or {}))
    ran(r, 2100, 2300, A, how="failed", noted=2350)
    ran(r, 2400, 2600, A, how=how, run=2, w="w2", noted=noted)
    ran(r, t, t + 200, A, run=3, how="stopped")


@pair(
    "GANG",
    bad={},
    bad_new_worker={"new": True},
    cancelled={"cancel": True},
    crash={"gone": 2500},
    crash_before={"gone": -850},
    bad_crash_long_before={"gone": -950},
    slowed={"slow": True},
    bad_config={"config": True},
    together={"how": "broken"},
)
def alone(r, cancel=False, gone=None, slow=False, new=False, config=False, how="alone"):
    submit(r, 2000, G, one(taskCount=2, gangScheduled=True))
    if cancel:
        call(r, 2400, "cancel", "x1", job=G)
    if gone is not None:
        worker(r, "w3", 3, t=-9000)
        add(r, gone, "gone", w="w3", how="crash")
    if config:
        two_versions(r)
    if slow:
        trouble(r, 2300, "slow", "k1", until=2400)
    if new:
        worker(r, "w4", 2, t=2500)
    ran(r, 2100, 5100, M, how=how)


@pytest.mark.parametrize("rule, plant, kw, bad", PAIRS.all)
def test_pairs(rule, plant, kw, bad):
    assert found(plant, kw) == ({rule} if bad else set())
