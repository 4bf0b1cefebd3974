"""Records a small fleet's data folders and settings with an older build, for test_older_data.py.

    python tests/older_data.py CHECKOUT OUTPUT

CHECKOUT is a checkout of the older build; only its commands and its paths of HTTP are used, so that it may be
any build whose log stands in files `ring-NN` and `snap`. Three store members, a scheduler and a gateway run as
processes on loopback; jobs are sent, the operator changes the queues, a tenant and a reservation are entered, a
snapshot is written, and all processes are killed while jobs run. What the older build itself reads from the
folders (the checksum of the record, the jobs by state, the configuration's version) is kept beside them."""

import asyncio
import base64
import json
import os
import pathlib
import shutil
import socket
import subprocess
import sys
import tempfile
import zlib

MEMBERS = 3
OPEN_JOBS = 3
LOAD_S = 8  # s; how long jobs are sent before the fleet is killed
FRAMES = {"ring_files": 4, "ring_bytes": 4 << 20, "snap_every": 60}  # files, bytes, entries
READER = """
import json, sys
from hollowhall.almanac.ring import Ring
from hollowhall.base.circuit import unpack
from hollowhall.base.seam import Disk
from hollowhall.record import Record
hard, snap, entries = Ring(disk=Disk(folder=sys.argv[1]), files=int(sys.argv[2]), size=int(sys.argv[3])).load()
record = Record()
record.load(snap["record"])
for index, _, body in entries:
    entry = unpack(body)
    if entry[0] in ("turn", "edit", "level"):
        record.enact(op=entry[0], d=entry[1])
states = {}
for job in record.jobs.values():
    states[job.state] = states.get(job.state, 0) + 1
print(json.dumps({
    "term": hard["t"], "last": entries[-1][0] if entries else snap["i"], "snapshot": snap["i"],
    "digest": record.digest(), "sum": record.sum, "level": record.level, "jobs": states,
    "configuration": record.charter["version"], "reservations": sorted(record.reservations),
    "tenants": sorted(record.charter.get("tenants", {})),
}))
"""


def pause(seconds):
    asyncio.run(asyncio.sleep(seconds))


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def settings_of(folder):
    """Settings of each daemon, by its name."""
    ports = free_ports(MEMBERS + 3)
    addresses = [f"127.0.0.1:{p}" for p in ports]
    daemons = {}
    for n in range(MEMBERS):
        daemons[f"almanac-{n + 1}"] = {
            "id": f"almanac-{n + 1}",
            "role": "almanac",
            "addr": addresses[n],
            "data": os.path.join(folder, f"almanac-{n + 1}"),
            "found": True,
            "level": 5,
            **FRAMES,
        }
    daemons["desk-1"] = {"id": "desk-1", "role": "desk", "addr": addresses[MEMBERS], "level": 5}
    daemons["mast-1"] = {
        "id": "mast-1",
        "role": "mast",
        "addr": addresses[-2],
        "http": addresses[-1],
        "level": 5,
    }
    for n, card in enumerate(daemons.values()):
        card |= {"zone": f"z{n % 3 + 1}", "seeds": addresses[:MEMBERS]}
    return daemons


def run(checkout, folder, *arguments, check=True):
    environment = os.environ | {"PYTHONPATH": checkout, "PYTHONDONTWRITEBYTECODE": "1"}
    command = [sys.executable, "-m", "hollowhall", *arguments]
    done = subprocess.run(command, cwd=folder, env=environment, capture_output=True, text=True, timeout=120)
    if check and done.returncode:
        raise RuntimeError(f"{arguments}: {done.returncode}: {done.stdout}{done.stderr}")
    return done


def start(checkout, folder, *arguments):
    environment = os.environ | {"PYTHONPATH": checkout, "PYTHONDONTWRITEBYTECODE": "1"}
    command = [sys.executable, "-m", "hollowhall", *arguments]
    return subprocess.Popen(command, cwd=folder, env=environment, stdin=subprocess.DEVNULL)


def play(checkout, folder, daemons):
    """Runs the fleet; returns once every process is killed."""
    for name, card in daemons.items():
        lines = "".join(f"{key} = {json.dumps(value)}\n" for key, value in card.items())
        pathlib.Path(folder, f"{name}.toml").write_text(lines)
    gateway = daemons["mast-1"]["http"]
    fleet = {"shape": "cymylau", "masts": [gateway], "daemons": daemons}
    pathlib.Path(folder, "fleet.json").write_text(json.dumps(fleet))
    processes = []
    try:
        for name, card in daemons.items():
            processes.append(start(checkout, folder, card["role"], "--params", f"{name}.toml"))
        for _ in range(100):
            if run(checkout, folder, "lanes", "--fleet", folder, check=False).returncode == 0:
                break
            pause(0.2)
        seconds = str(LOAD_S + 30)
        processes.append(start(checkout, folder, "crew", "--fleet", folder, "--seconds", seconds))
        load = start(checkout, folder, "crowd", "--fleet", folder, "--seconds", str(LOAD_S))
        processes.append(load)
        load.wait(60)
        window = ["--from", "+3600", "--until", "+7200"]
        queue = json.loads(run(checkout, folder, "lanes", "--fleet", folder, "--json").stdout)
        name = sorted(queue["rows"])[0]
        run(checkout, folder, "lanes", "--fleet", folder, "--set", f"{name}.weight=7.5")
        reservation = ["reservations", "add", "window-1", "--kind", "nowcast", "--count", "2", "--lane", name]
        run(checkout, folder, *reservation, *window, "--fleet", folder)
        step = {"name": "a", "kind": "tile", "tasks": 4, "work": {"ms": 60000}}
        pathlib.Path(folder, "job.json").write_text(json.dumps({"lane": name, "steps": [step]}))
        for n in range(OPEN_JOBS):
            run(checkout, folder, "jobs", f"open-{n}", "--send", "job.json", "--fleet", folder)
        pause(2)  # tasks of these jobs run when the fleet is killed
        run(
            checkout, folder, "tenants", "set", "team-a", "--cores", "100", "--weight", "2", "--fleet", folder
        )
    finally:
        for process in processes:
            process.kill()
            process.wait()


def packed(path):
    return base64.b64encode(zlib.compress(path.read_bytes().rstrip(b"\0"), 9)).decode()


def record(checkout, output):
    folder = tempfile.mkdtemp()
    try:
        daemons = settings_of(folder)
        play(checkout, folder, daemons)
        members = {}
        for name, card in daemons.items():
            if card["role"] != "almanac":
                continue
            data = pathlib.Path(card["data"])
            files = {p.name: packed(p) for p in sorted(data.iterdir())}
            environment = os.environ | {"PYTHONPATH": checkout}
            sizes = [str(FRAMES["ring_files"]), str(FRAMES["ring_bytes"])]
            command = [sys.executable, "-c", READER, card["data"], *sizes]
            seen = subprocess.run(
                command, cwd=folder, env=environment, check=True, capture_output=True, text=True
            )
            members[name] = {"files": files, "seen": json.loads(seen.stdout)}
        relative = lambda card: card | ({"data": card["id"]} if "data" in card else {})  # noqa: E731
        settings = {name: relative(card) for name, card in daemons.items()}
        pathlib.Path(output).write_text(
            json.dumps({"settings": settings, "members": members}, indent=1) + "\n"
        )
    finally:
        shutil.rmtree(folder)


if __name__ == "__main__":
    record(os.path.abspath(sys.argv[1]), sys.argv[2])
