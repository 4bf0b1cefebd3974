"""A worker that is heard again while it is being given up gets no orders until that is decided: its attempts
may start elsewhere in the same batch (a task ran twice in a simulated day)."""

from types import SimpleNamespace as Bag

from test_level_two import record_with_job, step

from hollowhall.base.problems import NotPrimary
from hollowhall.desk.beats import BeatsMixin
from hollowhall.desk.worker_session import WorkerSession


class Desk(BeatsMixin):
    """The handling of heartbeats over a record, as primary."""

    def __init__(self, record):
        self.record, self.runtime, self.settings = record, Bag(now=lambda: 1.0), Bag(hold_ms=3600)
        self.epoch = 1

    def live(self):
        return True

    def not_primary(self):
        return NotPrimary()

    def clock_ms(self):
        return 1000


def test_a_worker_that_is_being_given_up_is_told_nothing():
    desk = Desk(record_with_job(steps=[step()]))
    desk.record.do(["grant", "j/0.0/0", "w0"])
    session = WorkerSession(boot="1", names_attempts=True, report_complete=True)
    assert desk.beat_answer(worker_id="w0", session=session).value["starts"]
    session.lost_pending = True
    assert isinstance(desk.beat_answer(worker_id="w0", session=session), NotPrimary)
    assert desk.orders(worker_id="w0", session=session) == ([], [])
    desk.lost("w0", session, ["none", ""], None)
    assert not session.lost_pending and desk.beat_answer(worker_id="w0", session=session).ok
