"""Checks that a history of configuration changes (orders) and reads is linearizable.

The configuration is a register: its numbers rise, and each change names the number it is based on,
so that linearizability reduces to the rules below, each of which is exact for such a register. A
history is a list of Operation; a rule yields the details of each violation."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Violation:
    """A rule or an invariant that does not hold, with the evidence."""

    rule: str
    detail: str


def number_of(value):
    """The configuration number of a read's value; 0 if no configuration was set."""
    return value[0] if value else 0


def violations(operations):
    """All violations of RULES in the history."""
    found = []
    for rule in RULES:
        found += [Violation(rule=rule.__name__, detail=detail) for detail in rule(operations)]
    return found


def confirmed_orders(operations):
    return [x for x in operations if x.kind == "order" and x.confirmed]


def confirmed_reads(operations):
    return [x for x in operations if x.kind == "read" and x.confirmed]


def number_confirmed_once(operations):
    """At most one of several different orders with the same number, or the same base, is confirmed."""
    seen = {}
    for operation in confirmed_orders(operations):
        for key in (("number", operation.order.number), ("base", operation.order.base)):
            other = seen.setdefault(key, operation.order)
            if other != operation.order:
                yield f"{other} and {operation.order}"


def read_holds_confirmed(operations):
    """A read returns the newest configuration that was confirmed before it was invoked, or a newer one."""
    for read in confirmed_reads(operations):
        for change in confirmed_orders(operations):
            if change.returned < read.invoked and change.order.number > number_of(read.value):
                yield (
                    f"read of {read.value} begun at {read.invoked}, "
                    f"{change.order.number} confirmed at {change.returned}"
                )


def reads_never_go_back(operations):
    """A read that was invoked after another one returned does not return an older configuration."""
    reads = confirmed_reads(operations)
    for later in reads:
        for earlier in reads:
            if earlier.returned < later.invoked and number_of(earlier.value) > number_of(later.value):
                yield f"{earlier.value}, then {later.value}"


def read_shows_what_was_sent(operations):
    """A read returns only a configuration that had been sent by then, under its number and author."""
    sent = {}
    for operation in operations:
        if operation.kind == "order":
            sent.setdefault((operation.order.number, operation.order.author), operation.invoked)
    for read in confirmed_reads(operations):
        if read.value is not None and sent.get(read.value, read.returned + 1) > read.returned:
            yield f"{read.value} read at {read.returned}"


def taken_is_never_refused(operations):
    """A retry of a confirmed order is not refused, unless an order based on it or on a newer one was
    sent before the refusal."""
    for refused in operations:
        if refused.kind != "order" or not refused.refused:
            continue
        for confirmed in confirmed_orders(operations):
            others = [
                other
                for other in operations
                if other.kind == "order"
                and other.order.base >= confirmed.order.number
                and other.invoked < refused.returned
            ]
            if confirmed.order == refused.order and confirmed.returned < refused.invoked and not others:
                yield f"{confirmed.order} confirmed at {confirmed.returned}, refused at {refused.returned}"


RULES = (
    number_confirmed_once,
    read_holds_confirmed,
    reads_never_go_back,
    read_shows_what_was_sent,
    taken_is_never_refused,
)
