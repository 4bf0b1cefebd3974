"""A machine of the system freezes with a client's submission unread, and submits it when it wakes: after the
client's time is over, and after the client has cancelled the job and had an answer."""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from stage import ZONES, Stage, Worker, config, finish, trouble  # noqa: E402

JOB, FREEZE_S, CANCEL_S = "5c0e7a21d94b36f8", 5.0, 3.0
HEADERS = {"Host": "h.example", "Time-Remaining": "3000"}
BODY = {
    "jobProfile": "cpu=1000;s=3",
    "stages": [
        {"taskCount": 2, "cpu": 1000, "estimateMs": 3000},
        {"taskCount": 2, "cpu": 1000, "estimateMs": 3000, "dependsOn": [0]},
    ],
}


def play(stage):
    """The exit code."""
    if not stage.ready(config(3, [("r1", "/q1/", "svc1")])):
        return 2
    workers = [Worker(stage, f"i-{n}", zone=ZONES[n % 3]) for n in range(4)]
    if not stage.known(workers):
        return 2
    front, other = stage.addr("edge-1", 21), stage.addr("edge-2", 21)
    if trouble():
        stage.signal("edge-1", signal.SIGSTOP)
    frozen_at = time.monotonic()
    stage.client(front, "POST", f"/q1/{JOB}", BODY, HEADERS, timeout=3.0)
    status = stage.client(other, "DELETE", f"/q1/{JOB}", None, HEADERS, timeout=3.0)
    if status not in (200, 410):
        return 2
    acknowledged = stage.now()
    time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if trouble():
        stage.signal("edge-1", signal.SIGCONT)
    for _ in range(12):
        time.sleep(1.0)
        stage.client(other, "GET", f"/q1/{JOB}", None, HEADERS, timeout=3.0)
    late = [r for r in stage.rows if r["what"] == "began" and r["at"] > acknowledged + CANCEL_S]
    stage.record("verdict", cancel_acknowledged=acknowledged, started_more_than_cancel_ms_later=len(late))
    return 1 if late else 0


finish(Stage(), play, HERE)
