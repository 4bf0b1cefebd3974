"""A stage with one control door that answers each beat from a list of orders: what the tests
of stand-in workers play on."""

import asyncio
import json

from .registry import Work
from .stage import Script, Stage, ok

J, G = "a" * 16, "b" * 16
T, U = f"{J}.0.0.0", f"{J}.0.0.1"
C1, C2 = "10.0.0.1:80", "10.0.0.2:80"


class World:
    """A stage with one control door that answers each beat from a list of orders."""

    def __init__(self, *stages, works=None, hold=4000, **kw):
        self.s = Stage(**kw)
        self.orders, self.hold, self.more, self.last = [], hold, {}, True
        self.door = Script(loop=self.s.loop, reply=self.answer)
        self.s.serve(C1, "core-1", self.door.take)
        self.s.controls.append(C1)
        body = {"jobProfile": "p", "stages": list(stages) or [{"taskCount": 2, "cpu": 1000}]}
        self.s.registry.add(job=J, body=body, works=works or [Work(ms=800)])
        self.s.registry.add(job=G, body=body, works=works or [Work(ms=800)])

    def answer(self, call):
        b = json.loads(call.body) if call.body else {}
        v = {"holdMs": self.hold, "retryAfterMs": 100} if self.hold else {}
        if self.last and b.get("ended"):
            v["lastSeen"] = max(e[0] for e in b["ended"])
        o = self.orders.pop(0) if self.orders else {}
        return ok(**v | o | self.more)

    def told(self, *starts, w=None, **kw):
        self.orders.append({"start": [[t, r, "p", s] for t, r, s in starts], **kw})

    @property
    def beats(self):
        return [(t, json.loads(c.body)) for t, c in self.door.calls if c.method == "PUT"]

    def ends(self, **d):
        return [(r["task"], r["run"], r["how"]) for r in self.s.rows("end", **d)]

    def play(self, seconds, then=None):
        async def go():
            await asyncio.sleep(seconds)
            if then is not None:
                await then()

        self.s.run(go())


def secs(w, ev, n=0, **d):
    return w.s.rows(ev, **d)[n]["t"] / 1000 - 1_780_000_000
