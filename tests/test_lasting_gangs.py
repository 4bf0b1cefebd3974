"""Gangs of jobs without an end are started again, however they end."""

import pytest
from test_level_two import record_with_job, step

LASTING = step(tasks=2, gang=True, forever=True)


def record_after_end(how, *, level):
    """A record whose gang ran once, at a format level; both members ended as `how` says."""
    record = record_with_job(steps=[LASTING], workers=2, standing=True)
    for n in range(3, level + 1):
        record.apply_entry(op="level", d=n)
    record.do(["gang", "j", "0.0", ["w0", "w1"]])
    for run in sorted(record.attempts):
        record.do(["end", run, how, ""])
    return record


@pytest.mark.parametrize("how", ["ok", "bad", "lost", "stopped"])
def test_a_lasting_gang_starts_again_however_it_ended(how):
    # after a successful end, the job was shown as complete
    record = record_after_end(how, level=4)
    assert record.jobs["j"].state == "open"
    assert record.do(["gang", "j", "0.0", ["w0", "w1"]])[0][0] == "ok"
    assert {t.starts for t in record.jobs["j"].tasks.values()} == {2}


def test_below_level_four_a_good_end_is_the_last():
    # replicas of an older version apply the same entries, and must reach the same state
    assert record_after_end("ok", level=3).jobs["j"].state == "done"
