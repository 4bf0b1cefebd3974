"""Histories for the checker: a lawful one, and one planted violation of each rule."""

T0 = 1_780_000_000_000.0


def body(**kw):
    s = {"name": "a", "kind": "tile", "room": {"cores": 4}, "maxFailures": 2, "backoffMs": 400}
    return {"lane": "tiles", "steps": [s, {"name": "b", "kind": "tile", "after": ["a"]}]} | kw


def history():
    """One job of two steps; the first fails once. Times in ms after T0."""
    rows = [
        (0, "worker", dict(w="w1", boot="x", kind="tile", zone="z1", rack="r1", room=[8, 0, 0])),
        (0, "worker", dict(w="w2", boot="y", kind="tile", zone="z2", rack="r2", room=[8, 0, 0])),
        (10, "put", dict(id="p1", name="j", body=body())),
        (30, "put.out", dict(id="p1", name="j", body=body(), status=201, taken="yes", new=True, at=T0 + 10)),
        (50, "start", dict(w="w1", boot="x", run="11", task="j/a/0", job="j", step="a")),
        (200, "end", dict(w="w1", run="11", how="bad")),
        (700, "start", dict(w="w2", boot="y", run="12", task="j/a/0", job="j", step="a")),
        (900, "end", dict(w="w2", run="12", how="ok")),
        (950, "told", dict(w="w2", run="12")),
        (1000, "start", dict(w="w1", boot="x", run="13", task="j/b/0", job="j", step="b")),
        (1200, "end", dict(w="w1", run="13", how="ok")),
        (1300, "get.out", dict(name="j", status=200, state="done", at=T0 + 1290)),
        (2000, "edit", dict(id="e1", base=1, rows={"tiles": {"limit": 5}}, whole=False)),
        (
            2020,
            "edit.out",
            dict(id="e1", base=1, rows={"tiles": {"limit": 5}}, status=200, version=2, at=T0 + 2000),
        ),
        (2100, "charter.out", dict(status=200, version=2, rows={"tiles": {"limit": 5}}, at=T0 + 2050)),
    ]
    return [{"t": T0 + t, "ev": e, **d} for t, e, d in rows]


def at(rows, ev, n=0):
    return [r for r in rows if r["ev"] == ev][n]


def add(hist, t, ev, **d):
    hist.append({"t": T0 + t, "ev": ev, **d})


def start(rows, t, run, task, w="w1", boot="x", job="j", step="a"):
    add(rows, t, "start", w=w, boot=boot, run=run, task=task, job=job, step=step)


def second_new(r):
    add(r, 60, "put.out", id="p2", name="j", body=body(), status=201, taken="yes", new=True, at=T0)


def twice(r):
    start(r, 100, "99", "j/a/0", w="w2", boot="y")


def again_after_good(r):
    start(r, 5000, "99", "j/a/0")


def before_its_step(r):
    at(r, "start", 2)["t"] = T0 + 800


def before_its_time(r):
    for x in [x for x in r if "body" in x]:
        x["body"] = body(notBefore=T0 + 400)


def before_backoff(r):
    at(r, "start", 1)["t"] = T0 + 300


def over_room(r):
    at(r, "worker")["room"] = [3, 0, 0]


def wrong_kind(r):
    at(r, "worker", 1)["kind"] = "nowcast"


def off_rack(r):
    for x in [x for x in r if "body" in x]:
        x["body"]["steps"][0]["rack"] = "r1"


def crowded(r):
    for x in r:
        if "body" in x:
            x["body"]["steps"][0].update(tasks=2, spread={"perWorker": 1})
    start(r, 60, "98", "j/a/1")


def over_failures(r):
    for x in [x for x in r if "body" in x]:
        x["body"]["steps"][0]["maxFailures"] = 1


def refused_runs(r):
    x = at(r, "put.out")
    x.update(status=429, taken="no", new=False)


def unsent_runs(r):
    start(r, 3000, "97", "ghost/a/0", job="ghost")


def cancelled_starts(r):
    add(r, 3000, "cancel", id="c", name="k")
    add(r, 40, "put", id="p9", name="k", body=body())
    add(r, 45, "put.out", id="p9", name="k", body=body(), status=201, taken="yes", at=T0 + 40)
    add(r, 3010, "cancel.out", id="c", name="k", status=200, state="ending", at=T0 + 3000)
    start(r, 6500, "96", "k/a/0", job="k")
    add(r, 6600, "end", w="w1", run="96", how="ok")


def cancelled_runs(r):
    cancelled_starts(r)
    at(r, "start", -1)["t"] = T0 + 2900
    at(r, "end", -1)["t"] = T0 + 17_000


def leaving_starts(r):
    add(r, 600, "left", w="w2", boot="y")
    at(r, "start", 1)["t"] = T0 + 2700
    for ev, n, t in (
        ("end", 1, 2800),
        ("told", 0, 2850),
        ("start", 2, 2900),
        ("end", 2, 3000),
        ("get.out", 0, 3100),
    ):
        at(r, ev, n)["t"] = T0 + t


def forgotten(r):
    add(r, 4000, "get.out", name="j", status=404, at=T0 + 3990)


def never_ended(r):
    add(r, 40, "put", id="p9", name="k", body=body())
    add(r, 45, "put.out", id="p9", name="k", body=body(), status=201, taken="yes", at=T0 + 40)
    add(r, 60_000, "calm")


def failed_without_cause(r):
    at(r, "get.out")["state"] = "failed"


def goes_back(r):
    add(r, 4000, "get.out", name="j", status=200, state="open", at=T0 + 3990)


def done_too_soon(r):
    at(r, "get.out")["t"] = T0 + 1100


def charter_back(r):
    at(r, "charter.out")["version"] = 1


def charter_lost_row(r):
    at(r, "charter.out")["rows"] = {}


def charter_twice(r):
    add(r, 2500, "edit.out", id="e2", base=1, rows={}, status=200, version=2, at=T0 + 2400)


def over_limit(r):
    for x in r:
        if "rows" in x:
            x["rows"] = {"tiles": {"limit": 1}}
        if "body" in x:
            x["body"]["steps"][0]["tasks"] = 2
    at(r, "get.out")["t"] = T0 + 20_000
    at(r, "end", 2)["t"] = T0 + 15_000
    start(r, 14_000, "95", "j/a/1")
    add(r, 14_500, "end", w="w1", run="95", how="ok")


def no_service(r):
    add(r, 5000, "fault", what="last")
    add(r, 30_000, "get.out", name="j", status=503, at=T0 + 29_000)


def woke_and_went_on(r):
    add(r, 60, "freeze", w="w1")
    start(r, 100, "94", "j/a/0", w="w2", boot="y")
    add(r, 120, "end", w="w2", run="94", how="stopped")
    add(r, 150, "thaw", w="w1")


def two_holders(r):
    add(r, 60, "both", duty="primary", ids=["desk-1", "desk-2"])


def stamps_back(r):
    for t, first in ((60, 100), (70, 104)):
        add(r, t, "stamp", first=first, n=5)


def ran_on_and_elsewhere(r):
    add(r, 60, "lone", w="w1")
    start(r, 100, "93", "j/a/0", w="w2", boot="y")
    add(r, 120, "end", w="w2", run="93", how="stopped")


def ran_on_after_it_was_heard(r):
    cancelled_runs(r)
    add(r, 3100, "lone", w="w1")
    add(r, 4000, "heard", w="w1")
