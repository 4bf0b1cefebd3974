"""Simulated workers. A Mate does what docs/workers.md asks of a worker: it counts the validity of
a start and its lease from the moment it sent the heartbeat, ignores answers of an older epoch,
starts a run once, and reports an end until it is recorded. A worker that keeps its lease stops
all tasks when the lease has expired, and a result not delivered by then is void; one that does
not keep it runs on, as its heartbeats have announced. Tasks sleep for `work.ms` and fail at the
rate `work.flop`. The attributes `slow`, `flop` and `stuck` inject faults."""

import asyncio

BEAT_GAP = 0.05  # s; minimum pause between two heartbeats
BEAT_WAIT = 1.5  # s; after this time without answer a heartbeat is sent through another gateway
VOID = ("hold ran out", "never started", "told to", "")  # reasons of ends whose delivery is not noted
ENDS_MOST = 500  # ends reported in one heartbeat


class Mate:
    """One worker. `card` is (id, kind, zone, rack, room); `keeps` says whether it stops its tasks
    when its lease expires."""

    def __init__(self, *, card, masts, web, hist, rng, now, boot=None, keeps=True):
        self.id, self.kind, self.zone, self.rack, self.room = card
        self.masts, self.web, self.hist, self.rng, self.now = masts, web, hist, rng, now
        self.boot = boot or f"b{rng.getrandbits(40):010x}"
        self.seq, self.epoch, self.lease_until, self.gateway_index = 0, 0, 0.0, rng.randrange(len(masts))
        self.tasks, self.unrecorded_ends, self.known_runs, self.stopped = {}, {}, set(), set()
        self.leaving = self.left = self.over = False
        self.heartbeat_timeout, self.lease_check_period = BEAT_WAIT, 0.05  # s
        self.expired_lease_end, self.keeps, self.runs_without_lease, self.level = 0.0, keeps, False, 0
        self.slow, self.flop, self.stuck = 1.0, 0.0, False

    async def live(self):
        """Runs the worker: it sends heartbeats and acts on the answers until it is over."""
        self.hist.note(
            "worker",
            w=self.id,
            boot=self.boot,
            kind=self.kind,
            zone=self.zone,
            rack=self.rack,
            room=[self.room["cores"], self.room["memMb"], self.room["gpus"]],
        )
        watching = asyncio.ensure_future(self.watch_lease())
        try:
            while not self.over:
                await self.beat()
                await asyncio.sleep(BEAT_GAP)
        finally:
            watching.cancel()

    async def beat(self):
        """Sends one heartbeat; without an answer the next one goes to another gateway."""
        self.seq += 1
        sent = self.now()
        ends_told = list(self.unrecorded_ends.items())[:ENDS_MOST]
        body = {
            "boot": self.boot,
            "seq": self.seq,
            "kind": self.kind,
            "zone": self.zone,
            "rack": self.rack,
            "room": self.room,
            "running": sorted(self.tasks),
            "ended": [{"runId": run, "how": how, "why": why} for run, (how, why) in ends_told],
            "clockMs": int(sent * 1000),
            "bye": self.leaving and not self.tasks,
            **({"keepsHold": self.keeps} if self.level else {}),
        }
        answer = await self.web.ask(
            method="POST",
            addr=self.masts[self.gateway_index],
            wait=self.heartbeat_timeout,
            path=f"/v1/workers/{self.id}/beat",
            body=body,
        )
        if isinstance(answer, tuple) and answer[0] == 200:
            self.act(answer[1], sent, {run for run, _ in ends_told})
        else:
            self.gateway_index = (self.gateway_index + 1) % len(self.masts)
            await asyncio.sleep(0.1 + 0.2 * self.rng.random())

    def act(self, answer, sent, ends_told):
        if answer["epoch"] < self.epoch or self.over:
            return
        self.epoch = answer["epoch"]
        self.level = answer.get("level", 0)
        for run in answer["stops"]:  # obeyed even when the rest of the answer is ignored
            self.known_runs.add(run)
            if run in self.tasks:
                self.end(run, "stopped", "told to")
            elif run not in self.unrecorded_ends and answer["known"]:
                self.unrecorded_ends[run] = ("stopped", "never started")
        if not answer["known"]:
            return
        self.lease_until = sent + answer["holdMs"] / 1000
        self.check_lease()
        if self.runs_without_lease:
            self.runs_without_lease = False
            self.hist.note("heard", w=self.id)
        live = set(answer["live"])
        for run in sorted(ends_told - live):
            if self.unrecorded_ends.pop(run, ("", ""))[1] not in VOID:
                self.hist.note("told", w=self.id, run=run)
        if self.now() > sent + answer["validMs"] / 1000:
            return
        for order in answer["starts"]:
            if order["runId"] not in self.known_runs:
                self.start(order)

    def start(self, order):
        run = order["runId"]
        self.known_runs.add(run)
        self.hist.note(
            "start",
            w=self.id,
            boot=self.boot,
            run=run,
            task=order["task"],
            job=order["job"],
            step=order["step"],
        )
        self.tasks[run] = asyncio.ensure_future(self.work(run, order["work"]))

    async def work(self, run, work):
        await asyncio.sleep(work.get("ms", 100) / 1000 * self.slow)
        while self.stuck:
            await asyncio.sleep(0.2)
        self.check_lease()
        if run not in self.tasks:
            return
        failed = self.rng.random() < work.get("flop", 0) + self.flop
        self.end(run, "bad" if failed else "ok", "flopped" if failed else "well")

    def end(self, run, how, why):
        """Notes the end of a task, which every heartbeat reports until it is recorded."""
        task = self.tasks.pop(run, None)
        if task is None:
            return
        self.hist.note("end", w=self.id, run=run, how=how)
        self.unrecorded_ends[run] = (how, why)
        if how == "stopped":
            task.cancel()

    async def watch_lease(self):
        """Checks the lease periodically until the worker is over."""
        while not self.over:
            await asyncio.sleep(self.lease_check_period)
            self.check_lease()

    def check_lease(self):
        if self.now() <= self.lease_until or self.expired_lease_end == self.lease_until:
            return
        self.expired_lease_end = self.lease_until
        if not self.keeps:  # keeps running while cut off, as its heartbeats have announced
            self.runs_without_lease = True
            self.hist.note("lone", w=self.id)
            return
        self.hist.note("lapse", w=self.id)
        for run in list(self.tasks):
            self.end(run, "stopped", "hold ran out")
        for run, (how, _) in self.unrecorded_ends.items():  # not delivered in time: a success does not count
            self.unrecorded_ends[run] = ("stopped" if how == "ok" else how, "hold ran out")

    async def leave(self):
        """Announces that the worker leaves until that is acknowledged; False after 100 attempts."""
        self.leaving = True
        for attempt in range(100):
            address = self.masts[(self.gateway_index + attempt) % len(self.masts)]
            answer = await self.web.ask(
                method="POST",
                addr=address,
                wait=2.0,
                body={"boot": self.boot},
                path=f"/v1/workers/{self.id}/leave",
            )
            if isinstance(answer, tuple) and answer[0] == 200:
                self.hist.note("left", w=self.id, boot=self.boot)
                self.left = True
                return True
            await asyncio.sleep(0.2)
        return False

    def crash(self):
        """Ends the worker and all its tasks at once, without notice."""
        self.over = True
        self.hist.note("gone", w=self.id)
        for run in list(self.tasks):
            self.tasks.pop(run).cancel()
            self.hist.note("end", w=self.id, run=run, how="killed")
