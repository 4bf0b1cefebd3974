"""Guards against a build that cannot go on with an older build's data: folders and settings that the build before
the renaming of the code wrote (older_data.py) are read and started, and give the same record checksum."""

import asyncio
import base64
import gc
import json
import pathlib
import random
import zlib

import pytest

from hollowhall.almanac.ring import LogSegments
from hollowhall.base.circuit import unpack
from hollowhall.base.params import check
from hollowhall.base.seam import Disk
from hollowhall.record import Record
from hollowhall.sim.disk import SimDisk
from hollowhall.sim.world import BASE_MS, World
from hollowhall.standins.shapes import SHAPES

RECORDED = json.loads((pathlib.Path(__file__).parent / "data" / "disk-ca1dc49.json").read_text())
MEMBERS = sorted(RECORDED["members"])
LOG_FILES, LOG_BYTES = 4, 4 << 20  # files, bytes; of the recorded members' settings
RECORDED_MS = 1_796_514_199_496  # Unix ms; some seconds after the last recorded stamp


@pytest.fixture(autouse=True)
def collected():
    """What a test's fleet leaves pending ends here, and not in the midst of a later import."""
    yield
    gc.collect()


def contents(member):
    """The member's files, by name."""
    files = RECORDED["members"][member]["files"]
    return {name: zlib.decompress(base64.b64decode(text)) for name, text in files.items()}


def replayed(ring):
    """(record, hard state, index of the last entry) after the snapshot and all entries behind it."""
    hard, snapshot, entries = ring.load()
    record = Record()
    record.load(snapshot["record"])
    for _, _, body in entries:
        entry = unpack(body)
        if entry[0] in ("turn", "edit", "level"):
            record.apply_entry(op=entry[0], d=entry[1])
    return record, hard, entries[-1][0] if entries else snapshot["i"]


@pytest.mark.parametrize("member", MEMBERS)
def test_an_older_members_folder_gives_the_same_record(member, tmp_path):
    for name, content in contents(member).items():
        (tmp_path / name).write_bytes(content)
    record, hard, last = replayed(
        LogSegments(disk=Disk(folder=str(tmp_path)), files=LOG_FILES, size=LOG_BYTES)
    )
    seen = RECORDED["members"][member]["seen"]
    assert (record.digest(), record.sum, record.level) == (seen["digest"], seen["sum"], seen["level"])
    assert (hard["t"], last, record.charter["version"]) == (seen["term"], seen["last"], seen["configuration"])
    assert sorted(record.reservations) == seen["reservations"] == ["window-1"]
    assert sorted(record.charter["tenants"]) == seen["tenants"] == ["team-a"]
    assert sum(job.state == "open" for job in record.jobs.values()) == seen["jobs"]["open"] > 0


@pytest.mark.parametrize("daemon", sorted(RECORDED["settings"]))
def test_an_older_daemons_settings_are_taken(daemon):
    card = RECORDED["settings"][daemon]
    settings = check(dict(card))
    assert {key: getattr(settings, key) for key in card} == card


def world_on_recorded_disks():
    """A fleet whose store members have the recorded folders, addresses and a clock past the recorded time."""
    w = World(seed=1, shape=SHAPES["cymylau"], masts=1, settings={"level": 5, "ring_bytes": LOG_BYTES})
    addresses = {}
    for n, member in enumerate(MEMBERS):
        disk = SimDisk(rng=random.Random(n))
        for name, content in contents(member).items():
            if name == "snap":
                disk.whole_files[name] = content
            else:
                disk.file(name=name, size=LOG_BYTES).safe[: len(content)] = content
        w.disks[f"core-{n + 1}"] = disk
        addresses[w.cards[member]["addr"]] = RECORDED["settings"][member]["addr"]
        w.net.home[RECORDED["settings"][member]["addr"]] = f"core-{n + 1}"
    for card in w.cards.values():
        card["addr"] = addresses.get(card["addr"], card["addr"])
        card["seeds"] = [addresses[seed] for seed in card["seeds"]]
        w.wall_offsets_ms[card["machine"]] = RECORDED_MS - BASE_MS
    return w


def test_a_fleet_starts_on_an_older_builds_disks():
    w, seen = world_on_recorded_disks(), {}

    async def go():
        w.start_all()
        await asyncio.sleep(8)
        for member in MEMBERS:
            seen[member] = w.nodes[member].daemon.record
        seen["primary"] = w.who("desk", "primary")

    w.run(go())
    assert len(seen["primary"]) == 1
    assert len({seen[member].digest() for member in MEMBERS}) == 1
    recorded = RECORDED["members"][MEMBERS[0]]["seen"]
    record = seen[MEMBERS[0]]
    assert record.charter["version"] == recorded["configuration"]
    assert sorted(record.reservations) == recorded["reservations"]
    assert sum(job.state == "open" for job in record.jobs.values()) == recorded["jobs"]["open"]
    assert len(record.jobs) == sum(recorded["jobs"].values())
