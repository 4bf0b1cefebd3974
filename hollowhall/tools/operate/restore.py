"""Restores a store from one surviving disk after a majority of the members is lost for good.

An operator runs it on purpose, while the store member of that disk is stopped. It writes a membership to the
disk in which this member is the only one, so that it can lead alone with the data it has. The addresses of the
other members are recorded as past ones and never rejoin. What only the lost members had acknowledged is lost,
and the surviving disk cannot tell how much that is."""

import asyncio
import json
from datetime import UTC, datetime

from cleo.commands.command import Command
from cleo.helpers import option

from ...almanac.ring import LogSegments
from ...base import constants
from ...base import params as P
from ...base.circuit import pack, unpack
from ...base.probe import probe
from ...base.problems import DiskDamage, Raised, Refused
from ...base.seam import Disk
from ...record import Record


def replay(snapshot, entries):
    """(the record, the newest membership) that a snapshot and the log entries after it yield."""
    record, membership = Record(), (snapshot or {}).get("conf")
    if snapshot is not None:
        record.load(snapshot["record"])
    for _, _, body in entries:
        operation = unpack(body)
        if operation[0] in ("turn", "edit", "level"):
            record.apply_entry(op=operation[0], d=operation[1])
        elif operation[0] == "members":
            membership = operation[1]
    return record, membership


async def restore(*, disk, settings, write):
    """Summarizes what is on the disk; with `write`, makes its member the only one. Raises Raised(Refused) if the
    disk is not that of a voting member."""
    log = LogSegments(disk=disk, files=settings.ring_files, size=settings.ring_bytes)
    hard, snapshot, entries = log.load()
    if not hard.get("m"):
        raise Raised(Refused(why="this disk holds no member that counts"))
    record, membership = replay(snapshot, entries)
    membership = membership or {
        "v": 0,
        "voters": sorted({*settings.seeds, settings.addr}),
        "learner": "",
        "out": "",
        "past": [],
    }
    if settings.addr not in membership["voters"]:
        raise Raised(Refused(why="this disk's member was not among those that count"))
    others = [
        addr for addr in (*membership["voters"], membership["learner"]) if addr not in ("", settings.addr)
    ]
    last = entries[-1][0] if entries else snapshot["i"] if snapshot else 0
    states = [job.state for job in record.jobs.values()]
    if write:
        sole_member = membership | {
            "v": membership["v"] + 1,
            "voters": [settings.addr],
            "learner": "",
            "out": "",
            "past": sorted({*membership["past"], *others}),
        }
        term = hard["t"] + 1
        await log.put(
            hard={"t": term, "v": settings.addr, "m": True},
            entries=[[last + 1, term, pack(["members", sole_member])]],
        )
    return {
        "last": last,
        "term": hard["t"],
        "lost": others,
        "jobs": len(states),
        "open": sum(state in ("open", "ending") for state in states),
        "workers": len(record.workers),
        "charter": record.charter["version"],
        "stampMs": record.last >> constants.LOGICAL_BITS,
        "written": write,
    }


class RestoreCommand(Command):
    """Shows what a surviving disk holds and, with --yes, makes it the whole store."""

    name = "restore"
    description = (
        "Make the disk of one surviving store member the whole store; the other members are lost for good."
    )
    options = [
        option("params", "p", "Settings file of the store member, which must not be running.", flag=False),
        option("yes", None, "Write to the disk; without this option it is only shown.", flag=True),
    ]

    def handle(self):
        try:
            params = P.read(path=self.option("params"), flags={"role": "almanac"})
            if asyncio.run(probe(addr=params.bind or params.addr, op="status", request={}, wait=1.0)).ok:
                raise Raised(Refused(why=f"an almanac answers at {params.addr}: end it first"))
            found = asyncio.run(
                restore(disk=Disk(folder=params.data), settings=params, write=self.option("yes"))
            )
        except Raised as error:
            for key, why in getattr(error.failure, "errors", ()):
                self.line_error(f"params: {key}: {why}")
            self.line_error(repr(error.failure))
            return 3 if isinstance(error.failure, DiskDamage) else 2
        self.line(json.dumps(found))
        newest = datetime.fromtimestamp(found["stampMs"] / 1000, UTC).isoformat()
        self.line(
            f"the newest turn on this disk is of {newest}; what only {', '.join(found['lost'])} "
            "had confirmed after it is lost, and no disk here can say whether it was any"
        )
        self.line(
            "written: start this almanac, then add blank ones (hollowhall members add); "
            f"never start {', '.join(found['lost'])} with their old disks again"
            if found["written"]
            else "nothing written; say --yes to do it"
        )
        return 0


RESTORE = [RestoreCommand]
