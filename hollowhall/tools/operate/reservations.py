"""The operators' command for reservations: list, show, add, shorten, cancel. It sends HTTP requests to a
gateway. Times are given in Unix ms, or as seconds from now with a plus sign: +3600."""

import time

from cleo.helpers import argument, option

from ...record.reservations import RELEASED
from .commands import OperateCommand, common

RESOURCES = ("cores", "memMb", "gpus")


def unix_ms(text):
    """Unix ms of a time option: '1780000000000' as it is, '+3600' as seconds from this machine's clock. Raises
    ValueError for anything else."""
    if text.startswith("+"):
        return int((time.time() + float(text[1:])) * 1000)
    return int(text)


def one_line(reservation):
    size = " ".join(f"{key}:{reservation['room'][key]}" for key in RESOURCES if reservation["room"][key])
    where = "".join(f"  {key} {reservation[key]}" for key in ("zone", "label") if reservation[key])
    return (
        f"{reservation['name']}  {reservation['state']}  {reservation['count']} x {size}  {reservation['kind']}{where}  "
        f"lanes {','.join(reservation['lanes'])}  {reservation['fromMs']} to {reservation['untilMs']}"
        + (f"  planned {reservation['planned']}" if reservation["state"] != RELEASED else "")
    )


class ReservationsCommand(OperateCommand):
    """Lists, shows, adds, shortens and cancels reservations."""

    name = "reservations"
    description = "Reservations of resources for a time window: list, show, add, shorten, cancel."
    arguments = [
        argument("do", "list, show, add, shorten or cancel.", optional=True, default="list"),
        argument("reservation", "Name of the reservation.", optional=True, default=""),
    ]
    options = common() + [
        option("kind", None, "Kind of worker to reserve on.", flag=False, default=""),
        option("count", None, "Number of units to reserve.", flag=False),
        option("gpus", None, "Accelerators per unit.", flag=False, default="1"),
        option("cores", None, "Cores per unit.", flag=False, default="1"),
        option("mem", None, "MB of memory per unit.", flag=False, default="0"),
        option("zone", None, "Only workers in this zone.", flag=False, default=""),
        option("label", None, "Only workers with this label.", flag=False, default=""),
        option("lane", None, "Queue whose jobs may use it; may be repeated.", flag=False, multiple=True),
        option("from", None, "Start: Unix ms, or +SECONDS from now.", flag=False),
        option("until", None, "End: Unix ms, or +SECONDS from now.", flag=False),
    ]

    def body(self, *, do):
        """The request body of `add` or `shorten`. Raises ValueError for an option that is no number or time."""
        body = {}
        if self.option("count") is not None:
            body["count"] = int(self.option("count"))
        if self.option("until") is not None:
            body["untilMs"] = unix_ms(self.option("until"))
        if do == "add":
            body |= {
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
                body["fromMs"] = unix_ms(self.option("from"))
        return body

    def handle(self):
        do, name = self.argument("do"), self.argument("reservation")
        method = {"list": "GET", "show": "GET", "add": "PUT", "shorten": "PATCH", "cancel": "DELETE"}.get(do)
        if method is None or (do == "list") != (name == ""):
            self.line_error("list; or show, add, shorten or cancel and a name")
            return 2
        try:
            body = self.body(do=do) if do in ("add", "shorten") else None
        except ValueError as error:
            self.line_error(f"bad option: {error}")
            return 2
        if do == "list":
            lane = (self.option("lane") or [""])[0]
            status, answer = self.ask("GET", f"/v1/reservations?lane={lane}")
            return self.show(
                status,
                answer,
                lambda answer: [one_line(reservation) for reservation in answer["reservations"]],
            )
        status, answer = self.ask(method, f"/v1/reservations/{name}", body)
        return self.show(status, answer, lambda answer: [one_line(answer)])


RESERVATIONS = [ReservationsCommand]
