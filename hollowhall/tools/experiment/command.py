"""`hollowhall experiment`: a workload under policy A and policy B on paired seeds."""

import json
from dataclasses import asdict
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ...base.problems import BadInput, Raised
from ...desk.policy import read_policy
from ..explain.plots import share_plot
from .compare import Run, differences, play_all
from .workload import read_workload

FOUND_BAD = 2  # exit code: bad flags or a bad file


def seeds_of(text):
    """'1-8' or '1,5,9' as numbers; raises Raised(BadInput)."""
    try:
        if "-" in text:
            first, last = (int(x) for x in text.split("-"))
            return list(range(first, last + 1))
        return [int(x) for x in text.split(",")]
    except ValueError:
        raise Raised(BadInput(errors=[["seeds", f"{text!r}: 1-8 or 1,5,9 is wanted"]])) from None


class ExperimentCommand(Command):
    name = "experiment"
    description = "Plays a workload in virtual time under two policies, on paired seeds"
    arguments = [argument("workload", "a workload file (TOML)")]
    options = [
        option("off", None, "policy switches that B has off, comma-separated", flag=False, default=""),
        option("a-off", None, "the same for A", flag=False, default=""),
        option("seeds", None, "1-8 or 1,5,9", flag=False, default="1-4"),
        option("procs", None, "processes", flag=False, default="4"),
        option("json", None, "file for all figures", flag=False),
        option("plot", None, "plots the use of room over time", flag=True),
    ]

    def handle(self):
        try:
            workload = read_workload(path=self.argument("workload"))
            a, b = read_policy(off=self.option("a-off")), read_policy(off=self.option("off"))
            seeds = seeds_of(self.option("seeds"))
        except Raised as e:
            for field, why in e.failure.errors:
                self.line_error(f"{field}: {why}")
            return FOUND_BAD
        pair = a != b
        runs = [Run(workload=workload, seed=s, policy=p) for s in seeds for p in ((a, b) if pair else (a,))]

        def progress(done):
            self.io.error_output.write(f"\r{done} of {len(runs)} runs")

        played = play_all(runs=runs, processes=int(self.option("procs")), progress=progress)
        self.io.error_output.write_line("")
        step = 2 if pair else 1
        self.show_runs(seeds, played[::step])
        if pair:
            self.show_differences(differences(a=played[::2], b=played[1::2]))
        if self.option("plot"):
            self.plot(played, pair)
        if self.option("json"):
            rows = [
                {"seed": r.seed, "off": r.policy.off(), **asdict(f)}
                for r, f in zip(runs, played, strict=True)
            ]
            Path(self.option("json")).write_text(json.dumps(rows))
        return 0

    def show_runs(self, seeds, played):
        table = self.table()
        table.set_headers(["seed", *played[0].row()])
        table.set_rows(
            [[str(s), *(f"{x:.3f}" for x in f.row().values())] for s, f in zip(seeds, played, strict=True)]
        )
        table.render()

    def show_differences(self, found):
        table = self.table()
        table.set_headers(["figure", "A", "B", "B - A", "95 %", "sure"])
        table.set_rows(
            [
                [
                    d.figure,
                    f"{d.a:.3f}",
                    f"{d.b:.3f}",
                    f"{d.mean:+.4f}",
                    f"{d.half_width:.4f}",
                    "yes" if d.sure else "no",
                ]
                for d in found
            ]
        )
        table.render()

    def plot(self, played, pair):
        """Room in use over the first seed's run, of A and B."""
        series = [
            (label, [t for t, _ in figures.use], [u for _, u in figures.use])
            for label, figures in zip("AB", played[: 2 if pair else 1], strict=False)
        ]
        try:
            self.line(share_plot(title="part of the room in use, by second", series=series))
        except Raised as e:
            self.line_error(f"{e.failure.what} is wanted: pip install {e.failure.extra}")


EXPERIMENT = [ExperimentCommand]
