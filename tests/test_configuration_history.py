"""The checker of configuration histories: it accepts linearizable histories, however their calls
overlap, and reports each rule for a linearizable history that was changed to break it."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from hollowhall.explore.history import violations
from hollowhall.explore.orders import Operation, Order

FIXED = settings(max_examples=150, derandomize=True, deadline=None, database=None)


@st.composite
def register_history(draw):
    """A linearizable history of a register: each call takes effect at one moment between its begin
    and its end. Some replies are lost, some orders are retried, some lose to a concurrent order."""
    operations, current, accepted, now = [], (0, ""), {}, 0
    for index in range(draw(st.integers(2, 14))):
        now += 10
        begin, end = now - draw(st.integers(0, 25)), now + draw(st.integers(0, 25))
        lost = draw(st.booleans()) and draw(st.booleans())
        if draw(st.booleans()):
            operations.append(
                Operation(
                    kind="read",
                    invoked=begin,
                    returned=end,
                    confirmed=not lost,
                    value=current if current[0] else None,
                )
            )
            continue
        earlier_orders = [x for x in operations if x.kind == "order"]
        if earlier_orders and draw(st.booleans()):
            order = draw(st.sampled_from(earlier_orders)).order
        else:
            base = current[0] if draw(st.booleans()) else max(0, current[0] - 1)
            order = Order(number=base + draw(st.integers(1, 3)), base=base, author=f"op{index}")
        acceptable = order.base == current[0] and order.number > current[0]
        if accepted.get(order.number) != order and acceptable:
            current, accepted[order.number] = (order.number, order.author), order
        ok = accepted.get(order.number) == order
        operations.append(
            Operation(
                kind="order",
                invoked=begin,
                returned=end,
                order=order,
                confirmed=ok and not lost,
                refused=not ok and not lost,
            )
        )
    return operations


@FIXED
@given(register_history())
def test_a_lawful_history_is_clean(operations):
    found = [v for v in violations(operations) if v.rule != "read_shows_what_was_sent"]
    assert found == []


def rules(operations):
    """Names of the violated rules."""
    return {v.rule for v in violations(operations)}


def order(number, base, author, invoked, **more):
    return Operation(
        kind="order",
        invoked=invoked,
        returned=invoked + 1,
        order=Order(number=number, base=base, author=author),
        confirmed=True,
        **more,
    )


def read(value, invoked):
    return Operation(kind="read", invoked=invoked, returned=invoked + 1, confirmed=True, value=value)


VALID_HISTORY = [
    order(1, 0, "a", 0),
    read((1, "a"), 10),
    order(2, 1, "b", 20),
    read((2, "b"), 30),
    order(2, 1, "b", 40),
]


def test_the_history_that_is_changed_below_is_clean():
    assert rules(VALID_HISTORY) == set()


def test_two_confirmed_under_one_number():
    assert "number_confirmed_once" in rules([*VALID_HISTORY, order(2, 1, "c", 50)])


def test_two_confirmed_on_one_base():
    assert "number_confirmed_once" in rules([*VALID_HISTORY, order(3, 1, "c", 50)])


def test_an_old_read_after_a_confirmed_order():
    assert "read_holds_confirmed" in rules([*VALID_HISTORY, read((1, "a"), 50)])


def test_a_read_that_overlaps_the_order_may_show_either():
    for value in ((1, "a"), (2, "b")):
        assert rules([*VALID_HISTORY[:3], replace(read(value, 20), invoked=20.5)]) == set()


def test_reads_that_go_back():
    seen = [order(1, 0, "a", 0), replace(order(2, 1, "b", 5), confirmed=False)]
    assert "reads_never_go_back" in rules([*seen, read((2, "b"), 10), read((1, "a"), 20)])


def test_a_read_of_what_nobody_sent():
    assert "read_shows_what_was_sent" in rules([*VALID_HISTORY, read((2, "x"), 50)])


def test_an_order_refused_after_it_was_confirmed():
    refused = replace(order(2, 1, "b", 50), confirmed=False, refused=True)
    assert "taken_is_never_refused" in rules([*VALID_HISTORY, refused])
    assert "taken_is_never_refused" not in rules([*VALID_HISTORY, order(3, 2, "c", 45), refused])
