"""Admission budgets of tenants in the record: global admission control. A tenant's budget is a rate of
tokens, and the daemons that admit jobs hold a part of it in local token buckets, refilled every few
seconds. A token is one millisecond of the tenant's whole limit, in the resource that a job takes most
of. The budget of a tenant that runs little grows by up to `budget_rate_percent` of that in real time,
and more slowly as its use nears the limit, so that admission follows what workers report and not what
callers estimate.

* The record holds the budgets. A refill is an event like any other and its time is its stamp's, so
  that replicas agree on each grant exactly and a new primary continues where the last one stopped.
* A daemon's share follows the demand that arrived there lately, refused jobs included.
* A loan has a term. The tokens of a silent daemon return to the budget once the term is over; the
  daemon counts the term from before it sent its request, so that no token is spent twice.
* Refills are numbered. A repeated refill gets the same answer; a grant whose answer was lost is
  returned with the daemon's next refill, which names the last answer that it received."""

from dataclasses import asdict, dataclass, field

from .tenants import room_limits


@dataclass(kw_only=True, slots=True)
class Budget:
    """The tokens of a tenant that are not lent to a daemon."""

    tokens: int
    at: int  # ms of stamped time up to which growth has been added


@dataclass(kw_only=True, slots=True)
class Loan:
    """The tokens that one process of a daemon holds, by tenant."""

    seq: int = 0  # number of its newest refill
    until: int = 0  # ms of stamped time at which the term ends
    lent: dict = field(default_factory=dict)  # tokens
    granted: dict = field(default_factory=dict)  # tokens granted by the newest refill
    demand: dict = field(default_factory=dict)  # tokens asked for per refill period, averaged


class BudgetsMixin:
    """The part of the record that lends tokens to the daemons that admit jobs."""

    def clear_budgets(self):
        self.budgets, self.loans = {}, {}  # by tenant; by daemon and process

    def pack_budgets(self):
        if not self.budgets and not self.loans:
            return {}
        return {
            "budgets": {name: asdict(b) for name, b in self.budgets.items()},
            "loans": {name: asdict(b) for name, b in self.loans.items()},
        }

    def load_budgets(self, snapshot):
        self.budgets = {name: Budget(**fields) for name, fields in snapshot.get("budgets", {}).items()}
        self.loans = {name: Loan(**fields) for name, fields in snapshot.get("loans", {}).items()}

    def use_percent(self, tenant):
        """A tenant's running tasks as a percentage of its limit, in the resource it uses most of."""
        limits, used = room_limits(self.tenant_row(tenant)), self.tenant_use(tenant)
        return max(
            (100 * used_amount // limit for used_amount, limit in zip(used, limits) if limit), default=0
        )

    def budget_rate(self, tenant):
        """Tokens that a tenant's budget grows by in 100 ms at its present use."""
        headroom = self.rule["budget_full_percent"] - self.use_percent(tenant)
        return max(0, min(self.rule["budget_rate_percent"], self.rule["budget_slope"] * headroom))

    def budget_of(self, *, tenant, now):
        """A configured tenant's budget as it is at `now` ms."""
        maximum = self.rule["budget_most_ms"]
        budget = self.budgets.setdefault(tenant, Budget(tokens=maximum, at=now))
        rate = self.budget_rate(tenant)
        grown = max(0, now - budget.at) * rate // 100
        if grown or not rate:
            budget.tokens, budget.at = min(maximum, budget.tokens + grown), now
        return budget

    def give_back(self, *, tenant, tokens, now):
        """Returns lent tokens to a tenant's budget; discards them if it is no longer configured."""
        if tokens > 0 and tenant in (self.configured_tenants() or {}):
            budget = self.budget_of(tenant=tenant, now=now)
            budget.tokens = min(self.rule["budget_most_ms"], budget.tokens + tokens)

    def end_loans(self, *, now):
        """Returns the tokens of loans whose term is over to their budgets."""
        for life in [name for name, loan in self.loans.items() if loan.until <= now]:
            for tenant, tokens in self.loans.pop(life).lent.items():
                self.give_back(tenant=tenant, tokens=tokens, now=now)

    def drop_budgets(self):
        """Drops budgets of tenants that are no longer configured; run when a configuration is applied."""
        tenants = self.configured_tenants() or {}
        self.budgets = {name: budget for name, budget in self.budgets.items() if name in tenants}

    def ev_refill(self, stamp, life, seq, received, rows):
        """Refills the buckets of a daemon. life: the daemon and its process; seq: the number of this
        refill; received: the number of the newest refill whose answer it received; rows: [[tenant, tokens
        it holds now, tokens asked for since the last refill], ...] for the tenants whose jobs arrived
        there lately. The daemon no longer spends tokens of any other tenant. Gives
        ["ok", {tenant: tokens}]; ["old", {}] for a refill older than the newest; ["no", {}] at a format
        level without tenants."""
        if not self.rule["tenants"]:
            return ["no", {}]
        now = stamp >> self.logical_bits
        self.end_loans(now=now)
        loan = self.loans.setdefault(life, Loan())
        if seq <= loan.seq:
            return ["ok", loan.granted] if seq == loan.seq else ["old", {}]
        lost = loan.granted if received < loan.seq else {}
        tenants = self.configured_tenants() or {}
        rows = {tenant: (left, asked) for tenant, left, asked in rows if tenant in tenants}
        for tenant, tokens in loan.lent.items():
            returned = lost.get(tenant, 0) if tenant in rows else tokens
            self.give_back(tenant=tenant, tokens=returned, now=now)
        loan.seq, loan.until = seq, now + self.rule["loan_ms"]
        loan.demand = {name: (asked + loan.demand.get(name, asked)) // 2 for name, (_, asked) in rows.items()}
        loan.granted = {
            name: self.grant_tokens(tenant=name, loan=loan, left=left, now=now)
            for name, (left, _) in rows.items()
        }
        loan.lent = {name: max(0, left + loan.granted[name]) for name, (left, _) in rows.items()}
        return ["ok", loan.granted]

    def grant_tokens(self, *, tenant, loan, left, now):
        """Takes tokens for one daemon's bucket from the budget: enough to hold twice its recent demand per
        period or, when the budget is scarce, a share in proportion to the demand of all daemons, but up to
        a `budget_parts`th of it in any case."""
        budget, demand = self.budget_of(tenant=tenant, now=now), loan.demand[tenant]
        wanted = max(self.rule["bucket_least_ms"], 2 * demand) - left
        total = sum(other.demand.get(tenant, 0) for other in self.loans.values())
        proportional = budget.tokens * demand // total if total else 0
        most = max(proportional, budget.tokens // self.rule["budget_parts"])
        granted = max(0, min(wanted, most))
        budget.tokens -= granted
        return granted
