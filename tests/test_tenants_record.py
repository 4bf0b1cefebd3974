"""Tenants' limits in the record. Guards against starts that take a tenant above its limit, as when tenants'
limits were not checked (issue 31)."""

import pytest
from queue_store import HERE, row
from tenant_store import TenantStore, tenant

from hollowhall.base import problems
from hollowhall.record import Record


def test_no_start_takes_a_tenant_above_its_limit():
    # issue 31: all ten tasks of a tenant that may run three were started
    store = TenantStore(t=tenant(cores=3000))
    store.job_of("t", tasks=10)
    assert len(store.grants()) == 3 and store.running("t") == 3000
    store.end("j/0.0/0")
    assert len(store.grants()) == 1 and store.running("t") == 3000


@pytest.mark.parametrize("limits", [{"cores": 2500}, {"mem_mb": 20}, {"gpus": 4}])
def test_each_resource_binds_by_itself(limits):
    store = TenantStore(t=tenant(**limits))
    for index in range(4):
        worker = f"big{index}"
        store.do(["worker", worker, "1", "svc", "z", "r", [8000, 1000, 8], True, ["a"]])
    store.job_of("t", tasks=10, room={"cores": 1000, "memMb": 10, "gpus": 2})
    assert len(store.grants()) == 2


def test_a_limit_counts_every_attempt_until_its_end_is_known():
    # also attempts that are to be stopped, and those on silent workers
    store = TenantStore(t=tenant(cores=2000))
    store.job_of("t", tasks=4)
    store.grants()
    run = store.record.jobs["j"].tasks["j/0.0/0"].run
    store.do(["stop", run, "slow"])
    assert store.grants() == []
    store.do(["cancel", "j"])
    store.job_of("t", "k", tasks=4)
    assert store.grants() == [] and store.running("t") == 2000
    store.do(["end", run, "stopped", ""])
    assert len(store.grants()) == 1


def test_a_lowered_limit_stops_nothing_and_starts_nothing_until_it_is_met():
    store = TenantStore(t=tenant(cores=4000))
    store.job_of("t", tasks=8)
    store.grants()
    store.limit(t=tenant(cores=1500))
    assert store.running("t") == 4000 and store.grants() == []
    for n in range(3):
        store.end(f"j/0.0/{n}")
        assert store.grants() == []
    store.end("j/0.0/3")
    assert len(store.grants()) == 1


def test_a_limit_lowered_raised_and_lowered_counts_what_runs():
    store = TenantStore(t=tenant(cores=2000))
    store.job_of("t", tasks=9)
    store.grants()
    for cores, more in ((1000, 0), (5000, 3), (1000, 0), (6000, 1)):
        store.limit(t=tenant(cores=cores))
        assert len(store.grants()) == more
    assert store.running("t") == 6000


def test_a_task_larger_than_its_limit_runs_alone():
    # otherwise it would never start
    store = TenantStore(t=tenant(cores=500))
    store.job_of("t", tasks=3)
    assert len(store.grants()) == 1
    store.end("j/0.0/0")
    assert len(store.grants()) == 1


def test_a_gang_starts_whole_within_its_limit_or_not_at_all():
    store = TenantStore(t=tenant(cores=2000))
    store.job_of("t", "g", tasks=2, gang=True)
    store.job_of("t", "k")
    assert store.grants() == ["k/0.0/0"]
    assert store.do(["gang", "g", "0.0", ["w0", "w1"]])[0] == ["no", "tenant"]
    store.end("k/0.0/0")
    assert store.do(["gang", "g", "0.0", ["w0", "w1"]])[0][0] == "ok" and store.running("t") == 2000


def test_a_gang_wider_than_its_limit_is_told_so():
    store = TenantStore(t=tenant(cores=2000))
    store.job_of("t", "g", tasks=4, gang=True)
    assert store.do(["gang", "g", "0.0", ["w0", "w1", "w2", "w3"]])[0] == ["no", "tenant never"]


def test_copies_count():
    store = TenantStore(t=tenant(cores=1000))
    store.job_of("t", copies=True)
    assert store.grants() == ["j/0.0/0"]
    other = next(w for w in store.record.workers if not store.record.workers[w].runs)
    assert store.do(["copy", "j/0.0/0", other])[0] == ["no", "tenant"]


def test_tenants_do_not_count_for_each_other():
    store = TenantStore(t=tenant(cores=1000), u=tenant(cores=1000), free=tenant())
    for name in ("t", "u", "free"):
        store.job_of(name, f"j-{name}", tasks=5)
    store.job("none", steps=None)
    store.grants()
    assert [store.running(counted) for counted in ("t", "u", "free", "")] == [1000, 1000, 5000, 1000]


def test_what_runs_counts_through_a_snapshot():
    store = TenantStore(t=tenant(cores=3000))
    store.job_of("t", tasks=5)
    store.grants()
    store.restarted()
    assert store.record.tenant_use("t") == [3000, 0, 0] and store.grants() == []


def test_a_tenant_that_is_removed_and_back_is_within_its_limit_all_the_while():
    store = TenantStore(t=tenant(cores=2000), u=tenant())
    store.job_of("t", tasks=6)
    store.grants()
    store.limit(u=tenant())
    store.restarted()
    store.end("j/0.0/0")
    assert len(store.grants()) == 1 and store.running("t") == 2000  # accepted jobs continue
    store.limit(u=tenant(), t=tenant(cores=3000))
    assert len(store.grants()) == 1 and store.running("t") == 3000
    assert store.record.former_tenants == {}


def test_a_removed_tenant_without_open_jobs_is_forgotten():
    store = TenantStore(t=tenant(cores=2000, keys=["k"]), u=tenant())
    store.job_of("t")
    store.grants()
    store.end("j/0.0/0")
    store.limit(u=tenant())
    assert store.record.former_tenants == {}
    assert store.job_of("t", "late") == ["notenant", "t"]


def test_two_tenants_with_one_key_are_refused_whoever_checked_them():
    store = TenantStore(t=tenant(keys=["one"]))
    version = store.record.charter["version"]
    bad = {"t": tenant(keys=["one"]), "u": tenant(keys=["two", "one"])}
    with pytest.raises(AssertionError):
        store.limit(**bad)
    assert store.record.charter["version"] == version
    change = {"base": version, "rows": {}, "whole": False, "tenants": store.tenants}
    result = store.record.apply_entry(op="edit", d=change)
    assert isinstance(result, problems.BadInput) and "one" not in str(result)


def test_a_change_that_says_nothing_of_tenants_leaves_them():
    store = TenantStore(t=tenant(cores=1000))
    version = store.record.charter["version"]
    assert store.record.apply_entry(op="edit", d={"base": version, "rows": {"b": row()}, "whole": False}).ok
    assert store.record.charter["tenants"].keys() == {"t"}
    more = {"base": version + 1, "rows": {}, "whole": False, "tenants": {"t": None, "u": store.tenants["t"]}}
    assert store.record.apply_entry(op="edit", d=more).ok
    assert store.record.charter["tenants"].keys() == {"u"}


def test_below_the_level_tenants_are_not_known():
    # replicas of an older release apply the same entries and must not diverge
    store = TenantStore(level=4, t=tenant(cores=1000))
    assert "tenants" not in store.record.charter
    store.record.to_level(5)
    store.configure(tenants={"t": tenant(cores=1000)}, a=row(HERE))
    assert store.record.charter["tenants"].keys() == {"t"}


def test_a_record_of_an_older_version_is_read():
    store = TenantStore(level=4)
    store.job()
    record = Record()
    record.load(store.record.pack())
    assert record.configured_tenants() is None and record.loans == {}


def test_replicas_that_agree_on_tenants_have_one_checksum_and_others_do_not():
    first, second = TenantStore(t=tenant(cores=2000)), TenantStore(t=tenant(cores=2000))
    assert first.record.sum == second.record.sum
    second.record.former_tenants["x"] = second.tenants["t"]
    for store in (first, second):
        store.job_of("t")
    assert first.record.sum != second.record.sum
