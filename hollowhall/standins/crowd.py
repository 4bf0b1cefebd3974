"""The load generator: simulated clients (requesters) and operators. A requester names its job and
submits it, repeats that under the same name when the result is unknown or it was told to retry,
polls until the job has ended, and sometimes cancels. Operators change the configuration, at
times two at once. All that they observe goes into the history."""

import asyncio

from ..base.problems import Failure

SAFE = ("put", "get", "cancel")


def summary(figures, latency, seconds):
    """The figures with accepted and ended jobs per second and the time until a job was accepted."""
    sorted_latency = sorted(latency) or [0.0]
    latencies = {
        f"accept_ms_{name}": round(
            sorted_latency[min(len(sorted_latency) - 1, int(len(sorted_latency) * quantile))] * 1000, 1
        )
        for name, quantile in (("median", 0.5), ("p99", 0.99), ("worst", 1.0))
    }
    return (
        figures
        | latencies
        | {
            "taken_a_second": round(figures["accepted"] / seconds, 2),
            "ended_a_second": round(figures["ended"] / seconds, 2),
        }
    )


class Requester:
    """A client that submits jobs and follows them."""

    def __init__(self, *, masts, web, hist, rng, now, tag="r"):
        self.masts, self.web, self.hist, self.rng, self.now = masts, web, hist, rng, now
        self.n, self.tag, self.open, self.requests = 0, tag, {}, 0
        self.figures = {"accepted": 0, "refused": 0, "unsure": 0, "ended": 0, "given_up": 0}
        self.latency, self.unretried_fraction = [], 0.06  # fraction of submissions that are not retried

    async def ask(self, event_kind, method, path, data=None, wait=5.0, **note):
        self.requests += 1
        request_id = f"{self.tag}-{self.requests}"
        if method != "GET":
            self.hist.note(event_kind, id=request_id, **note)
        sent_at = round(self.hist.now(), 3)
        response = await self.web.ask(
            method=method, addr=self.rng.choice(self.masts), path=path, body=data, wait=wait
        )
        if isinstance(response, Failure):
            self.hist.note(event_kind + ".out", id=request_id, status=0, taken=response.taken, **note)
            return 0, {"taken": response.taken}, {}
        status, body, response_headers = response
        row = {"status": status, "taken": body.get("taken", "yes") if isinstance(body, dict) else "yes"}
        for field in ("new", "state", "version", "rows", "tasks", "why", "name"):
            if isinstance(body, dict) and field in body and field not in note:
                row[field] = body[field]
        self.hist.note(event_kind + ".out", id=request_id, at=sent_at, **(row | note))
        return status, body, response_headers

    async def send(self, *, body, name=None, tries=40):
        """Submits a job until it is known to be accepted or refused; its name if accepted, else None."""
        if name is None:
            self.n += 1
            name = f"{self.tag}-{self.n}"
        started = self.now()
        for _ in range(tries):
            status, _answer, headers = await self.ask(
                "put", "PUT", f"/v1/jobs/{name}", body, name=name, body=body
            )
            if status in (200, 201):
                self.figures["accepted"] += 1
                self.latency.append(self.now() - started)
                return name
            if status in (400, 404, 409, 410, 413, 415, 422):
                self.figures["refused"] += 1
                return None
            self.figures["unsure"] += 1
            pause = float(headers.get("Retry-After", 0.2)) if headers else 0.2
            await asyncio.sleep(pause * (0.5 + self.rng.random()))
        self.figures["given_up"] += 1
        return None

    async def follow(self, name, *, until, gap=0.3):
        """Polls until the job has ended or `until`; the last state seen."""
        state = ""
        while self.now() < until:
            status, answer, headers = await self.ask("get", "GET", f"/v1/jobs/{name}", name=name)
            if status == 200:
                state = answer["state"]
                if state in ("done", "failed", "cancelled"):
                    self.figures["ended"] += 1
                    return state
            again = float(headers.get("Retry-After", gap)) if headers else gap
            await asyncio.sleep(max(gap, again) * (0.7 + 0.6 * self.rng.random()))
        return state

    def summary(self, seconds):
        return summary(self.figures, self.latency, seconds)

    async def cancel(self, name, tries=40):
        for _ in range(tries):
            status, _answer, _headers = await self.ask("cancel", "DELETE", f"/v1/jobs/{name}", name=name)
            if status in (200, 404, 410):
                return status
            await asyncio.sleep(0.2)
        return 0

    async def one(self, *, body, until, cancel=False, tries=None):
        """Submits a job and follows it to its end; sometimes repeats or cancels it."""
        # some clients give up after one attempt that was refused or not answered
        name = await self.send(
            body=body, tries=tries or (1 if self.rng.random() < self.unretried_fraction else 40)
        )
        if name is None:
            return
        if self.rng.random() < 0.1:  # repeats an accepted submission, as a client that missed the answer does
            await asyncio.sleep(self.rng.random() * 2)
            await self.send(body=body, name=name, tries=5)
        if cancel or body.get("standing"):
            await asyncio.sleep(self.rng.random() * 3)
            if cancel or self.rng.random() < 0.5:
                await self.cancel(name)
        await self.follow(name, until=until)

    async def run(self, *, mix, seconds, times=1.0, settle=20.0, cancels=0.05):
        """Submits jobs of a mix for `seconds`, then waits at most `settle` s for accepted jobs to end."""
        end, jobs = self.now() + seconds, []
        total = sum(r for _, r in mix) * times
        while self.now() < end:
            point = self.rng.random() * total / times
            for make, rate in mix:  # noqa: B007 (used after the loop)
                point -= rate
                if point <= 0:
                    break
            jobs.append(
                asyncio.ensure_future(
                    self.one(body=make(self.rng), until=end + settle, cancel=self.rng.random() < cancels)
                )
            )
            await asyncio.sleep(self.rng.expovariate(total))
        await asyncio.gather(*jobs)


class Operator(Requester):
    """An operator that changes the configuration, reservations and members."""

    async def read(self):
        """The configuration, or None."""
        status, configuration, _ = await self.ask("charter", "GET", "/v1/charter")
        return configuration if status == 200 else None

    async def edit(self, *, base, rows, whole=False):
        """Changes rows of version `base`, or all rows if `whole`: (status, answer)."""
        status, answer, _ = await self.ask(
            "edit",
            "PUT" if whole else "PATCH",
            "/v1/charter",
            {"base": base, "rows": rows},
            base=base,
            rows=rows,
            whole=whole,
        )
        return status, answer

    async def reserve(self, *, name, body, tries=40):
        """Submits a reservation until it is known to be confirmed or refused: (status, answer)."""
        return await self.reserving("reserve", "PUT", name, body, tries)

    async def release(self, name, tries=40):
        return await self.reserving("release", "DELETE", name, None, tries)

    async def shorten(self, name, body, tries=40):
        return await self.reserving("shorten", "PATCH", name, body, tries)

    async def reservation(self, name):
        return await self.ask("reservation", "GET", f"/v1/reservations/{name}", name=name)

    async def reserving(self, event_kind, method, name, body, tries):
        status, answer = 0, {}
        for _ in range(tries):
            status, answer, headers = await self.ask(
                event_kind, method, f"/v1/reservations/{name}", body, name=name, body=body
            )
            if 200 <= status < 500 and status != 429:
                break
            await asyncio.sleep(float(headers.get("Retry-After", 0.2)) if headers else 0.2)
        return status, answer

    async def gone(self, worker):
        """Reports a worker as gone; refused while the worker still sends heartbeats. The HTTP status."""
        status, _, _ = await self.ask("gone_said", "POST", f"/v1/workers/{worker}/gone", {}, w=worker)
        return status

    async def replace(self, old, new):
        """Requests that one store member is replaced; the membership as read before, or None."""
        status, membership, _ = await self.ask("members", "GET", "/v1/members")
        if (
            status == 200
            and new not in (*membership["voters"], membership["learner"])
            and old in membership["voters"]
        ):
            await self.ask(
                "change",
                "POST",
                "/v1/members",
                {"base": membership["version"], "do": "replace", "addr": old, "by": new},
            )
        return membership if status == 200 else None

    async def found(self, *, lanes):
        """Writes the first configuration, retrying while the fleet starts; None after 200 attempts."""
        for _ in range(200):
            configuration = await self.read()
            if configuration is not None and configuration["rows"].keys() >= lanes.keys():
                return configuration
            if configuration is not None:
                await self.edit(base=configuration["version"], rows=lanes, whole=True)
            await asyncio.sleep(0.2)
        return None

    async def change_rows_periodically(self, *, lanes, seconds, gap=2.0):
        """Changes a random row every `gap` s or so, based on the version last read."""
        end = self.now() + seconds
        while self.now() < end:
            await asyncio.sleep(gap * (0.5 + self.rng.random()))
            configuration = await self.read()
            if configuration is None:
                continue
            queue = self.rng.choice(sorted(lanes))
            row = dict(configuration["rows"].get(queue) or lanes[queue])
            row["weight"] = round(0.5 + self.rng.random() * 5, 2)
            await self.edit(base=configuration["version"], rows={queue: row})
