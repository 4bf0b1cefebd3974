"""Tenants in a round of placement: whose limit binds, and who goes first where all is full. A step
that its tenant's limit keeps waiting is passed over, so that nothing is held back for it, and
nothing that it would have taken counts as wanted.

Within a tenant, a gang or a large task would wait for ever while smaller ones take each part of the
limit as it comes free. One that has waited long goes first: steps of its tenant that are not more
urgent, and want what it is short of, wait until it has started."""

from ..base import consts as C
from ..record.tenants import LIMITED, NEVER, room_limits


class TenantSharesMixin:
    """What a round knows of tenants. The record counts the round's own starts as well."""

    def open_tenants(self, *, first=None):
        """first: {tenant: the step that goes first}, as the last round left it."""
        self.shares, self.tenant_whys = {}, {}  # by tenant; by tenant, room and count
        self.tenant_first = {a: k for a, k in (first or {}).items() if k in self.rec.ready}

    def tenant_share(self, tenant):
        """The part of all room that a tenant has running, of what it has most of, over its weight.
        0 for work without a tenant."""
        if not tenant:
            return 0.0
        if tenant not in self.shares:
            used = self.rec.tenant_use(tenant)
            top = max((a / b for a, b in zip(used, self.total) if b), default=0.0)
            self.shares[tenant] = top / self.rec.tenant_weight(tenant)
        return self.shares[tenant]

    def note_start_of_tenant(self, *, job):
        """A start of this round counts in its tenant's share; what was refused stays so."""
        tenant = self.rec.jobs[job].tenant
        self.shares.pop(tenant, None)
        for key in [key for key, why in self.tenant_whys.items() if key[0] == tenant and not why]:
            del self.tenant_whys[key]

    def tenant_refusal(self, *, job, step):
        """Why the next task of a step, or a gang whole, may not start for its tenant's limit; ''
        where it may."""
        j = self.rec.jobs[job]
        if not j.tenant:
            return ""
        why = self.limit_refusal(j=j, step=step)
        if why == LIMITED:
            self.note_limited(j=j, step=step)
        if why == NEVER and self.tenant_first.get(j.tenant) == (job, step):
            del self.tenant_first[j.tenant]
        return why or (LIMITED if self.yields(j=j, step=step) else "")

    def count_of(self, *, j, step):
        """How many tasks of a step start together."""
        spec = j.steps[step].spec
        return spec["tasks"] if spec.get("gang") else 1

    def limit_refusal(self, *, j, step):
        """The record's own look, which counts this round's starts; once for all steps alike."""
        room, count = j.steps[step].spec["room"], self.count_of(j=j, step=step)
        key = (j.tenant, *room, count)
        if key not in self.tenant_whys:
            self.tenant_whys[key] = self.rec.tenant_refusal(job=j, room=room, count=count)
        return self.tenant_whys[key]

    # --- who goes first within a tenant

    def note_limited(self, *, j, step):
        """A step that its tenant's limit keeps waiting goes first once it has waited long and nothing
        of it runs; of several the one that waits longest."""
        k = (j.name, step)
        since = self.waits_since(k)
        if j.steps[step].on or self.now - since < C.GANG_STARVE_MS:
            return
        first = self.tenant_first.get(j.tenant)
        if first is None or since < self.waits_since(first):
            self.tenant_first[j.tenant] = k

    def waits_since(self, k):
        """ms since when a ready step could have started."""
        task = next(iter(self.rec.ready[k].values()))
        return max(task.at >> C.LOGICAL_BITS, task.due)

    def yields(self, *, j, step):
        """Whether a step waits for the one of its tenant that goes first."""
        first = self.tenant_first.get(j.tenant)
        if first is None or first == (j.name, step):
            return False
        other, rows = self.rec.jobs[first[0]], self.rec.charter["rows"]
        if j.lane not in rows or other.lane not in rows:
            return False
        room = j.steps[step].spec["room"]
        short = self.short_of(j=other, step=first[1])
        return rows[j.lane]["urgency"] <= rows[other.lane]["urgency"] and any(
            room[i] for i in range(3) if short[i]
        )

    def short_of(self, *, j, step):
        """By resource, whether a step wants more of it than its tenant's limit leaves now."""
        room, count = j.steps[step].spec["room"], self.count_of(j=j, step=step)
        limits, used = room_limits(self.rec.tenant_row(j.tenant)), self.rec.tenant_use(j.tenant)
        return [bool(m) and u + count * r > m for m, u, r in zip(limits, used, room)]

    def line_over(self, waiting):
        """Whether no step behind this one in its line may start: they ask for the same room, and only
        gangs differ in how many they are."""
        why = self.tenant_refusal(job=waiting.job, step=waiting.step)
        spec = self.rec.jobs[waiting.job].steps[waiting.step].spec
        return bool(why) and why != NEVER and not spec.get("gang")
