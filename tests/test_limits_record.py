"""Limits on the record's memory and on a primary's CPU, in virtual time: jobs that would exceed them are
refused and may be sent again; ends, cancels and reports of workers never are."""

import asyncio
import tracemalloc

import boot  # on the path of the platform adapter's tests
import front
import pytest
from test_platform_translation import SETTINGS, write

from hollowhall.base import constants
from hollowhall.base.problems import BadInput, Full, Raised
from hollowhall.record.charter import check_job
from hollowhall.record.jobs import weight_of
from hollowhall.sim.world import World
from hollowhall.standins.shapes import SHAPES, step


def body(tasks, at=3 * 10**12):
    return {"lane": "tiles", "notBefore": at, "steps": [step("a", "tile", 100, tasks=tasks)]}


def world(**settings):
    simulated = World(seed=5, shape=SHAPES["cymylau"], masts=1, settings=settings)

    async def up():
        simulated.start_all()
        operator, caller = simulated.operator(tag="op"), simulated.requester(tag="r")
        await operator.found(lanes=simulated.shape.lanes)
        await asyncio.sleep(3)
        return caller, simulated.nodes[simulated.who("desk", "primary")[0]].daemon

    return simulated, up


def test_jobs_beyond_a_share_of_memory_are_refused_and_cancels_are_not():
    sim, up = world(memory_mb=64)
    out = {}

    async def put(caller, index):
        return await caller.ask(
            "put", "PUT", f"/v1/jobs/j{index}", body(3000), name=f"j{index}", body=body(3000)
        )

    async def go():
        caller, primary = await up()
        most = int(64 * (1 << 20) * constants.RECORD_MEMORY_FRACTION)
        status, index = 201, -1
        while status == 201:
            index += 1
            status, answer, headers = await put(caller, index)
        out["first"] = status, answer["problem"], answer["taken"], int(headers["Retry-After"])
        out["weight"], out["most"] = primary.record.weight, most
        out["again"] = (await put(caller, 0))[0]  # a job that is recorded already needs no more memory
        sim.add_crew()
        await asyncio.sleep(2)
        out["cancel"] = (await caller.ask("cancel", "DELETE", "/v1/jobs/j0", name="j0"))[0]
        out["workers"] = len(primary.record.workers)
        record = primary.record
        out["sum"] = (
            record.weight,
            sum(weight_of(job.spec) for job in record.jobs.values()),
            primary.pending_job_bytes,
        )
        before = record.weight
        record.rule = record.rule | {"readable_ms": 0}  # as if ten minutes had passed
        record.ev_forget(record.last + (10 << constants.LOGICAL_BITS))
        out["freed"] = before - record.weight

    sim.run(go())
    assert out["first"][:3] == (429, "Full", "no") and out["first"][3] >= 1
    assert 0.8 * out["most"] < out["weight"] <= out["most"]
    assert out["again"] == 200 and out["cancel"] == 200 and out["workers"] > 5
    assert out["sum"][0] == out["sum"][1] and out["sum"][2] == 0 and out["freed"] > 10**6


def test_without_the_param_nothing_is_refused_for_memory():
    sim, up = world()

    async def go():
        _, primary = await up()
        assert primary.has_memory_for(10**12)
        primary.settings.memory_mb = 64
        assert not primary.has_memory_for(10**12) and primary.has_memory_for(1000)
        primary.pending_job_bytes = 64 << 18
        assert not primary.has_memory_for(1000)

    sim.run(go())


def test_names_that_are_kept_count_as_well():
    sim, up = world(memory_mb=64)

    async def go():
        _, primary = await up()
        primary.record.names = {
            str(index): [0, "", ""] for index in range((64 << 18) // constants.JOB_NAME_BYTES)
        }
        assert not primary.has_memory_for(1000)

    sim.run(go())


def test_a_late_primary_refuses_reads_and_takes_reports():
    sim, up = world()
    out = {}

    async def go():
        _, primary = await up()
        primary.loop_lag = 2 * constants.READS_REFUSED_LAG
        for op, request in (("read", {"name": "x"}), ("list", {}), ("count", {"lane": "tiles"})):
            primary.serve(
                op=op, request=request, caller="m", callback=lambda result, op=op: out.setdefault(op, result)
            )
        primary.serve(op="leave", request={"id": "w1", "boot": "b"}, caller="m", callback=lambda result: None)
        out["held"] = [x[0][0] for x in primary.pending_events]

    sim.run(go())
    assert all(isinstance(out[x], Full) and out[x].after >= 1 for x in ("read", "list", "count"))
    assert out["held"] == ["leave"]


@pytest.mark.parametrize(
    "limits, want",
    [
        ({"memoryMb": 300, "fdLimit": 4100}, (300, 3900)),
        ({}, (0, 0)),
        ({"memoryMb": 200.5}, (200, 0)),
        ({"fdLimit": 250}, (0, 96)),
    ],
)
def test_the_platforms_limits_are_the_products_params(tmp_path, limits, want):
    settings = boot.read_settings(
        path=write(
            tmp_path,
            {**{name: value for name, value in SETTINGS.items() if name != "limits"}, "limits": limits},
        )
    )
    params = boot.params_of(settings, role="mast")
    assert (params.memory_mb, params.descriptors) == want


def test_the_operators_limits_are_in_the_products_terms():
    configuration = {
        "notes": {
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": "x",
                "other": 1,
            }
        }
    }
    assert front.limits_of(configuration) == {"headerMs": 3000, "headerBytes": 16384, "bodyBytes": 262144}
    assert front.limits_of({}) == {}


@pytest.mark.parametrize(
    "make",
    [
        lambda: check_job({"lane": "l", "steps": [{"name": "a"}] * 70_000}),
        lambda: front.job_of(lane="l", row={"kind": "k"}, body={"runCount": 10**9, "stages": [{}]}),
    ],
)
def test_a_job_of_too_many_steps_is_refused_before_they_are_looked_at(make):
    tracemalloc.start()
    try:
        with pytest.raises(Raised) as raised:
            make()
        assert isinstance(raised.value.failure, BadInput) and len(raised.value.failure.errors) == 1
        assert tracemalloc.get_traced_memory()[1] < 2 << 20
    finally:
        tracemalloc.stop()
