"""Attempts that are granted but not started when a tenant's limit is lowered are revoked. Guards against a
tenant above its limit: a worker that had been unreachable started, once it was heard again, what had been
granted to it under the earlier limit."""

from tenant_store import TenantStore, tenant

from hollowhall.desk.orders import OrdersMixin
from hollowhall.desk.worker_session import WorkerSession


class Desk(OrdersMixin):
    """A primary's orders to workers; `held` collects the events that it holds for its next batch."""

    def __init__(self, store):
        self.record, self.revoked_gang_runs, self.held = store.record, set(), []

    def queue_event(self, *, event, callback=None):
        self.held.append(event)

    def orders_for(self, worker, started=(), report_complete=True):
        running = {run for run in self.record.workers[worker].runs if run in started}
        session = WorkerSession(boot="1", running=running, report_complete=report_complete)
        return self.orders(worker_id=worker, session=session)


def granted(limit=4000, **step):
    store = TenantStore(workers=2, t=tenant(cores=limit))
    store.job_of("t", **({"tasks": 4} | step))
    store.grants()
    return store, sorted(store.record.attempts)


def test_what_has_not_begun_is_taken_back_when_the_limit_is_lowered():
    # found in the simulated day workers_go_silent_with_what_they_run, seed 106
    store, runs = granted()
    begun = {run for run in runs if store.record.attempts[run].worker == "w0"}
    desk = Desk(store)
    assert desk.orders_for("w1")[1] == []
    store.limit(t=tenant(cores=1000))
    assert desk.orders_for("w0", started=set(runs[:1])) == (
        [],
        sorted(set(store.record.workers["w0"].runs) - {runs[0]}),
    )
    assert desk.orders_for("w0", started=begun) == ([], [])  # running attempts go on


def test_it_starts_after_all_where_the_limit_is_met():
    store, runs = granted()
    desk = Desk(store)
    store.limit(t=tenant(cores=4000))
    starts = [run for worker in ("w0", "w1") for run in desk.orders_for(worker)[0]]
    assert sorted(starts) == runs


def test_an_attempt_that_is_all_its_tenant_has_is_told_to_start():
    # a task larger than the limit runs alone; it would be revoked and granted again without end
    store, runs = granted(tasks=1)
    store.limit(t=tenant(cores=500))
    assert Desk(store).orders_for(store.record.attempts[runs[0]].worker) == (runs, [])


def test_a_gang_of_which_not_all_have_begun_is_stopped_whole():
    # otherwise members that have started would wait for the others and end as alone
    store = TenantStore(workers=2, t=tenant(cores=4000))
    store.job_of("t", "k")
    store.grants()
    store.job_of("t", "g", tasks=2, gang=True)
    store.do(["gang", "g", "0.0", ["w0", "w1"]])
    members = sorted(run for run, attempt in store.record.attempts.items() if attempt.job == "g")
    store.limit(t=tenant(cores=1000))
    desk = Desk(store)
    desk.orders_for("w1"), desk.orders_for("w1")
    assert sorted(event[1] for event in desk.held) == members and {event[2] for event in desk.held} == {
        "tenant"
    }


def test_a_gang_that_is_all_its_tenant_has_is_told_to_start():
    store = TenantStore(workers=2, t=tenant(cores=4000))
    store.job_of("t", "g", tasks=2, gang=True)
    store.do(["gang", "g", "0.0", ["w0", "w1"]])
    store.limit(t=tenant(cores=1500))
    desk = Desk(store)
    assert len(desk.orders_for("w0")[0] + desk.orders_for("w1")[0]) == 2 and desk.held == []
