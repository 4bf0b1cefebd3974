"""Worker heartbeats. A beat reports what runs and what ended. Its answer says what to start, what to
stop, which ends are recorded, and how long the worker may run without another beat; nothing
is sent to a worker except as an answer. What the previous primary knew of a worker is rebuilt
from the worker's beats; until then its lease counts as just renewed. An attempt counts as
stopped only when the worker reported so, came back under a new boot, or its lease and a
margin have expired here."""

import asyncio

from ..base import constants, log_events
from ..base.loop_time import in_section
from ..base.problems import BadInput, Success
from ..base.slab import PendingRequests
from ..record.kinds import LEAVES, LOST
from .care import WorkerChecksMixin
from .orders import OrdersMixin
from .reports import ReportsMixin
from .worker_session import ReportedEnd, WorkerSession


class BeatsMixin(ReportsMixin, WorkerChecksMixin, OrdersMixin):
    """Receives and answers heartbeats, and queues what they report for the record."""

    def open_beats(self):
        # `judged` holds the share of failures of each worker at the time it was set aside
        self.sessions, self.beat_slab, self.aside_failure_share = (
            {},
            PendingRequests(capacity=constants.PENDING_REQUESTS_PER_CONNECTION),
            {},
        )
        self.revoked_gang_runs = set()  # runs whose stop is queued for a batch
        self.run_task(coroutine=self.watch_workers(), name="mind")

    def start_beats(self):
        """Opens a session for each known worker on takeover. Its lease counts from now, since the previous
        primary may have renewed it just now."""
        now = self.runtime.now()
        self.sessions = {
            worker_id: WorkerSession(boot=worker.boot, until=now + self.lease_s(), since=now)
            for worker_id, worker in self.record.workers.items()
        }

    def lease_s(self):
        """Seconds after its last beat until a worker's lease counts as expired here, margin included."""
        return (self.settings.hold_ms + self.settings.margin_ms) / 1000

    def close_sessions(self):
        """Refuses the beats that wait for an answer and forgets all sessions."""
        for callback in self.beat_slab.drain():
            callback(self.not_primary())
        self.sessions = {}

    def on_beat(self, *, request, callback, caller):
        """Receives a heartbeat. The answer is held for up to `answer_delay_s`, or until there are new orders.
        A beat of a former boot or with an old number is refused."""
        if not self.live() or self.leaving:
            callback(self.not_primary())
            return
        worker_id, now = request["id"], self.runtime.now()
        session, worker = (
            self.sessions.setdefault(worker_id, WorkerSession()),
            self.record.workers.get(worker_id),
        )
        if worker is not None and request["boot"] in worker.past:
            callback(BadInput(errors=[["boot", "this worker has started again since"]]))
            return
        if session.boot != request["boot"]:
            if session.slot is not None:
                self.answer_beat(worker_id=worker_id, session=session)
            session = self.sessions[worker_id] = WorkerSession(boot=request["boot"], since=now)
        if self.departs_before_draining(request=request, session=session, worker=worker):
            self.handle_early_departure(request=request, callback=callback)
            return
        if request["seq"] <= session.seq:
            callback(BadInput(errors=[["seq", "a later beat was heard before this one"]]))
            return
        self.take_beat(request=request, session=session, worker=worker)
        if session.slot is not None:
            self.answer_beat(worker_id=worker_id, session=session)
        session.leave_requested = bool(request.get("leaves"))
        if session.leave_requested and worker is not None and worker.state != LEAVES:
            self.queue_event(event=["leave", worker_id, request["boot"]], callback=lambda result, stamp: None)
        self.hold_answer(worker_id=worker_id, session=session, callback=callback)

    def take_beat(self, *, request, session, worker):
        """Renews the worker's lease, updates its session from its report, and queues what that says for the
        record."""
        now = self.runtime.now()
        session.since = now if session.seq < 0 else session.since
        session.seq, session.last_beat_at, session.until = request["seq"], now, now + self.lease_s()
        session.names_attempts = "named" in request
        if session.names_attempts:
            request = request | {"ended": self.read_report(request=request, session=session, worker=worker)}
        else:
            session.running, session.report_complete = set(request["running"]), True
        if worker is not None and worker.boot == request["boot"]:
            self.take_report(request=request, session=session, worker=worker)
        elif not request.get("bye"):  # a departing worker need not be registered
            self.register_worker(request=request, session=session)

    def hold_answer(self, *, worker_id, session, callback):
        """Answers a beat at once if there is something to tell or no place to hold it, otherwise after
        `answer_delay_s` at the latest."""
        session.slot = self.beat_slab.put(callback=callback)
        if session.slot is None:
            callback(self.beat_answer(worker_id=worker_id, session=session))
        elif session.answer_at_once or self.has_new_orders(worker_id=worker_id, session=session):
            session.answer_at_once = False
            self.answer_beat(worker_id=worker_id, session=session)
        else:
            slot = session.slot
            asyncio.get_running_loop().call_later(
                self.answer_delay_s(session),
                lambda: session.slot == slot and self.answer_beat(worker_id=worker_id, session=session),
            )

    def departs_before_draining(self, *, request, session, worker):
        """Whether a beat announces a departure that no earlier beat announced as draining."""
        departs = (
            bool(request.get("bye"))
            and "named" in request
            and worker is not None
            and worker.boot == request["boot"]
        )
        return departs and not (session.leave_requested and worker.state == LEAVES)

    def handle_early_departure(self, *, request, callback):
        """Records a departure without ending the worker's attempts: it gets no new ones from here on,
        and keeps those that it runs until it reports their ends or its lease expires."""

        def then(result, stamp):
            callback(Success(value={}) if stamp is not None else self.not_primary())

        self.queue_event(event=["leave", request["id"], request["boot"]], callback=then)

    def answer_delay_s(self, session):
        """Seconds for which a beat without news is held before it is answered."""
        if session.leave_requested:
            return constants.DEPARTURE_ACK_TIMEOUT
        return (
            constants.HEARTBEAT_ANSWER_DELAY_BUSY
            if session.names_attempts and session.running and not session.ends
            else constants.HEARTBEAT_ANSWER_DELAY
        )

    def answer_soon(self, *, worker_id, session):
        """Answers a waiting beat HEARTBEAT_ANSWER_DELAY_ENDS seconds after its report is recorded, so that the answer can hold
        a new start as well."""
        slot = session.slot
        if slot is not None and session.names_attempts:
            asyncio.get_running_loop().call_later(
                constants.HEARTBEAT_ANSWER_DELAY_ENDS,
                lambda: session.slot == slot and self.answer_beat(worker_id=worker_id, session=session),
            )

    def register_worker(self, *, request, session):
        """Registers a new worker or boot. A boot that would end another boot's attempts must beat twice, so
        that one delayed beat of a boot that is gone, as after a freeze, ends nothing."""
        if request["id"] in self.record.workers and not session.boot_heard:
            session.boot_heard = session.answer_at_once = True
            return
        if session.status_pending or session.names_attempts and self.record.level < 2:
            return  # a record of an older level would lose the worker's labels
        session.status_pending = True

        def then(result, stamp):
            session.status_pending = False
            if stamp is not None and result[0] == "ok":
                self.say(log_events.WORKER_NEW, worker=request["id"], kind=request["kind"])
                self.work.set()
                self.answer_soon(worker_id=request["id"], session=session)

        self.queue_event(
            callback=then,
            event=[
                "worker",
                request["id"],
                request["boot"],
                request["kind"],
                request["zone"],
                request["rack"],
                request["room"],
                *self.optional_fields(request),
            ],
        )

    def optional_fields(self, request):
        """The fields of a worker's registration that the record's format level has."""
        if self.record.level < 2 or not request.get("labels"):
            return [request.get("keepsHold", False)] if self.record.level else []
        return [request.get("keepsHold", False), request["labels"]]

    def take_report(self, *, request, session, worker):
        """Queues what a registered worker's beat reports: whether it stops its tasks when its lease expires,
        its return after it was lost, its ends and its departure."""
        if (
            self.record.level
            and worker.keeps != request.get("keepsHold", False)
            and not session.status_pending
        ):
            session.status_pending = True
            self.queue_event(
                event=["keeps", worker.id, worker.boot, not worker.keeps],
                callback=lambda result, stamp: setattr(session, "status_pending", False),
            )
        if worker.state == LOST and not session.status_pending:
            session.status_pending = True

            def then(result, stamp):
                session.status_pending = False
                if stamp is not None and result[0] == "ok":
                    self.say(log_events.WORKER_BACK, worker=worker.id, legs=len(worker.runs))

            self.queue_event(event=["back", worker.id, worker.boot], callback=then)
        for run, how, why, *saved in request["ended"]:
            if run in self.record.attempts:
                session.report_end(
                    run=run, end=ReportedEnd(how=how, why=why, saved=saved[0] if saved else None)
                )
        self.queue_ends(worker_id=worker.id, session=session)
        session.departed = session.departed or bool(
            request.get("bye") and (session.names_attempts or worker.state == LEAVES and not worker.runs)
        )
        self.queue_departure(worker_id=worker.id, session=session)

    def queue_ends(self, *, worker_id, session):
        """Queues the reported ends that are in no batch yet."""
        for run, end in session.ends.items():
            if not end.queued:
                end.queued = True
                self.queue_event(
                    event=end.event(run),
                    callback=self.settled_callback(worker_id=worker_id, session=session, run=run),
                )

    def settled_callback(self, *, worker_id, session, run):
        """The callback for a reported end whose batch is over; queues an end again that was not recorded."""

        def then(result, stamp):
            if run in self.record.attempts:
                session.ends[run].queued = False
                if self.live():
                    self.queue_ends(worker_id=worker_id, session=session)
                return
            del session.ends[run]
            if not session.ends:
                self.answer_soon(worker_id=worker_id, session=session)
                self.queue_departure(worker_id=worker_id, session=session)

        return then

    def queue_departure(self, *, worker_id, session):
        """Records a departed worker as lost once all its reported ends are recorded."""
        if session.departed and not session.ends:
            session.departed = False
            self.queue_event(
                event=["lost", worker_id, session.boot, session.saved]
                if session.names_attempts
                else ["lost", worker_id, session.boot]
            )

    def has_new_orders(self, *, worker_id, session):
        """Whether there is a start or stop that was not sent within ORDER_RESEND_DELAY, or a leave to acknowledge."""
        now = self.runtime.now()
        starts, stops = self.orders(worker_id=worker_id, session=session)
        if (
            session.leave_requested
            and worker_id in self.record.workers
            and self.record.workers[worker_id].state == LEAVES
        ):
            return True
        stops = stops + session.unknown_attempts
        return any(
            now - session.orders_sent.get(order, -9.0) > constants.ORDER_RESEND_DELAY
            for order in starts + stops
        )

    def beat_answer(self, *, worker_id, session):
        """The answer to a worker's beat; NotPrimary where nothing may be told it now."""
        if not self.live() or session.lost_pending:  # its attempts may end in the batch in flight
            return self.not_primary()
        starts, stops = self.orders(worker_id=worker_id, session=session)
        now, worker = self.runtime.now(), self.record.workers.get(worker_id)
        session.orders_sent = {order: now for order in starts + stops + session.unknown_attempts}
        if session.leave_requested and (worker is None or worker.state != LEAVES):
            return self.not_primary()  # a leave is acknowledged once it is recorded
        if session.names_attempts:
            return Success(
                value=self.named_answer(worker=worker, session=session, starts=starts, stops=stops)
            )
        cards = [self.start_order(self.record.attempts[order]) for order in starts]
        return Success(
            value={
                "starts": cards,
                "stops": stops,
                "holdMs": self.settings.hold_ms,
                "validMs": constants.START_ORDER_VALID_MS,
                "epoch": self.epoch,
                "known": worker is not None and worker.boot == session.boot,
                "state": worker.state if worker else "",
                "live": sorted(worker.runs) if worker else [],
                "clockMs": self.clock_ms(),
                "level": self.record.level,
            }
        )

    def answer_beat(self, *, worker_id, session):
        """Answers the beat that a session has waiting."""
        callback = self.beat_slab.take(index=session.slot[0], generation=session.slot[1])
        session.slot = None
        if callback is not None:
            callback(self.beat_answer(worker_id=worker_id, session=session))

    @in_section("news")
    def news(self):
        """After a batch, answers the waiting beats of workers that have new orders."""
        if not self.live():
            return
        for worker_id, session in self.sessions.items():
            if session.slot is not None and self.has_new_orders(worker_id=worker_id, session=session):
                self.answer_beat(worker_id=worker_id, session=session)
