"""Decision batches. Events that change the record are queued for the next batch. A batch takes its
stamps with one request to the clock and is proposed to the store as one entry; callers are
answered only after that entry is committed and applied. One batch is in flight at a time, so
the record that placement reads is the one that the entry is applied to."""

import asyncio
from collections import deque

from ..base import constants, log_events
from ..base.loop_time import in_section
from ..base.problems import Diverged, Full, OldEpoch, Raised, Unsure
from ..record import stamps_of


class BatchesMixin:
    """Queues events, commits them in batches and answers their callers."""

    def open_batches(self):
        self.pending_events, self.work, self.committing = deque(), asyncio.Event(), False
        self.queued_jobs, self.queued_job_count = {}, 0  # urgency: queued new jobs, oldest first
        self.job_rate, self.last_batch_at = constants.INITIAL_SUBMISSION_RATE, 0.0
        self.now_ms = (0, 0.0)  # last stamped time (ms), and our clock (s) when it was received
        self.batch_count = self.event_count = 0
        self.due_at = None  # ms of stamped time; when the next task comes due, as placement found

    def queue_event(self, *, event, callback=None, size=64):
        """Queues an event for the next batch. `callback(result, stamp)` is called once it is applied, or with
        a failure and None. New jobs wait by urgency and are refused when they would wait too long;
        the events of REFUSABLE are refused only at twice QUEUED_EVENTS_MAX, ends of attempts never."""
        if event[0] == "job":
            self.queue_job(event=event, callback=callback, size=size)
            return
        if (
            event[0] in constants.REFUSABLE_EVENTS
            and len(self.pending_events) >= 2 * constants.QUEUED_EVENTS_MAX
        ):
            callback(Full(where="desk", after=self.retry_after_s()), None)
            return
        self.pending_events.append((event, callback, size, 0.0))
        self.work.set()

    def queue_job(self, *, event, callback, size):
        """Queues a new job by its lane's urgency, or refuses it when it would wait too long."""
        spec = event[2]
        queue = self.record.queue_named(name=spec["lane"], place=spec.get("place", ""))
        urgency = self.record.charter["rows"].get(queue, {}).get("urgency", 0)
        ahead = sum(len(jobs) for other_urgency, jobs in self.queued_jobs.items() if other_urgency >= urgency)
        if (
            self.loop_lag + ahead / self.job_rate > constants.SUBMISSION_WAIT_MAX * (0.5 + 0.05 * urgency)
            or self.queued_job_count >= constants.QUEUED_EVENTS_MAX
        ):
            callback(Full(where="desk", after=self.retry_after_s()), None)
            return
        self.queued_jobs.setdefault(urgency, deque()).append((event, callback, size, self.runtime.now()))
        self.queued_job_count += 1
        self.work.set()

    def retry_after_s(self):
        """Seconds until a refused caller should retry: by then the queued events should have been taken."""
        return max(
            constants.RETRY_AFTER,
            min(
                constants.RETRY_AFTER_MAX,
                round(2 * self.queued_job_count / self.job_rate + 4 * self.loop_lag),
            ),
        )

    def refuse_stale_jobs(self):
        """Refuses jobs that were queued for longer than SUBMISSION_EXPIRY, so that their callers learn for sure and
        at once that they will not run."""
        oldest_allowed = self.runtime.now() - constants.SUBMISSION_EXPIRY
        for jobs in self.queued_jobs.values():
            while jobs and jobs[0][3] < oldest_allowed:
                self.queued_job_count -= 1
                jobs.popleft()[1](Full(where="desk", after=self.retry_after_s()), None)

    def next_items(self):
        """Takes (event, callback) pairs for one batch, bounded by count and bytes: ends, leaves and
        cancels first, then jobs of the most urgent lanes. At least SUBMISSIONS_PER_BATCH_MIN places are left to jobs."""
        items, bytes_left, now = [], constants.BATCH_BYTES_MAX, self.runtime.now()
        job_share = min(constants.SUBMISSIONS_PER_BATCH_MIN, self.queued_job_count)
        while (
            self.pending_events
            and len(items) < constants.BATCH_EVENTS_MAX - job_share
            and (not items or self.pending_events[0][2] <= bytes_left)
        ):
            event, callback, size, _ = self.pending_events.popleft()
            items.append((event, callback))
            bytes_left -= size
        job_count = len(items)
        for urgency in sorted(self.queued_jobs, reverse=True):
            jobs = self.queued_jobs[urgency]
            while (
                jobs and len(items) < constants.BATCH_EVENTS_MAX and (not items or jobs[0][2] <= bytes_left)
            ):
                event, callback, size, _ = jobs.popleft()
                items.append((event, callback))
                bytes_left -= size
        job_count = len(items) - job_count
        # where jobs remain queued, this batch shows the rate at which they are taken
        if job_count and self.queued_job_count > job_count:
            rate = job_count / max(constants.BATCH_INTERVAL_MIN, now - self.last_batch_at)
            self.job_rate += 0.2 * (rate - self.job_rate)
        self.queued_job_count, self.last_batch_at = self.queued_job_count - job_count, now
        return items

    def clock_ms(self):
        """Estimate of the stamped time in ms; not to be used where a stamp is required."""
        return self.now_ms[0] + int((self.runtime.now() - self.now_ms[1]) * 1000)

    async def stamp(self, count):
        """Requests `count` stamps from the clock and updates the estimate of `clock_ms`."""
        result = await self.store(
            op="stamp",
            request={"n": count},
            of="clock",
            safe=True,
            total=2.0,
            wait=constants.TIMESTAMP_ATTEMPT_TIMEOUT,
        )
        if result.ok:
            self.now_ms = (result.value["first"] >> constants.LOGICAL_BITS, self.runtime.now())
        return result

    async def commit(self, *, events):
        """Commits one batch through the store. Returns (result, stamp) for each event, or None with the
        failure in self.last_problem; after OldEpoch this scheduler is no longer primary, and
        after Unsure the batch may or may not have been committed."""
        stamp_counts = [stamps_of(event) for event in events]
        result = await self.stamp(sum(stamp_counts))
        if not result.ok:
            self.last_failure = result
            return None
        batch = {"e": self.epoch, "c": result.value["e"], "s": result.value["first"], "v": events}
        result = await self.store(op="turn", request={"d": batch, "have": self.have()}, total=2.0)
        if not result.ok:
            self.last_failure = result
            return None
        if result.value["gap"]:
            if not await self.tail_to(result.value["to"], wait=constants.REQUEST_TIMEOUT):
                self.last_failure = Unsure(why="tail")
                return None
        else:
            self.take(result.value)
            if self.applied < result.value["to"] and not await self.tail_to(
                result.value["to"], wait=constants.REQUEST_TIMEOUT
            ):
                self.last_failure = Unsure(why="tail")
                return None
            if self.applied == result.value["to"] and result.value.get("sum", 0) != self.record.sum:
                self.last_failure, self.until = Unsure(why="diverged"), 0.0
                self.run_task(coroutine=self.find_diverged_member(), name="odd")
                return None
        self.batch_count, self.event_count = self.batch_count + 1, self.event_count + len(events)
        return (
            [
                (event_result, batch["s"] + sum(stamp_counts[:position]))
                for position, event_result in enumerate(result.value["o"])
            ]
            if max(stamp_counts) > 1
            else [
                (event_result, batch["s"] + position)
                for position, event_result in enumerate(result.value["o"])
            ]
        )

    async def find_diverged_member(self):
        """Finds out whose record diverged, ours or the store leader's; until then we do not serve.
        Ends this daemon if two members agree with each other and not with us. A diverged leader
        ends itself."""
        for _ in range(40):
            await asyncio.sleep(constants.ENDED_JOBS_CHECK_PERIOD)
            by_index = {}
            for addr in self.store_addresses:
                result = await self.link(addr=addr).call(op="marks", request={})
                for index, checksum in (result.value if result.ok else {}).items():
                    by_index.setdefault(index, []).append(checksum)
            for index, checksums in by_index.items():
                majority = max(set(checksums), key=checksums.count)
                if self.checksums.get(index, majority) != majority and checksums.count(majority) > 1:
                    raise Raised(Diverged(index=index, have=self.checksums[index], most=majority))

    async def run_batches(self):
        """The primary's loop: commits batches until its lease is lost or it leaves."""
        while self.live() and not self.leaving:
            await self.wait_for_work()
            if not self.live() or self.leaving:
                break
            self.refuse_stale_jobs()
            items = self.next_items()
            self.committing = True
            events = [event for event, _ in items]
            events += self.place_tasks(
                most=constants.BATCH_EVENTS_MAX, ends=[event[1] for event in events if event[0] == "end"]
            )
            self.trace_waits(ms=self.clock_ms())
            if events:
                if not await self.commit_batch(items=items, events=events):
                    self.committing = False
                    break
            self.committing = False
            await asyncio.sleep(
                max(
                    constants.BATCH_INTERVAL_MIN,
                    constants.PLACEMENT_PAUSE_FACTOR * self.last_round_duration_s,
                )
            )
        await self.wait_for_batch()

    async def commit_batch(self, *, items, events):
        """Commits one batch and answers the callers of `items`. False if this scheduler must step down."""
        results = await self.commit(events=events)
        if results is None:
            failure = self.last_failure
            not_taken = failure.taken == "no"
            self.say(
                log_events.TURN_REFUSED if not_taken else log_events.TURN_UNSURE,
                problem=failure,
                events=len(events),
                ends=sum(event[0] == "end" for event in events),
            )
            goes_on = not_taken and not isinstance(failure, OldEpoch)
            if not goes_on:  # answers held back for this batch stay held back until the record is reread
                self.until = 0.0 if isinstance(failure, OldEpoch) else self.until
                goes_on = not isinstance(failure, OldEpoch) and await self.reread()
            for _, callback in items:
                if callback is not None:
                    callback(failure if not_taken else Unsure(why="turn"), None)
            return goes_on
        self.deliver_results(items=items, results=results)
        if len(events) > len(items):
            self.work.set()
        self.news()
        return True

    @in_section("results")
    def deliver_results(self, *, items, results):
        """Calls back with the result and stamp of each committed event."""
        for (_, callback), (result, stamp) in zip(items, results):
            if callback is not None:
                callback(result, stamp)

    async def reread(self):
        """After a batch of unknown outcome, reads the record up to the store leader's last entry. False if
        this scheduler is no longer primary."""
        while self.live():
            result = await self.store(op="where_to", request={}, safe=True, total=1.0)
            if result.ok and await self.tail_to(result.value["i"], wait=1.0):
                if await self.commit(events=[["open"]]) is not None:  # fences the batch of unknown outcome
                    self.work.set()
                    return True
                self.until = 0.0 if isinstance(self.last_failure, OldEpoch) else self.until
        return False

    async def wait_for_work(self):
        """Waits, at most 0.5 s, for a queued event or for a task to come due."""
        wait = 0.5
        if self.due_at is not None:
            wait = max(0.005, min(wait, (self.due_at - self.clock_ms()) / 1000))
        try:
            await asyncio.wait_for(self.work.wait(), wait)
        except TimeoutError:
            pass
        self.work.clear()
        if self.pending_events or self.queued_job_count:
            self.work.set()

    async def wait_for_batch(self):
        """Waits for the batch in flight to end, at most 100 times BATCH_INTERVAL_MIN."""
        for _ in range(100):
            if not self.committing:
                return
            await asyncio.sleep(constants.BATCH_INTERVAL_MIN)

    def drop_primary(self):
        """Refuses all queued events when this scheduler is no longer primary; none of them was proposed."""
        queued = [*self.pending_events, *[item for jobs in self.queued_jobs.values() for item in jobs]]
        self.pending_events, self.queued_jobs, self.queued_job_count = deque(), {}, 0
        for _, callback, _, _ in queued:
            if callback is not None:
                callback(self.not_primary(), None)
        self.close_sessions()
