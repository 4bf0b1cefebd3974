"""Whether a history of orders and reads is one of a register: the configuration.

Numbers of configurations rise and each names the one it builds on, so linearizability comes down
to the rules below, each of which is exact for such a register. A history is a list of Operation."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Violation:
    """A rule that does not hold, with what shows it."""

    rule: str
    detail: str


def number_of(value):
    return value[0] if value else 0


def violations(operations):
    """Every rule that the history breaks."""
    found = []
    for rule in RULES:
        found += [Violation(rule=rule.__name__, detail=detail) for detail in rule(operations)]
    return found


def confirmed_orders(operations):
    return [x for x in operations if x.kind == "order" and x.confirmed]


def confirmed_reads(operations):
    return [x for x in operations if x.kind == "read" and x.confirmed]


def number_confirmed_once(operations):
    """Of two different configurations under one number, or on one base, one is confirmed."""
    seen = {}
    for x in confirmed_orders(operations):
        for key in (("number", x.order.number), ("base", x.order.base)):
            other = seen.setdefault(key, x.order)
            if other != x.order:
                yield f"{other} and {x.order}"


def read_holds_confirmed(operations):
    """A read shows the newest configuration that was confirmed before it began, or a later one."""
    for read in confirmed_reads(operations):
        for x in confirmed_orders(operations):
            if x.returned < read.invoked and x.order.number > number_of(read.value):
                yield f"read of {read.value} begun at {read.invoked}, {x.order.number} confirmed at {x.returned}"


def reads_never_go_back(operations):
    """A read that began after another one ended shows no older configuration."""
    reads = confirmed_reads(operations)
    for later in reads:
        for earlier in reads:
            if earlier.returned < later.invoked and number_of(earlier.value) > number_of(later.value):
                yield f"{earlier.value}, then {later.value}"


def read_shows_what_was_sent(operations):
    """A read shows a configuration that somebody had sent by then, as it was sent."""
    sent = {}
    for x in operations:
        if x.kind == "order":
            sent.setdefault((x.order.number, x.order.author), x.invoked)
    for read in confirmed_reads(operations):
        if read.value is not None and sent.get(read.value, read.returned + 1) > read.returned:
            yield f"{read.value} read at {read.returned}"


def taken_is_never_refused(operations):
    """An order that was confirmed and is sent again, no other having been sent since, is taken."""
    for refused in operations:
        if refused.kind != "order" or not refused.refused:
            continue
        for x in confirmed_orders(operations):
            others = [
                y
                for y in operations
                if y.kind == "order" and y.order.base >= x.order.number and y.invoked < refused.returned
            ]
            if x.order == refused.order and x.returned < refused.invoked and not others:
                yield f"{x.order} confirmed at {x.returned}, refused at {refused.returned}"


RULES = (
    number_confirmed_once,
    read_holds_confirmed,
    reads_never_go_back,
    read_shows_what_was_sent,
    taken_is_never_refused,
)
