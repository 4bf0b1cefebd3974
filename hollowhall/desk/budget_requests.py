"""Requests about tenants: refills of the token buckets of edge daemons, each an event of a decision batch,
and a view of what each tenant is allowed, runs, has waiting and was refused."""

from ..base.problems import NotSynced, Success
from ..record.tenants import RESOURCES, room_limits


class BudgetRequestsMixin:
    """The scheduler's handlers of refills and of the operators' view of tenants."""

    def open_budget_requests(self):
        self.admissions = {}  # daemon's life: {tenant: [jobs admitted, refused]}, as last reported

    def on_refill(self, *, request, callback, caller):
        """request: life, seq, have and rows as the record's event takes them, and counts since the daemon's
        start, {tenant: [admitted, refused]}. Answers with the tokens by tenant once they are recorded."""
        if not self.check_primary(callback):
            return
        if not self.record.rule["tenants"]:
            callback(NotSynced(tries=0))
            return
        self.admissions[request["life"]] = request["counts"]

        def back(result, stamp):
            callback(result if stamp is None else Success(value={"granted": result[1]}))

        self.queue_event(
            event=["refill", request["life"], request["seq"], request["have"], request["rows"]], callback=back
        )

    def on_tenants(self, *, request, callback, caller):
        """The view of every tenant, by name."""
        if self.check_primary(callback):
            self.forget_admissions()
            callback(Success(value={"tenants": self.tenants_view()}))

    def forget_admissions(self):
        """Drops the counts of daemons that hold no loan of tokens: they are gone."""
        self.admissions = {
            life: counts for life, counts in self.admissions.items() if life in self.record.loans
        }

    def tenants_view(self):
        """{tenant: its view}, for configured tenants and for removed ones that the record still knows."""
        record, waiting = self.record, self.waiting_of_tenants()
        rows = record.former_tenants | (record.configured_tenants() or {})
        return {
            name: self.tenant_view(name=name, row=row, waiting=waiting.get(name, 0))
            for name, row in sorted(rows.items())
        }

    def tenant_view(self, *, name, row, waiting):
        record, now = self.record, self.clock_ms()
        budget = record.budgets.get(name)
        counts = {life: tenants[name] for life, tenants in self.admissions.items() if name in tenants}
        return {
            "weight": row["weight"],
            "configured": name in (record.configured_tenants() or {}),
            "keys": len(row["keys"]),
            "limit": dict(zip(RESOURCES, room_limits(row))),
            "running": dict(zip(RESOURCES, record.tenant_use(name))),
            "waiting": waiting,
            "tokens": budget.tokens if budget else record.rule.get("budget_most_ms", 0),
            "admitted": sum(count[0] for count in counts.values()),
            "refused": sum(count[1] for count in counts.values()),
            "daemons": [
                {
                    "daemon": life.partition("/")[0],
                    "tokens": loan.lent[name],
                    "termMs": max(0, loan.until - now),
                    "admitted": counts.get(life, [0, 0])[0],
                    "refused": counts.get(life, [0, 0])[1],
                }
                for life, loan in sorted(record.loans.items())
                if name in loan.lent
            ],
        }

    def waiting_of_tenants(self):
        """{tenant: how many of its tasks wait for a worker}."""
        waiting = {}
        for lines in self.record.lines.values():
            for (_, tenant), line in lines.items():
                tasks = sum(len(self.record.ready[job, step]) for _, job, step in line)
                waiting[tenant] = waiting.get(tenant, 0) + tasks
        return waiting
