"""Helper of tests: a record with tenants, and calls of a primary and an operator on it."""

from queue_store import HERE, Store, row
from test_level_two import step

from hollowhall.record.charter import check_job
from hollowhall.record.tenant_bodies import check_tenants


def tenant(*, cores=0, mem_mb=0, gpus=0, weight=1.0, keys=()):
    return {"cores": cores, "memMb": mem_mb, "gpus": gpus, "weight": weight, "keys": list(keys)}


class TenantStore(Store):
    """A Store whose configuration has tenants; a task of `step` takes one core (1000)."""

    def __init__(self, *, level=5, workers=4, **tenants):
        self.tenants = check_tenants(tenants)
        super().__init__(level=level, workers=workers, a=row(HERE))

    def configure(self, *, tenants=None, **rows):
        """Replaces the configuration; tenants stay as they are if none are given."""
        self.tenants = self.tenants if tenants is None else check_tenants(tenants)
        return super().configure(tenants=self.tenants, **rows)

    def limit(self, **tenants):
        """Replaces the tenants and keeps the queues."""
        return self.configure(tenants=tenants, a=row(HERE))

    def job_of(self, tenant, name="j", **step_fields):
        body = {"lane": "a", "place": HERE, "steps": [step(kind="svc", **step_fields)]}
        return self.do(["job", name, *check_job(body | {"tenant": tenant})])[0]

    def running(self, tenant):
        """Cores that the tenant's attempts take, summed over the attempts."""
        return sum(
            attempt.room[0]
            for attempt in self.record.attempts.values()
            if self.record.jobs[attempt.job].tenant == tenant
        )
