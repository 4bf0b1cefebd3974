"""Tenants behind the platform's adapter: no rule is broken, those for limits and keys included, however
changes of limits and keys, loads and losses overlap. Guards against violations of the rules QUOTA, ROUTE and
CONFIG (issue 31). `PYTHONPATH=tests:platform python tests/test_platform_tenants.py FIRST-LAST [fault ...]` plays
more seeds."""

import sys

import control
import front
import pytest
from platform_seeds import sweep
from platform_tenants import ONE, TENANT_FAULTS, nothing, play

from hollowhall.base.problems import Success
from hollowhall.record.tenants import TenantsMixin


@pytest.mark.parametrize("faults", TENANT_FAULTS, ids=[f.__name__ for f in TENANT_FAULTS])
def test_limits_and_keys_hold_whatever_happens(faults):
    world, found, states = play(seed=31 + TENANT_FAULTS.index(faults), faults=faults)
    assert found == [] and world.loop.complaints == []
    ended = sum(x in ("complete", "failed", "cancelled") for x in states.values())
    assert len(states) > 15 and ended >= 0.8 * len(states)


def test_no_log_line_of_a_day_has_a_key():
    world, _, _ = play(seed=7, faults=TENANT_FAULTS[2], seconds=8.0)
    assert not [x for x in world.log if "k-one" in x or "k-two" in x or "k-nobody" in x]


# --- with one thing broken, the checker reports it


def no_limits(monkeypatch):
    """Limits are checked neither at the grant nor, for attempts granted above them, before the start."""
    monkeypatch.setattr(TenantsMixin, "tenant_refusal", lambda self, *, job, room, count=1: "")
    monkeypatch.setattr(TenantsMixin, "over_limit", lambda self, g: False)


def limits_forgotten_in_snapshots(monkeypatch):
    monkeypatch.setattr(TenantsMixin, "tenant_use", lambda self, tenant: (0, 0, 0))


def any_key(monkeypatch):
    monkeypatch.setattr(
        front.Front,
        "handle_queue_call",
        lambda self, call, callback, lane, name: handle(self, call, callback, lane, name),
    )
    handle = front.Front.handle_queue_call

    def authorize(self, *, key, lane=""):
        return Success(value=ONE)

    monkeypatch.setattr("hollowhall.mast.keys.KeysMixin.authorize", authorize)


def whole_table_by_name(monkeypatch):
    """A change of tenants by name replaces the whole table, as in an earlier version."""
    merged = control.merged

    def replaced(config, change):
        out = merged(config, change)
        return out | {"tenantTable": change["upsert"]["tenantTable"]} if change.get("upsert") else out

    monkeypatch.setattr(control, "merged", replaced)


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
    except (AssertionError, StopIteration, RuntimeError):  # an operator's change failed
        found = {"broke"}
    assert found & rules


def violations(name, seed):
    return play(seed=seed, faults=next(f for f in TENANT_FAULTS if f.__name__ == name))[1]


def main(span, *names):
    first, last = map(int, span.split("-"))
    sweep(
        violations,
        [(f, n) for f in names or [f.__name__ for f in TENANT_FAULTS] for n in range(first, last + 1)],
    )


if __name__ == "__main__":
    main(*sys.argv[1:])
