"""`hollowhall explore`: model-checks the store, and replays a saved run."""

import json
import time
from collections import Counter
from multiprocessing import Pool

from cleo.commands.command import Command
from cleo.helpers import option

from .breadth import breadth_first
from .search import Setting, play, shrink
from .walks import random_walk

LOST_DISKS = {True: 1, False: 2}  # disks lost in a walk; key: whether there are fewer than 5 members


def setting_of(members, spares):
    return Setting(members=members, spares=spares, lost_disks=LOST_DISKS[members < 5], snap_every=20)


def walk(job):
    """Runs one random walk in a worker process; returns (seed, report)."""
    setting, seed, steps = job
    return seed, random_walk(setting, seed=seed, steps=steps)


def write_run(path, *, setting, seed, counterexample):
    """Saves a run as JSON: sizes, seed, the violated rule, the events."""
    with open(path, "w") as file:
        json.dump(
            {
                "members": setting.members,
                "spares": setting.spares,
                "seed": seed,
                "rule": counterexample.violation.rule,
                "detail": counterexample.violation.detail,
                "events": counterexample.events,
            },
            file,
            indent=1,
        )


def as_tuples(value):
    """Turns the lists of decoded JSON into tuples, as events have them."""
    return tuple(as_tuples(x) for x in value) if isinstance(value, list) else value


class ExploreCommand(Command):
    """Exit codes: 0 no violation, 1 a violation, 2 bad options."""

    name = "explore"
    description = "Model-check the store: breadth-first to a depth, random walks, replay of a run."
    options = [
        option("members", None, "Members of the store at the start.", flag=False, default="3"),
        option("spares", None, "Replicas with empty disks that may join.", flag=False, default="1"),
        option(
            "depth",
            None,
            "Depth of a breadth-first search in events; 0: random walks.",
            flag=False,
            default="0",
        ),
        option("walks", None, "Number of random walks.", flag=False, default="200"),
        option("steps", None, "Events in each walk.", flag=False, default="600"),
        option("seed", None, "Seed of the first walk.", flag=False, default="1"),
        option("procs", None, "Worker processes.", flag=False, default="4"),
        option("seconds", None, "Time limit of a breadth-first search.", flag=False, default="300"),
        option("save", None, "File for a shrunk run that breaks a rule.", flag=False, default="broken.json"),
        option("replay", None, "Replay a saved run from this file.", flag=False),
    ]

    def whole_number(self, name):
        """The value of an option; ends the command with 2 unless it is a whole number."""
        try:
            value = int(self.option(name))
        except ValueError:
            value = -1
        if value < 0:
            self.line_error(f"--{name}: must be a whole number")
            raise SystemExit(2)
        return value

    def handle(self):
        if self.option("replay"):
            return self.replay(self.option("replay"))
        setting = setting_of(self.whole_number("members"), self.whole_number("spares"))
        if not 1 <= setting.members <= 9:
            self.line_error("--members: must be 1 to 9")
            return 2
        return self.breadth(setting) if self.whole_number("depth") else self.walks(setting)

    def breadth(self, setting):
        report = breadth_first(
            setting, depth=self.whole_number("depth"), seconds=self.whole_number("seconds")
        )
        self.line(
            f"{report.states} states, depth {report.depth}, {report.seconds:.1f} s, "
            + ("complete" if report.complete else "cut short")
        )
        return self.report_counterexample(setting, 0, report.counterexample)

    def walks(self, setting):
        first, count, steps = (
            self.whole_number("seed"),
            self.whole_number("walks"),
            self.whole_number("steps"),
        )
        jobs = [(setting, seed, steps) for seed in range(first, first + count)]
        sums, counterexamples, started = Counter(), [], time.monotonic()
        with Pool(max(1, self.whole_number("procs"))) as pool:
            for seed, report in pool.imap_unordered(walk, jobs):
                sums["states"] += report.states
                sums["events"] += report.events
                if report.counterexample is not None:
                    counterexamples.append((seed, report.counterexample))
        seconds = time.monotonic() - started
        self.line(
            f"{count} walks, {sums['events']} events, {sums['states']} states, {seconds:.1f} s, "
            f"{len(counterexamples)} broken"
        )
        seed, counterexample = min(counterexamples, key=lambda run: len(run[1].events), default=(0, None))
        return self.report_counterexample(setting, seed, counterexample)

    def report_counterexample(self, setting, seed, counterexample):
        """Shrinks, saves and prints a run that breaks a rule; returns the exit code."""
        if counterexample is None:
            return 0
        counterexample = shrink(setting, counterexample, seed=seed)
        write_run(self.option("save"), setting=setting, seed=seed, counterexample=counterexample)
        self.line(f"{counterexample.violation.rule}: {counterexample.violation.detail}")
        self.line(f"{len(counterexample.events)} events in {self.option('save')}")
        return 1

    def replay(self, path):
        try:
            with open(path) as file:
                run = json.load(file)
            setting = setting_of(run["members"], run["spares"])
            events = [as_tuples(event) for event in run["events"]]
        except (OSError, ValueError, KeyError, TypeError) as error:
            self.line_error(f"{path}: not a run saved by explore ({error})")
            return 2
        cluster, violation = play(setting, events, run.get("seed", 0))
        for event in events:
            self.line(" ".join(map(str, event)))
        for replica in cluster.running():
            self.line(
                f"{replica.settings.addr} {replica.election_role} term {replica.term} commit {replica.commit} "
                f"last {replica.last()} list {replica.membership['v']}"
            )
        cluster.close()
        if violation is None:
            self.line("no rule is broken")
            return 0
        self.line(f"{violation.rule}: {violation.detail}")
        return 1


EXPLORE = [ExploreCommand]
