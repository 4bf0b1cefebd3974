"""Reports of workers that name attempts by task and number, and number their ends. A
report is read into the runs that the record knows; what it does not know is to be
stopped. An end is acknowledged once it is recorded, or was void before it came: its
attempt is not in the record any more. Checkpoints and progress told on the way are
kept here, for the next attempt, should this one be lost."""

from ..base import consts as C
from ..base import events as E
from ..record.kinds import DONE, OPEN

NEVER_BEGAN = "never began"  # why the record ends an attempt that its worker was not to begin any more


class ReportsMixin:
    def read_report(self, *, b, h, w):
        """The report's names as runs: fills h, and gives the ends that are to be recorded,
        as [run, how, why, saved]."""
        by = {}
        if w is not None and w.boot == b["boot"]:
            by = {(g.task, g.no): run for run, g in w.runs.items()}
        now, far = self.seam.now(), {}
        h.running, h.strange, saved = set(), [], {}
        for task, no, text, percent in b["named"]:
            run = by.get((task, no))
            if run is None:
                h.strange.append((task, no))
                continue
            h.running.add(run)
            if text:
                saved[run] = text
            was = h.far.get(run)
            if was is None:
                far[run] = (percent, now, percent, now)
            else:
                far[run] = was if was[0] >= percent else (percent, now, *was[2:])
        ends, h.numbered = [], []
        for n, task, no, how, text in sorted(b["ends"]):
            run = by.get((task, no))
            h.numbered.append((n, run))
            if run is None and how == "ok" and n > h.void:
                h.void = n
                self.say_void(worker=b["id"], task=task, no=no)
            if run is not None:
                saved.setdefault(run, h.saved.get(run, ""))
                if text:
                    saved[run] = text
                ends.append([run, how, how, saved[run]])
        for run in w.runs if w is not None else ():
            if run not in saved and run in h.saved:
                saved[run] = h.saved[run]
        h.saved, h.far = saved, far
        h.leave_at = now + b["leaveMs"] / 1000 if b.get("leaveMs") is not None else h.leave_at
        return ends

    def say_void(self, *, worker, task, no):
        """A good end of an attempt that the record does not know: it is one it has, or it comes too late."""
        job = self.record.jobs.get(task.rsplit("/", 2)[0])
        known = job.tasks.get(task) if job is not None and job.state == OPEN else None
        if known is not None and known.state != DONE and not job.steps[known.step].spec.get("forever"):
            self.say(
                E.END_VOID, worker=worker, task=task, attempt=no, state=known.state, attempts=known.starts
            )

    def seen(self, h):
        """The highest number up to which all ends are recorded or void."""
        for n, run in h.numbered:
            if run in self.record.legs:
                break
            h.seen = max(h.seen, n)
        return h.seen

    def never_began(self, *, h, w):
        """Attempts that are to be stopped, were not begun, and can begin no more. A worker
        has one beat out at a time, so a later beat than the last whose answer told of the
        start, without the attempt in it, was sent after that answer came or was given up.
        A worker that is silent proves nothing: it counts when it was last heard."""
        old = C.START_VALID_MS / 1000 + C.NEWS_AGAIN
        if h.heard - h.since < old:
            return []  # nor does a beat that lay somewhere while the primary changed
        told = {r: h.begun.get(r, (-1, -9.0)) for r in w.runs}
        return [
            r
            for r, g in w.runs.items()
            if (g.stop or self.taken_back(g=g, w=w))
            and r not in h.running
            and not h.unsettled(r)
            and h.seq > told[r][0]
            and h.heard - told[r][1] > old
        ]

    def named_answer(self, *, w, h, starts, stops):
        """What a worker that names attempts is told."""
        runs, now = self.record.legs, self.seam.now()
        for r in starts:
            h.begun[r] = (h.seq, now)
        for r in [r for r in h.begun if r not in runs]:
            del h.begun[r]
        known = w is not None and w.boot == h.boot
        full = known and any(a >= b for a, b in zip(w.used, w.room) if b)
        d = {
            "known": known,
            "epoch": self.epoch,
            "seen": self.seen(h),
            "againMs": C.AGAIN_FULL_MS if full else C.AGAIN_MS,
            "starts": [self.named_card(runs[r]) for r in starts],
            "stops": [[runs[r].task, runs[r].no] for r in stops if r in runs] + [list(x) for x in h.strange],
        }
        return d | ({"holdMs": self.params.hold_ms} if known else {})

    def named_card(self, g):
        j = self.record.jobs[g.job]
        return [g.task, g.no, j.steps[g.step].spec["work"] or j.spec.get("work", {}), j.tasks[g.task].saved]
