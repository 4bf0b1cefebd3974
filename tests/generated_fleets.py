"""Small generated fleets in virtual time, on which rules that keep work waiting meet: a label that one or two
workers have, attempts that last, tasks of most of a worker's room, gangs, queues of each urgency, estimates that
are far off, sick and slow workers, a new primary in between. At the end of the day work comes that has room twice
over; the checker then looks for jobs that have nothing running (tests/platform_standins/idle.py)."""

import asyncio
import random

from platform_standins import config
from platform_standins.bounds import Bounds
from platform_standins.clients import Queue
from platform_standins.jobs import job, step
from platform_standins.registry import Work
from platform_standins.rules import judge
from platform_world import START, PlatformWorld

URGENCIES = (0, 1, 2)  # priorities of the queues, the most urgent first
TRAFFIC_S = 11.0  # s; from the first job to the last
JUDGED_S = 6.0  # s; for which the day goes on once jobs are asked for
CORES = 16000  # thousandths of a core; of each worker
LASTING_PART = 0.4  # part of a labelled worker's cores that attempts without an end take at most
RARE, COMMON = "b", "a"  # labels


class GeneratedFleet(PlatformWorld):
    """A fleet and a day drawn from a seed."""

    def __init__(self, *, seed):
        bounds = Bounds(keepalive_ms=800, hold_max_ms=6000)
        super().__init__(seed=seed, bounds=bounds, workers=0, capacity=(CORES, 65536, 4))
        self.choice = random.Random(seed * 101 + 7)
        self.queues = [Queue(host="h.example", prefix=f"/p{priority}/") for priority in URGENCIES]
        self.lasting_left = {}  # label: thousandths of a core that may still be taken for good

    def fleet(self):
        """Adds the workers; those with the rare label come last."""
        count = self.choice.randint(5, 8)
        rare = self.choice.randint(1, 2)
        for index in range(count):
            label = RARE if index >= count - rare else COMMON
            place = index % 3 + 1
            self.s.add_worker(
                f"i-{index:02x}",
                zone=f"z{place}",
                rack=f"r{place}-1",
                guards=False,
                capacity=self.capacity,
                labels=[label],
                pace=(0.98, 1.0, 1.01)[index % 3],
            )
        self.lasting_left = {RARE: LASTING_PART * CORES, COMMON: LASTING_PART * CORES}
        self.rare_workers = [f"i-{index:02x}" for index in range(count - rare, count)]

    def configuration(self):
        routes = [
            config.route(
                f"r-{queue.prefix[2]}", host=queue.host, prefix=queue.prefix, service="tiles", priority=p
            )
            for p, queue in zip(URGENCIES, self.queues)
        ]
        return config.whole(revision=3, routes=routes, services=[config.service("tiles", guards=False)])

    # --- jobs

    def label(self):
        return self.choice.choice([RARE, RARE, COMMON, ""])

    def one_step(self, *, tasks, ms, what, **fields):
        """A job of one step; its estimate may be far off."""
        off = self.choice.choice([0.1, 0.5, 1.0, 1.0, 2.0, 10.0])
        body = job(self.choice, what, [step(tasks, estimateMs=max(1, int(ms * off)), **fields)])
        return body, [Work(ms=ms)]

    def small(self):
        ms = self.choice.randint(200, 1500)
        tasks = self.choice.randint(1, 5)
        return self.one_step(tasks=tasks, ms=ms, what="small", requiredLabels=self.label())

    def large(self):
        ms, cpu = self.choice.randint(500, 2500), self.choice.randint(9000, 15000)
        tasks = self.choice.randint(1, 2)
        return self.one_step(tasks=tasks, ms=ms, what="large", cpu=cpu, requiredLabels=self.label())

    def gang(self):
        ms, cpu = self.choice.randint(300, 1500), self.choice.choice([2000, 4000, 8000, 14000])
        tasks = self.choice.randint(2, 3)
        return self.one_step(
            tasks=tasks, ms=ms, what="gang", cpu=cpu, gangScheduled=True, requiredLabels=self.label()
        )

    def lasting(self):
        """A job without an end, or a small one if the label's workers have enough of those."""
        label, cpu = self.choice.choice([RARE, COMMON]), self.choice.randint(1000, 3000)
        tasks = self.choice.randint(1, 3)
        if tasks * cpu > self.lasting_left[label]:
            return self.small()
        self.lasting_left[label] -= tasks * cpu
        return self.one_step(
            tasks=tasks, ms=300, what="lasting", cpu=cpu, longRunning=True, requiredLabels=label
        )

    async def send(self, client, body, works):
        name = client.new(lambda rng: (body, works))[0]
        return await client.submit(name, body)

    async def traffic(self, clients):
        """Jobs of all kinds, and at the end small ones for each label and queue."""
        end = self.loop.virtual_time + TRAFFIC_S
        sent = []
        while self.loop.virtual_time < end:
            make = self.choice.choices(
                [self.small, self.large, self.gang, self.lasting], weights=[8, 1.5, 1.5, 1.5]
            )[0]
            sent.append(asyncio.ensure_future(self.send(self.choice.choice(clients), *make())))
            await asyncio.sleep(self.choice.expovariate(1.6))
        for client in clients:
            ms = self.choice.randint(300, 1200)
            body = self.one_step(
                tasks=3, ms=ms, what="last", requiredLabels=self.choice.choice([RARE, COMMON])
            )
            sent.append(asyncio.ensure_future(self.send(client, *body)))
        await asyncio.gather(*sent)

    # --- troubles

    async def sickness(self):
        """Workers fail a part of their runs, or are slow, or stand still for some seconds."""
        await asyncio.sleep(self.choice.uniform(0.5, 3.0))
        rare, common = self.rare_workers, [w for w in sorted(self.s.workers) if w not in self.rare_workers]
        sick = [self.choice.choice(rare)] + self.choice.sample(common, self.choice.randint(0, 1))
        how = self.choice.choice([{"failing": 0.4}, {"failing": 0.7}, {"slow": 4.0}, {"stuck": True}])
        for worker in sick:
            self.s.workers[worker].turn(**how)
        await asyncio.sleep(self.choice.uniform(2.0, 5.0))
        for worker in sick:
            self.s.workers[worker].turn(slow=1.0, stuck=False, failing=0.0)

    async def takeover(self):
        """On some days another scheduler becomes primary."""
        await asyncio.sleep(self.choice.uniform(1.0, TRAFFIC_S))
        if self.choice.random() < 0.3:
            await self.kill_and_start(self.primary() or "core-1")

    # --- a day

    async def day(self):
        started = self.loop.virtual_time
        self.fleet()
        self.start_all()
        watch = asyncio.ensure_future(self.s.balancer.watch())
        operator = self.s.operator("op")
        await asyncio.sleep(1.0)
        assert await operator.put(self.configuration(), limit=START)
        await asyncio.sleep(max(0.0, started + START - self.loop.virtual_time))
        clients = [
            self.s.client(f"c{index}", zone=f"z{index + 1}", queue=queue)
            for index, queue in enumerate(self.queues)
        ]
        await asyncio.gather(self.traffic(clients), self.sickness(), self.takeover())
        self.s.hist.note("finish")
        await asyncio.sleep(self.bounds.finish_s)
        await asyncio.gather(*(client.ask_all() for client in clients))
        await asyncio.sleep(JUDGED_S)
        watch.cancel()
        self.s.hist.note("over")


def play(*, seed):
    """One day; its violations."""
    world = GeneratedFleet(seed=seed)
    try:
        world.run(world.day(), limit=400.0)
    finally:
        for node in world.s.nodes.values():
            node.kill()
    return judge(world.hist.rows, bounds=world.bounds)
