"""A change of the configuration replaces a route by another one of the same host, prefix and service:
do the jobs that were accepted there before run to their end?"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from fleet import BOUNDS, TROUBLE, config, job_id, main, route, service
from worker import Worker

HOST, PREFIX = "nony24.example", "/pule252/"


def case(make, rec):
    f = make()
    f.start_all()
    where = {"host": HOST, "prefix": PREFIX, "service": "segment-desk"}
    st, _ = f.order(
        "PUT", "/config", config(1, [route("r-a", **where)], [service("segment-desk")]), {"If-Match": "0"}
    )
    if st != 200 or not f.ready():
        return 2
    ws = [
        Worker(
            id=f"i-{i}", service="segment-desk", zone="miraflores", rack=f"r{i}", rec=rec, daemons=f.controls
        ).start()
        for i in range(4)
    ]
    time.sleep(4)
    name = job_id()
    steps = [
        {"taskCount": 1, "cpu": 1000, "memMb": 500},
        {"taskCount": 2, "cpu": 1000, "memMb": 500, "dependsOn": [0]},
    ]
    if f.client("POST", PREFIX + name, {"jobProfile": '{"ms":2500}', "stages": steps}, host=HOST)[0] != 200:
        return 2
    time.sleep(0.8)
    new = "r-b" if TROUBLE else "r-a"  # without the trouble: the same route, with another time-out
    change = {"revision": 2, "upsert": {"routeTable": [route(new, timeout=2900, **where)]}}
    if TROUBLE:
        change["withdraw"] = {"routeTable": ["r-a"]}
    if f.order("PATCH", "/config", change, {"If-Match": "1"})[0] != 200:
        return 2
    end, idle_since, worst = time.monotonic() + 10 + BOUNDS["finish_s"], None, 0.0
    state = ""
    while time.monotonic() < end:
        state = (f.client("GET", PREFIX + name, host=HOST)[1] or {}).get("state", "")
        if state == "complete":
            break
        running = any(w.runs for w in ws)
        step0 = any(h[0].endswith(".0.0.0") and h[4] == "done" for w in ws for h in w.history)
        now = time.monotonic()
        idle_since = None if running or not step0 else idle_since or now
        worst = max(worst, now - idle_since if idle_since else 0.0)
        time.sleep(0.4)
    # another job of the same queue, to show that there is room and that the queue is served
    other = job_id()
    f.client("POST", PREFIX + other, {"jobProfile": '{"ms":500}', "stages": steps[:1]}, host=HOST)
    time.sleep(2)
    st, b = f.client("GET", PREFIX + other, host=HOST)
    rec.note("outcome", state=state, nothing_runs_s=round(worst, 1), other=(b or {}).get("state"))
    if (b or {}).get("state") != "complete":
        return 2
    return 1 if state != "complete" and worst > 3 else 0


main(case)
