"""Faults of workers, and demanding behaviour of clients and operators."""

import asyncio

from ..standins import shapes
from .faults import Faults


class AllFaults(Faults):
    """All faults: those of daemons and the network, and those of workers, clients and operators."""

    def random_worker(self, rng):
        return rng.choice(sorted(self.world.mates)) if self.world.mates else None

    async def mate_crash(self, rng):
        worker_id = self.random_worker(rng)
        if worker_id is None:
            return
        worker = self.world.mates[worker_id]
        card = (worker.id, worker.kind, worker.zone, worker.rack, worker.room)
        self.world.crash_worker(worker_id)
        await asyncio.sleep(rng.uniform(0.1, 12))
        if worker_id not in self.world.mates:
            self.world.add_worker_from_card(card)

    async def set_for_a_while(self, rng, attribute, value, normal):
        """Sets a fault attribute of a random worker for some seconds."""
        worker_id = self.random_worker(rng)
        if worker_id is None:
            return
        worker = self.world.mates[worker_id]
        setattr(worker, attribute, value)
        await asyncio.sleep(rng.uniform(3, 12))
        setattr(worker, attribute, normal)

    async def mate_slow(self, rng):
        await self.set_for_a_while(rng, "slow", rng.uniform(3, 10), 1.0)

    async def mate_flop(self, rng):
        await self.set_for_a_while(rng, "flop", rng.uniform(0.5, 1), 0.0)

    async def mate_stuck(self, rng):
        await self.set_for_a_while(rng, "stuck", True, False)

    async def mate_freeze(self, rng):
        worker_id = self.random_worker(rng)
        if worker_id is None:
            return
        node = self.world.worker_nodes[worker_id]
        self.world.hist.note("freeze", w=worker_id)
        node.pause()
        await asyncio.sleep(rng.uniform(0.5, 14))
        if node.alive:
            self.world.hist.note("thaw", w=worker_id)
        node.wake()

    async def mate_leave(self, rng):
        """A worker is withdrawn at short notice: it announces that it leaves, and is killed seconds later."""
        worker_id = self.random_worker(rng)
        if worker_id is None or self.world.mates[worker_id].leaving:
            return
        worker = self.world.mates[worker_id]
        card = (worker.id, worker.kind, worker.zone, worker.rack, worker.room)
        self.world.worker_nodes[worker_id].run(worker.leave())
        await asyncio.sleep(rng.uniform(2.5, 8))
        if self.world.mates.get(worker_id) is worker:
            self.world.crash_worker(worker_id)
            await asyncio.sleep(rng.uniform(0.5, 5))
            if worker_id not in self.world.mates:
                self.world.add_worker_from_card(card)

    async def mate_cut(self, rng):
        worker_id = self.random_worker(rng)
        if worker_id is not None:
            await self.cut([("w-" + worker_id, machine) for machine in self.machines()], rng.uniform(1, 15))

    async def mate_run_on(self, rng):
        """Cuts off a busy worker that keeps running without a lease, for longer than its lease."""
        worker_ids = sorted(worker_id for worker_id, worker in self.world.mates.items() if not worker.keeps)
        for _ in range(30):
            busy = [
                worker_id
                for worker_id in worker_ids
                if worker_id in self.world.mates and self.world.mates[worker_id].tasks
            ]
            if busy:
                await self.cut(
                    [("w-" + rng.choice(busy), machine) for machine in self.machines()], rng.uniform(8, 16)
                )
                return
            await asyncio.sleep(0.1)

    async def mate_vanish(self, rng):
        """A worker disappears without notice. An operator reports it as gone before that, which is refused
        or undone by its heartbeats, and again until the report is accepted."""
        worker_id = self.random_worker(rng)
        if worker_id is None:
            return
        worker = self.world.mates[worker_id]
        await self.operators[0].gone(worker_id)
        self.world.crash_worker(worker_id)
        started = self.world.loop.virtual_time
        while self.world.loop.virtual_time - started < 30 and await self.operators[0].gone(worker_id) not in (
            200,
            404,
        ):
            await asyncio.sleep(1.0)
        await asyncio.sleep(rng.uniform(0.1, 5))
        if worker_id not in self.world.mates:
            self.world.add_worker_from_card((worker.id, worker.kind, worker.zone, worker.rack, worker.room))

    # --- clients

    def send(self, body, **kw):
        self.request_tasks.append(
            asyncio.ensure_future(
                self.requester.one(body=body, until=self.world.loop.virtual_time + self.calm + 15, **kw)
            )
        )

    async def burst(self, rng):
        job_makers = [make_job for make_job, _ in self.world.shape.mix[:3]]
        for _ in range(rng.randint(40, 120)):
            self.send(rng.choice(job_makers)(self.requester.rng))
            await asyncio.sleep(0.005)

    def kind(self, index=0):
        return self.world.shape.workers[index]

    async def fat(self, rng):
        """Submits jobs with large bodies: together more than one batch holds, some above the size limit."""
        for _ in range(8):
            step = shapes.step("fat", self.kind()[0], 100)
            step["work"]["load"] = "x" * rng.choice((200_000, 400_000, 1_200_000))
            self.send({"lane": sorted(self.world.shape.lanes)[0], "steps": [step]})

    async def huge(self, rng):
        """Submits jobs at the limit of tasks, and cancels some of them."""
        kind = self.kind()[0]
        for _ in range(rng.randint(1, 2)):
            self.send(
                {
                    "lane": sorted(self.world.shape.lanes)[0],
                    "steps": [
                        shapes.step("many", kind, 60, tasks=4900, room=shapes.room(1, 64)),
                        shapes.step("last", kind, 100, after=["many"], tasks=100),
                    ],
                },
                cancel=rng.random() < 0.3,
            )

    async def urgent(self, rng):
        queue = max(self.world.shape.lanes, key=lambda name: self.world.shape.lanes[name]["urgency"])
        for _ in range(5):
            self.send({"lane": queue, "steps": [shapes.step("now", self.kind()[0], 400, tasks=4)]})

    async def large(self, rng):
        worker_row = self.kind()
        self.send(
            {
                "lane": sorted(self.world.shape.lanes)[0],
                "steps": [
                    shapes.step(
                        "whole",
                        worker_row[0],
                        1500,
                        tasks=2,
                        room=shapes.room(worker_row[2], worker_row[3] // 2),
                    )
                ],
            }
        )

    async def impossible(self, rng):
        self.send(
            {
                "lane": sorted(self.world.shape.lanes)[0],
                "steps": [shapes.step("never", self.kind()[0], 100, room=shapes.room(4000))],
            },
            cancel=rng.random() < 0.5,
        )

    async def timed(self, rng):
        """Submits jobs with an earliest start time whose tasks often fail."""
        for _ in range(6):
            self.send(
                {
                    "lane": sorted(self.world.shape.lanes)[0],
                    "notBefore": int(self.world.true_ms() + rng.uniform(500, 6000)),
                    "steps": [
                        shapes.step(
                            "at", self.kind()[0], 200, tasks=2, flop=0.4, maxFailures=4, backoffMs=400
                        )
                    ],
                }
            )

    async def racked(self, rng):
        worker = rng.choice(
            [card for card in shapes.workers_of(self.world.shape) if card[1] == self.kind()[0]]
        )
        for lost in ("auto", "wait", "restart", "auto"):
            self.send(
                {
                    "lane": sorted(self.world.shape.lanes)[0],
                    "steps": [
                        shapes.step(
                            "here",
                            worker[1],
                            600,
                            tasks=5,
                            rack=worker[3],
                            spread={"perWorker": 1},
                            ifLost=lost,
                        ),
                        shapes.step("there", worker[1], 300, tasks=4, zone=worker[2], spread={"perRack": 2}),
                    ],
                }
            )

    async def cancels(self, rng):
        for _ in range(12):
            self.send(
                {
                    "lane": sorted(self.world.shape.lanes)[0],
                    "steps": [
                        shapes.step("a", self.kind()[0], rng.choice((2500, 20_000)), tasks=3),
                        shapes.step("b", self.kind()[0], 500, after=["a"]),
                    ],
                },
                cancel=True,
            )
            await asyncio.sleep(0.1)

    # --- operators

    async def edit_one(self, operator, rng, rows):
        configuration = await operator.read()
        if configuration is not None:
            await operator.edit(base=configuration["version"], rows=rows)

    async def edit_storm(self, rng):
        for _ in range(20):
            queue = rng.choice(sorted(self.world.shape.lanes))
            await self.edit_one(
                self.operators[0], rng, {queue: self.world.shape.lanes[queue] | {"weight": rng.randint(1, 9)}}
            )
            await asyncio.sleep(0.05)

    async def edit_race(self, rng):
        for _ in range(5):
            queue = rng.choice(sorted(self.world.shape.lanes))
            row = self.world.shape.lanes[queue]
            await asyncio.gather(
                *[
                    self.edit_one(operator, rng, {queue: row | {"limit": rng.choice((0, 6, 12, 40))}})
                    for operator in self.operators
                ]
            )
        configuration = await self.operators[0].read()
        if configuration is not None:
            await self.operators[0].edit(base=configuration["version"], rows=self.world.shape.lanes)

    async def wide_table(self, rng):
        """Replaces the configuration by one at the limit of rows, then makes many and concurrent edits."""
        rows = {
            f"wide-{i}": {"weight": 1, "limit": i % 90, "urgency": i % 9}
            for i in range(20_000 - len(self.world.shape.lanes))
        }
        queues = self.world.shape.lanes
        configuration = await self.operators[1].read()
        if configuration is not None:
            await self.operators[1].edit(base=configuration["version"], rows=rows | queues, whole=True)
        await asyncio.gather(self.edit_storm(rng), self.edit_race(rng))
        configuration = await self.operators[1].read()
        if configuration is not None:
            await self.operators[1].edit(base=configuration["version"], rows=queues, whole=True)

    async def big_table(self, rng):
        rows = {f"extra-{i}": {"weight": 1, "limit": i, "urgency": i % 9} for i in range(3000)}
        await self.edit_one(self.operators[1], rng, rows)
