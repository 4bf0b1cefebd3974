"""Daemons that lack one protection each; tests/parts.py lists the protections."""

import asyncio

from hollowhall.almanac import StoreMember
from hollowhall.base import constants
from hollowhall.base.problems import Leaving, NotLeader, Success
from hollowhall.desk import Desk
from hollowhall.record import Record


class NoEpochFence(Record):
    """Accepts a batch of any primary, also of a previous one."""

    def apply_batch(self, fields):
        return super().apply_batch(
            fields | {"e": max(fields["e"], self.epoch), "c": max(fields["c"], self.clock_epoch)}
        )


class NoStampFence(Record):
    """Accepts a batch however old its timestamp."""

    def apply_batch(self, fields):
        last, self.last = self.last, 0
        outcome = super().apply_batch(fields)
        self.last = max(last, self.last)
        return outcome


class NoFences(NoEpochFence, NoStampFence):
    """Checks neither a batch's epochs nor its timestamp."""


class NoLeaseCheckDesk(Desk):
    """Stays primary until it is told otherwise, also when its lease has expired."""

    def live(self):
        return self.part == "primary"


class NoPrevote(StoreMember):
    """Campaigns without a pre-vote."""

    async def campaign(self, *, forced=False):
        await super().campaign(forced=True)


class BlankVotes(StoreMember):
    """Counts and votes with an empty disk from its start."""

    def restore(self):
        super().restore()
        self.blank, self.election_role = False, "follower"


class NoStartExpiry(Desk):
    """Start orders do not expire on the way to a worker."""

    def beat_answer(self, *, worker_id, session):
        outcome = super().beat_answer(worker_id=worker_id, session=session)
        return Success(value=outcome.value | {"validMs": 60_000}) if outcome.ok else outcome


class NoMargin(Desk):
    """Takes a worker for stopped as soon as its lease has expired by the scheduler's clock."""

    def on_beat(self, *, request, callback, caller):
        super().on_beat(request=request, callback=callback, caller=caller)
        if request["id"] in self.sessions:
            self.sessions[request["id"]].until -= constants.WORKER_LEASE_MARGIN


class StaleLeases(Desk):
    """After a takeover, treats every worker as long silent."""

    def start_beats(self):
        super().start_beats()
        for session in self.sessions.values():
            session.until = self.runtime.now() + 0.5


class UnconfirmedReads(StoreMember):
    """A leader answers reads without a confirmation by a majority."""

    def read(self, *, callback):
        callback(None if self.election_role == "leader" else NotLeader(hint=self.leader))


class ForgetsKeepAlives(StoreMember):
    """A new leader of the store ignores earlier keep-alives and expires every lease."""

    def start_leading(self):
        super().start_leading()
        self.lease_ends = {lease: self.led_since for lease in self.lease_ends}


class NoBoots(Record):
    """Forgets a worker's earlier boots and the boot under which it left."""

    def ev_worker(self, stamp, id, boot, kind, zone, rack, room, *more):
        self.gone.pop(id, None)
        if id in self.workers:
            self.workers[id].past = []
        return super().ev_worker(stamp, id, boot, kind, zone, rack, room, *more)


class AcceptsLateBeats(Desk):
    """Accepts the first heartbeat of a boot as its start, however late it arrives."""

    def register_worker(self, *, request, session):
        session.boot_heard = True
        super().register_worker(request=request, session=session)


class NeverUnsure(Desk):
    """Answers that a request was not taken where it cannot know."""

    async def commit_batch(self, *, items, events):
        items = [(e, k and (lambda r, st, k=k: k(Leaving() if st is None else r, st))) for e, k in items]
        return await super().commit_batch(items=items, events=events)


class NeverSendsStops(Desk):
    """Never sends workers the order to stop cancelled attempts."""

    def orders(self, *, worker_id, session):
        return super().orders(worker_id=worker_id, session=session)[0], []


class InventsJobs(Record):
    """Adds jobs that nobody submitted."""

    def ev_job(self, stamp, name, spec, digest):
        if name.endswith("7"):
            super().ev_job(stamp, "ghost-" + name, spec, digest)
        return super().ev_job(stamp, name, spec, digest)


class StaleJobReads(Desk):
    """Hides jobs that changed in the last 6 s from reads."""

    def on_read(self, *, request, callback, caller):
        job = self.record.jobs.get(request["name"])
        if job is not None and self.clock_ms() - (job.stamp >> constants.LOGICAL_BITS) < 6000:
            request = request | {"name": request["name"] + ".not-yet"}
        super().on_read(request=request, callback=callback, caller=caller)


class NoLimitCheck(Record):
    """Ignores the limits of queues in placement."""

    def unfit(self, task, worker, *, now):
        why = super().unfit(task, worker, now=now)
        job = self.jobs[task.job]
        return (
            self.unfit_worker(
                step=job.steps[task.step],
                spec=job.steps[task.step].spec,
                worker=worker,
                now=now,
                lane=job.lane,
            )
            if why == "limit"
            else why
        )


class StaleConfigurationDesk(Desk):
    """Places by the configuration of 8 s ago."""

    def place_tasks(self, *, most, **options):
        now, configuration = self.runtime.now(), self.record.charter
        self.past = [version for version in getattr(self, "past", []) if now - version[0] < 8] + [
            (now, configuration)
        ]
        self.record.charter = configuration | {"rows": configuration["rows"] | self.past[0][1]["rows"]}
        try:
            return super().place_tasks(most=most, **options)
        finally:
            self.record.charter = configuration


class ForgetsEndedJobs(Record):
    """Keeps only a few ended jobs, instead of all for minutes."""

    def job_to(self, *, job, state, stamp, why=""):
        super().job_to(job=job, state=state, stamp=stamp, why=why)
        if job.ended and len(self.ended) > 5:
            _, name = self.ended.popleft()
            job_ended = self.jobs.pop(name)
            self.names[name] = [stamp, job_ended.digest, job_ended.state]


class SlowCampaign(StoreMember):
    """Waits 30 s before it campaigns, except at the first start."""

    async def watchdog(self):
        while True:
            await asyncio.sleep(constants.LEADER_CHECK_PERIOD)
            if self.blank:
                await self.recover_blank()
            elif self.election_role != "leader" and self.runtime.now() - self.election_timer_start > (
                1.0 if self.term == 0 else 30.0
            ):
                await self.campaign()


class RestartsLostAtOnce(Record):
    """Restarts a lost worker's tasks at once, even if the worker said that it keeps running them."""

    def may_restart(self, *, worker, attempt):
        return True


class RecordsStamps(StoreMember):
    """Records every timestamp that is issued in the history."""

    abstract = False

    def on_stamp(self, *, request, callback, caller, tries=0):
        def then(outcome):
            if outcome.ok:
                self.runtime.world.hist.note("stamp", first=outcome.value["first"], n=outcome.value["n"])
            callback(outcome)

        super().on_stamp(request=request, callback=callback if tries else then, caller=caller, tries=tries)


class NoLeaseCheckClock(RecordsStamps):
    """Issues timestamps also when its lease has expired."""

    def clock_live(self, leadership):
        return self.clk is leadership and leadership.lease_end > 0.0


class NoBound(RecordsStamps):
    """Starts at its own wall clock, whatever was issued before."""

    async def clock_sync(self, leadership):
        ms = self.runtime.wall()
        leadership.anchor = (ms, self.runtime.now())
        if not await self.clock_save(leadership=leadership, bound=ms + constants.BOUND_AHEAD_MS):
            return False
        leadership.physical, leadership.logical, leadership.synced = ms, 0, True
        return True
