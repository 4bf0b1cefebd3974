"""The operators' command for tenants: who may run what, runs it, waits and was refused by which daemon;
and changes of their limits, weights and keys. It asks a mast over HTTP, as any client does. Keys
are read from files and never printed."""

import json

from cleo.helpers import argument, option

from ...record.tenants import RESOURCES
from .commands import OperateCommand, common

FIELDS = (*RESOURCES, "weight")


def amounts(room):
    """A room in words; a resource that is 0 is left out."""
    return " ".join(f"{field}:{room[field]}" for field in RESOURCES if room[field])


def one_line(name, tenant):
    gone = "" if tenant["configured"] else "  not configured any more"
    return (
        f"{name}  weight {tenant['weight']:g}  limit {amounts(tenant['limit']) or 'none'}  "
        f"running {amounts(tenant['running']) or 'nothing'}  waiting {tenant['waiting']}  "
        f"admitted {tenant['admitted']}  refused {tenant['refused']}  keys {tenant['keys']}{gone}"
    )


def daemon_lines(tenant):
    """What each daemon holds of a tenant's budget, and whom it let in."""
    yield f"  budget {tenant['tokens']} tokens left"
    for daemon in tenant["daemons"]:
        yield (
            f"  {daemon['daemon']}  holds {daemon['tokens']} tokens for {daemon['termMs']} ms  "
            f"admitted {daemon['admitted']}  refused {daemon['refused']}"
        )


class TenantsCommand(OperateCommand):
    name = "tenants"
    description = "Tenants: list or show them, set limits, weight and keys, drop one."
    arguments = [
        argument("do", "list, show, set or drop.", optional=True, default="list"),
        argument("tenant", "Its name.", optional=True, default=""),
    ]
    options = common() + [
        option("cores", None, "What it may have running at once; 0: no limit.", flag=False),
        option("memMb", None, "MB of memory, the same.", flag=False),
        option("gpus", None, "Accelerators, the same.", flag=False),
        option("weight", None, "Its share when all is full.", flag=False),
        option("keys", None, "File with its keys, one a line; replaces those it has.", flag=False),
        option("base", None, "Version the change builds on; else the one just read.", flag=False),
    ]

    def handle(self):
        do, name = self.argument("do"), self.argument("tenant")
        if do not in ("list", "show", "set", "drop") or (do == "list") != (name == ""):
            self.line_error("list; or show, set or drop and a name")
            return 2
        return self.look(name) if do in ("list", "show") else self.change(do=do, name=name)

    def look(self, name):
        status, body = self.ask("GET", "/v1/tenants")
        if status == 200 and name and name not in body["tenants"]:
            self.line_error(f"no tenant {name!r}")
            return 1
        return self.show(status, body, lambda body: self.lines(body["tenants"], name))

    def lines(self, tenants, name):
        for tenant in [name] if name else tenants:
            yield one_line(tenant, tenants[tenant])
            if name:
                yield from daemon_lines(tenants[tenant])

    def change(self, *, do, name):
        status, body = self.ask("GET", "/v1/charter")
        if status != 200:
            return self.show(status, body, lambda body: [])
        try:
            row = None if do == "drop" else self.row(now=(body.get("tenants") or {}).get(name, {}))
            base = int(self.option("base") or body["version"])
        except (OSError, ValueError) as e:
            self.line_error(f"bad option: {e}")
            return 2
        edit = {"base": base, "tenants": {name: row}}
        status, body = self.ask("PATCH", "/v1/charter", edit)
        return self.show(status, body, lambda body: [f"configuration is at version {body['version']}"])

    def row(self, *, now):
        """The tenant's row with what the options say; keys that it has are told as digests."""
        row = {field: now[field] for field in FIELDS if field in now}
        row["keys"] = [f"sha256:{digest}" for digest in now.get("keys", ())]
        for field in FIELDS:
            if self.option(field) is not None:
                row[field] = json.loads(self.option(field))
        if self.option("keys"):
            with open(self.option("keys")) as f:
                row["keys"] = [line.strip() for line in f if line.strip()]
        return row


TENANTS = [TenantsCommand]
