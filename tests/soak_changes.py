"""Changes of the configuration for a soak: queues are renamed, exchanged, moved, withdrawn and put
back, directed to another service; tenants' limits, keys and they themselves change; by PUT and PATCH. The places that clients use stand in most of
them, and in the last one; what service a place has while its queue stands elsewhere is left alone."""

import asyncio
from dataclasses import dataclass, replace

from platform_standins import config as F
from platform_standins.clients import Queue

HOST = "soak.example"
HOMES = tuple(Queue(host=HOST, prefix=f"/{x}/") for x in ("first", "second", "third"))
SERVICES = ("tiles", "nowcast")
TENANTS = ("one", "two")
LIMITS = {"cpu": 20_000, "mem_mb": 0, "gpu": 0}  # of each tenant, in calm times; a gang takes up to 8,000
LOW_CPU = (500, 2000, 6000)  # limits for a while, some below one task or one gang
PAUSE_S = 1.2  # s; while a queue is withdrawn, or away from its place


@dataclass(frozen=True, kw_only=True)
class Route:
    name: str
    prefix: str
    service: str
    priority: int = 1
    timeout_ms: int = 3000
    retry_limit: int = 3

    def row(self):
        return F.route(
            self.name,
            host=HOST,
            prefix=self.prefix,
            service=self.service,
            priority=self.priority,
            timeoutMs=self.timeout_ms,
            retryLimit=self.retry_limit,
        )


class Changes:
    """The operator of a soak and the routes that are in force, by their prefix."""

    def __init__(self, *, operator, rng, limit_s):
        self.operator, self.rng, self.limit_s = operator, rng, limit_s
        self.names, self.done = 0, {}
        self.tenants = {t: F.tenant(t, keys=[f"k-{t}-0"], **LIMITS) for t in TENANTS}
        self.keys, self.newest = 0, {t: f"k-{t}-0" for t in TENANTS}  # a key that each has now
        self.routes = {
            q.prefix: Route(name=self.name(), prefix=q.prefix, service=SERVICES[n % 2], priority=n % 2)
            for n, q in enumerate(HOMES)
        }

    def name(self):
        self.names += 1
        return f"r-{self.names}"

    def table(self, revision):
        return F.whole(
            revision=revision,
            routes=[r.row() for r in self.routes.values()],
            services=[F.service(s, guards=False) for s in SERVICES],
            tenants=self.tenants.values(),
        )

    def key_of(self, n):
        """What gives the n-th client the key of its tenant."""
        return lambda: self.newest[TENANTS[n % len(TENANTS)]]

    async def first(self):
        assert await self.operator.put(self.table(1), limit=self.limit_s), "no configuration was taken"

    async def send(self, routes=None, tenants=None):
        """Puts other routes or tenants in force, by a whole configuration or by a change; retried until
        it has a clear answer. An answer that was lost is the same as one that came."""
        self.routes = self.routes if routes is None else routes
        self.tenants = self.tenants if tenants is None else tenants
        revision = self.operator.config["revision"] + self.rng.randint(1, 3)
        table = self.table(revision)
        if self.rng.random() < 0.5:
            taken = await self.operator.put(table, limit=self.limit_s)
        else:
            upsert, withdraw = {}, {}
            for t in ("routeTable", "tenantTable"):
                new, old = ({r["name"]: r for r in c[t]} for c in (table, self.operator.config))
                upsert[t] = [r for n, r in new.items() if old.get(n) != r]
                withdraw[t] = [n for n in old if n not in new]
            taken = await self.operator.patch(
                upsert=upsert, withdraw=withdraw, revision=revision, limit=self.limit_s
            )
        assert taken, f"a change was not acknowledged in {self.limit_s} s: {table}"

    # --- changes

    async def rename(self):
        at = self.rng.choice(list(self.routes))
        await self.send(self.routes | {at: replace(self.routes[at], name=self.name())})

    async def exchange(self):
        a, b = self.rng.sample(list(self.routes), 2)
        one, other = self.routes[a], self.routes[b]
        await self.send(self.routes | {a: replace(one, name=other.name), b: replace(other, name=one.name)})

    async def move(self):
        """A queue stands elsewhere for a while; then another one of its name or not takes its place."""
        at = self.rng.choice(list(self.routes))
        route, away = self.routes[at], f"/away{self.names}/"
        rest = {p: r for p, r in self.routes.items() if p != at}
        await self.send(rest | {away: replace(route, prefix=away)})
        await asyncio.sleep(PAUSE_S)
        back = replace(route, name=self.rng.choice((route.name, self.name())))
        await self.send(rest | {at: back})

    async def withdraw(self):
        at = self.rng.choice(list(self.routes))
        route = self.routes[at]
        await self.send({p: r for p, r in self.routes.items() if p != at})
        await asyncio.sleep(PAUSE_S)
        back = replace(route, name=self.rng.choice((route.name, self.name())))
        await self.send(self.routes | {at: back})

    async def redirect(self):
        """Another service, name and place as they were or with another name."""
        at = self.rng.choice(list(self.routes))
        route = self.routes[at]
        other = next(s for s in SERVICES if s != route.service)
        name = self.rng.choice((route.name, self.name()))
        await self.send(self.routes | {at: replace(route, service=other, name=name)})

    async def limits(self):
        at = self.rng.choice(list(self.routes))
        route = replace(
            self.routes[at],
            priority=self.rng.randint(0, 2),
            timeout_ms=self.rng.randint(2000, 4000),
            retry_limit=self.rng.randint(3, 5),
        )
        await self.send(self.routes | {at: route})

    # --- tenants

    def changed(self, name, **fields):
        return self.tenants | {name: self.tenants[name] | fields}

    async def lower(self):
        """A tenant's limit, far below what it runs, for a while; raised and lowered again at once."""
        name, calm = self.rng.choice(TENANTS), F.tenant("", keys=(), **LIMITS)["upperBound"]
        for cpu in (self.rng.choice(LOW_CPU), 2 * LIMITS["cpu"], self.rng.choice(LOW_CPU)):
            await self.send(tenants=self.changed(name, upperBound=calm | {"cpu": cpu}))
        await asyncio.sleep(PAUSE_S)
        await self.send(tenants=self.changed(name, upperBound=calm))

    async def rekey(self):
        """A tenant's key is replaced by another one; at times the old one stays beside it."""
        name = self.rng.choice(TENANTS)
        self.keys += 1
        kept = self.tenants[name]["apiKeys"][: self.rng.randint(0, 1)]
        new = f"k-{name}-{self.keys}"
        await self.send(tenants=self.changed(name, apiKeys=[new, *kept]))
        self.newest[name] = new

    async def remove(self):
        """A tenant is gone for a while, with what it runs under way."""
        name = self.rng.choice(TENANTS)
        row = self.tenants[name]
        await self.send(tenants={n: t for n, t in self.tenants.items() if n != name})
        await asyncio.sleep(PAUSE_S)
        await self.send(tenants=self.tenants | {name: row})

    async def play(self, *, until, pause_s):
        """Changes one after the other until `until` says so."""
        kinds = (
            self.lower,
            self.rekey,
            self.remove,
            self.rename,
            self.rename,
            self.exchange,
            self.move,
            self.withdraw,
            self.redirect,
            self.limits,
        )
        while not until():
            change = self.rng.choice(kinds)
            await change()
            self.done[change.__name__] = self.done.get(change.__name__, 0) + 1
            await asyncio.sleep(pause_s * (0.3 + self.rng.random()))
