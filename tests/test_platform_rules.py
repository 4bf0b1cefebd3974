"""Each rule of the platform's checker: a planted violation that it must catch, and a near
miss that the page excuses and that it must not flag."""

import pytest
from platform_standins import config as F
from platform_standins.rows import (HOST, J, K, G, T0, add, call, config, end, evacuation, lawful,
                                    one, ran, read, row, start, submit, table, trouble, worker)
from platform_standins.rules import NAMES, judge

A, B, M = f"{K}.0.0.0", f"{K}.0.0.1", f"{G}.0.0.0"
PAIRS = []


def pair(rule, **variants):
    """Marks a history as planted: `bad` parameters break the rule, the other ones do not."""
    def wrap(f):
        for name, kw in variants.items():
            PAIRS.append(pytest.param(rule, f, kw, name.startswith("bad"),
                                      id=f"{rule}-{f.__name__}-{name}"))
        return f
    return wrap


def test_a_lawful_history_is_clean():
    assert judge(lawful()) == []


@pytest.mark.parametrize("rule, plant, kw, bad", PAIRS)
def test_pairs(rule, plant, kw, bad):
    rows = lawful()
    plant(rows, **kw)
    got = {b.rule for b in judge(rows)}
    assert got == ({rule} if bad else set())


def test_every_rule_has_a_planted_violation_and_a_near_miss():
    seen = {(p.values[0], p.values[3]) for p in PAIRS}
    assert seen == {(n, b) for n in NAMES for b in (True, False)}


# --- starts

@pair("LIMIT", bad={}, bad_while_it_is_stopped={"t": 2600}, ended_that_moment={"t": 3000},
      elsewhere={"w": "w2"}, guarded={"guards": True})
def too_full(r, t=2500, w="w1", guards=False):
    for x in ("w1", "w2"):
        row(r, "worker", w=x)["guards"] = guards
    submit(r, 2000, K, one(taskCount=2, cpu=3000))
    ran(r, 2100, 3000, A, how="stopped")
    ran(r, t, 3500, B, w=w)


@pair("TWICE", bad={}, bad_cut_off={"cut": True}, ended={"t": 2500}, crashed={"gone": True},
      copies={"copies": True})
def at_once(r, t=2300, gone=False, copies=False, cut=False):
    submit(r, 2000, K, one(duplicateRun=copies))
    if gone:
        add(r, 2200, "gone", w="w1", how="crash")
    if cut:
        trouble(r, 2200, "loss", "w1")
    start(r, 2100, A)
    end(r, 2500, A, how="lapsed")
    ran(r, t, 3000, A, run=2, w="w2")


@pair("TWICE", bad={}, bad_noted_later={"noted": 5000, "t": 4000}, void={"lapse": 2550},
      bad_void_too_late={"lapse": 2650}, unknown={"noted": None, "t": 9000},
      lasting={"kw": {"longRunning": True}}, copies={"kw": {"duplicateRun": True}, "t": 3500},
      bad_copies={"kw": {"duplicateRun": True}, "t": 3700},
      copies_out_of_touch={"kw": {"duplicateRun": True}, "t": 3700, "slow": True})
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


@pair("ORDER", bad={}, just={"t": 5750}, clocks={"t": 900, "jump": True},
      bad_clocks={"t": 700, "jump": True})
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


@pair("BUDGET", bad={}, bad_noted_later={"noted": 9000}, not_noted={"noted": None},
      lasting={"kw": {"longRunning": True}}, stopped={"how": "stopped"},
      copies={"kw": {"duplicateRun": True}}, bad_copies={"kw": {"duplicateRun": True}, "t": 3700})
def too_often(r, noted=2650, how="failed", kw=None, t=3000):
    submit(r, 2000, K, one(**kw or {}))
    ran(r, 2100, 2300, A, how="failed", noted=2350)
    ran(r, 2400, 2600, A, how=how, run=2, w="w2", noted=noted)
    ran(r, t, t + 200, A, run=3, how="stopped")


@pair("GANG", bad={}, bad_new_worker={"new": True}, cancelled={"cancel": True},
      crash={"gone": 2500}, crash_before={"gone": -850}, bad_crash_long_before={"gone": -950},
      slowed={"slow": True}, bad_config={"config": True}, together={"how": "broken"})
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


# --- orders and jobs

@pair("UNASKED", bad={"task": f"{G}.0.0.0"}, bad_index={"task": f"{K}.0.0.2"},
      bad_time={"task": f"{K}.1.0.0"}, bad_name={"task": "x"}, bad_text={"spec": "other"},
      sent={"task": B}, bad_progress={"saved": "progress-j"}, own={"saved": "progress-k"})
def told(r, task=A, **kw):
    submit(r, 2000, K, one(taskCount=2, checkpoints=True))
    add(r, 2050, "saved", w="w2", task=A, run=1, saved="progress-k")
    ran(r, 2100, 2500, task, run=2, **kw)


@pair("UNASKED", bad={}, gang={"kw": {"gangScheduled": True}})
def progress_of_another_member(r, kw=None):
    submit(r, 2000, K, one(taskCount=2, checkpoints=True, **kw or {}))
    add(r, 2050, "saved", w="w2", task=A, run=1, saved="progress-k")
    ran(r, 2100, 2500, B, run=2, saved="progress-k")


@pair("UNASKED", bad={}, in_time={"t": 6900}, refused={"status": 503},
      out_of_touch={"slow": True})
def starts_after_cancel(r, t=7100, status=200, slow=False):
    submit(r, 2000, K, one())
    call(r, 4000, "cancel", "x1", job=K, status=status)
    if slow:
        trouble(r, 6000, "disk", "k1", until=6100)
    ran(r, t, t + 50, A, how="stopped")


@pair("UNASKED", bad={}, in_time={"t": 7400}, crash={"gone": 5000}, bad_drain={"drain": 5000})
def runs_on_after_cancel(r, t=7500, gone=None, drain=None):
    submit(r, 2000, K, one())
    call(r, 4000, "cancel", "x1", job=K)
    worker(r, "w3", 3)
    if gone or drain:
        add(r, gone or drain, "gone" if gone else "draining", w="w3", how="crash")
    ran(r, 2100, t, A, how="stopped")


@pair("REFUSED", bad={}, bad_invalid={"status": 422}, silence={"status": 0},
      pending={"status": None}, server={"status": 502}, later={"last": 200})
def ran_though_refused(r, status=429, last=503):
    submit(r, 2000, K, one(), status=status, n=1)
    submit(r, 2100, K, one(), status=last, n=2)
    ran(r, 2200, 2500, A)


@pair("DRAIN", bad={}, in_time={"t": 4000}, out_of_touch={"slow": True}, bad_by_any={"by": "k2"})
def starts_on_leaving(r, t=4010, slow=False, by="k1"):
    submit(r, 1800, K, one())
    add(r, 1900, "draining", w="w1")
    add(r, 2000, "drain_acked", w="w1", by="k3")
    if slow:
        trouble(r, 1000, "reset", "k3")
    ran(r, t, 4500, A, by=by)


@pair("EVAC", bad={}, in_time={"t": 7000}, withdrawn={"back": 7010}, other_zone={"w": "w2"},
      bad_again={"back": 7010, "anew": 7020, "t": 12100})
def starts_in_evacuated(r, t=7050, back=None, anew=None, w="w1"):
    submit(r, 1800, K, one())
    evacuation(r, 2000)
    if back:
        evacuation(r, back, withdraw=True)
    if anew:
        evacuation(r, anew)
    ran(r, t, t + 300, A, w=w)


@pair("MIXED", bad={}, later={"t": 3000}, gang={"kw": {"gangScheduled": True}},
      bad_state={"state": "finished", "t": 3000}, active={"state": "active"})
def shown_complete(r, t=2600, state="complete", kw=None):
    submit(r, 2000, K, one(taskCount=2, **kw or {}))
    ran(r, 2100, 2500, A)
    ran(r, 2100, 2900, B, w="w2")
    call(r, t, "state", "g2", job=K, state=state)


@pair("LOST", bad={}, soon={"t": 4990}, out_of_touch={"slow": True}, ended={"t": 125_000},
      bad_ended={"t": 100_000})
def unknown(r, t=5100, slow=False):
    submit(r, 2000, K, one())
    ran(r, 2100, 2500, A)
    call(r, 2600, "state", "g2", job=K, state="complete")
    if slow:
        trouble(r, 4000, "slow", "e1", until=4500)
    call(r, t, "state", "g3", job=K, status=410)


@pair("LOST", bad={}, failed_twice={"runs": 2}, bad_lapsed={"runs": 2, "how": "lapsed"})
def shown_failed(r, runs=1, how="failed"):
    submit(r, 2000, K, one())
    for n in range(runs):
        ran(r, 2100 + 300 * n, 2300 + 300 * n, A, run=n + 1, how=how)
    call(r, 3000, "state", "g2", job=K, state="failed")


@pair("LOST", bad={}, asked={"t": 2100})
def shown_cancelled(r, t=2600):
    submit(r, 2000, K, one())
    call(r, t, "cancel", "x1", job=K)
    call(r, 2500, "state", "g2", job=K, state="cancelled")


@pair("LOST", bad={"status": 410}, bad_late={"status": 0}, known={"status": 200})
def asked_at_the_end(r, status):
    submit(r, 2000, K, one())
    call(r, 4000, "state", "g2", job=K, status=status, final=True, state="active", took=50)


@pair("LOST", bad={}, running={"until": 20_000}, full={"cpu": 2100},
      once={"cpu": 3000, "small": 1000}, no_lease={"lapse": True}, waits={"dep": True}, too_short={"stop": 16_500},
      lasting_stopped={"cancel": True})
def idle(r, until=None, cpu=1000, lapse=False, dep=False, stop=22_000, cancel=False,
         small=4000):
    """The traffic ends at 3000, so jobs are asked for at 17000."""
    row(r, "worker", w="w2")["capacity"] = [small, 8192, 0]
    submit(r, 2000, K, one(cpu=cpu))
    if dep:
        submit(r, 2001, K, one(cpu=9000), one(dependsOn=[0]), n=2)
    if cpu == 2100:
        submit(r, 2001, G, one(taskCount=2, cpu=2100))
        ran(r, 2100, stop, M)
        ran(r, 2100, stop, f"{G}.0.0.1", w="w2")
    add(r, 3000, "finish")
    if until:
        ran(r, 2100, until, A)
    for w in ("w1", "w2") if lapse else ():
        add(r, 14_000, "lapse", w=w, dead=[])
    if cancel:
        call(r, 2500, "cancel", "x1", job=K)
    add(r, stop, "mark")


@pair("LOST", bad={}, quick={"took": 150}, trouble_too={"kill": True}, silence={"why": "silence"},
      no_work={"what": None}, bad_reload={"what": "hup"}, reload_long_ago={"what": "hup",
                                                                           "at": 100},
      other_machine={"m": "e2"})
def broken_off(r, took=400, what="term", kill=False, why="cut", at=2600, m="e1"):
    """A request sent at 2500, while its machine ends in order."""
    if what:
        trouble(r, at, what, m)
    if kill:
        trouble(r, 1500, "kill", "e2", until=1600)
    submit(r, 2500, K, one(), status=0, took=took, why=why)


# --- configurations

def two_versions(r, *, prefixes=("/q/", "/n/")):
    config(r, 3000, table(8, prefixes=prefixes), base=5)


@pair("CONFIG", bad={}, in_time={"t": 5000}, out_of_touch={"slow": True},
      bad_dropped={"prefixes": ("/n/",), "prefix": "/q/", "status": 200},
      dropped={"prefixes": ("/n/",), "prefix": "/q/", "status": 404},
      dropped_again={"maybe": True})
def stale(r, t=5010, slow=False, prefixes=("/q/", "/n/"), prefix="/n/", status=404, maybe=False):
    two_versions(r, prefixes=prefixes)
    if maybe:
        config(r, 4000, table(9), base=8, status=None)
    if slow:
        trouble(r, 4000, "loss", "e1", until=4100)
    call(r, t, "count", "n1", prefix=prefix, status=status)


@pair("CONFIG", bad={}, within_slack={"t": 3350}, slowed={"t": 4000, "slow": True},
      bad_slowed={"t": 5200, "slow": True}, new_life={"start": True}, other={"by": "e2"})
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


@pair("CONFIG", bad={"body": table(5)}, bad_other={"body": table(8, to="other")},
      bad_refused={"body": table(9)}, bad_silence={"body": None, "status": 0},
      newest={"body": table(8)}, maybe={"body": table(10)},
      other_order={"body": table(8) | {"serviceTable": table(8)["serviceTable"][::-1]}})
def read_back(r, body, status=200):
    config(r, 2000, table(8), base=5)
    config(r, 2100, table(9), base=5, status=412)
    config(r, 2200, table(10), base=8, status=None)
    for t in (9000, 10_500, 12_000):
        read(r, t, body, status=status)


@pair("CONFIG", bad={"prefix": "/q/"}, as_patched={"prefix": "/n/"})
def patched(r, prefix):
    change = {"revision": 8, "withdraw": {"routeTable": ["r/q/"]}, "upsert": {
        "routeTable": [F.route("r/n/", host=HOST, prefix="/n/", service="tiles", retryLimit=2)]}}
    config(r, 2000, change, base=5, whole=False)
    read(r, 9000, table(8, prefixes=(prefix,)))


@pair("LOST", bad={"left": 0}, kept={"left": 8})
def after_a_closing_fault(r, left):
    config(r, 2000, table(8), base=5)
    trouble(r, 2100, "closing", "", most=True)
    read(r, 9000, table(8) if left else {"revision": 0, "routeTable": [], "serviceTable": []})
