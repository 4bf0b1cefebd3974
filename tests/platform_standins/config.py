"""A configuration as the operator writes it: whole, changed by name, made invalid in each
way that the protocol lists. Also what a change makes of the version that it builds on."""

import copy
import json

LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
TABLES = ("routeTable", "serviceTable", "tenantTable")
INVALID = ("unreadable", "unknown_service", "same_prefix", "no_timeout", "low_revision")
INVALID_TENANTS = ("shared_key", "no_weight", "low_bound")  # of a configuration that names tenants


def route(name, *, host, prefix, service, **kw):
    return {
        "name": name,
        "hostName": host,
        "pathPrefix": prefix,
        "routeClass": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 2000,
        "priority": 1,
        "targetService": service,
        "retryLimit": 3,
        "stretch": 2.2,
    } | kw


def service(name, *, guards=True, **kw):
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 64,
        "protocol": "h1",
        "tls": False,
        "warmupS": 0.0,
        "warmupPerS": 0.0,
        "guards": guards,
    } | kw


def tenant(name, *, keys, weight=1, cpu=0, mem_mb=0, gpu=0):
    bound = {"cpu": cpu, "memMb": mem_mb, "gpu": gpu}
    return {"name": name, "apiKeys": list(keys), "priority": 1, "weight": weight, "upperBound": bound}


def whole(*, revision, routes, services, limits=None, tenants=None):
    """A whole configuration; one without `tenants` asks nobody for a key."""
    return {
        "revision": revision,
        "routeTable": list(routes),
        "serviceTable": list(services),
        "limits": dict(limits or LIMITS),
    } | ({} if tenants is None else {"tenantTable": list(tenants)})


def apply(base, change):
    """The whole configuration after a change by name on top of a whole one."""
    new = copy.deepcopy(base)
    new["revision"] = change["revision"]
    for t in TABLES:
        rows = {r["name"]: r for r in new.get(t, [])}
        for r in (change.get("upsert") or {}).get(t, []):
            rows[r["name"]] = copy.deepcopy(r)
        for n in (change.get("withdraw") or {}).get(t, []):
            rows.pop(n, None)
        if rows or t in new:
            new[t] = list(rows.values())
    return new


def same(a, b):
    """Whether two whole configurations say the same, whatever the order of their lists."""
    return plain(a) == plain(b)


def plain(c):
    if not isinstance(c, dict):
        return None
    try:
        return json.dumps(
            c | {t: sorted(c.get(t) or [], key=lambda r: r["name"]) for t in TABLES}, sort_keys=True
        )
    except (TypeError, KeyError):
        return None


def keys_of(c, name):
    """A tenant's keys in a configuration; none where it has no such tenant."""
    return next((list(t["apiKeys"]) for t in c.get("tenantTable") or [] if t["name"] == name), [])


def tenant_of_key(c, key):
    """The tenant that has a key in a configuration, or None."""
    return next((t for t in c.get("tenantTable") or [] if key in t["apiKeys"]), None)


def asks_for_key(c, route):
    """Whether callers of a route must bring a tenant's key."""
    return "tenantTable" in c and not route.get("noAuth", False)


def find(c, *, host, prefix):
    """The route of a configuration for a host and a path: the longest prefix wins."""
    rs = [r for r in c.get("routeTable", []) if r["hostName"] == host and prefix.startswith(r["pathPrefix"])]
    return max(rs, key=lambda r: len(r["pathPrefix"]), default=None)


def spoil(c, how):
    """A whole configuration made invalid; bytes where it cannot be read."""
    c = copy.deepcopy(c)
    if how == "unreadable":
        return json.dumps(c).encode()[:-9]
    if how == "unknown_service":
        c["routeTable"][0]["targetService"] = "nobody"
    elif how == "same_prefix":
        c["routeTable"].append(c["routeTable"][0] | {"name": "r-again"})
    elif how == "no_timeout":
        c["routeTable"][0]["timeoutMs"] = 0
    elif how == "shared_key":
        c["tenantTable"][1]["apiKeys"] = c["tenantTable"][0]["apiKeys"][:1]
    elif how == "no_weight":
        c["tenantTable"][0]["weight"] = 0
    elif how == "low_bound":
        c["tenantTable"][0]["upperBound"] = {"cpu": -1}
    elif how == "low_revision":
        c["revision"] = max(0, c["revision"] - 1)
    return c
