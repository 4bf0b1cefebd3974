"""A soak of real processes: clients and workers that keep their connections open for as long as a
process lives, while signals, restarts and changes of the configuration come in series and overlap.
Guards against work that was accepted at a place and never goes on, however its queue was renamed,
exchanged, moved, withdrawn or directed elsewhere meanwhile, against tasks that run twice, and against
tenants that run more than their limit or callers with keys that nobody has.

    python tests/soak.py 1-50 [--cores 3] [--edges 2] [--seconds 25] [--pause 1.5]

plays seeds one after the other and tells of those that failed; the folder of such a one is kept."""

import argparse
import asyncio
import json
import pathlib
import random
import shutil
import sys
import tempfile
import time
from dataclasses import dataclass, field

from platform_standins.bounds import Bounds
from platform_standins.clients import Client
from platform_standins.operators import Operator
from platform_standins.registry import Registry
from platform_standins.rules import judge
from platform_standins.workers import Worker
from soak_changes import HOMES, SERVICES, Changes
from soak_jobs import mix
from soak_processes import EDGE, Processes

from hollowhall.standins.history import History
from hollowhall.standins.http_client import HttpClient

READY_S = 60.0  # s; until the first configuration is taken and every edge machine is ready
ORDER_S = 60.0  # s; until a change has a clear answer, among overlapping losses
RECOVERY_S = 12.0  # s; as the platform states it
SETTLE_S = RECOVERY_S + Bounds().finish_s + 6.0  # s; behind the last trouble; the longest task works 6 s
CAPACITY = (8000, 16384, 4)  # thousandths of a core, MB, GPUs
# A worker's clock that runs fast ends leases early, as is allowed: this process also plays all
# workers, and may be late itself.
FAST = 1.05
# Rules that need no exact times; the others are told of, as this machine's pace decides them, too.
TIMELESS = ("LIMIT", "TWICE", "ORDER", "ROUTE", "BUDGET", "UNASKED", "REFUSED", "MIXED", "QUOTA")


@dataclass(kw_only=True)
class Outcome:
    """What one soak came to."""

    accepted: int = 0
    changes: dict = field(default_factory=dict)
    signals: int = 0
    starts: int = 0
    bad: list = field(default_factory=list)  # texts; the soak failed if there are any
    timed: list = field(default_factory=list)  # violations of rules that go by exact times


class Soak:
    def __init__(self, *, seed, folder, cores=3, edges=2, workers=6, pause_s=1.5, rate=3.0):
        self.rng, self.pause_s, self.rate = random.Random(seed), pause_s, rate
        self.hist, self.registry, self.bounds = History(), Registry(), Bounds()
        self.processes = Processes(
            seed=seed, folder=folder, hist=self.hist, bounds=self.bounds, cores=cores, edges=edges
        )
        self.worker_count, self.workers, self.webs = workers, {}, []

    # --- who takes part

    def common(self):
        web = HttpClient()
        self.webs.append(web)
        rng, loop = random.Random(self.rng.getrandbits(60)), asyncio.get_running_loop()
        return {"web": web, "hist": self.hist, "rng": rng, "loop": loop}

    def add_workers(self):
        for n in range(self.worker_count):
            self.workers[f"i-{n}"] = worker = Worker(
                id=f"i-{n}",
                service=SERVICES[n % 2],
                zone=f"z{n % 3 + 1}",
                rack=f"r{n % 3 + 1}",
                capacity=CAPACITY,
                daemons=self.processes.controls,
                registry=self.registry,
                bounds=self.bounds,
                guards=False,
                pace=FAST,
                **self.common(),
            )
            asyncio.ensure_future(worker.live())

    def clients(self, changes):
        fronts = [m.settings["listenAddrs"]["front"] for m in self.processes.of_role(EDGE)]

        def pick(*, zone, client, attempt=0):
            return fronts[(sum(client.encode()) + attempt) % len(fronts)]

        return [
            Client(
                name=f"c{n}",
                zone="z1",
                queue=queue,
                pick=pick,
                registry=self.registry,
                key=changes.key_of(n),
                **self.common(),
            )
            for n, queue in enumerate(HOMES)
        ]

    # --- the soak

    async def play(self, *, seconds):
        outcome = Outcome()
        self.processes.start()
        operator = Operator(name="op", daemons=self.processes.controls, bounds=self.bounds, **self.common())
        changes = Changes(operator=operator, rng=random.Random(self.rng.getrandbits(60)), limit_s=ORDER_S)
        await changes.first()
        await self.processes.ready(web=self.common()["web"], limit_s=READY_S)
        self.add_workers()
        clients, end = self.clients(changes), time.monotonic() + seconds

        def over():
            return time.monotonic() >= end

        traffic = [
            asyncio.ensure_future(
                c.run(mix=mix(), rate=self.rate / len(clients), seconds=seconds, settle=SETTLE_S)
            )
            for c in clients
        ]
        await asyncio.gather(
            changes.play(until=over, pause_s=self.pause_s),
            self.processes.disturb(until=over, pause_s=self.pause_s),
        )
        await self.settle(clients)
        await cancelled(traffic)
        await asyncio.gather(*(c.ask_all() for c in clients))
        outcome.changes, outcome.accepted = changes.done, sum(len(set(c.accepted)) for c in clients)
        outcome.signals = sum(r["ev"] == "trouble" for r in self.hist.rows)
        outcome.starts = sum(r["ev"] == "start" for r in self.hist.rows)
        await self.end()
        self.judge(outcome, clients)
        return outcome

    async def settle(self, clients):
        """Until all that was accepted has ended, SETTLE_S behind the last trouble at most. Jobs that
        last are cancelled once more: a client that met a withdrawn queue had given that up."""
        end = time.monotonic() + SETTLE_S
        left = [(c, job) for c in clients for job in self.open_jobs(c) if self.registry.lasts(job=job)]
        await asyncio.gather(*(c.cancel(job) for c, job in left))
        while time.monotonic() < end and any(self.open_jobs(c) for c in clients):
            for c in clients:
                await asyncio.gather(*(c.state(job, attempt=1) for job in self.open_jobs(c)))
            await asyncio.sleep(1.0)

    def open_jobs(self, client):
        """Accepted jobs that have not ended, as far as their client was told."""
        return [
            job
            for job in dict.fromkeys(client.accepted)
            if client.states.get(job) not in ("complete", "failed", "cancelled")
        ]

    async def end(self):
        for worker in self.workers.values():
            worker.finish(how="left")
        self.processes.stop()
        await asyncio.gather(*(web.close() for web in self.webs))

    def judge(self, outcome, clients):
        for violation in judge(self.hist.rows, bounds=self.bounds):
            text = f"{violation.rule}: {violation.text}"
            (outcome.bad if violation.rule in TIMELESS else outcome.timed).append(text)
        for client in clients:
            for job in self.open_jobs(client):
                state = client.states.get(job)
                outcome.bad.append(f"LOST: {job} of {client.queue.prefix} is {state!r} {SETTLE_S} s later")
            for job, state in client.states.items():
                if state == "failed":
                    outcome.bad.append(f"LOST: {job} of {client.queue.prefix} is failed, none here may fail")


async def cancelled(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def play(*, seed, folder, seconds=25.0, **how):
    """One soak; its Outcome. The folder holds the processes' logs and the history."""
    soak = None

    async def go():
        nonlocal soak
        soak = Soak(seed=seed, folder=folder, **how)
        return await soak.play(seconds=seconds)

    try:
        return asyncio.run(go())
    finally:
        if soak is not None:
            soak.processes.stop()
            rows = "\n".join(json.dumps(r, default=str) for r in soak.hist.rows)
            (folder / "history.jsonl").write_text(rows + "\n")


def one(seed, **how):
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    try:
        outcome = play(seed=seed, folder=folder, **how)
    except Exception as e:  # an order that was not acknowledged, say
        outcome = Outcome(bad=[f"broke: {e!r}"[:400]])
    kept = f" kept: {folder}" if outcome.bad else ""
    print(
        f"seed {seed}: {outcome.accepted} jobs, {outcome.starts} starts, {outcome.signals} signals, "
        f"changes {outcome.changes}; bad {outcome.bad[:4]}; timed {outcome.timed[:4]}{kept}",
        flush=True,
    )
    if not outcome.bad:
        shutil.rmtree(folder, ignore_errors=True)
    return outcome


def main(argv):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", help="FIRST-LAST")
    parser.add_argument("--cores", type=int, default=3)
    parser.add_argument("--edges", type=int, default=2)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--pause", type=float, default=1.5, help="s between two signals, two changes")
    a = parser.parse_args(argv)
    first, last = map(int, a.seeds.split("-"))
    how = {"cores": a.cores, "edges": a.edges, "workers": a.workers, "pause_s": a.pause}
    got = [one(seed, seconds=a.seconds, **how) for seed in range(first, last + 1)]
    print(f"{sum(bool(o.bad) for o in got)} of {len(got)} soaks failed")
    return int(any(o.bad for o in got))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
