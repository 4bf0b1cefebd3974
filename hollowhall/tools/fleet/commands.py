"""The commands that start processes of a fleet and its stand-ins: fleet (with its trial),
rollout, crew, crowd."""

import asyncio
import json
import os
import signal
import sys
import time
from multiprocessing import Pool

from cleo.commands.command import Command
from cleo.helpers import option

from ...base.problems import Raised
from ...standins.crowd import summary
from ...standins.history import History, read
from ...standins.shapes import SHAPES
from ..check.check import report
from .crowd_process import crowd_of
from .faults import CUTS, KINDS
from .fleet import Fleet, read_fleet
from .relay import Relays
from .trial import Crew, trial


def num(cmd, name, kind=float):
    try:
        return kind(cmd.option(name))
    except ValueError:
        cmd.line_error(f"--{name}: a number is wanted")
        raise SystemExit(2) from None


class FleetCommand(Command):
    name = "fleet"
    description = "Run a whole fleet on this machine; with --trial, try it and check it."
    options = [
        option("shape", None, "cymylau or memoria.", flag=False, default="cymylau"),
        option("dir", None, "Folder for params, disks, logs.", flag=False, default="run"),
        option("trial", None, "Seconds of load, kills and edits, then check.", flag=False),
        option("faults", None, "For --trial: all, or of " + ", ".join(KINDS) + ".", flag=False, default=""),
        option("seed", None, "Seed of the trial's stand-ins and faults.", flag=False, default="1"),
    ]

    def handle(self):
        if self.option("shape") not in SHAPES:
            self.line_error(f"--shape: one of {', '.join(SHAPES)}")
            return 2
        self.kinds = (
            KINDS if self.option("faults") == "all" else [x for x in self.option("faults").split(",") if x]
        )
        if set(self.kinds) - set(KINDS):
            self.line_error(f"--faults: all, or some of {', '.join(KINDS)}")
            return 2
        f = Fleet(
            shape=SHAPES[self.option("shape")],
            folder=os.path.abspath(self.option("dir")),
            relays=Relays() if set(self.kinds) & set(CUTS) else None,
        )
        f.start_all()
        try:
            if self.option("trial"):
                return asyncio.run(self.trial(f))
            self.line(f"fleet up: {len(f.cards)} daemons, masts at {', '.join(f.masts)}")
            self.line(f"its card: {os.path.join(f.folder, 'fleet.json')}; Ctrl-C ends it")
            signal.signal(signal.SIGTERM, lambda *a: sys.exit(0))
            while not f.dead():
                time.sleep(0.5)
            self.line_error(f"ended by themselves: {f.dead()}")
            return 1
        except (KeyboardInterrupt, SystemExit):
            return 0
        finally:
            f.stop_all()

    async def trial(self, f):
        paths, fig = await trial(
            fleet=f, seconds=num(self, "trial"), say=self.line, seed=num(self, "seed", int), kinds=self.kinds
        )
        if f.dead():
            self.line_error(f"daemons that ended by themselves: {f.dead()}")
        return report(self, read(paths), fig) or (1 if f.dead() else 0)


class RolloutCommand(Command):
    name = "rollout"
    description = "Roll a fleet of processes from another version's checkout to this one."
    options = [
        option("old", None, "Folder of the other version's checkout.", flag=False),
        option("order", None, "core or edge: which daemons go first.", flag=False, default="core"),
        option("back", None, "Keep the format level down, and roll back again.", flag=True),
        option("shape", None, "cymylau or memoria.", flag=False, default="cymylau"),
        option("dir", None, "Folder for params, disks, logs.", flag=False, default="run"),
        option("seed", None, "Seed of the stand-ins.", flag=False, default="1"),
    ]

    def handle(self):
        old = os.path.abspath(self.option("old") or "")
        if (
            not os.path.isdir(os.path.join(old, "hollowhall"))
            or self.option("order") not in ("core", "edge")
            or self.option("shape") not in SHAPES
        ):
            self.line_error(
                "--old: a checkout with hollowhall in it; --order: core or edge; "
                f"--shape: one of {', '.join(SHAPES)}"
            )
            return 2
        f = Fleet(shape=SHAPES[self.option("shape")], folder=os.path.abspath(self.option("dir")))
        f.start_all(old)
        try:
            return asyncio.run(self.go(f, old))
        finally:
            f.stop_all()

    async def go(self, f, old):
        n = len(f.cards)

        async def script(h):
            await asyncio.sleep(4)
            await self.roll(f, h, None)
            if self.option("back"):
                await self.roll(f, h, old)
            await h.healthy()
            o = await h.op.ask("members", "GET", "/v1/members")
            self.line(f"format level {o[1].get('level', 0)}")

        paths, fig = await trial(
            fleet=f,
            seconds=(4 + 2 * n) * (2 if self.option("back") else 1),
            say=self.line,
            seed=num(self, "seed", int),
            script=script,
        )
        return report(self, read(paths), fig) or (1 if f.dead() else 0)

    async def roll(self, f, h, to):
        self.line(f"rolling to {to or 'this version'}, {self.option('order')} first")
        for n in sorted(f.cards, reverse=self.option("order") == "edge"):
            if self.option("back") and to is None and f.cards[n]["role"] == "almanac":
                f.cards[n]["level"] = 0
            elif to is not None:
                f.cards[n].pop("level", None)
            f.write_params(n)
            h.hist.note("fault", what=f"roll {n}")
            code = await asyncio.to_thread(f.kill, n, signal.SIGTERM)
            if code != 0:
                self.line(f"{n} left with exit {code}")
            f.start(n, to)
            await asyncio.sleep(1.2)


def stand_options():
    return [
        option("fleet", None, "fleet.json or its folder.", flag=False, default="run"),
        option("history", None, "File to write the history to.", flag=False),
        option("seconds", None, "How long.", flag=False, default="30"),
        option("seed", None, "Seed.", flag=False, default="1"),
    ]


class StandCommand(Command):
    options = stand_options()

    def handle(self):
        try:
            d = read_fleet(self.option("fleet"))
        except Raised as e:
            self.line_error(e.failure.errors[0][1])
            return 2
        return self.stand(d)


class CrewCommand(StandCommand):
    name = "crew"
    description = "Stand-in workers of the fleet's shape."

    def stand(self, d):
        return asyncio.run(self.go(d, History(path=self.option("history"))))

    async def go(self, d, hist):
        c = Crew(shape=SHAPES[d["shape"]], masts=d["masts"], hist=hist, seed=num(self, "seed", int))
        c.start()
        self.line(f"{len(c.mates)} workers for {self.option('seconds')} s")
        await asyncio.sleep(num(self, "seconds"))
        await c.stop()
        return 0


class CrowdCommand(StandCommand):
    name = "crowd"
    description = "Stand-in requesters, and an operator, of the fleet's shape."
    options = stand_options() + [
        option("times", None, "How many times today's load.", flag=False, default="1"),
        option(
            "procs",
            None,
            "Processes that the requesters are spread over; each but the "
            "first writes its history beside the first's, as FILE.1 and so on.",
            flag=False,
            default="1",
        ),
    ]

    def stand(self, d):
        h, s, n = self.option("history"), num(self, "seconds"), num(self, "procs", int)
        if not 1 <= n <= 64:
            self.line_error("--procs: a number from 1 to 64 is wanted")
            return 2
        a = [
            (
                d,
                f"{h}.{k}" if h and k else h,
                num(self, "seed", int) + 100 * k,
                s,
                num(self, "times") / n,
                k == 0,
            )
            for k in range(n)
        ]
        with Pool(n) as p:
            got = p.starmap(crowd_of, a)
        if None in got:
            self.line_error("no mast answers")
            return 4
        fig = {k: sum(f[k] for f, _ in got) for k in got[0][0]}
        self.line(json.dumps(summary(fig, [x for _, ls in got for x in ls], s)))
        return 0


FLEET = [FleetCommand, RolloutCommand, CrewCommand, CrowdCommand]
