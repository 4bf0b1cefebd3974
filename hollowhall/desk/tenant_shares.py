"""Tenants in a round of placement: whose limit binds, and who goes first in a full fleet.

A step that its tenant's limit keeps waiting is skipped: no worker is held back for it, and it does not count
as demand."""

from ..record.tenants import LIMITED, NEVER
from .tenant_turns import TenantTurns, TenantTurnsMixin


class TenantSharesMixin(TenantTurnsMixin):
    """Limits and shares of tenants in a round. The record counts the round's own starts as well."""

    def open_tenants(self, *, turns=None):
        """turns: the TenantTurns that are kept between rounds."""
        # by tenant: its weighted share; by tenant, room and count: its refusal
        self.shares, self.tenant_reasons = {}, {}
        self.turns = TenantTurns() if turns is None else turns
        self.open_turns_of_tenants()

    def tenant_share(self, tenant):
        """A tenant's dominant share of the fleet's room, divided by its weight; 0 for work without a
        tenant."""
        if not tenant:
            return 0.0
        if tenant not in self.shares:
            used = self.rec.tenant_use(tenant)
            top = max((a / b for a, b in zip(used, self.fleet_room) if b), default=0.0)
            self.shares[tenant] = top / self.rec.tenant_weight(tenant)
        return self.shares[tenant]

    def note_start_of_tenant(self, *, job):
        """Drops what is cached of a job's tenant after a start of this round, except refusals: its use only
        grows within a round."""
        tenant = self.rec.jobs[job].tenant
        self.shares.pop(tenant, None)
        for key in [key for key, reason in self.tenant_reasons.items() if key[0] == tenant and not reason]:
            del self.tenant_reasons[key]

    def tenant_refusal(self, *, job, step):
        """Why the next task of a step, or its whole gang, may not start by its tenant's limit; "" if it may.
        Notes the step as a candidate for its tenant's turn if the limit keeps it waiting."""
        job_record = self.rec.jobs[job]
        if not job_record.tenant:
            return ""
        if self.limit_refusal(job=job_record, step=step) == LIMITED:
            self.note_limited(job=job_record, step=step)
        return self.tenant_why(job=job, step=step)

    def tenant_why(self, *, job, step):
        """As tenant_refusal, without changing whose turn is next; for questions after the round."""
        job_record = self.rec.jobs[job]
        if not job_record.tenant:
            return ""
        return self.limit_refusal(job=job_record, step=step) or (
            LIMITED if self.yields(job=job_record, step=step) else ""
        )

    def count_of(self, *, job, step):
        """How many tasks of a step start together."""
        spec = job.steps[step].spec
        return spec["tasks"] if spec.get("gang") else 1

    def limit_refusal(self, *, job, step):
        """The record's own check, which counts this round's starts; cached for steps of the same size."""
        room, count = job.steps[step].spec["room"], self.count_of(job=job, step=step)
        key = (job.tenant, *room, count)
        if key not in self.tenant_reasons:
            self.tenant_reasons[key] = self.rec.tenant_refusal(job=job, room=room, count=count)
        return self.tenant_reasons[key]

    def line_over(self, waiting):
        """Whether no step behind this one in its line may start. All of them need the same room; only gangs
        differ in their number of tasks."""
        why = self.tenant_refusal(job=waiting.job, step=waiting.step)
        spec = self.rec.jobs[waiting.job].steps[waiting.step].spec
        return bool(why) and why != NEVER and not spec.get("gang")
