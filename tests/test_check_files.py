"""Histories as files: each violation is named by file and line, what is no row is listed
and does not end the check, a torn last line is left out; runIds that go back are caught."""

import json

from cleo.testers.command_tester import CommandTester
from planted_histories import T0, add, history, start

from hollowhall.check.judge import judge
from hollowhall.standins.history import read
from hollowhall.tools.check.check import CheckCommand


def write(path, rows, more=""):
    path.write_text("".join(json.dumps(r) + "\n" for r in rows) + more)
    return str(path)


def test_rows_that_cannot_be_are_listed_by_line(tmp_path):
    rows = history()
    good = write(tmp_path / "good.jsonl", rows, '{"t": 5, "ev": "put", "na')
    assert judge(read([good]))[0] == []
    lines = [json.dumps(r) for r in rows]
    lines[3:3] = [
        "not json",
        "[1, 2]",
        '{"ev": "put"}',
        '{"t": true, "ev": "put"}',
        json.dumps({"t": T0 + 20, "ev": "start", "w": "w1"}),
        json.dumps({"t": T0 + 60, "ev": "end", "run": [1]}),
        json.dumps({"t": T0 + 20, "ev": "put", "name": "x", "id": 3}),
    ]
    f = tmp_path / "bad.jsonl"
    f.write_text("\n".join(lines) + "\n")
    bad = [b for b in judge(read([str(f)]))[0] if b.rule == "unreadable"]
    assert sorted(b.at for b in bad) == [f"{f}:{n}" for n in (10, 4, 5, 6, 7, 8, 9)]
    t = CommandTester(CheckCommand())
    assert t.execute(str(f)) == 1 and f"{f}:6: unreadable" in t.io.fetch_error()
    assert t.execute(good) == 0 and t.execute(str(tmp_path / "none")) == 2


def test_a_violation_names_its_line_among_several_files(tmp_path):
    a, b = history()[:7], history()[7:]
    start(b, 5000, "99", "j/a/0")
    fa, fb = write(tmp_path / "a.jsonl", a), write(tmp_path / "b.jsonl", b)
    bad, _ = judge(read([fb, fa]))
    assert [x.rule for x in bad] == ["twice"] and bad[0].at == f"{fb}:{len(b)}"


def test_a_lower_run_of_a_task_is_caught():
    rows = history()
    for r in rows:
        if r.get("run") == "12":
            r["run"] = "10"
    assert {b.rule for b in judge(rows)[0]} == {"run-order"}
    add(rows, 5000, "stop")
    assert len(judge(rows)[0]) == 1
