"""A lasting gang whose members end `done`: are its tasks started again?"""

import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from fleet import TROUBLE, config, job_id, main, route, service
from worker import Worker

HOST, PREFIX = "nony24.example", "/watch-b/"


def case(make, rec):
    f = make()
    f.start_all()
    rs = [route("r-watch", host=HOST, prefix=PREFIX, service="segment-desk")]
    st, _ = f.order("PUT", "/config", config(1, rs, [service("segment-desk")]), {"If-Match": "0"})
    if st != 200 or not f.ready():
        return 2
    ws = [
        Worker(
            id=f"i-{i}", service="segment-desk", zone="miraflores", rack="r1", rec=rec, daemons=f.controls
        ).start()
        for i in range(4)
    ]
    time.sleep(4)
    name = job_id()
    text = json.dumps({"ms": 3000 if TROUBLE else 10_000_000, "cpu": 1000})
    step = {"taskCount": 2, "cpu": 1000, "memMb": 100, "estimateMs": 600, "gangScheduled": True}
    st, _ = f.client(
        "POST", PREFIX + name, {"jobProfile": text, "stages": [step], "longRunning": True}, host=HOST
    )
    if st != 200:
        return 2
    time.sleep(5)
    end, idle = time.monotonic() + 12, 0.0
    while time.monotonic() < end:
        idle = 0.0 if any(w.runs for w in ws) else idle + 0.1
        time.sleep(0.1)
    state = (f.client("GET", PREFIX + name, host=HOST)[1] or {}).get("state")
    rec.note("outcome", state=state, nothing_runs_s=round(idle, 1))
    return 1 if idle > 9 else 0


main(case)
