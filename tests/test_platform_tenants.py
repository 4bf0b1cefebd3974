"""Tenants behind the platform's adapter: no rule breaks, their limits and keys among them, however limits,
keys, loads and losses overlap. Guards against QUOTA, ROUTE and CONFIG (issue 31). `PYTHONPATH=tests:platform python
tests/test_platform_tenants.py FIRST-LAST [fault ...]` plays more seeds."""

import sys
from multiprocessing import Pool

import control
import front
import pytest
from platform_tenants import ONE, TENANT_FAULTS, nothing, play

from hollowhall.base.problems import Done
from hollowhall.record.tenants import TenantsMixin


@pytest.mark.parametrize("faults", TENANT_FAULTS, ids=[f.__name__ for f in TENANT_FAULTS])
def test_limits_and_keys_hold_whatever_happens(faults):
    w, bad, states = play(seed=31 + TENANT_FAULTS.index(faults), faults=faults)
    assert bad == [] and w.loop.complaints == []
    ended = sum(x in ("complete", "failed", "cancelled") for x in states.values())
    assert len(states) > 15 and ended >= 0.8 * len(states)


def test_no_log_line_of_a_day_has_a_key():
    w, _, _ = play(seed=7, faults=TENANT_FAULTS[2], seconds=8.0)
    assert not [x for x in w.log if "k-one" in x or "k-two" in x or "k-nobody" in x]


# --- with one thing broken, the checker sees it through the whole path


def no_limits(m):
    m.setattr(TenantsMixin, "tenant_refusal", lambda self, *, job, room, count=1: "")


def limits_forgotten_in_snapshots(m):
    m.setattr(TenantsMixin, "tenant_use", lambda self, tenant: (0, 0, 0))


def any_key(m):
    m.setattr(front.Front, "at", lambda self, call, k, lane, name: at(self, call, k, lane, name))
    at = front.Front.at

    def authorize(self, *, key, lane=""):
        return Done(v=ONE)

    m.setattr("hollowhall.mast.keys.KeysMixin.authorize", authorize)


def whole_table_by_name(m):
    """A change by name of tenants replaces their table, as it did before."""
    merged = control.merged

    def replaced(c, d):
        out = merged(c, d)
        return out | {"tenantTable": d["upsert"]["tenantTable"]} if d.get("upsert") else out

    m.setattr(control, "merged", replaced)


@pytest.mark.parametrize(
    "broken, rules, faults",
    [
        (no_limits, {"QUOTA"}, nothing),
        (limits_forgotten_in_snapshots, {"QUOTA"}, nothing),
        (any_key, {"ROUTE", "broke"}, TENANT_FAULTS[2]),
        (whole_table_by_name, {"CONFIG", "broke"}, TENANT_FAULTS[1]),
    ],
)
def test_a_broken_system_is_seen(broken, rules, faults, monkeypatch):
    broken(monkeypatch)
    try:
        _, bad, _ = play(seed=5, faults=faults)
        found = {b.rule for b in bad}
    except (AssertionError, StopIteration, RuntimeError):  # an order that was not as it must be
        found = {"broke"}
    assert found & rules


def one(a):
    name, seed = a
    try:
        _, bad, _ = play(seed=seed, faults=next(f for f in TENANT_FAULTS if f.__name__ == name))
        return name, seed, [f"{b.rule} {b.t:.0f} {b.text}" for b in bad]
    except Exception as e:  # an order that was not acknowledged, say
        return name, seed, [f"broke: {e!r}"[:200]]


def main(span, *names):
    a, b = map(int, span.split("-"))
    days = [(f, n) for f in names or [f.__name__ for f in TENANT_FAULTS] for n in range(a, b + 1)]
    with Pool(3) as p:
        got = [x for x in p.imap_unordered(one, days) if x[2]]
    for name, seed, bad in sorted(got):
        print(name, seed, *bad[:4], sep="\n    ")
    print(f"{len(got)} of {len(days)} days with a violation")


if __name__ == "__main__":
    main(*sys.argv[1:])
