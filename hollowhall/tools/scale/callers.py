"""Hollow callers and one operator. Callers send jobs at a rate, follow each until it has
ended, and now and then send one urgent task that carries when it was sent; standing jobs
and jobs that are only to be kept are sent once. The operator writes the table of lanes,
edits it at a steady pace, and looks how long an edit takes to every mast."""

import asyncio

from . import sizes as S

ENDED = ("done", "failed", "cancelled")


class Caller:
    def __init__(self, *, masts, web, rng, now, tag):
        self.masts, self.web, self.rng, self.now, self.tag = masts, web, rng, now, tag
        self.n, self.tasks = 0, set()
        self.seen = {
            "taken": 0,
            "refused": 0,
            "unsure": 0,
            "ended": 0,
            "asks": 0,
            "edits": 0,
            "edit_worst": 0.0,
            "edit_s": 0.0,
        }

    async def ask(self, *, method, path, body=None, addr=None):
        self.seen["asks"] += 1
        o = await self.web.ask(method=method, addr=addr or self.rng.choice(self.masts), path=path, body=body)
        return o if isinstance(o, tuple) else (0, {}, {})

    async def send(self, body):
        """Sends a job until it is taken; its name."""
        self.n += 1
        name = f"{self.tag}-{self.n}"
        while True:
            st, _, h = await self.ask(method="PUT", path=f"/v1/jobs/{name}", body=body)
            if st in (200, 201):
                self.seen["taken"] += 1
                return name
            self.seen["refused" if st else "unsure"] += 1
            await asyncio.sleep(float(h.get("Retry-After", 0.3)) * (0.5 + self.rng.random()))

    async def follow(self, body):
        name, state = await self.send(body), ""
        while state not in ENDED:
            await asyncio.sleep(S.FOLLOW_GAP * (0.7 + 0.6 * self.rng.random()))
            st, v, _ = await self.ask(method="GET", path=f"/v1/jobs/{name}?tasks=0")
            state = v["state"] if st == 200 else state
        self.seen["ended"] += 1

    def lane(self):
        return f"team-{self.rng.randrange(S.TEAMS) + 1:02d}"

    def spawn(self, co):
        t = asyncio.ensure_future(co)
        self.tasks.add(t)
        t.add_done_callback(self.tasks.discard)

    async def churn(self, *, rate, urgent):
        """`rate` starts a second, in jobs of a gang's size, and the urgent ones."""
        if urgent:
            self.spawn(self.hurry())
        while True:
            await asyncio.sleep(S.GANG / rate * (0.5 + self.rng.random()))
            self.spawn(self.follow(S.job(lane=self.lane(), tasks=S.GANG, ms=S.TASK_MS)))

    async def hurry(self):
        while True:
            await asyncio.sleep(S.URGENT_GAP)
            self.spawn(self.follow(S.job(lane="urgent", tasks=1, ms=50, sent=self.now() * 1000)))

    async def stand(self, *, tasks):
        """Standing jobs of so many tasks together."""
        while tasks > 0:
            n = min(S.GANG_MOST, tasks)
            tasks -= n
            await self.send(S.job(lane=self.lane(), tasks=n, ms=S.STAND_MS))

    async def keep(self, *, tasks):
        """Jobs that never start and end at once, so many tasks together, to be kept."""
        while tasks > 0:
            n = min(S.KEPT_STEP, tasks)
            tasks -= n
            d = S.job(lane=self.lane(), tasks=n, ms=1) | {"notBefore": 1 << 43}
            await self.ask(method="DELETE", path=f"/v1/jobs/{await self.send(d)}")

    # --- the operator

    async def found(self, *, rows):
        """Writes the first table, however long the daemons take; whether it stands."""
        end = self.now() + S.START_WAIT
        while self.now() < end:
            st, v, _ = await self.ask(method="GET", path="/v1/charter")
            if st == 200 and v["rows"].keys() >= rows.keys():
                return True
            if st == 200:
                await self.ask(method="PUT", path="/v1/charter", body={"base": v["version"], "rows": rows})
            await asyncio.sleep(0.2)
        return False

    async def edit(self):
        """Edits a row at a steady pace, and sees it come to every mast."""
        while True:
            await asyncio.sleep(S.EDIT_GAP)
            st, v, _ = await self.ask(method="GET", path="/v1/charter")
            if st != 200:
                continue
            lane, t0 = self.lane(), self.now()
            row = v["rows"][lane] | {"weight": round(0.5 + 4 * self.rng.random(), 2)}
            st, v, _ = await self.ask(
                method="PATCH", path="/v1/charter", body={"base": v["version"], "rows": {lane: row}}
            )
            if st == 200:
                await asyncio.gather(*[self.comes(addr=a, version=v["version"]) for a in self.masts])
                s = self.now() - t0
                self.seen["edits"], self.seen["edit_s"] = self.seen["edits"] + 1, self.seen["edit_s"] + s
                self.seen["edit_worst"] = max(self.seen["edit_worst"], s)

    async def comes(self, *, addr, version):
        while True:
            st, v, _ = await self.ask(method="GET", path="/readyz", addr=addr)
            if st == 200 and v["charter"] >= version:
                return
            await asyncio.sleep(S.LOOK_GAP)
