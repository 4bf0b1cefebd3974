"""Memory of real processes at their bounds: a mast under slow clients and large bodies, and a
record filled up to its share, of which a snapshot is taken and read back. What a process
once had resident at most (VmHWM) stays under the limit with a margin."""

import asyncio
import contextlib
import pathlib
import subprocess
import sys

import aiohttp
from test_limits import HALF, head
from test_process import RUN, params, until

from hollowhall.tools.fleet.fleet import free_ports

MARGIN = 0.9  # part of the limit that may be used, in these tests
FILLED = """
import asyncio, pathlib, sys, time
from hollowhall.hall import Hall
from hollowhall.almanac.ring import open_frame, seal
from hollowhall.base.circuit import pack, unpack
from hollowhall.base.limits import record_bytes
from hollowhall.base.params import check
from hollowhall.record import Record
from hollowhall.record.charter import check_job
from hollowhall.record.jobs import weight_of
p = check({"id": "m", "addr": "127.0.0.1:7001", "role": "mast", "http": "127.0.0.1:7002",
           "seeds": ["127.0.0.1:7101"], "memory_mb": int(sys.argv[1])})
r = Record()
r.charter["rows"]["l"] = {"weight": 1}
r.level = 2
spec, digest = check_job({"lane": "l", "work": {"text": "x" * 1000}, "steps": [
    {"name": f"s{i}", "kind": "tile", "tasks": int(sys.argv[2]), "room": {"cores": 2}}
    for i in range(4)]})
b, n = pack(spec), 0
while r.weight + weight_of(spec) <= record_bytes(p):
    n += 1
    r.ev_job(n << 18, f"job-{n}", unpack(b), digest)
held = [int(x.split()[1]) for x in open("/proc/self/status") if x.startswith("VmRSS")][0]
d, _ = asyncio.run(r.picture(spend=lambda s: None, now=time.monotonic))
x = seal(seq=0, index=1, term=1, body=pack({"record": d}))
del d
d = unpack(open_frame(buf=x, off=0, seq=0)[0])["record"]
r.load(d)
print(len(r.jobs), held // 1024, *[int(x.split()[1]) // 1024 for x in open("/proc/self/status")
                                  if x.startswith("VmHWM")])
"""


def peak(pid):
    """The most that a process ever had resident, MB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return next(int(x.split()[1]) for x in text.splitlines() if x.startswith("VmHWM")) / 1024


def test_a_record_at_its_share_is_saved_and_loaded_within_the_limit():
    for tasks in ("1", "16"):
        x = subprocess.run(
            [sys.executable, "-c", FILLED, "200", tasks], capture_output=True, text=True, timeout=120
        )
        jobs, held, most = map(int, x.stdout.split())
        assert jobs > 500 and most < MARGIN * 200, (held, most)


async def flood(http, pid):
    """60 large bodies at once, then 300 slow clients, a report after every thirty: (the
    reports' replies, the bodies' statuses)."""
    reports, conns = [], []
    host, port = http.split(":")
    text = b'{"lane": "tiles", "steps": [' + b'{"name": "a"},' * 70_000 + b"{}]}"

    async def send(s):
        with contextlib.suppress(aiohttp.ClientError):
            async with s.put(
                f"http://{http}/v1/jobs/j", data=text, headers={"Content-Type": "application/json"}
            ) as x:
                assert x.status == 422 or int(x.headers["Retry-After"]) > 0
                return x.status

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as s:
        got = await asyncio.wait_for(asyncio.gather(*(send(s) for _ in range(60))), 40)
    async with aiohttp.ClientSession() as worker:
        for n in range(300):
            conns.append((await asyncio.open_connection(host, port))[1])
            conns[-1].write(HALF if n % 2 else head(900_000) + b"x" * 40_000)
            if n % 30 == 29:
                async with worker.post(
                    f"http://{http}/v1/workers/w1/beat",
                    json={"boot": "b", "seq": n, "kind": "tile", "room": {"cores": 2}},
                ) as x:
                    reports.append((x.status, (await x.json())["problem"]))
                    assert len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir())) < 200
        for w in conns:
            w.close()
    return reports, got


def test_a_mast_stays_within_its_memory_and_descriptors(tmp_path):
    a, m, h = [f"127.0.0.1:{x}" for x in free_ports(3)]
    f = params(tmp_path / "mast.toml", id="m1", addr=m, http=h, seeds=[a], memory_mb=200, descriptors=200)
    p = subprocess.Popen([*RUN, "mast", "--params", f], stderr=subprocess.PIPE, text=True)
    try:
        until(p, "HH100")
        reports, got = asyncio.run(flood(h, p.pid))
        most = peak(p.pid)
        # no primary is there to take them: a report is heard, and told so by the mast itself
        assert reports == [(503, "NotPrimary")] * 10
        assert 503 in got and 422 in got  # some had room, and were looked at
        assert most < MARGIN * 200, most
    finally:
        p.kill()
