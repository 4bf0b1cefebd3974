"""Histories in files: each violation names its file and line; a line that is no row is reported and does
not end the check; an incomplete last line is ignored; run ids that go back are reported."""

import json

from cleo.testers.command_tester import CommandTester
from planted_histories import T0, add, history, start

from hollowhall.check.judge import judge
from hollowhall.standins.history import read
from hollowhall.tools.check.check import CheckCommand


def write(path, rows, more=""):
    path.write_text("".join(json.dumps(row) + "\n" for row in rows) + more)
    return str(path)


def test_rows_that_cannot_be_are_listed_by_line(tmp_path):
    rows = history()
    good = write(tmp_path / "good.jsonl", rows, '{"t": 5, "ev": "put", "na')
    assert judge(read([good]))[0] == []
    lines = [json.dumps(row) for row in rows]
    lines[3:3] = [
        "not json",
        "[1, 2]",
        '{"ev": "put"}',
        '{"t": true, "ev": "put"}',
        json.dumps({"t": T0 + 20, "ev": "start", "w": "w1"}),
        json.dumps({"t": T0 + 60, "ev": "end", "run": [1]}),
        json.dumps({"t": T0 + 20, "ev": "put", "name": "x", "id": 3}),
    ]
    path = tmp_path / "bad.jsonl"
    path.write_text("\n".join(lines) + "\n")
    violations = [violation for violation in judge(read([str(path)]))[0] if violation.rule == "unreadable"]
    assert sorted(violation.at for violation in violations) == [
        f"{path}:{line}" for line in (10, 4, 5, 6, 7, 8, 9)
    ]
    tester = CommandTester(CheckCommand())
    assert tester.execute(str(path)) == 1 and f"{path}:6: unreadable" in tester.io.fetch_error()
    assert tester.execute(good) == 0 and tester.execute(str(tmp_path / "none")) == 2


def test_a_violation_names_its_line_among_several_files(tmp_path):
    first, second = history()[:7], history()[7:]
    start(second, 5000, "99", "j/a/0")
    first_path, second_path = write(tmp_path / "a.jsonl", first), write(tmp_path / "b.jsonl", second)
    violations, _ = judge(read([second_path, first_path]))
    assert [violation.rule for violation in violations] == ["twice"] and violations[
        0
    ].at == f"{second_path}:{len(second)}"


def test_a_lower_run_of_a_task_is_caught():
    rows = history()
    for row in rows:
        if row.get("run") == "12":
            row["run"] = "10"
    assert {violation.rule for violation in judge(rows)[0]} == {"run-order"}
    add(rows, 5000, "stop")
    assert len(judge(rows)[0]) == 1
