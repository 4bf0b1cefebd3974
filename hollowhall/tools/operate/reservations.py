"""The operators' command for reservations: list, show, add, shorten, cancel. It asks a mast
over HTTP, as any client does. Times are Unix ms, or seconds from now with a plus: +3600."""

import time

from cleo.helpers import argument, option

from ...record.reservations import RELEASED
from .commands import OperateCommand, common

ROOM = ("cores", "memMb", "gpus")


def moment(text):
    """Unix ms of '1780000000000', or of '+3600': seconds from this machine's now."""
    if text.startswith("+"):
        return int((time.time() + float(text[1:])) * 1000)
    return int(text)


def one_line(r):
    size = " ".join(f"{a}:{r['room'][a]}" for a in ROOM if r["room"][a])
    where = "".join(f"  {a} {r[a]}" for a in ("zone", "label") if r[a])
    return (
        f"{r['name']}  {r['state']}  {r['count']} x {size}  {r['kind']}{where}  "
        f"lanes {','.join(r['lanes'])}  {r['fromMs']} to {r['untilMs']}"
        + (f"  planned {r['planned']}" if r["state"] != RELEASED else "")
    )


class ReservationsCommand(OperateCommand):
    name = "reservations"
    description = "Reservations of room for a window: list, show, add, shorten, cancel."
    arguments = [
        argument("do", "list, show, add, shorten or cancel.", optional=True, default="list"),
        argument("reservation", "Its name.", optional=True, default=""),
    ]
    options = common() + [
        option("kind", None, "Kind of worker.", flag=False, default=""),
        option("count", None, "How many.", flag=False),
        option("gpus", None, "Accelerators of each.", flag=False, default="1"),
        option("cores", None, "Cores of each.", flag=False, default="1"),
        option("mem", None, "MB of memory of each.", flag=False, default="0"),
        option("zone", None, "Only workers of this zone.", flag=False, default=""),
        option("label", None, "Only workers with this label.", flag=False, default=""),
        option("lane", None, "Whose jobs it is for, may be given again.", flag=False, multiple=True),
        option("from", None, "Unix ms, or +SECONDS from now.", flag=False),
        option("until", None, "Unix ms, or +SECONDS from now.", flag=False),
    ]

    def body(self, *, do):
        d = {}
        if self.option("count") is not None:
            d["count"] = int(self.option("count"))
        if self.option("until") is not None:
            d["untilMs"] = moment(self.option("until"))
        if do == "add":
            d |= {
                "kind": self.option("kind"),
                "zone": self.option("zone"),
                "label": self.option("label"),
                "lanes": self.option("lane"),
                "room": {
                    "cores": int(self.option("cores")),
                    "memMb": int(self.option("mem")),
                    "gpus": int(self.option("gpus")),
                },
            }
            if self.option("from") is not None:
                d["fromMs"] = moment(self.option("from"))
        return d

    def handle(self):
        do, n = self.argument("do"), self.argument("reservation")
        method = {"list": "GET", "show": "GET", "add": "PUT", "shorten": "PATCH", "cancel": "DELETE"}.get(do)
        if method is None or (do == "list") != (n == ""):
            self.line_error("list; or show, add, shorten or cancel and a name")
            return 2
        try:
            body = self.body(do=do) if do in ("add", "shorten") else None
        except ValueError as e:
            self.line_error(f"bad option: {e}")
            return 2
        if do == "list":
            lane = (self.option("lane") or [""])[0]
            st, v = self.ask("GET", f"/v1/reservations?lane={lane}")
            return self.show(st, v, lambda v: [one_line(r) for r in v["reservations"]])
        st, v = self.ask(method, f"/v1/reservations/{n}", body)
        return self.show(st, v, lambda v: [one_line(v)])


RESERVATIONS = [ReservationsCommand]
