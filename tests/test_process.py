"""Daemons as processes: signals, exit codes, a damaged disk. The tests read the log
and wait for its numbered events."""

import asyncio
import signal
import subprocess
import sys

from hollowhall.almanac.ring import HEAD, Ring
from hollowhall.base.seam import Disk
from hollowhall.tools.fleet.fleet import free_ports

RUN = [sys.executable, "-m", "hollowhall"]


def params(path, **kw):
    path.write_text(
        "".join(f"{a} = {b!r}\n".replace("True", "true") for a, b in kw.items()).replace("'", '"')
    )
    return str(path)


def until(p, event):
    """Reads the log up to an event; fails when the process ends before it."""
    seen = []
    for line in p.stderr:
        seen.append(line)
        if event in line:
            return line
    raise AssertionError("".join(seen))


def test_signals_of_a_mast(tmp_path):
    a, m, h = [f"127.0.0.1:{x}" for x in free_ports(3)]
    f = tmp_path / "mast.toml"
    good = dict(id="mast-1", addr=m, http=h, seeds=[a])
    p = subprocess.Popen([*RUN, "mast", "--params", params(f, **good)], stderr=subprocess.PIPE, text=True)
    try:
        until(p, "HH100")
        params(f, **good | {"shed_at": "many"})
        p.send_signal(signal.SIGHUP)
        assert "shed_at" in until(p, "HH103")
        params(f, **good | {"shed_at": 200, "zone": "z9"})
        p.send_signal(signal.SIGHUP)
        assert "zone" in until(p, "HH105")
        until(p, "HH104")
        p.send_signal(signal.SIGTERM)
        until(p, "HH102")
        assert p.wait(20) == 0
    finally:
        p.kill()


def test_an_almanac_refuses_a_damaged_ring_and_keeps_it(tmp_path):
    async def write():
        r = Ring(disk=Disk(folder=str(tmp_path / "data")))
        r.load()
        for i in range(1, 4):
            await r.put(hard={"t": 1, "v": "", "m": True}, es=[[i, 1, b"x" * 40]])

    asyncio.run(write())
    ring = tmp_path / "data" / "ring-00"
    b = bytearray(ring.read_bytes())
    b[HEAD.size + 8] ^= 1
    ring.write_bytes(b)
    (a,) = [f"127.0.0.1:{x}" for x in free_ports(1)]
    p = subprocess.run(
        [
            *RUN,
            "almanac",
            "--params",
            params(tmp_path / "a.toml", id="a1", addr=a, seeds=[a], data=str(tmp_path / "data")),
        ],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert p.returncode == 3 and "HH207" in p.stderr and "DiskDamage" in p.stderr
    assert ring.read_bytes() == bytes(b)


def test_a_taken_port_is_told_and_ends_the_daemon(tmp_path):
    import socket

    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        s.listen()
        addr = f"127.0.0.1:{s.getsockname()[1]}"
        p = subprocess.run(
            [*RUN, "desk", "--params", params(tmp_path / "d.toml", id="d1", addr=addr, seeds=[addr])],
            capture_output=True,
            text=True,
            timeout=60,
        )
    assert p.returncode == 1 and addr in p.stderr
