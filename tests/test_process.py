"""Daemons as processes: signals, exit codes and a damaged disk. The tests read the log and wait for numbered
events."""

import asyncio
import signal
import subprocess
import sys

from hollowhall.almanac.ring import FRAME_HEADER, LogSegments
from hollowhall.base.seam import Disk
from hollowhall.tools.fleet.fleet import free_ports

RUN = [sys.executable, "-m", "hollowhall"]


def write_settings(path, **settings):
    path.write_text(
        "".join(f"{key} = {value!r}\n".replace("True", "true") for key, value in settings.items()).replace(
            "'", '"'
        )
    )
    return str(path)


def wait_for_event(process, number):
    """Reads the log up to the event with this number; fails when the process ends before it."""
    seen = []
    for line in process.stderr:
        seen.append(line)
        if number in line:
            return line
    raise AssertionError("".join(seen))


def test_signals_of_a_mast(tmp_path):
    seed, address, http = [f"127.0.0.1:{port}" for port in free_ports(3)]
    path = tmp_path / "mast.toml"
    good = dict(id="mast-1", addr=address, http=http, seeds=[seed])
    process = subprocess.Popen(
        [*RUN, "mast", "--params", write_settings(path, **good)], stderr=subprocess.PIPE, text=True
    )
    try:
        wait_for_event(process, "HH100")
        write_settings(path, **good | {"shed_at": "many"})
        process.send_signal(signal.SIGHUP)
        assert "shed_at" in wait_for_event(process, "HH103")
        write_settings(path, **good | {"shed_at": 200, "zone": "z9"})
        process.send_signal(signal.SIGHUP)
        assert "zone" in wait_for_event(process, "HH105")
        wait_for_event(process, "HH104")
        process.send_signal(signal.SIGTERM)
        wait_for_event(process, "HH102")
        assert process.wait(20) == 0
    finally:
        process.kill()


def test_an_almanac_refuses_a_damaged_log_and_leaves_it_unchanged(tmp_path):
    async def write():
        log = LogSegments(disk=Disk(folder=str(tmp_path / "data")))
        log.load()
        for index in range(1, 4):
            await log.put(hard={"t": 1, "v": "", "m": True}, entries=[[index, 1, b"x" * 40]])

    asyncio.run(write())
    segment = tmp_path / "data" / "ring-00"
    content = bytearray(segment.read_bytes())
    content[FRAME_HEADER.size + 8] ^= 1
    segment.write_bytes(content)
    (address,) = [f"127.0.0.1:{port}" for port in free_ports(1)]
    process = subprocess.run(
        [
            *RUN,
            "almanac",
            "--params",
            write_settings(
                tmp_path / "a.toml", id="a1", addr=address, seeds=[address], data=str(tmp_path / "data")
            ),
        ],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert process.returncode == 3 and "HH207" in process.stderr and "DiskDamage" in process.stderr
    assert segment.read_bytes() == bytes(content)


def test_a_port_in_use_is_reported_and_ends_the_daemon(tmp_path):
    import socket

    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        process = subprocess.run(
            [
                *RUN,
                "desk",
                "--params",
                write_settings(tmp_path / "d.toml", id="d1", addr=address, seeds=[address]),
            ],
            capture_output=True,
            text=True,
            timeout=60,
        )
    assert process.returncode == 1 and address in process.stderr
