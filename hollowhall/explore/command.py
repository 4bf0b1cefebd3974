"""`hollowhall explore`: searches of the store's core rules, and a run of theirs played again."""

import json
import time
from collections import Counter
from multiprocessing import Pool

from cleo.commands.command import Command
from cleo.helpers import option

from .breadth import breadth_first
from .search import Setting, play, shrink
from .walks import random_walk

LOST_DISKS = {True: 1, False: 2}  # disks lost in a walk: of up to four members, and of more


def setting_of(members, spares):
    return Setting(members=members, spares=spares, lost_disks=LOST_DISKS[members < 5], snap_every=20)


def walk(job):
    """One random walk in a process of its own: (seed, its report)."""
    setting, seed, steps = job
    return seed, random_walk(setting, seed=seed, steps=steps)


def write_run(path, *, setting, seed, found):
    """Keeps a run as JSON: sizes, seed, the rule that broke, the events."""
    with open(path, "w") as file:
        json.dump(
            {
                "members": setting.members,
                "spares": setting.spares,
                "seed": seed,
                "rule": found.violation.rule,
                "detail": found.violation.detail,
                "events": found.events,
            },
            file,
            indent=1,
        )


def tuples(value):
    """JSON's lists as the tuples that events are."""
    return tuple(tuples(x) for x in value) if isinstance(value, list) else value


class ExploreCommand(Command):
    name = "explore"
    description = "Model-check the store: breadth-first to a depth, random walks, replay of a run."
    options = [
        option("members", None, "Members of the store at the start.", flag=False, default="3"),
        option("spares", None, "Replicas with empty disks that may join.", flag=False, default="1"),
        option("depth", None, "Breadth-first to this many events; 0: random walks.", flag=False, default="0"),
        option("walks", None, "Random walks.", flag=False, default="200"),
        option("steps", None, "Events of a walk.", flag=False, default="600"),
        option("seed", None, "Seed of the first walk.", flag=False, default="1"),
        option("procs", None, "Processes.", flag=False, default="4"),
        option("seconds", None, "Bound on a breadth-first search.", flag=False, default="300"),
        option("save", None, "File for a run that breaks a rule, shrunk.", flag=False, default="broken.json"),
        option("replay", None, "Play a saved run again.", flag=False),
    ]

    def number(self, name):
        try:
            value = int(self.option(name))
        except ValueError:
            value = -1
        if value < 0:
            self.line_error(f"--{name}: a whole number is wanted")
            raise SystemExit(2)
        return value

    def handle(self):
        if self.option("replay"):
            return self.replay(self.option("replay"))
        setting = setting_of(self.number("members"), self.number("spares"))
        if not 1 <= setting.members <= 9:
            self.line_error("--members: 1 to 9")
            return 2
        return self.breadth(setting) if self.number("depth") else self.walks(setting)

    def breadth(self, setting):
        report = breadth_first(setting, depth=self.number("depth"), seconds=self.number("seconds"))
        self.line(
            f"{report.states} states, depth {report.depth}, {report.seconds:.1f} s, "
            + ("complete" if report.complete else "cut short")
        )
        return self.tell(setting, 0, report.found)

    def walks(self, setting):
        first, count, steps = self.number("seed"), self.number("walks"), self.number("steps")
        jobs = [(setting, seed, steps) for seed in range(first, first + count)]
        sums, broken, started = Counter(), [], time.monotonic()
        with Pool(max(1, self.number("procs"))) as pool:
            for seed, report in pool.imap_unordered(walk, jobs):
                sums["states"] += report.states
                sums["events"] += report.events
                if report.found is not None:
                    broken.append((seed, report.found))
        seconds = time.monotonic() - started
        self.line(
            f"{count} walks, {sums['events']} events, {sums['states']} states, {seconds:.1f} s, "
            f"{len(broken)} broken"
        )
        seed, found = min(broken, key=lambda x: len(x[1].events), default=(0, None))
        return self.tell(setting, seed, found)

    def tell(self, setting, seed, found):
        """Shows and keeps a run that breaks a rule; the exit code."""
        if found is None:
            return 0
        found = shrink(setting, found, seed=seed)
        write_run(self.option("save"), setting=setting, seed=seed, found=found)
        self.line(f"{found.violation.rule}: {found.violation.detail}")
        self.line(f"{len(found.events)} events in {self.option('save')}")
        return 1

    def replay(self, path):
        try:
            with open(path) as file:
                run = json.load(file)
            setting = setting_of(run["members"], run["spares"])
            events = [tuples(event) for event in run["events"]]
        except (OSError, ValueError, KeyError, TypeError) as error:
            self.line_error(f"{path}: no run that explore saved ({error})")
            return 2
        cluster, violation = play(setting, events, run.get("seed", 0))
        for event in events:
            self.line(" ".join(map(str, event)))
        for replica in cluster.running():
            self.line(
                f"{replica.params.addr} {replica.rank} term {replica.term} commit {replica.commit} "
                f"last {replica.last()} list {replica.conf['v']}"
            )
        cluster.close()
        if violation is None:
            self.line("no rule is broken")
            return 0
        self.line(f"{violation.rule}: {violation.detail}")
        return 1


EXPLORE = [ExploreCommand]
