"""Tenants in the record: limits on what each may have running at once. An attempt counts from its
grant until its end is known, and the limits are checked when a start is granted. They are rows of
the configuration, beside queues and kinds, so that all replicas and readers of snapshots agree.

A tenant that is removed from the configuration keeps its last limits while it has open jobs: its
accepted jobs go on and stay within them, also if the tenant is added again."""

from ..base.problems import BadInput
from .kinds import ENDING, OPEN

RESOURCES = ("cores", "memMb", "gpus")
LIMITED, NEVER = "tenant", "tenant never"  # why a task may not start for its tenant's limit


def room_limits(row):
    """A tenant's limits as [cores, memMb, gpus]; 0 means no limit."""
    return [row[resource] for resource in RESOURCES]


def shared_keys(tenants):
    """A BadInput that names each tenant with a key of another tenant; None if there is none. No error
    contains a key."""
    holders, errors = {}, []
    for name, row in tenants.items():
        for digest in row["keys"]:
            if holders.setdefault(digest, name) != name:
                errors.append([f"tenants.{name}.keys", f"a key is {holders[digest]!r}'s as well"])
    return BadInput(errors=errors) if errors else None


def without_note(row):
    """A tenant's row without the operator's note, which may contain keys in plain text."""
    return {field: value for field, value in row.items() if field != "note"}


def public_configuration(charter):
    """A configuration without the operator's notes on tenants."""
    tenants = charter.get("tenants")
    if not tenants:
        return charter
    return charter | {"tenants": {name: without_note(row) for name, row in tenants.items()}}


def add_room(*, rooms, key, room, sign):
    """Adds resources to a total by key (1), or subtracts them (-1); removes totals that are zero."""
    total = rooms.setdefault(key, [0, 0, 0])
    for resource in range(3):
        total[resource] += sign * room[resource]
    if not any(total):
        del rooms[key]


class TenantsMixin:
    """The part of the record that holds tenants' limits and what they have running."""

    def clear_tenants(self):
        self.former_tenants = {}  # name: row; removed from the configuration, with open jobs

    def pack_tenants(self):
        return {"former_tenants": dict(self.former_tenants)} if self.former_tenants else {}

    def load_tenants(self, snapshot):
        self.former_tenants = dict(snapshot.get("former_tenants", {}))

    def configured_tenants(self):
        """Rows by name; None if the configuration has no tenants, so that callers need no key."""
        return self.charter.get("tenants")

    def public_configuration(self):
        """The configuration as other daemons and dumps get it."""
        return public_configuration(self.charter)

    def tenant_row(self, tenant):
        """The row that applies to a tenant; None for a job without one, or for an unknown tenant."""
        return (self.configured_tenants() or {}).get(tenant) or self.former_tenants.get(tenant)

    def knows_tenant(self, tenant):
        """Whether a job of a tenant may be accepted; the empty name is that of jobs without one."""
        return not tenant or self.tenant_row(tenant) is not None

    def tenant_weight(self, tenant):
        row = self.tenant_row(tenant)
        return row["weight"] if row is not None else 1.0

    def tenant_use(self, tenant):
        """Resources of a tenant's running attempts, as [cores, memMb, gpus]."""
        return self.tenant_used.get(tenant, (0, 0, 0))

    def lasting_use(self, tenant):
        """Resources of a tenant's running attempts that do not end by themselves."""
        return self.tenant_lasting.get(tenant, (0, 0, 0))

    def count_in_tenant(self, *, attempt, sign):
        """Adds an attempt (1) to what its job's tenant has running, or removes it (-1)."""
        job = self.jobs[attempt.job]
        if not job.tenant:
            return
        add_room(rooms=self.tenant_used, key=job.tenant, room=attempt.room, sign=sign)
        if job.spec["standing"] or job.steps[attempt.step].spec.get("forever"):
            add_room(rooms=self.tenant_lasting, key=job.tenant, room=attempt.room, sign=sign)

    def tenant_refusal(self, *, job, room, count=1):
        """Why `count` tasks that each take `room` may not start under their tenant's limit: LIMITED until
        less of it runs, NEVER if a gang is larger than the limit; empty if they may start. A tenant that
        runs nothing may exceed its limit by less than one task, so that a task larger than the limit
        runs alone rather than never."""
        row = self.tenant_row(job.tenant) if job.tenant else None
        if row is None:
            return ""
        limits, used = room_limits(row), self.tenant_use(job.tenant)
        if all(
            not limit or in_use + count * amount <= limit for in_use, amount, limit in zip(used, room, limits)
        ):
            return ""
        if any(limit and (count - 1) * amount > limit for amount, limit in zip(room, limits)):
            return NEVER
        return LIMITED if any(used) else ""

    def over_limit(self, attempt):
        """Whether the tenant of an attempt exceeds its limit, and has more running than this attempt or its
        gang."""
        job = self.jobs[attempt.job]
        row = self.tenant_row(job.tenant) if job.tenant else None
        if row is None:
            return False
        used = self.tenant_use(job.tenant)
        if all(not limit or in_use <= limit for in_use, limit in zip(used, room_limits(row))):
            return False
        count = len(self.gang_of(attempt)) if attempt.gang else 1
        return any(in_use > count * amount for in_use, amount in zip(used, attempt.room))

    def gang_of(self, attempt):
        """All attempts of the gang that an attempt belongs to."""
        return [
            other
            for other in self.attempts_of(self.jobs[attempt.job])
            if other.gang == attempt.gang and other.step == attempt.step
        ]

    def sum_of_tenants(self):
        """Totals that are equal on replicas that agree on tenants; part of the state checksum."""
        used = [sum(room[resource] for room in self.tenant_used.values()) for resource in range(3)]
        return [*used, len(self.former_tenants), sum(budget.tokens for budget in self.budgets.values())]

    def keep_former_tenants(self, *, before, after):
        """Keeps the rows of tenants that are no longer configured and have open jobs; run when a
        configuration is applied."""
        removed = {
            name: without_note(row)
            for name, row in (self.former_tenants | before).items()
            if name not in after
        }
        if removed:
            open_jobs = (job for job in self.jobs.values() if job.state in (OPEN, ENDING))
            with_jobs = {job.tenant for job in open_jobs}
            removed = {name: row for name, row in removed.items() if name in with_jobs}
        self.former_tenants = removed
