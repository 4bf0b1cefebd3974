"""Reports of workers that name attempts by task and number, and number their ends. Names are
resolved to the record's runs; a reported attempt that the record does not have is to be stopped.
An end is acknowledged once it is recorded, or if its attempt was no longer in the record when
it came (a void end). Reported checkpoints and progress are kept here; a checkpoint goes to the
next attempt if this one is lost."""

from ..base import constants, log_events
from ..record.kinds import DONE, OPEN

NEVER_BEGAN = "never began"  # recorded reason of an attempt that was revoked before its worker began it


class ReportsMixin:
    """Reads reports into sessions, and builds the answers to them."""

    def read_report(self, *, request, session, worker):
        """Updates the session from a report. Returns the ends that are to be recorded, as
        [run, how, why, checkpoint]."""
        runs = {}
        if worker is not None and worker.boot == request["boot"]:
            runs = {(attempt.task, attempt.no): run for run, attempt in worker.runs.items()}
        now, progress = self.runtime.now(), {}
        session.report_complete = request.get("complete", True)
        session.running, session.unknown_attempts, saved = set(), [], {}
        for task, no, checkpoint, percent in request["named"]:
            run = runs.get((task, no))
            if run is None:
                session.unknown_attempts.append((task, no))
                continue
            session.running.add(run)
            if checkpoint:
                saved[run] = checkpoint
            before = session.progress.get(run)
            if before is None:
                progress[run] = (percent, now, percent, now)
            else:
                progress[run] = before if before[0] >= percent else (percent, now, *before[2:])
        ends, session.listed_ends = [], []
        for number, task, no, how, checkpoint in sorted(request["ends"]):
            run = runs.get((task, no))
            session.listed_ends.append((number, run))
            if run is None and how == "ok" and number > session.checked_void:
                session.checked_void = number
                self.say_void(worker=request["id"], task=task, no=no)
            if run is not None:
                saved.setdefault(run, session.saved.get(run, ""))
                if checkpoint:
                    saved[run] = checkpoint
                ends.append([run, how, how, saved[run]])
        for run in worker.runs if worker is not None else ():
            if run not in saved and run in session.saved:
                saved[run] = session.saved[run]
        session.saved, session.progress = saved, progress
        session.leave_at = (
            now + request["leaveMs"] / 1000 if request.get("leaveMs") is not None else session.leave_at
        )
        return ends

    def say_void(self, *, worker, task, no):
        """Logs a success of an attempt that the record does not have, unless its task is done already."""
        job = self.record.jobs.get(task.rsplit("/", 2)[0])
        known = job.tasks.get(task) if job is not None and job.state == OPEN else None
        if known is not None and known.state != DONE and not job.steps[known.step].spec.get("forever"):
            self.say(
                log_events.END_VOID,
                worker=worker,
                task=task,
                attempt=no,
                state=known.state,
                attempts=known.starts,
            )

    def acknowledged_up_to(self, session):
        """The highest number up to which all reported ends are recorded or void."""
        for number, run in session.listed_ends:
            if run in self.record.attempts:
                break
            session.acknowledged = max(session.acknowledged, number)
        return session.acknowledged

    def never_began(self, *, session, worker):
        """The runs on a worker that are to be stopped, were not begun, and can no longer begin. A worker has
        one beat in flight at a time, so a beat after the last one whose answer held the start was
        sent after that answer arrived or was given up; without the attempt in it, and START_ORDER_VALID_MS
        later, the start has lapsed. Times are of the last beat: a silent worker proves nothing, and neither
        does a report without all ends: the attempt may have ended."""
        if not session.report_complete:
            return []
        oldest_s = constants.START_ORDER_VALID_MS / 1000 + constants.ORDER_RESEND_DELAY
        if session.last_beat_at - session.since < oldest_s:
            return []  # nor does a beat that was delayed while the primary changed
        told = {run: session.starts_sent.get(run, (-1, -9.0)) for run in worker.runs}
        return [
            run
            for run, attempt in worker.runs.items()
            if (attempt.stop or self.is_revoked(attempt=attempt, worker=worker))
            and run not in session.running
            and not session.unsettled(run)
            and session.seq > told[run][0]
            and session.last_beat_at - told[run][1] > oldest_s
        ]

    def named_answer(self, *, worker, session, starts, stops):
        """The answer to a worker that names attempts; notes the starts that it holds."""
        attempts, now = self.record.attempts, self.runtime.now()
        for run in starts:
            session.starts_sent[run] = (session.seq, now)
        for run in [run for run in session.starts_sent if run not in attempts]:
            del session.starts_sent[run]
        known = worker is not None and worker.boot == session.boot
        full = known and any(used >= room for used, room in zip(worker.used, worker.room) if room)
        answer = {
            "known": known,
            "epoch": self.epoch,
            "seen": self.acknowledged_up_to(session),
            "againMs": constants.NEXT_HEARTBEAT_FULL_MS if full else constants.NEXT_HEARTBEAT_MS,
            "starts": [self.named_card(attempts[run]) for run in starts],
            "stops": [[attempts[run].task, attempts[run].no] for run in stops if run in attempts]
            + [list(name) for name in session.unknown_attempts],
        }
        return answer | ({"holdMs": self.settings.hold_ms} if known else {})

    def named_card(self, attempt):
        """A start as [task, number, work, checkpoint]."""
        job = self.record.jobs[attempt.job]
        return [
            attempt.task,
            attempt.no,
            job.steps[attempt.step].spec["work"] or job.spec.get("work", {}),
            job.tasks[attempt.task].saved,
        ]
