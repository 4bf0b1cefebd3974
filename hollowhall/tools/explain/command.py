"""`hollowhall explain`: one job's story, or a table of a whole log."""

import sys

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ...base.problems import Raised
from .lines import TracedJob, read_line
from .plots import share_plot
from .summary import causes, summarise

BAD_FLAGS, FOUND_NOTHING = 2, 1  # exit codes
LATEST = 10  # jobs of a queue that are listed, those that came latest


def read_rows(files):
    """Trace rows and raw lines of all files; '-' is standard input."""
    rows, lines = [], []
    for name in files:
        stream = sys.stdin if name == "-" else open(name, errors="replace")
        with stream:
            for text in stream:
                lines.append(text.rstrip("\n"))
                row = read_line(text)
                if row is not None:
                    rows.append(row)
    return rows, lines


class ExplainCommand(Command):
    name = "explain"
    description = "Tells from the scheduler's logs why jobs came late and what work was thrown away"
    arguments = [argument("logs", "log files; - for standard input", multiple=True)]
    options = [
        option("job", None, "the story of this job alone", flag=False),
        option("plot", None, "plots jobs that ended in aim, over time", flag=True),
    ]

    def handle(self):
        try:
            rows, lines = read_rows(self.argument("logs"))
        except OSError as e:
            self.line_error(f"{e.filename}: {e.strerror}")
            return BAD_FLAGS
        if self.option("job"):
            return self.tell_job(self.option("job"), rows, lines)
        summaries = summarise(rows)
        if not summaries:
            self.line_error("no trace of decisions (HH430, HH431) in these logs")
            return FOUND_NOTHING
        self.show_queues(summaries)
        for kind, unit in (("waits", "s"), ("thrown_away", "core-s")):
            self.show_causes(summaries, kind, unit)
        self.show_latest(summaries)
        if self.option("plot"):
            self.plot(rows)
        return 0

    def tell_job(self, name, rows, lines):
        """All that the logs hold of one job."""
        job = next((r for r in rows if isinstance(r, TracedJob) and r.name == name), None)
        told = [text for text in lines if name in text]
        if not told:
            self.line_error(f"these logs hold nothing of job {name}")
            return FOUND_NOTHING
        if job is not None:
            self.line(f"{name}: queue {job.queue}, steps {job.steps}, {job.verdict}")
            self.line(f"  took {job.took_ms} ms, aim {job.aim_ms} ms, first start {job.first_start_ms} ms")
            self.line(f"  {job.starts} starts")
            for title, found, unit in (
                ("waited for", job.waits, "ms"),
                ("was stopped for", job.stops, "times"),
                ("lost work by", job.thrown_away, "core-s"),
            ):
                parts = ", ".join(f"{cause} {value} {unit}" for cause, value in found.items())
                self.line(f"  {title}: {parts or 'nothing'}")
        for text in told:
            self.line(text)
        return 0

    def show_queues(self, summaries):
        table = self.table()
        table.set_headers(["queue", "ended", "in aim", "failed", "thrown away, core-s"])
        table.set_rows(
            [
                [name, str(s.ended), str(s.in_aim), str(s.failed), str(sum(s.thrown_away.values()))]
                for name, s in sorted(summaries.items())
            ]
        )
        table.render()

    def show_causes(self, summaries, kind, unit):
        names = causes(summaries, kind)
        if not names:
            return
        per = 1000 if unit == "s" else 1
        table = self.table()
        table.set_headers([f"{kind.replace('_', ' ')}, {unit}", *names])
        table.set_rows(
            [
                [queue, *(f"{getattr(s, kind).get(name, 0) / per:.1f}" for name in names)]
                for queue, s in sorted(summaries.items())
            ]
        )
        table.render()

    def show_latest(self, summaries):
        for queue, summary in sorted(summaries.items()):
            latest = sorted(summary.late, key=lambda job: job.aim_ms - job.took_ms)[:LATEST]
            for job in latest:
                waits = ",".join(f"{cause}:{ms}" for cause, ms in job.waits.items()) or "-"
                self.line(
                    f"{queue} {job.name} {job.verdict}: {job.steps}, took {job.took_ms} ms of {job.aim_ms}, "
                    f"first start {job.first_start_ms}, waits {waits}"
                )

    def plot(self, rows):
        """The share of jobs that ended in aim, by the lines of each queue in their order."""
        series = []
        for queue in sorted({r.queue for r in rows}):
            lines = [r for r in rows if r.queue == queue and not isinstance(r, TracedJob) and r.ended]
            series.append((queue, list(range(len(lines))), [r.in_aim / r.ended for r in lines]))
        try:
            self.line(share_plot(title="share of jobs that ended in aim, line by line", series=series))
        except Raised as e:
            self.line_error(f"{e.problem.what} is wanted: pip install {e.problem.extra}")


EXPLAIN = [ExplainCommand]
