"""The checker's rules of configurations, a lawful history, and that each rule has both a
planted violation and a near miss."""

import pytest
from platform_standins import config as F
from platform_standins.planted import Pairs, found, two_versions
from platform_standins.rows import HOST, G, K, call, config, lawful, one, ran, read, submit, table, trouble
from platform_standins.rules import NAMES, judge
from test_platform_rules_jobs import PAIRS as JOBS
from test_platform_rules_starts import PAIRS as STARTS

PAIRS = Pairs()
pair = PAIRS.pair


def test_a_lawful_history_is_clean():
    assert judge(lawful()) == []


@pair(
    "CONFIG",
    bad={},
    in_time={"t": 5000},
    out_of_touch={"slow": True},
    bad_dropped={"prefixes": ("/n/",), "prefix": "/q/", "status": 200},
    dropped={"prefixes": ("/n/",), "prefix": "/q/", "status": 404},
    dropped_again={"maybe": True},
)
def stale(r, t=5010, slow=False, prefixes=("/q/", "/n/"), prefix="/n/", status=404, maybe=False):
    two_versions(r, prefixes=prefixes)
    if maybe:
        config(r, 4000, table(9), base=8, status=None)
    if slow:
        trouble(r, 4000, "loss", "e1", until=4100)
    call(r, t, "count", "n1", prefix=prefix, status=status)


@pair(
    "CONFIG",
    bad={},
    within_slack={"t": 3350},
    slowed={"t": 4000, "slow": True},
    bad_slowed={"t": 5200, "slow": True},
    new_life={"start": True},
    other={"by": "e2"},
)
def goes_back(r, t=3400, slow=False, start=False, by="e1"):
    two_versions(r)
    call(r, 3100, "count", "n1", prefix="/n/")
    if slow:
        trouble(r, 3200, "slow", "e1")
    if start:
        trouble(r, 3200, "kill", "e1", until=3300)
    call(r, t, "count", "n2", prefix="/n/", status=404, by=by)


@pair("CONFIG", bad={}, maybe={"status": 0}, unclear_before={"tries": 2}, acked={"status": 200})
def refused_in_force(r, status=412, tries=1):
    if tries == 2:
        config(r, 2000, table(7, prefixes=("/q/", "/n/")), base=5, status=None, n=1)
    config(r, 3000, table(7, prefixes=("/q/", "/n/")), base=5, status=status, n=2)
    call(r, 3500, "count", "n1", prefix="/n/")


@pair("CONFIG", bad={}, refused={"status": 412}, same={"c": table(7)}, next={"base": 7})
def both_on_one(r, c=None, base=5, status=200):
    config(r, 2000, table(7), base=5)
    config(r, 2001, c or table(8), base=base, status=status, n=2)


@pair("CONFIG", bad={}, refused={"status": 400}, also_stale={"status": 412})
def invalid(r, status=200):
    config(r, 2000, F.spoil(table(7), "no_timeout"), base=5, invalid="no_timeout", status=status)


@pair(
    "CONFIG",
    bad={"body": table(5)},
    bad_other={"body": table(8, to="other")},
    bad_refused={"body": table(9)},
    bad_silence={"body": None, "status": 0},
    newest={"body": table(8)},
    maybe={"body": table(10)},
    other_order={"body": table(8) | {"serviceTable": table(8)["serviceTable"][::-1]}},
)
def read_back(r, body, status=200):
    config(r, 2000, table(8), base=5)
    config(r, 2100, table(9), base=5, status=412)
    config(r, 2200, table(10), base=8, status=None)
    for t in (9000, 10_500, 12_000):
        read(r, t, body, status=status)


@pair("CONFIG", bad={"prefix": "/q/"}, as_patched={"prefix": "/n/"})
def patched(r, prefix):
    change = {
        "revision": 8,
        "withdraw": {"routeTable": ["r/q/"]},
        "upsert": {"routeTable": [F.route("r/n/", host=HOST, prefix="/n/", service="tiles", retryLimit=2)]},
    }
    config(r, 2000, change, base=5, whole=False)
    read(r, 9000, table(8, prefixes=(prefix,)))


@pair("LOST", bad={"left": 0}, kept={"left": 8})
def after_a_closing_fault(r, left):
    config(r, 2000, table(8), base=5)
    trouble(r, 2100, "closing", "", most=True)
    read(r, 9000, table(8) if left else {"revision": 0, "routeTable": [], "serviceTable": []})


def with_tenants(r, t=1900, revision=8, base=5, cpu=2000, keys=("k-one",), **fields):
    """From then on callers need keys; the job before it is done by then."""
    mine = F.tenant("one", keys=keys, cpu=cpu)
    config(r, t, table(revision, tenants=[mine, F.tenant("two", keys=["k-two"])], **fields), base=base)


@pair(
    "QUOTA",
    bad={},
    bad_being_stopped={"t": 2690},
    bad_on_another_worker={"w": "w2"},
    one_more_of_what_is_allowed={"cpu": 3000},
    ended={"t": 2701},
    of_another_tenant={"key": "k-two"},
    raised_and_not_acknowledged={"raised": True},
)
def beyond_a_limit(r, t=2600, w="w1", cpu=2000, key="k-one", raised=False):
    with_tenants(r, cpu=cpu)
    submit(r, 2000, K, one(taskCount=2, cpu=1000), key="k-one")
    submit(r, 2000, G, one(cpu=1000, taskCount=2), key=key)
    if raised:
        mine = [F.tenant("one", keys=["k-one"], cpu=9000), F.tenant("two", keys=["k-two"])]
        config(r, 2010, table(11, tenants=mine), base=8, status=None)
    ran(r, 2100, 2700, f"{K}.0.0.0")
    ran(r, 2100, 2700, f"{K}.0.0.1", w="w2")
    ran(r, t, 3500, f"{G}.0.0.0", w=w)
    ran(r, t + 1, 3500, f"{G}.0.0.1", w="w2")


@pair(
    "ROUTE",
    bad={"key": "k-none"},
    bad_without={"key": ""},
    known={"key": "k-two"},
    open={"key": "", "noAuth": True},
    refused={"key": "k-none", "status": 401},
)
def with_a_key_that_nobody_has(r, key, status=200, **fields):
    with_tenants(r, **fields)
    call(r, 6000, "count", "n1", status=status, key=key)


@pair(
    "CONFIG",
    bad={"t": 9000},
    bad_refused={"t": 9000, "key": "k-new", "status": 401},
    in_time={"t": 3900},
    refused_in_time={"t": 3900, "key": "k-new", "status": 401},
    known={"t": 9000, "key": "k-new"},
)
def with_a_key_that_was_dropped(r, t, key="k-one", status=200):
    with_tenants(r)
    with_tenants(r, t=3000, revision=11, base=8, keys=("k-new",))
    call(r, t, "count", "n1", status=status, key=key)


@pytest.mark.parametrize("rule, plant, kw, bad", PAIRS.all)
def test_pairs(rule, plant, kw, bad):
    assert found(plant, kw) == ({rule} if bad else set())


def test_every_rule_has_a_planted_violation_and_a_near_miss():
    seen = {(p.values[0], p.values[3]) for x in (PAIRS, STARTS, JOBS) for p in x.all}
    assert seen == {(n, b) for n in NAMES for b in (True, False)}
