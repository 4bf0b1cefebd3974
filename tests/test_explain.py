"""The trace of decisions: what the scheduler logs for a job that was late or lost work, and the report of
`hollowhall explain` on it, from a daemon's log and from the output of a test bench."""

from cleo.testers.command_tester import CommandTester
from test_level_two import record_with_job, runs, step
from test_pace import Desk as PaceDesk

from hollowhall.base import constants, log_events
from hollowhall.desk.trace import TraceMixin
from hollowhall.tools.explain.command import ExplainCommand
from hollowhall.tools.explain.lines import read_line

ROW = {"weight": 1.0, "limit": 0, "urgency": 5, "stretch": 1.5, "aimMs": 200}


class Desk(TraceMixin, PaceDesk):
    """A scheduler with the trace, without network and store."""

    def __init__(self, rec):
        super().__init__(rec)
        self.open_trace()

    def do(self, *evs, ms):
        self.note_trace(events=list(evs), ms=1000 + ms)
        self.record.do(*evs, ms=ms)

    def lines(self):
        events = {event.number: event for event in log_events.ALL.values()}
        return [
            f"12:00:00 desk HH{number} {events[number].text} | "
            + " ".join(f"{key}={value}" for key, value in fields.items())
            for number, fields in self.said
            if number in (430, 431)
        ]


def traced(*, took=2000, how="ok", **kw):
    """A scheduler that traced one job, which ended after `took` ms; its aim is 800 ms."""
    desk = Desk(record_with_job(steps=[step(estimateMs=400, maxFailures=1, **kw)], rows={"q": ROW}))
    desk.traced_ms = 1000
    desk.trace_waits(ms=1000 + constants.TRACE_CHECK_PERIOD_MS)
    desk.do(["grant", "j/0.0/0", "w0"], ms=200)
    desk.do(["end", runs(desk.record)[0], how, ""], ms=took)
    desk.trace_waits(ms=1000 + took)
    desk.traced_ms = 900 + took
    desk.trace_waits(ms=1000 + took + constants.TRACE_CHECK_PERIOD_MS)
    return desk


def test_a_late_job_leaves_a_line_with_what_it_waited_for():
    (job,) = [row for row in map(read_line, traced().lines()) if hasattr(row, "name")]
    assert (job.name, job.verdict, job.took_ms, job.aim_ms) == ("j", "late", 2000, 800)
    assert (
        job.waits == {"turn": constants.TRACE_CHECK_PERIOD_MS}
        and job.starts == 1
        and job.first_start_ms == 200
    )


def test_a_job_in_its_aim_leaves_none_but_counts():
    desk = traced(took=500)
    assert not [row for row in map(read_line, desk.lines()) if hasattr(row, "name")]
    assert desk.queue_traces["q"].ended == 1 and desk.queue_traces["q"].in_aim == 1 and not desk.traces


def test_what_a_failure_threw_away_is_told_with_its_cause():
    (job,) = [row for row in map(read_line, traced(how="bad").lines()) if hasattr(row, "name")]
    assert job.verdict == "failed" and job.thrown_away == {"bad": 2}


def test_a_job_that_has_ended_is_not_traced_again():
    desk = traced()
    desk.note_attempt(attempt=type("A", (), {"job": "j", "stop": ""})(), how="ok", ms=9000)
    assert not desk.traces


def test_a_job_cancelled_before_it_began_is_forgotten():
    desk = Desk(record_with_job(steps=[step()], rows={"q": ROW}))
    desk.traced_ms = 1000
    desk.trace_waits(ms=1000 + constants.TRACE_CHECK_PERIOD_MS)
    assert list(desk.traces) == ["j"]
    desk.do(["cancel", "j"], ms=300)
    desk.trace_waits(ms=1500)
    assert not desk.traces


def test_the_memory_of_the_trace_is_bounded(monkeypatch):
    monkeypatch.setattr(constants, "TRACED_JOBS_MAX", 0)
    desk = Desk(record_with_job(steps=[step()]))
    desk.do(["grant", "j/0.0/0", "w0"], ms=200)
    assert not desk.traces


def test_the_command_adds_up_and_tells_one_story(tmp_path):
    log = tmp_path / "desk.log"
    desk = traced()
    desk.tell_queues()
    log.write_text("noise\n" + "\n".join("  3.21 core-1 " + line for line in desk.lines()) + "\n")
    command = CommandTester(ExplainCommand())
    assert command.execute(f"{log} --plot") == 0
    out = command.io.fetch_output()
    assert "waits, s" in out and "j late" in out
    assert command.execute(f"{log} --job j") == 0 and "waited for: turn" in command.io.fetch_output()
    assert command.execute(f"{log} --job nobody") == 1
    (tmp_path / "empty").write_text("nothing here\n")
    assert command.execute(f"{tmp_path}/empty") == 1
    assert command.execute(f"{tmp_path}/none") == 2


def test_lines_that_are_no_trace_or_broken_are_passed_over():
    assert read_line("12:00 desk HH410 worker announced itself | worker=w0") is None
    assert read_line("HH430 a job ended after its aim or lost work | queue=q") is None
    assert read_line("x HH431 t | queue=q ended=abc waits=room:x").ended == 0
