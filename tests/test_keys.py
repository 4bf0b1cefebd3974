"""Keys of tenants: which tenant a request belongs to, and what must never contain a key. Guards against
accepting requests with a key that no configuration has ever had (issue 31)."""

import pytest
from tenant_store import TenantStore, tenant

from hollowhall.base import problems
from hollowhall.mast.keys import KeysMixin, bearer_key
from hollowhall.record.tenant_bodies import check_tenants, key_digest

SECRET = "9m68k7b2ex5wa5xwyhks"


class Edge(KeysMixin):
    """A gateway that holds a configuration."""

    def __init__(self, *, version=1, rows=None, tenants=None):
        self.charter = {"version": version, "rows": rows or {}}
        if tenants is not None:
            self.charter["tenants"] = check_tenants(tenants)


def test_a_key_that_no_tenant_has_is_refused():
    # issue 31: such requests were accepted
    edge = Edge(tenants={"t": tenant(keys=[SECRET, "two"]), "u": tenant(keys=["three"])})
    assert [edge.authorize(key=given).value for given in (SECRET, "two", "three")] == ["t", "t", "u"]
    for key in (
        None,
        "",
        "four",
        SECRET + " ",
        SECRET[:-1],
        key_digest(SECRET),
        "sha256:" + key_digest(SECRET),
    ):
        assert isinstance(edge.authorize(key=key), problems.Unauthorized)


def test_an_open_queue_asks_for_no_key():
    edge = Edge(rows={"a": {"open": True}, "b": {}}, tenants={"t": tenant(keys=[SECRET])})
    assert edge.authorize(key=None, lane="a").value == "" and edge.authorize(key="x", lane="a").value == ""
    assert edge.authorize(key=SECRET, lane="a").value == "t"
    assert not edge.authorize(key=None, lane="b").ok


def test_without_a_table_of_tenants_nobody_is_asked_for_a_key():
    assert Edge().authorize(key=None, lane="b").value == ""
    assert not Edge(tenants={}).authorize(key=None, lane="b").ok


def test_keys_follow_the_configuration_that_is_held():
    # one key moves to another tenant, then it is removed
    edge = Edge(tenants={"t": tenant(keys=[SECRET, "two"])})
    assert edge.authorize(key=SECRET).value == "t"
    moved = {"t": tenant(keys=["two"]), "u": tenant(keys=[SECRET])}
    edge.charter = {"version": 2, "rows": {}, "tenants": check_tenants(moved)}
    assert edge.authorize(key=SECRET).value == "u"
    edge.charter = {"version": 3, "rows": {}, "tenants": check_tenants({"t": tenant(keys=["two"])})}
    assert not edge.authorize(key=SECRET).ok and edge.authorize(key="two").value == "t"


def test_a_digest_is_as_good_as_its_text():
    text = check_tenants({"t": tenant(keys=[SECRET])})
    assert text == check_tenants({"t": tenant(keys=["sha256:" + key_digest(SECRET)])})
    assert SECRET not in str(text)


def test_odd_keys_end_nothing():
    edge = Edge(tenants={"t": tenant(keys=["ü\udcff"])})
    assert edge.authorize(key="ü\udcff").value == "t" and not edge.authorize(key="\x00" * 9999).ok


@pytest.mark.parametrize(
    "headers, key", [({}, None), ({"authorization": "Bearer  x "}, "x"), ({"authorization": "Basic x"}, None)]
)
def test_the_header_of_a_key(headers, key):
    assert bearer_key(headers) == key


@pytest.mark.parametrize(
    "row, field",
    [
        ({"cores": -1}, "tenants.t.cores"),
        ({"gpus": 1 << 60}, "tenants.t.gpus"),
        ({"memMb": 1.5}, "tenants.t.memMb"),
        ({"weight": 0}, "tenants.t.weight"),
        ({"weight": float("nan")}, "tenants.t.weight"),
        ({"keys": [SECRET, 7]}, "tenants.t.keys.1"),
        ({"keys": SECRET}, "tenants.t.keys"),
        ({"other": SECRET}, "tenants.t.other"),
    ],
)
def test_bad_tenants_are_named_and_no_key_is(row, field):
    with pytest.raises(problems.Raised) as raised:
        check_tenants({"t": row})
    errors = raised.value.failure.errors
    assert field in dict(errors) and SECRET not in str(errors)
    with pytest.raises(problems.Raised):
        check_tenants({"": tenant()})
    with pytest.raises(problems.Raised):
        check_tenants([tenant()])


def test_what_daemons_and_dumps_get_of_a_configuration_has_no_key():
    store = TenantStore(t=tenant(keys=[SECRET]) | {"note": {"apiKeys": [SECRET]}})
    store.job_of("t")
    assert SECRET in str(store.record.charter) and SECRET not in str(store.record.public_configuration())
    store.limit(u=tenant())
    assert store.record.former_tenants.keys() == {"t"} and SECRET not in str(store.record.former_tenants)
