"""Faults that each aim at one protection: a process frozen between a check and the send that
depends on it, late heartbeats, reads at a former leader, submissions that are not retried."""

import asyncio

from ..standins import shapes


class SharpFaults:
    """Faults aimed at single protections, mixed into Faults."""

    async def pause_at(self, rng, name, pattern, timeout=3.0, min_seconds=0.2):
        """Freezes a daemon between a check and a send: at its next message that contains `pattern`."""
        if name not in self.world.nodes or name in self.world.net.freeze_patterns:
            return
        frozen = asyncio.Event()
        self.world.net.freeze_patterns[name] = (pattern, frozen)
        await self.frozen_at(rng, name, frozen, timeout, min_seconds)

    async def frozen_at(self, rng, name, frozen, timeout, min_seconds):
        """Waits until the daemon is frozen, at most `timeout` seconds, and wakes it after a random time."""
        try:
            await asyncio.wait_for(frozen.wait(), timeout)
            await asyncio.sleep(max(min_seconds, rng.choice((rng.uniform(0.2, 2), rng.uniform(2, 9)))))
        except TimeoutError:
            frozen.set()
        self.world.net.freeze_patterns.pop(name, None)
        self.world.pause(name, on=False, sockets_first=rng.random() < 0.5)

    async def pause_turn(self, rng):
        await self.pause_at(rng, self.primary(rng), rng.choice((b"\xa4turn", b"\xa5stamp", b"\xa4keep")))

    async def pause_beat(self, rng):
        await self.pause_at(rng, self.primary(rng), b"holdMs")

    async def pause_stamp(self, rng):
        names = [name for name, node in self.world.nodes.items() if getattr(node.daemon, "clk", None)]
        await self.pause_at(rng, self.pick(rng, names, "almanac-1"), b"\xa5first")

    async def pause_append(self, rng):
        await self.pause_at(
            rng,
            self.pick(rng, self.world.who("almanac", "leader"), "almanac-1"),
            rng.choice((b"\xa6append", b"\xa2ok")),
        )

    async def pause_lost(self, rng):
        """Freezes the primary as it declares a worker lost; the worker is back before it wakes."""
        busy = sorted(
            worker_id for worker_id, worker in self.world.mates.items() if worker.tasks and worker.keeps
        )
        primary = self.primary(rng)
        if not busy or primary not in self.world.nodes or primary in self.world.net.freeze_patterns:
            return
        cut = asyncio.ensure_future(
            self.cut(
                [("w-" + rng.choice(busy), machine) for machine in self.machines()], rng.uniform(7.6, 8.6)
            )
        )
        frozen, daemon = asyncio.Event(), self.world.nodes[primary].daemon
        if rng.random() < 0.5:  # before it requests the timestamp, which will then be fresh
            original = daemon.queue_event

            def queue_event(*, event, **kw):
                if (
                    event[0] == "lost"
                    and primary not in self.world.net.freeze_patterns
                    and not frozen.is_set()
                ):
                    self.world.net.freeze_patterns[primary] = (b"\xa5stamp", frozen)
                original(event=event, **kw)

            daemon.queue_event = queue_event
        else:  # after that: the batch has an old timestamp
            self.world.net.freeze_patterns[primary] = (b"\xa4lost", frozen)
        await self.frozen_at(rng, primary, frozen, 10.0, 3.0)
        await cut

    async def late_start(self, rng):
        """Heartbeat answers with starts are held up in a frozen gateway while their workers leave."""
        index = rng.randrange(len(self.world.masts))
        gateway = f"mast-{index + 1}"
        workers = [
            worker
            for _, worker in sorted(self.world.mates.items())
            if worker.gateway_index == index and not worker.keeps and not worker.leaving
        ]
        if gateway not in self.world.nodes or not workers:
            return
        queue = sorted(self.world.shape.lanes)[0]
        for kind in sorted({worker.kind for worker in workers}):
            self.send(
                {"lane": queue, "steps": [shapes.step("each", kind, 300, tasks=18, spread={"perWorker": 1})]}
            )
        await asyncio.sleep(0.05)
        self.world.pause(gateway)
        cards = [(worker.id, worker.kind, worker.zone, worker.rack, worker.room) for worker in workers]
        for worker in workers:
            self.world.worker_nodes[worker.id].run(worker.leave())
        await asyncio.sleep(5.6)
        self.world.pause(gateway, on=False, sockets_first=True)
        await asyncio.sleep(2.0)
        for worker, card in zip(workers, cards):
            if self.world.mates.get(worker.id) is worker:
                self.world.crash_worker(worker.id)
                self.world.add_worker_from_card(card)

    async def late_beat(self, rng):
        """A heartbeat of a worker's previous boot arrives after its new boot has been assigned work."""
        index = rng.randrange(len(self.world.masts))
        gateway = f"mast-{index + 1}"
        workers = [
            worker
            for _, worker in sorted(self.world.mates.items())
            if worker.gateway_index == index and not worker.leaving
        ]
        if gateway not in self.world.nodes or not workers:
            return
        self.world.pause(gateway)
        await asyncio.sleep(0.6)
        for worker in workers:
            if self.world.mates.get(worker.id) is worker:
                self.world.crash_worker(worker.id)
                self.world.add_worker_from_card(
                    (worker.id, worker.kind, worker.zone, worker.rack, worker.room)
                )
        await asyncio.sleep(rng.uniform(0.5, 3))
        self.world.pause(gateway, on=False, sockets_first=rng.random() < 0.5)

    async def squeeze(self, rng):
        """Lowers a queue's limit far below what it runs for some seconds, while jobs are submitted."""
        make_job, queue = self.world.shape.mix[0][0], ""
        queue = make_job(self.requester.rng)["lane"]
        row = self.world.shape.lanes[queue]
        await self.edit_one(self.operators[0], rng, {queue: row | {"limit": 2}})
        for _ in range(60):
            self.send(make_job(self.requester.rng))
            await asyncio.sleep(0.1)
        for _ in range(20):
            await self.edit_one(self.operators[0], rng, {queue: row})
            configuration = await self.operators[0].read()
            if (
                configuration is not None
                and configuration["rows"].get(queue, {}).get("limit") == row["limit"]
            ):
                break
            await asyncio.sleep(0.3)

    async def shots(self, rng):
        """Submits jobs without retries, while the store's leader is killed, or receives the
        primary's proposals and cannot answer them."""
        leader, primary = self.pick(rng, self.world.who("almanac", "leader"), "almanac-1"), self.primary(rng)
        leader_machine, primary_machine = (
            self.world.cards[leader]["machine"],
            self.world.cards[primary]["machine"],
        )
        if leader_machine != primary_machine:
            self.request_tasks.append(
                asyncio.ensure_future(self.cut([(leader_machine, primary_machine)], 3.0, both=False))
            )
        for i in range(60):
            self.send(self.world.shape.mix[0][0](self.requester.rng), tries=1)
            await asyncio.sleep(0.02)
            if i == 30 and leader_machine == primary_machine:
                self.world.kill(leader)
        await asyncio.sleep(rng.uniform(0.5, 3))
        if leader not in self.world.nodes and self.world.cards[leader]["machine"] not in (
            "scrap",
            *self.world.net.dark,
        ):
            self.world.start(leader)

    async def stale_reads(self, rng):
        """Freezes the store's leader while another one takes edits; reads wait in its sockets as it wakes."""
        leader = self.pick(rng, self.world.who("almanac", "leader"), "almanac-1")
        if leader not in self.world.nodes:
            return
        queue = sorted(self.world.shape.lanes)[0]
        self.world.pause(leader)
        end = self.world.loop.virtual_time + rng.uniform(3, 6)
        while self.world.loop.virtual_time < end:
            await self.edit_one(
                self.operators[0], rng, {queue: self.world.shape.lanes[queue] | {"weight": rng.randint(1, 9)}}
            )
            await asyncio.sleep(0.2)
        reads = [asyncio.ensure_future(self.operators[1].read()) for _ in range(12)]
        await asyncio.sleep(0.01)
        self.world.pause(leader, on=False, sockets_first=True)
        await asyncio.gather(*reads)
