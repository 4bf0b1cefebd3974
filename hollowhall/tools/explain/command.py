"""`hollowhall explain`: reports on one job, or summarizes a whole log."""

import sys

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ...base.problems import Raised
from .lines import TracedJob, read_line
from .plots import share_plot
from .summary import causes, summarise

BAD_FLAGS, FOUND_NOTHING = 2, 1  # exit codes
LISTED_JOBS = 10  # per queue, the latest first


def read_rows(files):
    """(trace rows, raw lines) of all files; '-' is standard input."""
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
    """Explains from the scheduler's log why jobs were late and which work was discarded."""

    name = "explain"
    description = "Explain from the scheduler's logs why jobs were late and which work was thrown away"
    arguments = [argument("logs", "log files; - for standard input", multiple=True)]
    options = [
        option("job", None, "report on this job alone", flag=False),
        option("plot", None, "plot the share of jobs that ended within their aim, over time", flag=True),
    ]

    def handle(self):
        try:
            rows, lines = read_rows(self.argument("logs"))
        except OSError as error:
            self.line_error(f"{error.filename}: {error.strerror}")
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
        """Prints all that the logs contain about one job; returns the exit code."""
        job = next((row for row in rows if isinstance(row, TracedJob) and row.name == name), None)
        job_lines = [text for text in lines if name in text]
        if not job_lines:
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
        for text in job_lines:
            self.line(text)
        return 0

    def show_queues(self, summaries):
        """Prints a table of the queues."""
        table = self.table()
        table.set_headers(["queue", "ended", "in aim", "failed", "thrown away, core-s"])
        table.set_rows(
            [
                [
                    name,
                    str(summary.ended),
                    str(summary.in_aim),
                    str(summary.failed),
                    str(sum(summary.thrown_away.values())),
                ]
                for name, summary in sorted(summaries.items())
            ]
        )
        table.render()

    def show_causes(self, summaries, kind, unit):
        """Prints a table of the causes of `kind`, a field of QueueSummary, by queue."""
        names = causes(summaries, kind)
        if not names:
            return
        divisor = 1000 if unit == "s" else 1
        table = self.table()
        table.set_headers([f"{kind.replace('_', ' ')}, {unit}", *names])
        table.set_rows(
            [
                [queue, *(f"{getattr(summary, kind).get(name, 0) / divisor:.1f}" for name in names)]
                for queue, summary in sorted(summaries.items())
            ]
        )
        table.render()

    def show_latest(self, summaries):
        """Prints the jobs that missed their aim by most, for each queue."""
        for queue, summary in sorted(summaries.items()):
            latest = sorted(summary.late, key=lambda job: job.aim_ms - job.took_ms)[:LISTED_JOBS]
            for job in latest:
                waits = ",".join(f"{cause}:{ms}" for cause, ms in job.waits.items()) or "-"
                self.line(
                    f"{queue} {job.name} {job.verdict}: {job.steps}, took {job.took_ms} ms of {job.aim_ms}, "
                    f"first start {job.first_start_ms}, waits {waits}"
                )

    def plot(self, rows):
        """Plots the share of jobs that ended within their aim; one point per trace line of a queue, in order."""
        series = []
        for queue in sorted({row.queue for row in rows}):
            lines = [
                row for row in rows if row.queue == queue and not isinstance(row, TracedJob) and row.ended
            ]
            series.append((queue, list(range(len(lines))), [row.in_aim / row.ended for row in lines]))
        try:
            self.line(share_plot(title="share of jobs that ended in aim, line by line", series=series))
        except Raised as error:
            self.line_error(f"{error.failure.what} is wanted: pip install {error.failure.extra}")


EXPLAIN = [ExplainCommand]
