"""A configuration as the operator writes it: whole, changed by name, made invalid in each
way that the protocol lists. Also what a change makes of the version that it builds on."""

import copy
import json

LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
TABLES = ("routeTable", "serviceTable")
INVALID = ("unreadable", "unknown_service", "same_prefix", "no_timeout", "low_revision")


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


def whole(*, revision, routes, services, limits=None):
    return {
        "revision": revision,
        "routeTable": list(routes),
        "serviceTable": list(services),
        "limits": dict(limits or LIMITS),
    }


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
    elif how == "low_revision":
        c["revision"] = max(0, c["revision"] - 1)
    return c
