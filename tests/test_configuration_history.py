"""The checker of histories of the configuration: lawful ones are clean, whatever the order in which
calls overlap, and each rule is broken by a planted change of a lawful one."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from hollowhall.explore.history import violations
from hollowhall.explore.orders import Operation, Order

FIXED = settings(max_examples=150, derandomize=True, deadline=None, database=None)


@st.composite
def lawful(draw):
    """A history of a register: each call takes effect at one moment between its begin and its
    end; some answers are lost, some orders come again, some lose their race."""
    operations, current, taken, now = [], (0, ""), {}, 0
    for n in range(draw(st.integers(2, 14))):
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
        again = [x for x in operations if x.kind == "order"]
        if again and draw(st.booleans()):
            order = draw(st.sampled_from(again)).order
        else:
            base = current[0] if draw(st.booleans()) else max(0, current[0] - 1)
            order = Order(number=base + draw(st.integers(1, 3)), base=base, author=f"op{n}")
        fits = order.base == current[0] and order.number > current[0]
        if taken.get(order.number) != order and fits:
            current, taken[order.number] = (order.number, order.author), order
        ok = taken.get(order.number) == order
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
@given(lawful())
def test_a_lawful_history_is_clean(operations):
    found = [v for v in violations(operations) if v.rule != "read_shows_what_was_sent"]
    assert found == []


def rules(operations):
    return {v.rule for v in violations(operations)}


def order(n, base, author, t, **more):
    return Operation(
        kind="order",
        invoked=t,
        returned=t + 1,
        order=Order(number=n, base=base, author=author),
        confirmed=True,
        **more,
    )


def read(value, t):
    return Operation(kind="read", invoked=t, returned=t + 1, confirmed=True, value=value)


CLEAN = [
    order(1, 0, "a", 0),
    read((1, "a"), 10),
    order(2, 1, "b", 20),
    read((2, "b"), 30),
    order(2, 1, "b", 40),
]


def test_the_history_that_is_changed_below_is_clean():
    assert rules(CLEAN) == set()


def test_two_confirmed_under_one_number():
    assert "number_confirmed_once" in rules([*CLEAN, order(2, 1, "c", 50)])


def test_two_confirmed_on_one_base():
    assert "number_confirmed_once" in rules([*CLEAN, order(3, 1, "c", 50)])


def test_an_old_read_after_a_confirmed_order():
    assert "read_holds_confirmed" in rules([*CLEAN, read((1, "a"), 50)])


def test_a_read_that_overlaps_the_order_may_show_either():
    for value in ((1, "a"), (2, "b")):
        assert rules([*CLEAN[:3], replace(read(value, 20), invoked=20.5)]) == set()


def test_reads_that_go_back():
    seen = [order(1, 0, "a", 0), replace(order(2, 1, "b", 5), confirmed=False)]
    assert "reads_never_go_back" in rules([*seen, read((2, "b"), 10), read((1, "a"), 20)])


def test_a_read_of_what_nobody_sent():
    assert "read_shows_what_was_sent" in rules([*CLEAN, read((2, "x"), 50)])


def test_an_order_refused_after_it_was_confirmed():
    refused = replace(order(2, 1, "b", 50), confirmed=False, refused=True)
    assert "taken_is_never_refused" in rules([*CLEAN, refused])
    assert "taken_is_never_refused" not in rules([*CLEAN, order(3, 2, "c", 45), refused])
