"""Admission budgets of tenants in the record: which tokens are lent to which daemon, and when they are
returned. Guards against tokens that are spent twice, lost, or held where no jobs arrive."""

import pytest
from tenant_store import TenantStore, tenant

from hollowhall.base.constants import LOGICAL_BITS, RULES

RULE = RULES[5]
MAX_TOKENS, TERM_MS = RULE["budget_most_ms"], RULE["loan_ms"]


class Budgets(TenantStore):
    """A record, and daemons that request refills from it."""

    def __init__(self, **tenants):
        super().__init__(**(tenants or {"t": tenant(cores=4000)}))
        self.sequences = {}

    def refill(self, process="e1/a", *, left=0, asked=0, tenant="t", lost=False, after_ms=0, rows=None):
        """Refills a daemon's buckets; the tokens granted to the tenant. lost: the answer does not arrive."""
        seq, received = self.sequences.get(process, (0, 0))
        rows = [[tenant, left, asked]] if rows is None else rows
        granted = self.send(process, seq + 1, received, rows, after_ms=after_ms)[1]
        self.sequences[process] = (seq + 1, received if lost else seq + 1)
        return granted.get(tenant, 0)

    def send(self, process, seq, received, rows, *, after_ms=0):
        self.stamp += after_ms << LOGICAL_BITS
        batch = {"e": 1, "c": 1, "s": self.stamp + 1, "v": [["refill", process, seq, received, rows]]}
        self.stamp += 1
        return self.record.apply_entry(op="turn", d=batch).value[0]

    def tokens(self, tenant="t"):
        return self.record.budgets[tenant].tokens

    def total_tokens(self, tenant="t"):
        """Tokens of the budget and of all loans from it."""
        return self.tokens(tenant) + sum(loan.lent.get(tenant, 0) for loan in self.record.loans.values())

    def run_to_limit(self, tasks=4):
        """Has the tenant run up to its limit, so that its budget does not grow."""
        self.job_of("t", tasks=tasks, room={"cores": 1050, "memMb": 1, "gpus": 0})
        self.limit(t=tenant(cores=4200))
        assert len(self.grants()) == 4
        self.limit(t=tenant(cores=4000))


def test_a_bucket_gets_what_its_daemon_asked_for_lately():
    store = Budgets()
    assert store.refill() == RULE["bucket_least_ms"]
    assert store.refill(left=200, asked=400) == 200 * 2 - 200


def test_tokens_are_neither_made_nor_lost():
    store = Budgets()
    store.run_to_limit()
    store.refill()
    before = store.total_tokens()
    for n in range(20):
        store.refill(f"e{n % 5}/a", left=100, asked=50 * n)
    spent = before - store.total_tokens()
    assert spent >= 0 and 0 <= store.tokens() <= MAX_TOKENS


def test_a_refill_that_is_sent_again_grants_nothing_more():
    store = Budgets()
    store.run_to_limit()
    first = store.send("e1/a", 1, 0, [["t", 0, 900]])
    tokens = store.tokens()
    assert store.send("e1/a", 1, 0, [["t", 0, 900]]) == first and store.tokens() == tokens
    store.send("e1/a", 2, 1, [["t", 0, 900]])
    assert store.send("e1/a", 1, 0, [["t", 0, 900]]) == ["old", {}]


def test_a_grant_whose_answer_was_lost_is_taken_back_before_the_next():
    store = Budgets()
    store.run_to_limit()
    store.refill(asked=500, lost=True)
    before = store.total_tokens()
    for _ in range(30):
        store.refill(asked=500, lost=True)
    assert store.total_tokens() == before


def test_what_a_silent_daemon_holds_comes_back_after_its_term_and_once():
    store = Budgets()
    store.run_to_limit()
    store.refill("dark/a", asked=900)
    store.refill("e1/a")
    all_of_it = store.total_tokens()
    store.refill("e1/a", left=200, after_ms=TERM_MS - 10)
    assert "dark/a" in store.record.loans
    store.refill("e1/a", left=200, after_ms=20)
    assert "dark/a" not in store.record.loans and store.total_tokens() == all_of_it
    store.restarted()
    store.refill("e1/a", left=200, after_ms=20)
    assert store.total_tokens() == all_of_it


def test_a_daemon_that_starts_again_leaves_the_tokens_of_its_last_life_to_their_term():
    # otherwise they would be returned twice: now, and when the old loan ends
    store = Budgets()
    store.run_to_limit()
    store.refill("e1/a", asked=900)
    before = store.total_tokens()
    store.refill("e1/b", asked=900)
    assert {"e1/a", "e1/b"} <= store.record.loans.keys() and store.total_tokens() == before
    store.refill("e1/b", after_ms=TERM_MS + 10)
    assert "e1/a" not in store.record.loans


def test_shares_follow_where_jobs_arrive():
    # equal shares would throttle a tenant whose jobs arrive at few daemons
    store = Budgets()
    store.run_to_limit()
    for n in range(40):
        store.refill(f"idle{n}/a", left=100, asked=0)
    got = sum(store.refill("hot/a", asked=2000) for _ in range(6))
    assert got >= 2000 and store.tokens() < RULE["budget_parts"]


def test_what_a_daemon_no_longer_names_goes_back():
    store = Budgets()
    store.run_to_limit()
    store.refill(asked=900)
    lent, tokens = store.record.loans["e1/a"].lent["t"], store.tokens()
    store.refill(rows=[])
    assert store.tokens() == tokens + lent and store.record.loans["e1/a"].lent == {}


def test_a_budget_grows_while_its_tenant_runs_little_and_not_while_it_runs_all():
    store = Budgets()
    store.refill()
    store.record.budgets["t"].tokens = 0
    assert store.refill(asked=5000, after_ms=1000) > 0
    store.run_to_limit()
    store.record.budgets["t"].tokens = 0
    store.refill(left=0, after_ms=1)
    store.record.budgets["t"].tokens = 0
    assert store.refill(asked=5000, after_ms=3000) == 0


def test_time_at_the_limit_does_not_count_later():
    store = Budgets()
    store.run_to_limit()
    store.refill()
    store.record.budgets["t"].tokens = 0
    store.refill(left=200, after_ms=5000)
    for task in [attempt.task for attempt in list(store.record.attempts.values())]:
        store.end(task)
    store.stamp += 1
    store.record.budgets["t"].at = store.stamp >> LOGICAL_BITS
    store.refill(left=200, after_ms=100)
    assert store.tokens() <= 100 * RULE["budget_rate_percent"] // 100 + 1


def test_a_debt_is_paid_first():
    store = Budgets()
    assert store.refill(left=-400, asked=0) == 600
    assert store.record.loans["e1/a"].lent["t"] == 200


def test_a_tenant_that_is_removed_leaves_no_budget_and_gets_no_tokens():
    store = Budgets(t=tenant(cores=1000), u=tenant(cores=1000))
    store.refill()
    store.limit(u=tenant(cores=1000))
    assert store.record.budgets == {} and store.refill(left=10, asked=500) == 0
    store.limit(t=tenant(cores=1000))
    assert store.refill(asked=500) > 0


def test_a_budget_is_the_same_after_a_snapshot():
    store = Budgets()
    store.run_to_limit()
    for n in range(4):
        store.refill(f"e{n}/a", asked=300 * n)
    before = [store.tokens(), store.total_tokens()]
    store.restarted()
    assert [store.tokens(), store.total_tokens()] == before
    assert store.refill("e3/a", asked=900, after_ms=500) >= 0


def test_stamps_that_stand_or_step_make_no_tokens():
    # stamps never go back; a clock that jumps far ahead fills a budget once
    store = Budgets()
    store.refill()
    store.refill(asked=100, after_ms=3_600_000)
    assert store.tokens() <= MAX_TOKENS


@pytest.mark.parametrize("seed", range(5))
def test_replicas_agree_on_every_grant(seed):
    import random

    draw, stores = random.Random(seed), [Budgets() for _ in range(3)]
    for index in range(200):
        process, left, asked = (
            f"e{draw.randrange(6)}/{draw.randrange(2)}",
            draw.randrange(-500, 500),
            draw.randrange(900),
        )
        after, lost = draw.randrange(4000), draw.random() < 0.3
        grants = {
            store.refill(process, left=left, asked=asked, after_ms=after, lost=lost) for store in stores
        }
        assert len(grants) == 1
        if index == 100:
            stores[1].restarted()
    assert (
        len({store.record.digest() for store in stores}) == 1
        and len({store.record.sum for store in stores}) == 1
    )
