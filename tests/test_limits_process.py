"""Memory of real processes at their limits: a gateway (`mast`) under slow clients and large bodies, and a
record filled up to its share, of which a snapshot is taken and loaded. The peak resident memory (VmHWM) stays
below the limit by a margin."""

import asyncio
import contextlib
import pathlib
import subprocess
import sys

import aiohttp
from test_limits import HALF_HEADER, head
from test_process import RUN, wait_for_event, write_settings

from hollowhall.tools.fleet.fleet import free_ports

MARGIN = 0.9  # fraction of the limit that may be used in these tests
FILL_RECORD = """
import asyncio, pathlib, sys, time
from hollowhall.hall import Hall
from hollowhall.almanac.ring import decode_frame, encode_frame
from hollowhall.base.circuit import pack, unpack
from hollowhall.base.limits import record_bytes
from hollowhall.base.params import check
from hollowhall.record import Record
from hollowhall.record.charter import check_job
from hollowhall.record.jobs import weight_of
settings = check({"id": "m", "addr": "127.0.0.1:7001", "role": "mast", "http": "127.0.0.1:7002",
           "seeds": ["127.0.0.1:7101"], "memory_mb": int(sys.argv[1])})
record = Record()
record.charter["rows"]["l"] = {"weight": 1}
record.level = 2
spec, digest = check_job({"lane": "l", "work": {"text": "x" * 1000}, "steps": [
    {"name": f"s{i}", "kind": "tile", "tasks": int(sys.argv[2]), "room": {"cores": 2}}
    for i in range(4)]})
body, count = pack(spec), 0
while record.weight + weight_of(spec) <= record_bytes(settings):
    count += 1
    record.ev_job(count << 18, f"job-{count}", unpack(body), digest)
resident = [int(x.split()[1]) for x in open("/proc/self/status") if x.startswith("VmRSS")][0]
snapshot, _ = asyncio.run(record.picture(spend=lambda s: None, now=time.monotonic))
frame = encode_frame(seq=0, index=1, term=1, body=pack({"record": snapshot}))
del snapshot
snapshot = unpack(decode_frame(buf=frame, off=0, seq=0)[0])["record"]
record.load(snapshot)
print(len(record.jobs), resident // 1024, *[int(x.split()[1]) // 1024 for x in open("/proc/self/status")
                                            if x.startswith("VmHWM")])
"""


def peak(pid):
    """The peak resident memory of a process, MB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return next(int(line.split()[1]) for line in text.splitlines() if line.startswith("VmHWM")) / 1024


def test_a_record_at_its_share_is_saved_and_loaded_within_the_limit():
    for tasks in ("1", "16"):
        process = subprocess.run(
            [sys.executable, "-c", FILL_RECORD, "200", tasks], capture_output=True, text=True, timeout=120
        )
        jobs, resident, highest = map(int, process.stdout.split())
        assert jobs > 500 and highest < MARGIN * 200, (resident, highest)


async def flood(http, pid):
    """Sends 60 large bodies at once, then connects 300 slow clients, with a worker's report after every
    thirty. Returns the (status, failure) of the reports and the statuses of the bodies."""
    reports, writers = [], []
    host, port = http.split(":")
    body = b'{"lane": "tiles", "steps": [' + b'{"name": "a"},' * 70_000 + b"{}]}"

    async def send(session):
        with contextlib.suppress(aiohttp.ClientError):
            async with session.put(
                f"http://{http}/v1/jobs/j", data=body, headers={"Content-Type": "application/json"}
            ) as response:
                assert response.status == 422 or int(response.headers["Retry-After"]) > 0
                return response.status

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        statuses = await asyncio.wait_for(asyncio.gather(*(send(session) for _ in range(60))), 40)
    async with aiohttp.ClientSession() as worker:
        for number in range(300):
            writers.append((await asyncio.open_connection(host, port))[1])
            writers[-1].write(HALF_HEADER if number % 2 else head(900_000) + b"x" * 40_000)
            if number % 30 == 29:
                async with worker.post(
                    f"http://{http}/v1/workers/w1/beat",
                    json={"boot": "b", "seq": number, "kind": "tile", "room": {"cores": 2}},
                ) as response:
                    reports.append((response.status, (await response.json())["problem"]))
                    assert len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir())) < 200
        for writer in writers:
            writer.close()
    return reports, statuses


def test_a_mast_stays_within_its_memory_and_descriptors(tmp_path):
    seed, address, http = [f"127.0.0.1:{port}" for port in free_ports(3)]
    settings = write_settings(
        tmp_path / "mast.toml", id="m1", addr=address, http=http, seeds=[seed], memory_mb=200, descriptors=200
    )
    process = subprocess.Popen([*RUN, "mast", "--params", settings], stderr=subprocess.PIPE, text=True)
    try:
        wait_for_event(process, "HH100")
        reports, statuses = asyncio.run(flood(http, process.pid))
        highest = peak(process.pid)
        # there is no primary: the gateway itself answers a report with that
        assert reports == [(503, "NotPrimary")] * 10
        assert 503 in statuses and 422 in statuses  # some were accepted and validated
        assert highest < MARGIN * 200, highest
    finally:
        process.kill()
