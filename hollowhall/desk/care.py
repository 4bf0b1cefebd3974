"""Worker monitoring besides heartbeats: workers that leave, are lost or are declared gone by an
operator, and periodic checks of leases, run limits, probation and old records."""

import asyncio
from collections import deque
from functools import partial

from ..base import constants, log_events
from ..base.loop_time import in_section
from ..base.problems import Refused, Success, Unknown
from ..record.kinds import LOST
from .overdue import due_since_ms
from .probation import ProbationMixin
from .reports import NEVER_BEGAN
from .worker_session import WorkerSession


class WorkerChecksMixin(ProbationMixin):
    """Monitors workers and runs the periodic checks of the primary."""

    def note_ends(self, events):
        """Remembers the last results of each worker. Standbys do so too, so a new primary knows them as the
        previous one did."""
        for event in events:
            attempt = (
                self.record.attempts.get(event[1])
                if event[0] == "end" and event[2] in ("ok", "bad")
                else None
            )
            if attempt is not None and not self.record.jobs[attempt.job].steps[attempt.step].spec.get(
                "forever"
            ):
                self.recent_failures.setdefault(
                    attempt.worker, deque(maxlen=constants.WORKER_ENDS_KEPT)
                ).append(event[2] == "bad")

    def on_leave(self, *, request, callback, caller):
        """Records that a worker leaves: it gets no new attempts."""
        if not self.live() or self.leaving:
            callback(self.not_primary())
            return

        def then(result, stamp):
            if stamp is None:
                callback(result)
                return
            if result[0] == "ok":
                self.say(log_events.WORKER_LEAVES, worker=request["id"])
            callback(Success(value={"result": result[0], "stamp": str(stamp)}))

        self.queue_event(event=["leave", request["id"], request["boot"]], callback=then)

    def lost(self, worker_id, session, result, stamp):
        """The callback for a `lost` event."""
        session.status_pending = session.lost_pending = False
        if stamp is not None and result[0] == "waits":
            self.say(log_events.WORKER_LONE, worker=worker_id, legs=result[1])
        elif stamp is not None and result[0] == "ok":
            self.say(log_events.WORKER_LOST, worker=worker_id)

    def on_gone(self, *, request, callback, caller):
        """An operator declares that a lost worker runs nothing. Refused for a worker whose lease is valid."""
        if not self.live() or self.leaving:
            callback(self.not_primary())
            return
        worker_id = request["id"]
        worker, session = self.record.workers.get(worker_id), self.sessions.get(worker_id)
        if worker is None:
            callback(Unknown(what="worker", id=worker_id))
        elif (
            worker.state != LOST
            or session is not None
            and session.seq >= 0
            and self.runtime.now() < session.until
        ):
            callback(Refused(why="the worker is not lost"))
        else:

            def then(result, stamp):
                if stamp is None:
                    callback(result)
                elif result[0] == "ok":
                    self.say(log_events.WORKER_GONE, worker=worker_id)
                    callback(Success(value={"worker": worker_id, "state": "gone", "stamp": str(stamp)}))
                else:
                    callback(
                        Refused(why="the worker is not lost")
                        if result[0] == "no"
                        else Unknown(what="worker", id=worker_id)
                    )

            self.queue_event(event=["gone", worker_id, worker.boot], callback=then)

    waits_logged_at = 0.0  # s; by our clock

    def log_long_waits(self, *, now, ms):
        """Logs why steps wait longer than LONG_WAIT_MS: a few of them, at most every LONG_WAITS_LOG_INTERVAL seconds."""
        if now - self.waits_logged_at < constants.LONG_WAITS_LOG_INTERVAL:
            return
        overdue = [
            key
            for key, tasks in self.record.ready.items()
            if ms - due_since_ms(tasks) > constants.LONG_WAIT_MS
        ]
        if overdue:
            self.waits_logged_at = now
            self.say(
                log_events.WAITS_LONG,
                steps=len(overdue),
                first=[
                    "/".join(key) + " " + self.wait_reason(key)
                    for key in overdue[: constants.STEPS_PER_LOG_LINE]
                ],
            )

    async def watch_workers(self):
        """Runs the periodic checks for as long as the daemon lives."""
        while True:
            await asyncio.sleep(constants.ENDED_JOBS_CHECK_PERIOD)
            if self.live():
                self.check_workers(now=self.runtime.now(), ms=self.clock_ms())

    @in_section("look_after")
    def check_workers(self, *, now, ms):
        """One round of checks: expired leases, starts that never happened, progress, probation, run limits
        and records that are old enough to be forgotten."""
        for worker_id, worker in list(self.record.workers.items()):
            session = self.sessions.setdefault(
                worker_id, WorkerSession(boot=worker.boot, until=now + self.lease_s())
            )
            self.check_lease(worker=worker, session=session, now=now)
            self.end_never_began(worker=worker, session=session)
        self.judge_progress(now=now, ms=ms)
        self.copy_silent_workers(now=now, ms=ms)
        self.stop_before_departure(now=now, ms=ms)
        self.log_long_waits(now=now, ms=ms)
        self.lift_probation()
        self.retry_needed_workers(ms=ms)
        self.check_health(ms=ms)
        self.stop_past_limit(ms=ms)
        self.forget_old(now=now, ms=ms)

    def check_lease(self, *, worker, session, now):
        """Records a worker as lost whose lease has expired, once the ends that it reported are recorded."""
        if now <= session.until or session.status_pending or session.ends or worker.state == LOST:
            return
        session.status_pending = session.lost_pending = True
        saved = {run: checkpoint for run, checkpoint in session.saved.items() if checkpoint}
        self.queue_event(
            event=["lost", worker.id, worker.boot] + ([saved] if saved else []),
            callback=partial(self.lost, worker.id, session),
        )

    def end_never_began(self, *, worker, session):
        """Ends the attempts on a worker that are to be stopped and can no longer begin."""
        for run in self.never_began(session=session, worker=worker) if session.names_attempts else ():
            session.ending.add(run)
            self.queue_event(
                event=["end", run, "stopped", NEVER_BEGAN],
                callback=lambda result, stamp, run=run: session.ending.discard(run),
            )

    def stop_past_limit(self, *, ms):
        """Stops attempts that have run for longer than their step allows."""
        for attempt in self.record.attempts.values():
            limit_ms = self.record.jobs[attempt.job].steps[attempt.step].spec["runMs"]
            if limit_ms and not attempt.stop and ms > (attempt.run >> constants.LOGICAL_BITS) + limit_ms:
                self.queue_event(event=["stop", attempt.run, "limit"])

    def forget_old(self, *, now, ms):
        """Forgets what workers that are gone have left, and has the record forget jobs and reservations that
        ended long ago."""
        for worker_id in [
            worker_id for worker_id in self.recent_failures if worker_id not in self.record.workers
        ]:
            del self.recent_failures[worker_id]
        if (
            self.record.ended
            and (self.record.ended[0][0] >> constants.LOGICAL_BITS) + self.record.rule["readable_ms"] < ms
            or self.record.reservations
            and self.record.old_reservations(now=ms)
        ):
            self.queue_event(event=["forget"])
        for worker_id in [
            worker_id
            for worker_id in self.sessions
            if worker_id not in self.record.workers and now > self.sessions[worker_id].until
        ]:
            del self.sessions[worker_id]
