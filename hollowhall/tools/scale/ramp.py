"""The ramp: real daemons are started, the load grows from size to size, and at each size,
once it is reached, what every process spends is measured for a while. It ends by itself:
after the last size, at its limit of time, or as soon as a size is too much for what it may
take, which is then said and not counted."""

import asyncio
import os
import tempfile
import time
from dataclasses import asdict

from ...base.problems import Full, Late, Raised
from . import sizes as S
from .daemons import Daemons

PER_SECOND = (
    "cpu",
    "out_b",
    "in_b",
    "out_n",
    "in_n",
    "asks",
    "entries",
    "syncs",
    "disk_b",
    "stamp_calls",
    "turns",
    "events",
)


def machine_memory():
    with open("/proc/meminfo") as f:
        return int(next(x for x in f if x.startswith("MemTotal")).split()[1]) * 1024


def rates(*, a, b):
    """What a process spent a second between two moments, and what it then held."""
    dt = b["t"] - a["t"]
    d = {k: (b[k] - a[k]) / dt for k in PER_SECOND if k in a}
    d["cpu"] *= 100  # % of a core
    if "out_b" in d:
        d["kb"] = (d["out_b"] + d["in_b"]) / 1000
        d["messages"] = d["out_n"] + d["in_n"]
    return d | {"mb": b["rss"] / 1e6, "own_mb": b["own"] / 1e6, "lag": b.get("lag", 0.0)}


def duty_of(*, name, figures):
    """The row of the table that a process stands for."""
    if name.startswith("almanac"):
        d = "store leader" if figures["duty"] == "leader" else "store follower"
        return d + " with clock" if figures["clock"] else d
    if name.startswith("desk"):
        return "primary desk" if figures["duty"] == "primary" else "understudy"
    return "mast" if name.startswith("mast") else name.split(".")[0]


def duties(figures):
    return {n: (f["duty"], f.get("clock")) for n, f in figures.items() if "duty" in f}


def mean(ds):
    return {k: sum(d[k] for d in ds) / len(ds) for k in ds[0]}


def together(by):
    """One row for each duty: the mean of its daemons, the sum of hollow processes."""
    return {
        k: mean(v) if not k.startswith("hollow") else {x: y * len(v) for x, y in mean(v).items()}
        for k, v in sorted(by.items())
    }


class Ramp:
    def __init__(self, *, plan, say):
        self.plan, self.say, self.rows, self.why, self.n = plan, say, [], "", 0
        self.have = S.Load()
        self.end = time.monotonic() + plan.limit

    async def run(self):
        """(rows, why it ended early or '')."""
        with tempfile.TemporaryDirectory(prefix="hollowhall-scale-") as folder:
            self.d = Daemons(folder=folder, front=self.plan.front)
            try:
                self.room()
                await self.d.start()
                await self.d.hollow(
                    "operator.0", axis="operator", masts=self.d.masts, seed=self.plan.seed, tag="op"
                )
                await self.first_figures()
                for size in self.plan.sizes:
                    await self.one_size(size)
            except Raised as e:
                self.why = repr(e.failure)
            finally:
                await self.d.stop()
        return self.rows, self.why

    async def first_figures(self):
        """Until all answer, one desk is primary and one almanac leads; their figures."""
        end = time.monotonic() + S.START_WAIT
        while True:
            try:
                fs = await self.d.figures()
                if {"primary", "leader"} <= {f.get("duty") for f in fs.values()}:
                    return fs
                if time.monotonic() > end:
                    raise Raised(Late(op="primary and leader"))
            except Raised:
                if any(p.returncode is not None for p in self.d.procs.values()) or time.monotonic() > end:
                    raise
            await asyncio.sleep(0.3)

    def left(self):
        return self.end - time.monotonic()

    async def one_size(self, size):
        p = self.plan
        self.room()
        if self.left() < p.hold:
            raise Raised(Full(where=f"limit of {p.limit:g} s"))
        await self.grow(p.load(size))
        await self.reached(p.load(size), min(p.settle, self.left() - p.hold))
        a = b = None
        while b is None or duties(a) != duties(b):  # once more if a duty changed hands
            a = await self.first_figures()
            if self.left() < p.hold:
                raise Raised(Full(where=f"limit of {p.limit:g} s"))
            await asyncio.sleep(p.hold)
            b = await self.d.figures()
        row = self.row(size=size, a=a, b=b)
        self.bounds(row)
        self.rows.append(row)
        self.say(f"{p.vary} {size}: " + ", ".join(f"{k} {v['cpu']:.1f} %" for k, v in row["by"].items()))

    async def grow(self, load):
        """Adds processes for what a load has more than there is."""
        for axis, want in asdict(load).items():
            have, most = getattr(self.have, axis), S.PER_PROCESS[axis]
            while have < want:
                n = min(most, want - have)
                d = {
                    "axis": axis,
                    "count": n,
                    "first": have,
                    "seed": self.plan.seed * 1000 + self.n,
                    "masts": self.d.masts,
                    "tag": f"{axis}-{self.n}",
                    "urgent": have == 0,
                }
                if axis == "masts":
                    d["cards"] = self.d.hollow_masts(first=have, count=n)
                await self.d.hollow(f"hollow {axis}.{self.n}", **d)
                self.n, have = self.n + 1, have + n
        self.have = load

    async def reached(self, load, wait):
        """Until the primary has heard of every worker and what is to run runs; then 2 s."""
        end = time.monotonic() + wait
        while time.monotonic() < end - 2:
            fs = await self.first_figures()
            p = [f for f in fs.values() if f.get("duty") == "primary"]
            if (
                p[0]["workers"] >= load.workers
                and p[0]["runs"] >= load.running
                and p[0]["tasks"] >= load.kept + load.running
            ):
                break
            await asyncio.sleep(0.5)
        else:
            raise Raised(Full(where=f"{load} was not reached in {wait:.0f} s"))
        await asyncio.sleep(2.0)

    def row(self, *, size, a, b):
        by, own = {}, {n: rates(a=a[n], b=b[n]) for n in a}
        for n in own:
            by.setdefault(duty_of(name=n, figures=b[n]), []).append(own[n])
        desk = next((f for f in b.values() if f.get("duty") == "primary"), {})
        lead = [n for n, f in b.items() if f.get("duty") == "leader"]
        return {
            "size": size,
            "by": together(by),
            "seen": self.seen(a, b),
            "disk": self.d.disk(lead[0]) if lead else {},
            "state": {k: desk.get(k, 0) for k in ("workers", "runs", "jobs", "tasks")},
            "total": mean([{k: sum(x[k] for x in own.values()) for k in ("cpu", "mb")}]),
            "processes": len(own),
        }

    def seen(self, a, b):
        """What hollow workers, callers and operator saw meanwhile, all together."""
        d = {}
        for n in b:
            for k, v in b[n].items() if n not in self.d.cards else ():
                if k not in ("t", "cpu", "rss", "own", *PER_SECOND):
                    d[k] = max(d.get(k, 0), v) if k.endswith("worst") else d.get(k, 0) + v - a[n][k]
        per = {
            "beat_ms": ("beat_s", "beats", 1000),
            "urgent_mean_ms": ("urgent_ms", "urgent", 1),
            "edit_mean_s": ("edit_s", "edits", 1),
        }
        return d | {k: d[x] / d[n] * f for k, (x, n, f) in per.items() if d.get(n)}

    def bounds(self, row):
        """A size that takes more than it may, or is more than daemons bear, is not counted."""
        t, s = row["total"], row["seen"]
        if t["cpu"] > S.CORES * 100:
            raise Raised(Full(where=f"{row['size']}: {t['cpu'] / 100:.1f} cores, allowed {S.CORES}"))
        if t["mb"] * 1e6 > S.MEMORY_PART * machine_memory():
            raise Raised(Full(where=f"{row['size']}: {t['mb']:.0f} MB, allowed half the machine's"))
        if s.get("lapses"):
            raise Raised(Full(where=f"{row['size']}: {s['lapses']} holds of workers ran out"))
        if row["processes"] > S.PROCESSES_MOST:
            raise Raised(Full(where=f"{row['size']}: {row['processes']} processes"))

    def room(self):
        """Nothing is begun on a machine that others keep busy; its figures would be theirs."""
        n = os.getloadavg()[0] / os.cpu_count()
        if n > self.plan.busy:
            raise Raised(Full(where=f"the machine: load {n:.1f} a core, allowed {self.plan.busy:g}"))
