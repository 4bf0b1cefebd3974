"""The operators' command for tenants: shows their limits, what they run, what waits and what each daemon
admitted and refused; changes their limits, weights and keys. It sends HTTP requests to a gateway. Keys
are read from files and never printed."""

import json

from cleo.helpers import argument, option

from ...record.tenants import RESOURCES
from .commands import OperateCommand, common

FIELDS = (*RESOURCES, "weight")


def amounts(room):
    """Amounts of resources as text; a resource that is 0 is left out."""
    return " ".join(f"{field}:{room[field]}" for field in RESOURCES if room[field])


def one_line(name, tenant):
    gone = "" if tenant["configured"] else "  not configured any more"
    return (
        f"{name}  weight {tenant['weight']:g}  limit {amounts(tenant['limit']) or 'none'}  "
        f"running {amounts(tenant['running']) or 'nothing'}  waiting {tenant['waiting']}  "
        f"admitted {tenant['admitted']}  refused {tenant['refused']}  keys {tenant['keys']}{gone}"
    )


def daemon_lines(tenant):
    """Lines on each daemon's part of a tenant's request budget, and on the requests that it admitted and refused."""
    yield f"  budget {tenant['tokens']} tokens left"
    for daemon in tenant["daemons"]:
        yield (
            f"  {daemon['daemon']}  holds {daemon['tokens']} tokens for {daemon['termMs']} ms  "
            f"admitted {daemon['admitted']}  refused {daemon['refused']}"
        )


class TenantsCommand(OperateCommand):
    """Lists, shows, changes and removes tenants."""

    name = "tenants"
    description = "Tenants: list or show them, set limits, weight and keys, drop one."
    arguments = [
        argument("do", "list, show, set or drop.", optional=True, default="list"),
        argument("tenant", "Name of the tenant.", optional=True, default=""),
    ]
    options = common() + [
        option("cores", None, "Cores that it may use at once; 0: no limit.", flag=False),
        option("memMb", None, "MB of memory that it may use at once; 0: no limit.", flag=False),
        option("gpus", None, "Accelerators that it may use at once; 0: no limit.", flag=False),
        option("weight", None, "Its weight when the fleet is full.", flag=False),
        option("keys", None, "File with its keys, one per line; they replace the present ones.", flag=False),
        option("base", None, "Version that the change is based on; default: the current one.", flag=False),
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
            row = None if do == "drop" else self.row(current=(body.get("tenants") or {}).get(name, {}))
            base = int(self.option("base") or body["version"])
        except (OSError, ValueError) as error:
            self.line_error(f"bad option: {error}")
            return 2
        edit = {"base": base, "tenants": {name: row}}
        status, body = self.ask("PATCH", "/v1/charter", edit)
        return self.show(status, body, lambda body: [f"configuration is at version {body['version']}"])

    def row(self, *, current):
        """The tenant's row, changed as the options say; present keys are sent as their digests."""
        row = {field: current[field] for field in FIELDS if field in current}
        row["keys"] = [f"sha256:{digest}" for digest in current.get("keys", ())]
        for field in FIELDS:
            if self.option(field) is not None:
                row[field] = json.loads(self.option(field))
        if self.option("keys"):
            with open(self.option("keys")) as file:
                row["keys"] = [line.strip() for line in file if line.strip()]
        return row


TENANTS = [TenantsCommand]
