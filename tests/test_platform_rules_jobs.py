"""The checker's rules of orders and of jobs: planted violations, and near misses."""

import pytest
from platform_standins.planted import Pairs, found
from platform_standins.rows import G, K, add, call, evacuation, one, ran, row, submit, trouble, worker

A, B, M = f"{K}.0.0.0", f"{K}.0.0.1", f"{G}.0.0.0"
PAIRS = Pairs()
pair = PAIRS.pair


@pair(
    "UNASKED",
    bad={"task": f"{G}.0.0.0"},
    bad_index={"task": f"{K}.0.0.2"},
    bad_time={"task": f"{K}.1.0.0"},
    bad_name={"task": "x"},
    bad_text={"spec": "other"},
    sent={"task": B},
    bad_progress={"saved": "progress-j"},
    own={"saved": "progress-k"},
)
def told(r, task=A, **kw):
    submit(r, 2000, K, one(taskCount=2, checkpoints=True))
    add(r, 2050, "saved", w="w2", task=A, run=1, saved="progress-k")
    ran(r, 2100, 2500, task, run=2, **kw)


@pair("UNASKED", bad={}, gang={"kw": {"gangScheduled": True}})
def progress_of_another_member(r, kw=None):
    submit(r, 2000, K, one(taskCount=2, checkpoints=True, **kw or {}))
    add(r, 2050, "saved", w="w2", task=A, run=1, saved="progress-k")
    ran(r, 2100, 2500, B, run=2, saved="progress-k")


@pair("UNASKED", bad={}, in_time={"t": 6900}, refused={"status": 503}, out_of_touch={"slow": True})
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


@pair(
    "REFUSED",
    bad={},
    bad_invalid={"status": 422},
    silence={"status": 0},
    pending={"status": None},
    server={"status": 502},
    later={"last": 200},
)
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


@pair(
    "EVAC",
    bad={},
    in_time={"t": 7000},
    withdrawn={"back": 7010},
    other_zone={"w": "w2"},
    bad_again={"back": 7010, "anew": 7020, "t": 12100},
)
def starts_in_evacuated(r, t=7050, back=None, anew=None, w="w1"):
    submit(r, 1800, K, one())
    evacuation(r, 2000)
    if back:
        evacuation(r, back, withdraw=True)
    if anew:
        evacuation(r, anew)
    ran(r, t, t + 300, A, w=w)


@pair(
    "MIXED",
    bad={},
    later={"t": 3000},
    gang={"kw": {"gangScheduled": True}},
    bad_state={"state": "finished", "t": 3000},
    active={"state": "active"},
)
def shown_complete(r, t=2600, state="complete", kw=None):
    submit(r, 2000, K, one(taskCount=2, **kw or {}))
    ran(r, 2100, 2500, A)
    ran(r, 2100, 2900, B, w="w2")
    call(r, t, "state", "g2", job=K, state=state)


@pair(
    "LOST",
    bad={},
    soon={"t": 4990},
    out_of_touch={"slow": True},
    ended={"t": 125_000},
    bad_ended={"t": 100_000},
)
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


@pair(
    "LOST",
    bad={},
    running={"until": 20_000},
    full={"cpu": 2100},
    once={"cpu": 3000, "small": 1000},
    no_lease={"lapse": True},
    waits={"dep": True},
    too_short={"stop": 16_500},
    lasting_stopped={"cancel": True},
)
def idle(r, until=None, cpu=1000, lapse=False, dep=False, stop=22_000, cancel=False, small=4000):
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


@pair(
    "LOST",
    bad={},
    quick={"took": 150},
    trouble_too={"kill": True},
    silence={"why": "silence"},
    no_work={"what": None},
    bad_reload={"what": "hup"},
    reload_long_ago={"what": "hup", "at": 100},
    other_machine={"m": "e2"},
)
def broken_off(r, took=400, what="term", kill=False, why="cut", at=2600, m="e1"):
    """A request sent at 2500, while its machine ends in order."""
    if what:
        trouble(r, at, what, m)
    if kill:
        trouble(r, 1500, "kill", "e2", until=1600)
    submit(r, 2500, K, one(), status=0, took=took, why=why)


@pytest.mark.parametrize("rule, plant, kw, bad", PAIRS.all)
def test_pairs(rule, plant, kw, bad):
    assert found(plant, kw) == ({rule} if bad else set())
