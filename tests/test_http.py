"""The HTTP API over real sockets: a store member, a scheduler and a gateway in this process, on ephemeral
ports. Tests wait for answers, never for a fixed time."""

import asyncio

import aiohttp
import pytest

from hollowhall.almanac import StoreMember
from hollowhall.base.params import check
from hollowhall.base.probe import probe
from hollowhall.base.problems import Mismatch
from hollowhall.base.seam import Runtime
from hollowhall.desk import Desk
from hollowhall.mast import Mast
from hollowhall.tools.fleet.fleet import free_ports

JOB = {"lane": "tiles", "steps": [{"name": "cut", "kind": "tile", "room": {"cores": 2}}]}
BEAT = {"boot": "b1", "kind": "tile", "zone": "z1", "rack": "r1", "room": {"cores": 8}}


class Cluster:
    """A cluster of three daemons, and an HTTP client of its gateway."""

    async def open(self, folder):
        store_address, scheduler_address, gateway_address, http_address = [
            f"127.0.0.1:{port}" for port in free_ports(4)
        ]
        settings = {"seeds": [store_address]}
        self.addr, self.daemons = (
            store_address,
            [
                StoreMember(
                    runtime=Runtime(folder=str(folder)),
                    settings=check(
                        settings
                        | {
                            "id": "a1",
                            "addr": store_address,
                            "role": "almanac",
                            "data": str(folder),
                            "found": True,
                        }
                    ),
                ),
                Desk(
                    runtime=Runtime(),
                    settings=check(settings | {"id": "d1", "addr": scheduler_address, "role": "desk"}),
                ),
                Mast(
                    runtime=Runtime(),
                    settings=check(
                        settings | {"id": "m1", "addr": gateway_address, "http": http_address, "role": "mast"}
                    ),
                ),
            ],
        )
        for daemon in self.daemons:
            await daemon.start()
        self.base, self.session, self.seq = f"http://{http_address}", aiohttp.ClientSession(), 0
        for _ in range(400):
            if (await self.ask("GET", "/readyz"))[0] == 200 and (await self.ask("GET", "/v1/jobs"))[0] == 200:
                break
            await asyncio.sleep(0.02)
        version = (await self.ask("GET", "/v1/charter"))[1]["version"]
        status, _, _ = await self.ask(
            "PUT",
            "/v1/charter",
            {"base": version, "rows": {"tiles": {"weight": 2, "limit": 4, "urgency": 3}}},
        )
        assert status == 200
        return self

    async def close(self):
        await self.session.close()
        for daemon in reversed(self.daemons):
            await daemon.stop()

    async def ask(self, method, path, body=None, **kw):
        """(status, body, headers) of a request to the gateway."""
        async with self.session.request(method, self.base + path, json=body, **kw) as response:
            answer = await (response.json() if "json" in response.content_type else response.text())
            return response.status, answer, response.headers

    async def beat(self, **kw):
        self.seq += 1
        return await self.ask("POST", "/v1/workers/w1/beat", BEAT | {"seq": self.seq} | kw)


def run(scene, tmp_path):
    """Runs a test's coroutine with a new cluster."""

    async def go():
        hall = Cluster()
        try:
            await hall.open(tmp_path)
            await asyncio.wait_for(scene(hall), 60)
        finally:
            await hall.close()

    asyncio.run(go())


def test_a_job_from_sent_to_done(tmp_path):
    async def scene(hall):
        assert (await hall.ask("PUT", "/v1/jobs/j1", JOB))[0] == 201
        assert (await hall.ask("PUT", "/v1/jobs/j1", JOB))[0] == 200
        assert (await hall.ask("PUT", "/v1/jobs/j1", JOB | {"notBefore": 5}))[0] == 409
        answer = (await hall.beat())[1]
        while not answer["starts"]:
            answer = (await hall.beat())[1]
        run_id = answer["starts"][0]["runId"]
        assert answer["starts"][0]["task"] == "j1/cut/0" and answer["holdMs"] > answer["validMs"] > 0
        answer = (await hall.beat(running=[run_id]))[1]
        assert answer["starts"] == [] and answer["live"] == [run_id]
        while run_id in answer["live"]:
            answer = (await hall.beat(ended=[{"runId": run_id, "how": "ok"}]))[1]
        status, job, _ = await hall.ask("GET", "/v1/jobs/j1")
        assert status == 200 and job["state"] == "done" and job["tasks"] == {"done": 1}
        status, answer, _ = await hall.ask("GET", "/v1/jobs?lane=tiles&state=done&most=1")
        assert [x["name"] for x in answer["jobs"]] == ["j1"]
        assert (await hall.ask("DELETE", "/v1/jobs/j1"))[1]["state"] == "done"
        assert (await hall.ask("DELETE", "/v1/jobs/nobody"))[0] == 404

    run(scene, tmp_path)


def test_bad_input_is_refused_with_every_reason(tmp_path):
    async def scene(hall):
        circle = JOB | {
            "steps": [
                JOB["steps"][0] | {"name": "a", "after": ["b"]},
                JOB["steps"][0] | {"name": "b", "after": ["a"]},
            ]
        }
        for body in (
            circle,
            {"lane": "tiles"},
            JOB | {"colour": 1},
            JOB | {"lane": "nolane"},
            JOB | {"steps": [JOB["steps"][0] | {"after": ["ghost"]}]},
        ):
            status, answer, _ = await hall.ask("PUT", "/v1/jobs/bad", body)
            assert (status, answer["problem"], answer["taken"]) == (422, "BadInput", "no") and answer[
                "errors"
            ]
        assert (await hall.ask("PUT", "/v1/jobs/a%20b", JOB))[0] == 422
        status, answer, _ = await hall.ask(
            "PUT", "/v1/jobs/bad", data=b"{", headers={"Content-Type": "application/json"}
        )
        assert (status, answer["problem"]) == (400, "BadJson")
        status, answer, _ = await hall.ask(
            "PUT", "/v1/jobs/bad", data=b"x", headers={"Content-Type": "text/plain"}
        )
        assert (status, answer["problem"]) == (415, "BadType")
        status, answer, _ = await hall.ask(
            "PUT", "/v1/jobs/bad", data=b"[" * (5 << 20), headers={"Content-Type": "application/json"}
        )
        assert (status, answer["problem"]) == (413, "TooLarge")
        assert (await hall.ask("POST", "/v1/jobs/bad", JOB))[0] == 405
        assert (await hall.ask("GET", "/v1/nothing"))[0] == 404
        assert (await hall.ask("GET", "/v1/jobs/bad"))[0] == 404
        assert (await hall.ask("GET", "/v1/jobs?most=x"))[0] == 422
        assert (await hall.beat(running=["x"]))[0] == 422

    run(scene, tmp_path)


def test_the_charter_is_edited_on_a_version(tmp_path):
    async def scene(hall):
        version = (await hall.ask("GET", "/v1/charter"))[1]["version"]
        row = {"weight": 5, "limit": 2, "urgency": 1}
        status, answer, _ = await hall.ask("PATCH", "/v1/charter", {"base": version, "rows": {"hail": row}})
        assert (status, answer["version"]) == (200, version + 1)
        status, answer, _ = await hall.ask("PATCH", "/v1/charter", {"base": version, "rows": {"hail": None}})
        assert (status, answer["problem"], answer["version"]) == (409, "StaleBase", version + 1)
        status, answer, _ = await hall.ask(
            "PATCH",
            "/v1/charter",
            {
                "base": version + 1,
                "rows": {"a": {"weight": -1}, "b": {"limit": "x", "weight": 1}, "c": {"weight": 1, "hue": 2}},
            },
        )
        assert status == 422 and {e[0] for e in answer["errors"]} == {
            "rows.a.weight",
            "rows.b.limit",
            "rows.c.hue",
        }
        rows = (await hall.ask("GET", "/v1/charter"))[1]["rows"]
        assert set(rows) == {"tiles", "hail"} and rows["hail"]["limit"] == 2
        large = {f"lane-{i}": {"weight": 1} for i in range(20_000)}
        status, answer, _ = await hall.ask("PUT", "/v1/charter", {"base": version + 1, "rows": large})
        assert (status, answer["version"]) == (200, version + 2)
        status, answer, _ = await hall.ask(
            "PUT", "/v1/charter", {"base": version + 2, "rows": large | {"one-more": {"weight": 1}}}
        )
        assert status == 422
        assert len((await hall.ask("GET", "/v1/charter"))[1]["rows"]) == 20_000

    run(scene, tmp_path)


def test_health_metrics_leave_and_first_frames(tmp_path):
    async def scene(hall):
        assert (await hall.ask("GET", "/healthz"))[0] == 200
        status, text, _ = await hall.ask("GET", "/metrics")
        assert status == 200 and "hollowhall_asks_total" in text
        await hall.beat()
        assert (await hall.ask("POST", "/v1/workers/w1/leave", {"boot": "other"}))[0] == 404
        while (await hall.ask("POST", "/v1/workers/w1/leave", {"boot": "b1"}))[0] != 200:
            await hall.beat()
        assert (await hall.beat())[1]["state"] == "leaving"
        status, answer, _ = await hall.ask("GET", "/v1/fleet")
        assert status == 200 and answer["workers"][0]["state"] == "leaving" and len(answer["daemons"]) == 3
        result = await probe(addr=hall.addr, op="status", request={}, cluster="another")
        assert not result.ok
        result = await probe(addr=hall.addr, op="nonsense", request={})
        assert type(result).__name__ == "Broken"

    run(scene, tmp_path)


@pytest.mark.parametrize("gone", ["desk", "almanac"])
def test_an_ask_that_cannot_be_served_is_told_at_once_when_to_come_back(tmp_path, gone):
    async def scene(hall):
        await hall.daemons[1 if gone == "desk" else 0].stop()
        started_at = asyncio.get_running_loop().time()
        while True:
            status, answer, headers = await hall.ask("PUT", "/v1/jobs/late", JOB)
            if status != 201:
                break
        assert status == 503 and int(headers["Retry-After"]) >= 1 and answer["taken"] in ("no", "unsure")
        assert asyncio.get_running_loop().time() - started_at < 30

    run(scene, tmp_path)
    assert Mismatch(field="v").taken == "no"
