"""QUOTA, and ROUTE and CONFIG as far as they are about tenants' keys. What a tenant has running is added
up here from the runs that workers noted, and from nothing that the system tells."""

from . import config as F
from .bounds import need

BOUNDS = ("cpu", "memMb", "gpu")
REFUSED_KEY = 401


def bound_of(content, name):
    """A tenant's limits in a configuration as [cpu, memMb, gpu], 0 for none; None without the tenant."""
    row = next((t for t in content.get("tenantTable") or [] if t["name"] == name), None)
    return None if row is None else [row["upperBound"].get(x, 0) for x in BOUNDS]


class TenantRules:
    def judge_tenants(self):
        if any("tenantTable" in c.content for c in self.good):
            self.judge_quota()
            self.judge_keys()

    def versions_near(self, t):
        """Versions sent by t that no newer one, acknowledged long enough before, has replaced."""
        sent = [c for c in self.good if c.sent <= t]
        late = t - self.bounds.config_apply_ms
        sure = max((c.revision for c in sent if c.acked < late), default=0)
        return [c for c in sent if c.revision >= sure]

    def tenant_of(self, job):
        """The tenant whose key a job was accepted with; None without one, and where a key moved so
        shortly before, as far as that machine may know, that either tenant may be meant."""
        if job.id not in self.tenants:
            row = job.taken_by
            key = row.get("key", "") if row else job.key
            versions = self.versions(row, at=row["sent"]) if row else self.good
            rows = [F.tenant_of_key(c.content, key) for c in versions if key]
            names = {t["name"] for t in rows if t is not None}
            self.tenants[job.id] = names.pop() if len(names) == 1 else None
        return self.tenants[job.id]

    # --- QUOTA

    def judge_quota(self):
        """Every start, beside all that its tenant has running then."""
        changes = []
        for x in self.ix.runs:
            found = self.ix.of(x.task)
            tenant = self.tenant_of(found[0]) if found else None
            if tenant is not None:
                changes += [(x.i0, 1, tenant, x), (x.i1, -1, tenant, x)]
        used = {}
        for _, sign, tenant, x in sorted(changes, key=lambda c: c[:2]):
            mine, need = used.setdefault(tenant, [0, 0, 0]), self.ix.need_of(x)
            for i in range(3):
                mine[i] += sign * need[i]
            if sign > 0:
                self.quota(x, tenant, mine, need)

    def quota(self, x, tenant, used, need):
        """The highest limit counts of the versions that may be in force, and one task more."""
        limits = self.limits_in_force(tenant, x.t0)
        if any(m and u > m + n for u, m, n in zip(used, limits, need)):
            self.flag("QUOTA", x.t0, f"{x.task}: {tenant} has {used} running, it may have {limits}")

    def limits_in_force(self, tenant, t):
        """By resource the highest limit of the versions that may be in force at t; 0 where there is
        none. A start that was granted just before a limit was lowered may be on its way."""
        near = self.versions_near(t)
        found = [b for c in near if (b := bound_of(c.content, tenant)) is not None]
        if not found:
            return [0, 0, 0]
        return [0 if any(b[i] == 0 for b in found) else max(b[i] for b in found) for i in range(3)]

    def may_run(self, j, step, now, t):
        """Whether a job's tenant has under half of its limit among the runs `now`, and a gang of this
        step is no wider than it."""
        tenant = self.tenant_of(j)
        limits = self.limits_in_force(tenant, t) if tenant else [0, 0, 0]
        mine = [self.ix.need_of(x) for x in now if self.tenant_of(self.ix.of(x.task)[0]) == tenant]
        used = [sum(y) for y in zip(*mine)] if mine else [0, 0, 0]
        count = step["taskCount"] if step.get("gangScheduled") else 1
        return all(not m or 2 * u < m and (count - 1) * n <= m for u, m, n in zip(used, limits, need(step)))

    # --- keys

    def judge_keys(self):
        for r in self.rows:
            if r["ev"] in ("submit_out", "state_out", "cancel_out", "count_out"):
                if 200 <= r["status"] < 300:
                    self.judge_served(r)
                elif r["status"] == REFUSED_KEY:
                    self.judge_refused(r)

    def versions(self, r, *, at):
        """Versions that a machine may act by at a request's sending: those sent by then that no newer
        one, acknowledged long enough before, has replaced; all of them for a machine out of touch."""
        sent = [c for c in self.good if c.sent <= r["t"]]
        if not self.touch.in_touch(r["by"], r["t"]):
            return sent
        near = self.versions_near(at)
        return near + [c for c in sent if c.sent > at]

    def lets_in(self, content, r):
        route = F.find(content, host=r["host"], prefix=r["prefix"])
        if route is None or not F.asks_for_key(content, route):
            return True
        return F.tenant_of_key(content, r.get("key", "")) is not None

    def judge_served(self, r):
        if any(self.lets_in(c.content, r) for c in self.versions(r, at=r["sent"])):
            return
        what, key = f"{r['id']}: {r['status']} for {r['host']}{r['prefix']}", r.get("key", "")
        if any(F.tenant_of_key(c.content, key) for c in self.good if c.sent <= r["t"]):
            self.flag("CONFIG", r["t"], what + " with a key that was dropped")
        else:
            self.flag("ROUTE", r["t"], what + " with a key that no configuration has held")

    def judge_refused(self, r):
        if all(self.lets_in(c.content, r) for c in self.versions(r, at=r["sent"])):
            self.flag("CONFIG", r["t"], f"{r['id']}: 401 for a key that exists, from {r['by']}")
