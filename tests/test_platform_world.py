"""The real daemons behind the platform's adapter, under simulated traffic and faults: no rule is
violated, and accepted jobs end. Then one fault at a time is put into the adapter, and the checker
must find it through the whole path. `PYTHONPATH=. python tests/test_platform_world.py
FIRST-LAST [--rate N] [fault ...]` runs more seeds and prints those with a violation."""

import sys

import control  # of the adapter; platform_world adds its folder to sys.path
import front
import pytest
from platform_faults import FAULTS, cancels, evacuation, nothing, play, workers_cut_off, workers_leave
from platform_seeds import sweep
from platform_standins import jobs
from platform_world import boot


@pytest.mark.parametrize("faults", FAULTS, ids=[faults.__name__ for faults in FAULTS])
def test_no_rule_breaks_and_what_was_accepted_ends(faults):
    world, violations, states = play(seed=11 + FAULTS.index(faults), faults=faults)
    assert violations == [] and world.loop.complaints == []
    ended = sum(state in ("complete", "failed", "cancelled") for state in states.values())
    assert len(states) > 30 and ended >= 0.9 * len(states)


# --- the adapter with one thing broken

REPORT, ORDERS, JOB_OF = control.Control.report, control.Control.orders, front.job_of
PARAMS_OF, TAKE, WHOLE = boot.params_of, front.Front.take, control.whole_config


def reported(monkeypatch, **change):
    """Heartbeats report changed fields of their worker."""
    monkeypatch.setattr(
        control.Control,
        "report",
        lambda self, d, i: REPORT(self, d, i) | {k: f(d) for k, f in change.items()},
    )


def job_without(monkeypatch, **change):
    def job_of(*, body, lane, row):
        job = JOB_OF(body=body, lane=lane, row=row)
        job["steps"] = [
            {k: v for k, v in step.items() if k not in change}
            | {k: v for k, v in change.items() if v is not None}
            for step in job["steps"]
        ]
        return job

    monkeypatch.setattr(front, "job_of", job_of)


def no_capacity(monkeypatch):
    reported(monkeypatch, room=lambda d: [10**6, 10**7, 99])


def all_labels(monkeypatch):
    reported(monkeypatch, labels=lambda d: ["a", "b", *d["labels"]])


def never_leaves(monkeypatch):
    reported(monkeypatch, leaves=lambda d: False, leaveMs=lambda d: None)


def one_zone(monkeypatch):
    reported(monkeypatch, zone=lambda d: "z1")


def no_steps_before(monkeypatch):
    job_without(monkeypatch, after=[])


def no_limit_of_failures(monkeypatch):
    job_without(monkeypatch, maxFailures=50)


def a_member_left_out(monkeypatch):
    def orders(self, answer):
        orders_sent = ORDERS(self, answer)
        return orders_sent | {
            "start": [
                start
                for start in orders_sent["start"]
                if not (start[0].endswith(".1") and start[2].startswith("profile of gang"))
            ]
        }

    monkeypatch.setattr(control.Control, "orders", orders)


def other_profile(monkeypatch):
    monkeypatch.setattr(
        control.Control,
        "orders",
        lambda self, v: (
            ORDERS(self, v) | {"start": [[t, n, x + "?", s] for t, n, x, s in ORDERS(self, v)["start"]]}
        ),
    )


def no_stops(monkeypatch):
    monkeypatch.setattr(control.Control, "orders", lambda self, answer: ORDERS(self, answer) | {"stop": []})


def short_leases(monkeypatch):
    """The primary declares a worker lost long before its lease has expired."""

    def params_of(d, *, role):
        settings = PARAMS_OF(d, role=role)
        settings.margin_ms = -4000 if role == "hall" else settings.margin_ms
        return settings

    monkeypatch.setattr(boot, "params_of", params_of)


def complete_too_soon(monkeypatch):
    monkeypatch.setitem(front.STATES, "open", "complete")


def older_read_back(monkeypatch):
    monkeypatch.setattr(control, "whole_config", lambda c: WHOLE(c) | {"revision": 1})


def answers(monkeypatch, change):
    """Changes answers to clients before they are sent."""

    def take(self, *, call, callback):
        return TAKE(self, call=call, callback=lambda r: callback(change(call, r)))

    monkeypatch.setattr(front.Front, "take", take)


def some_unknown(monkeypatch):
    answers(
        monkeypatch,
        lambda call, r: (
            front.Reply(status=410, body={}) if call.method == "GET" and call.path[-1] in "0123" else r
        ),
    )


def refuses_and_runs(monkeypatch):
    answers(
        monkeypatch,
        lambda call, r: (
            front.Reply(status=503, body={}) if call.method == "POST" and call.path[-1] in "0123" else r
        ),
    )


BROKEN = [
    (no_capacity, "LIMIT", nothing),
    (all_labels, "ROUTE", nothing),
    (never_leaves, "DRAIN", workers_leave),
    (one_zone, "EVAC", evacuation),
    (no_steps_before, "ORDER", nothing),
    (no_limit_of_failures, "BUDGET", nothing),
    (a_member_left_out, "GANG", nothing),
    (other_profile, "UNASKED", nothing),
    (no_stops, "UNASKED", cancels),
    (short_leases, "TWICE", workers_cut_off),
    (complete_too_soon, "MIXED", nothing),
    (older_read_back, "CONFIG", nothing),
    (some_unknown, "LOST", nothing),
    (refuses_and_runs, "REFUSED", nothing),
]


@pytest.mark.parametrize("broken, rule, faults", BROKEN, ids=[broken.__name__ for broken, *_ in BROKEN])
def test_a_broken_adapter_is_seen(broken, rule, faults, monkeypatch):
    broken(monkeypatch)
    more = [(jobs.poison, 2), (jobs.labelled("a"), 2), (jobs.long, 2)]
    _, found, _ = play(seed=8, faults=faults, rate=6.0, extra=more)
    assert rule in {violation.rule for violation in found}


# --- more seeds


def violations(name, seed, rate):
    return play(seed=seed, faults=next(f for f in FAULTS if f.__name__ == name), rate=rate)[1]


def main(span, *names):
    rate, names = 4.0, list(names)
    if "--rate" in names:
        option = names.index("--rate")
        rate = float(names[option + 1])
        del names[option : option + 2]
    first, last = map(int, span.split("-"))
    sweep(
        violations,
        [(f, n, rate) for f in names or [f.__name__ for f in FAULTS] for n in range(first, last + 1)],
    )


if __name__ == "__main__":
    main(*sys.argv[1:])
