"""The adapter's translation of a client's job, and its answers to bad ones."""

import front
import pytest
from test_platform_translation import ID, Mast, call

from hollowhall.base import problems as P
from hollowhall.record.charter import check_job


def test_a_job_in_the_products_form():
    body = {
        "jobProfile": "p",
        "runCount": 2,
        "firstRunMs": 5000,
        "intervalMs": 100,
        "stages": [
            {"taskCount": 2, "cpu": 500, "memMb": 64, "affinity": "r1", "checkpoints": True},
            {
                "taskCount": 3,
                "gpu": 1,
                "dependsOn": [0],
                "gangScheduled": True,
                "sameRack": True,
                "requiredLabels": "a",
                "antiAffinity": 2,
                "estimateMs": 7,
            },
        ],
    }
    row = {"kind": "svc", "maxFailures": 4}
    job, _ = check_job(front.job_of(body=body, lane="r-1", row=row))
    steps = {step["name"]: step for step in job["steps"]}
    assert sorted(steps) == ["0.0", "0.1", "1.0", "1.1"] and steps["1.1"]["after"] == ["1.0"]
    assert (steps["1.0"]["notBefore"], steps["1.0"]["near"], steps["1.0"]["saves"]) == (5100, "r1", True)
    assert steps["0.1"]["gang"] and steps["0.1"]["tight"] and steps["0.1"]["label"] == "a"
    assert (
        steps["0.1"]["perWorker"] == 2 and steps["0.1"]["maxFailures"] == 4 and job["work"] == {"text": "p"}
    )
    body = {"jobProfile": "p", "longRunning": True, "stages": [{"taskCount": 1}]}
    job, _ = check_job(front.job_of(body=body, lane="r-1", row=row))
    assert job["standing"] and job["steps"][0]["forever"]


@pytest.mark.parametrize(
    "body, status",
    [
        (b"{", 400),
        (b"[]", 400),
        ({"stages": []}, 400),
        ({"jobProfile": "p"}, 400),
        ({"stages": [{"taskCount": "many"}]}, 400),
        ({"stages": [{"taskCount": 1, "dependsOn": [7]}]}, 400),
        ({"jobProfile": "x" * 600, "stages": [{"taskCount": 1}]}, 413),
    ],
)
def test_a_bad_job_is_refused_and_goes_nowhere(body, status):
    mast = Mast(P.Success(value={}))
    reply = call(mast, "POST", ID, body)
    assert reply.status == status and not mast.sent
    assert status == 413 or reply.body["fields"]
