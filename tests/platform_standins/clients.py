"""Stand-in clients of the platform. A client names its job, sends it, sends it again under
the same ID after silence or a cut, backs off when it is told to, asks for its state now and
then, and sometimes cancels. It also asks each daemon for counts. All it saw is noted."""

import asyncio
from dataclasses import dataclass

from .caller import ask

GONE = ("complete", "failed", "cancelled")
FINAL_TRIES = 8  # asks for a job's state at the end of the day
FINAL_WAIT = 2.0  # s; for each of them


@dataclass(frozen=True, kw_only=True)
class Queue:
    host: str
    prefix: str


class Client:
    def __init__(
        self, *, name, zone, queue, web, pick, registry, hist, rng, loop, tries=4, deadline_ms=3000, key=None
    ):
        self.name, self.zone, self.queue, self.web, self.pick = name, zone, queue, web, pick
        self.registry, self.hist, self.rng, self.loop = registry, hist, rng, loop
        self.tries, self.deadline_ms, self.calls = tries, deadline_ms, 0
        self.accepted, self.states, self.latency = [], {}, []
        self.key = key  # gives the key to send now; '' for none

    # --- one call

    async def call(self, ev, method, *, job="", body=None, attempt=0, addr=None, queue=None, wait=None, **d):
        """One request, noted before it is sent and when its answer has come."""
        q, self.calls = queue or self.queue, self.calls + 1
        i = f"{self.name}-{self.calls}"
        wait = wait or self.deadline_ms / 1000
        addr = addr or self.pick(zone=self.zone, client=self.name, attempt=attempt)
        d |= {"job": job, "host": q.host, "prefix": q.prefix, "by": addr}
        key = self.key() if self.key is not None else ""
        d |= {"key": key} if key else {}
        sent = self.hist.note(ev, id=i, **d, **({"body": body} if body else {}))["t"]
        if not addr:
            self.hist.note(ev + "_out", id=i, sent=sent, status=0, why="down", **d)
            return None
        a = await ask(
            web=self.web,
            method=method,
            addr=addr,
            path=q.prefix + job,
            body=body,
            wait=wait,
            headers={"Host": q.host, "Time-Remaining": str(int(wait * 1000))}
            | ({"Credential": key} if key else {}),
        )
        v = a.body if isinstance(a.body, dict) else {}
        more = {k: v[k] for k in ("state", "pending") if k in v}
        self.hist.note(ev + "_out", id=i, sent=sent, status=a.status, why=a.why, **more, **d)
        return a

    def back_off(self, a, n):
        """S until the next try: as the answer says, else growing."""
        after = a.headers.get("retry-after") if a is not None else None
        try:
            s = float(after)
        except (TypeError, ValueError):
            s = 0.1 * 2 ** min(n, 5)
        return s * (1 + 0.25 * self.rng.random())

    # --- jobs

    def new(self, make):
        """A job that is known to the workers' side, not yet sent."""
        job = f"{self.rng.getrandbits(64):016x}"
        body, works = make(self.rng)
        self.registry.add(job=job, body=body, works=works)
        return job, body

    async def submit(self, job, body, *, tries=None):
        """Sends until it is taken or the tries are used up: accepted, refused, unsure."""
        t0, unsure = self.loop.time(), False
        for n in range(1 + (self.tries if tries is None else tries)):
            a = await self.call("submit", "POST", job=job, body=body, attempt=n)
            if a is not None and a.ok:
                self.accepted.append(job)
                self.latency.append(self.loop.time() - t0)
                return "accepted"
            if a is not None and a.status in (0, 500, 502, 504) and a.why != "down":
                unsure = True
            elif a is not None and 400 <= a.status < 500 and a.status != 429:
                break
            await asyncio.sleep(self.back_off(a, n))
        return "unsure" if unsure else "refused"

    async def state(self, job, *, attempt=0, **kw):
        a = await self.call("state", "GET", job=job, attempt=attempt, **kw)
        if a is not None and a.status == 200 and isinstance(a.body, dict):
            self.states[job] = a.body.get("state")
            return self.states[job]
        return None

    async def follow(self, job, *, until, gap=0.5):
        """Asks now and then until the job has ended; its last state."""
        n = 0
        while self.loop.time() < until and self.states.get(job) not in GONE:
            await self.state(job, attempt=n)
            n += 1
            await asyncio.sleep(gap * (0.7 + 0.6 * self.rng.random()))
        return self.states.get(job)

    async def cancel(self, job, *, tries=6):
        for n in range(tries):
            a = await self.call("cancel", "DELETE", job=job, attempt=n)
            if a is not None and (a.ok or a.status == 410):
                return a.status
            await asyncio.sleep(self.back_off(a, n))
        return 0

    async def count(self, *, addr, queue=None):
        """Asks one daemon directly how much of a queue is pending."""
        a = await self.call("count", "GET", addr=addr, queue=queue)
        return a.body.get("pending") if a is not None and a.status == 200 else None

    # --- a day

    async def one(self, make, *, until, cancels=0.0):
        job, body = self.new(make)
        if await self.submit(job, body) != "accepted":
            return
        if self.rng.random() < 0.05:  # unsure after all, so sent again
            await self.submit(job, body, tries=0)
        lasts = any(s.get("longRunning") for s in body["stages"])
        if lasts or self.rng.random() < cancels:
            await asyncio.sleep(self.rng.random() * 4 + lasts * 2)
            await self.cancel(job)
        await self.follow(job, until=until)

    async def run(self, *, mix, rate, seconds, settle=10.0, cancels=0.05):
        """Sends a mix for a while, `rate` jobs a second, and follows all that was taken."""
        end, total, jobs = self.loop.time() + seconds, sum(x for _, x in mix), []
        while self.loop.time() < end:
            x = self.rng.random() * total
            for make, share in mix:  # noqa: B007 (used behind the loop)
                x -= share
                if x <= 0:
                    break
            jobs.append(asyncio.ensure_future(self.one(make, until=end + settle, cancels=cancels)))
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*jobs)

    async def ask_all(self):
        """At the end of the day: the state of every job that was accepted."""

        async def one(job):
            for n in range(FINAL_TRIES):
                a = await self.call("state", "GET", job=job, attempt=n, wait=FINAL_WAIT, final=True)
                if a is not None and a.status in (200, 410):
                    return
                await asyncio.sleep(self.back_off(a, n))

        await asyncio.gather(*(one(j) for j in dict.fromkeys(self.accepted)))
