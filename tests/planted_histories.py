"""Histories for the checker: one that breaks no rule, and functions that each add one violation to it."""

T0 = 1_780_000_000_000.0


def body(**kw):
    """A job of two steps, the second after the first."""
    first = {"name": "a", "kind": "tile", "room": {"cores": 4}, "maxFailures": 2, "backoffMs": 400}
    return {"lane": "tiles", "steps": [first, {"name": "b", "kind": "tile", "after": ["a"]}]} | kw


def history():
    """One job of two steps, whose first task fails once. Times are in ms after T0."""
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
    return [{"t": T0 + time, "ev": event, **fields} for time, event, fields in rows]


def at(rows, event, index=0):
    """The row of an event with that index."""
    return [row for row in rows if row["ev"] == event][index]


def add(hist, time, event, **fields):
    hist.append({"t": T0 + time, "ev": event, **fields})


def start(rows, time, run, task, worker="w1", boot="x", job="j", step="a"):
    add(rows, time, "start", w=worker, boot=boot, run=run, task=task, job=job, step=step)


def second_new(rows):
    add(rows, 60, "put.out", id="p2", name="j", body=body(), status=201, taken="yes", new=True, at=T0)


def twice(rows):
    start(rows, 100, "99", "j/a/0", worker="w2", boot="y")


def again_after_good(rows):
    start(rows, 5000, "99", "j/a/0")


def before_its_step(rows):
    at(rows, "start", 2)["t"] = T0 + 800


def before_its_time(rows):
    for row in [row for row in rows if "body" in row]:
        row["body"] = body(notBefore=T0 + 400)


def before_backoff(rows):
    at(rows, "start", 1)["t"] = T0 + 300


def over_room(rows):
    at(rows, "worker")["room"] = [3, 0, 0]


def wrong_kind(rows):
    at(rows, "worker", 1)["kind"] = "nowcast"


def off_rack(rows):
    for row in [row for row in rows if "body" in row]:
        row["body"]["steps"][0]["rack"] = "r1"


def crowded(rows):
    for row in rows:
        if "body" in row:
            row["body"]["steps"][0].update(tasks=2, spread={"perWorker": 1})
    start(rows, 60, "98", "j/a/1")


def over_failures(rows):
    for row in [row for row in rows if "body" in row]:
        row["body"]["steps"][0]["maxFailures"] = 1


def refused_runs(rows):
    answer = at(rows, "put.out")
    answer.update(status=429, taken="no", new=False)


def unsent_runs(rows):
    start(rows, 3000, "97", "ghost/a/0", job="ghost")


def cancelled_starts(rows):
    add(rows, 3000, "cancel", id="c", name="k")
    add(rows, 40, "put", id="p9", name="k", body=body())
    add(rows, 45, "put.out", id="p9", name="k", body=body(), status=201, taken="yes", at=T0 + 40)
    add(rows, 3010, "cancel.out", id="c", name="k", status=200, state="ending", at=T0 + 3000)
    start(rows, 6500, "96", "k/a/0", job="k")
    add(rows, 6600, "end", w="w1", run="96", how="ok")


def cancelled_runs(rows):
    cancelled_starts(rows)
    at(rows, "start", -1)["t"] = T0 + 2900
    at(rows, "end", -1)["t"] = T0 + 17_000


def leaving_starts(rows):
    add(rows, 600, "left", w="w2", boot="y")
    at(rows, "start", 1)["t"] = T0 + 2700
    for event, index, time in (
        ("end", 1, 2800),
        ("told", 0, 2850),
        ("start", 2, 2900),
        ("end", 2, 3000),
        ("get.out", 0, 3100),
    ):
        at(rows, event, index)["t"] = T0 + time


def forgotten(rows):
    add(rows, 4000, "get.out", name="j", status=404, at=T0 + 3990)


def never_ended(rows):
    add(rows, 40, "put", id="p9", name="k", body=body())
    add(rows, 45, "put.out", id="p9", name="k", body=body(), status=201, taken="yes", at=T0 + 40)
    add(rows, 60_000, "calm")


def failed_without_cause(rows):
    at(rows, "get.out")["state"] = "failed"


def goes_back(rows):
    add(rows, 4000, "get.out", name="j", status=200, state="open", at=T0 + 3990)


def done_too_soon(rows):
    at(rows, "get.out")["t"] = T0 + 1100


def charter_back(rows):
    at(rows, "charter.out")["version"] = 1


def charter_lost_row(rows):
    at(rows, "charter.out")["rows"] = {}


def charter_twice(rows):
    add(rows, 2500, "edit.out", id="e2", base=1, rows={}, status=200, version=2, at=T0 + 2400)


def over_limit(rows):
    for row in rows:
        if "rows" in row:
            row["rows"] = {"tiles": {"limit": 1}}
        if "body" in row:
            row["body"]["steps"][0]["tasks"] = 2
    at(rows, "get.out")["t"] = T0 + 20_000
    at(rows, "end", 2)["t"] = T0 + 15_000
    start(rows, 14_000, "95", "j/a/1")
    add(rows, 14_500, "end", w="w1", run="95", how="ok")


def no_service(rows):
    add(rows, 5000, "fault", what="last")
    add(rows, 30_000, "get.out", name="j", status=503, at=T0 + 29_000)


def woke_and_went_on(rows):
    add(rows, 60, "freeze", w="w1")
    start(rows, 100, "94", "j/a/0", worker="w2", boot="y")
    add(rows, 120, "end", w="w2", run="94", how="stopped")
    add(rows, 150, "thaw", w="w1")


def two_holders(rows):
    add(rows, 60, "both", duty="primary", ids=["desk-1", "desk-2"])


def stamps_back(rows):
    for time, first in ((60, 100), (70, 104)):
        add(rows, time, "stamp", first=first, n=5)


def ran_on_and_elsewhere(rows):
    add(rows, 60, "lone", w="w1")
    start(rows, 100, "93", "j/a/0", worker="w2", boot="y")
    add(rows, 120, "end", w="w2", run="93", how="stopped")


def ran_on_after_it_was_heard(rows):
    cancelled_runs(rows)
    add(rows, 3100, "lone", w="w1")
    add(rows, 4000, "heard", w="w1")
