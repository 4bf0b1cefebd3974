"""Tenants' limits in the record. Guards against QUOTA (issue 31): starts took what a tenant had running
above its limit, for no limit of a tenant was looked at."""

import pytest
from queue_store import HERE, row
from tenant_store import TenantStore, tenant

from hollowhall.base import problems as P
from hollowhall.record import Record


def test_no_start_takes_a_tenant_above_its_limit():
    # QUOTA, issue 31: all ten tasks of a tenant that may run three were started
    s = TenantStore(t=tenant(cores=3000))
    s.job_of("t", tasks=10)
    assert len(s.grants()) == 3 and s.running("t") == 3000
    s.end("j/0.0/0")
    assert len(s.grants()) == 1 and s.running("t") == 3000


@pytest.mark.parametrize("limits", [{"cores": 2500}, {"mem_mb": 20}, {"gpus": 4}])
def test_each_resource_binds_by_itself(limits):
    s = TenantStore(t=tenant(**limits))
    for n in range(4):
        w = f"big{n}"
        s.do(["worker", w, "1", "svc", "z", "r", [8000, 1000, 8], True, ["a"]])
    s.job_of("t", tasks=10, room={"cores": 1000, "memMb": 10, "gpus": 2})
    assert len(s.grants()) == 2


def test_a_limit_counts_every_attempt_until_its_end_is_known():
    # also those that are to be stopped, and those on workers that are silent
    s = TenantStore(t=tenant(cores=2000))
    s.job_of("t", tasks=4)
    s.grants()
    run = s.record.jobs["j"].tasks["j/0.0/0"].run
    s.do(["stop", run, "slow"])
    assert s.grants() == []
    s.do(["cancel", "j"])
    s.job_of("t", "k", tasks=4)
    assert s.grants() == [] and s.running("t") == 2000
    s.do(["end", run, "stopped", ""])
    assert len(s.grants()) == 1


def test_a_lowered_limit_stops_nothing_and_starts_nothing_until_it_is_met():
    s = TenantStore(t=tenant(cores=4000))
    s.job_of("t", tasks=8)
    s.grants()
    s.limit(t=tenant(cores=1500))
    assert s.running("t") == 4000 and s.grants() == []
    for n in range(3):
        s.end(f"j/0.0/{n}")
        assert s.grants() == []
    s.end("j/0.0/3")
    assert len(s.grants()) == 1


def test_a_limit_lowered_raised_and_lowered_counts_what_runs():
    s = TenantStore(t=tenant(cores=2000))
    s.job_of("t", tasks=9)
    s.grants()
    for cores, more in ((1000, 0), (5000, 3), (1000, 0), (6000, 1)):
        s.limit(t=tenant(cores=cores))
        assert len(s.grants()) == more
    assert s.running("t") == 6000


def test_a_task_larger_than_its_limit_runs_alone():
    # LOST otherwise: it would never start
    s = TenantStore(t=tenant(cores=500))
    s.job_of("t", tasks=3)
    assert len(s.grants()) == 1
    s.end("j/0.0/0")
    assert len(s.grants()) == 1


def test_a_gang_starts_whole_within_its_limit_or_not_at_all():
    s = TenantStore(t=tenant(cores=2000))
    s.job_of("t", "g", tasks=2, gang=True)
    s.job_of("t", "k")
    assert s.grants() == ["k/0.0/0"]
    assert s.do(["gang", "g", "0.0", ["w0", "w1"]])[0] == ["no", "tenant"]
    s.end("k/0.0/0")
    assert s.do(["gang", "g", "0.0", ["w0", "w1"]])[0][0] == "ok" and s.running("t") == 2000


def test_a_gang_wider_than_its_limit_is_told_so():
    s = TenantStore(t=tenant(cores=2000))
    s.job_of("t", "g", tasks=4, gang=True)
    assert s.do(["gang", "g", "0.0", ["w0", "w1", "w2", "w3"]])[0] == ["no", "tenant never"]


def test_copies_count():
    s = TenantStore(t=tenant(cores=1000))
    s.job_of("t", copies=True)
    assert s.grants() == ["j/0.0/0"]
    other = next(w for w in s.record.workers if not s.record.workers[w].runs)
    assert s.do(["copy", "j/0.0/0", other])[0] == ["no", "tenant"]


def test_tenants_do_not_count_for_each_other():
    s = TenantStore(t=tenant(cores=1000), u=tenant(cores=1000), free=tenant())
    for name in ("t", "u", "free"):
        s.job_of(name, f"j-{name}", tasks=5)
    s.job("none", steps=None)
    s.grants()
    assert [s.running(x) for x in ("t", "u", "free", "")] == [1000, 1000, 5000, 1000]


def test_what_runs_counts_through_a_snapshot():
    s = TenantStore(t=tenant(cores=3000))
    s.job_of("t", tasks=5)
    s.grants()
    s.restarted()
    assert s.record.tenant_use("t") == [3000, 0, 0] and s.grants() == []


def test_a_tenant_that_is_removed_and_back_is_within_its_limit_all_the_while():
    s = TenantStore(t=tenant(cores=2000), u=tenant())
    s.job_of("t", tasks=6)
    s.grants()
    s.limit(u=tenant())
    s.restarted()
    s.end("j/0.0/0")
    assert len(s.grants()) == 1 and s.running("t") == 2000  # accepted jobs go on
    s.limit(u=tenant(), t=tenant(cores=3000))
    assert len(s.grants()) == 1 and s.running("t") == 3000
    assert s.record.former_tenants == {}


def test_a_removed_tenant_without_open_jobs_is_forgotten():
    s = TenantStore(t=tenant(cores=2000, keys=["k"]), u=tenant())
    s.job_of("t")
    s.grants()
    s.end("j/0.0/0")
    s.limit(u=tenant())
    assert s.record.former_tenants == {}
    assert s.job_of("t", "late") == ["notenant", "t"]


def test_two_tenants_with_one_key_are_refused_whoever_checked_them():
    s = TenantStore(t=tenant(keys=["one"]))
    version = s.record.charter["version"]
    bad = {"t": tenant(keys=["one"]), "u": tenant(keys=["two", "one"])}
    with pytest.raises(AssertionError):
        s.limit(**bad)
    assert s.record.charter["version"] == version
    change = {"base": version, "rows": {}, "whole": False, "tenants": s.tenants}
    result = s.record.enact(op="edit", d=change)
    assert isinstance(result, P.BadInput) and "one" not in str(result)


def test_a_change_that_says_nothing_of_tenants_leaves_them():
    s = TenantStore(t=tenant(cores=1000))
    version = s.record.charter["version"]
    assert s.record.enact(op="edit", d={"base": version, "rows": {"b": row()}, "whole": False}).ok
    assert s.record.charter["tenants"].keys() == {"t"}
    more = {"base": version + 1, "rows": {}, "whole": False, "tenants": {"t": None, "u": s.tenants["t"]}}
    assert s.record.enact(op="edit", d=more).ok
    assert s.record.charter["tenants"].keys() == {"u"}


def test_below_the_level_tenants_are_not_known():
    # replicas of an older version apply the same entries: they must not come apart
    s = TenantStore(level=4, t=tenant(cores=1000))
    assert "tenants" not in s.record.charter
    s.record.to_level(5)
    s.configure(tenants={"t": tenant(cores=1000)}, a=row(HERE))
    assert s.record.charter["tenants"].keys() == {"t"}


def test_a_record_of_an_older_version_is_read():
    s = TenantStore(level=4)
    s.job()
    record = Record()
    record.load(s.record.pack())
    assert record.configured_tenants() is None and record.loans == {}


def test_replicas_that_agree_on_tenants_have_one_checksum_and_others_do_not():
    a, b = TenantStore(t=tenant(cores=2000)), TenantStore(t=tenant(cores=2000))
    assert a.record.sum == b.record.sum
    b.record.former_tenants["x"] = b.tenants["t"]
    for s in (a, b):
        s.job_of("t")
    assert a.record.sum != b.record.sum
