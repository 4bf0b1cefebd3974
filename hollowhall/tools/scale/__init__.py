"""A scale run: how what each duty costs grows with one axis of the load. Real daemons on
loopback beside hollow workers, masts and callers in shared processes; or the whole in
virtual time, where messages and entries are counted exactly and processors are not.
docs/CAPACITY.md rests on what it prints."""

import asyncio
import json

from cleo.commands.command import Command
from cleo.helpers import option

from ...base.problem_codec import to_json
from ...base.problems import Raised
from . import sizes as S
from .ramp import Ramp
from .report import plot, slopes, table
from .virtual import virtual_ramp

NUMBERS = {
    "workers": "100",
    "running": "0",
    "starts": "0",
    "masts": "0",
    "kept": "0",
    "hold": "10",
    "settle": "20",
    "limit": "180",
    "front": "2",
    "busy": "2",
    "seed": "1",
}
SAID = {
    "workers": "Hollow workers, when another axis is varied.",
    "running": "Tasks that run on and on; the same.",
    "starts": "Task starts a second; the same.",
    "masts": "Hollow masts beside the real ones; the same.",
    "kept": "Tasks of ended jobs in the record; the same.",
    "hold": "Seconds measured at each size.",
    "settle": "Seconds at most until a size is reached.",
    "limit": "Seconds at most for all.",
    "front": "Real masts, which serve the hollow workers and callers.",
    "busy": "Load average a core, others' included, past which nothing is begun.",
    "seed": "Seed of all that is drawn.",
}


class ScaleCommand(Command):
    name = "scale"
    description = "Measure how what each duty costs grows with a load; slopes and a plot."
    options = [
        option("vary", None, f"The axis: {', '.join(S.AXES)}.", flag=False, default="workers"),
        option("sizes", None, "Three sizes of it or more, rising.", flag=False, default="25,50,100,150"),
        option("virtual", None, "In virtual time: messages only, exact.", flag=True),
        option("json", None, "File for all figures.", flag=False),
        *[option(a, None, SAID[a], flag=False, default=b) for a, b in NUMBERS.items()],
    ]

    def handle(self):
        try:
            p = S.read_plan({a: self.option(a) for a in ("vary", "sizes", "virtual", *NUMBERS)})
            if p.virtual:
                rows, why = virtual_ramp(plan=p, say=self.line)
            else:
                rows, why = asyncio.run(Ramp(plan=p, say=self.line).run())
            if why:
                self.line_error(f"ended early: {why}")
            self.show(p=p, rows=rows)
            return 1 if why else 0
        except Raised as e:
            self.line_error(json.dumps(to_json(e.failure)))
            return 2

    def show(self, *, p, rows):
        s = slopes(rows=rows, vary=p.vary, front=p.front) if len(rows) >= 3 else []
        if self.option("json"):
            with open(self.option("json"), "w") as f:
                json.dump({"vary": p.vary, "rows": rows, "slopes": s}, f, indent=1)
        for r in rows:
            more = {k: r[k] for k in ("state", "disk", "total", "processes") if k in r}
            self.line(
                f"{p.vary} {r['size']}: " + json.dumps({k: round(v, 3) for k, v in r["seen"].items()} | more)
            )
        if len(rows) < 3:
            self.line_error("fewer than three sizes were measured: no slope")
            return
        for x in table(rows=rows, vary=p.vary, front=p.front):
            self.line(x)
        m = ("messages", "messages/s") if p.virtual else ("cpu", "% of a core")
        for x in plot(rows=rows, measure=m[0], unit=m[1]):
            self.line(x)


SCALE = [ScaleCommand]
