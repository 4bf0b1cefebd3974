"""Workers' beats. A beat says what runs and what ended; its outcome, never sent
unasked, says what to start, what to stop, which ends are recorded, and how long
the worker may go on without another. What the last primary knew of a worker is
rebuilt from the worker's own beats; until then its hold is taken to be fresh. An
old leg counts as stopped only when the worker said so, came back under a new boot,
or its hold and a margin have run out here."""

import asyncio

from ..base import consts as C
from ..base import events as E
from ..base.loop_time import in_section
from ..base.problems import BadInput, Done
from ..base.slab import Slab
from ..record.kinds import LEAVES, LOST
from .care import CareMixin
from .orders import OrdersMixin
from .reports import ReportsMixin
from .worker_session import ReportedEnd, WorkerSession


class BeatsMixin(ReportsMixin, CareMixin, OrdersMixin):
    def open_beats(self):
        self.sessions, self.beat_slab, self.judged = {}, Slab(cap=C.SLAB_CAP), {}
        self.gangs_taken_back = set()  # runs; whose stop is held for a turn
        self.run_task(co=self.mind(), name="mind")

    def start_beats(self):
        """On taking over: every worker's hold may have been renewed just now."""
        now = self.seam.now()
        self.sessions = {
            i: WorkerSession(boot=w.boot, until=now + self.lease_s(), since=now)
            for i, w in self.record.workers.items()
        }

    def lease_s(self):
        """How long a worker that was heard just now may go on, as we count it."""
        return (self.params.hold_ms + self.params.margin_ms) / 1000

    def drop_beats(self):
        for k in self.beat_slab.drain():
            k(self.not_primary())
        self.sessions = {}

    def on_beat(self, *, b, k, who):
        if not self.live() or self.leaving:
            k(self.not_primary())
            return
        i, now = b["id"], self.seam.now()
        h, w = self.sessions.setdefault(i, WorkerSession()), self.record.workers.get(i)
        if w is not None and b["boot"] in w.past:
            k(BadInput(errors=[["boot", "this worker has started again since"]]))
            return
        if h.boot != b["boot"]:
            if h.slot is not None:
                self.tell_beat(i=i, h=h)
            h = self.sessions[i] = WorkerSession(boot=b["boot"], since=now)
        if self.may_work_on(b=b, h=h, w=w):
            self.take_early_bye(b=b, k=k)
            return
        if b["seq"] <= h.seq:
            k(BadInput(errors=[["seq", "a later beat was heard before this one"]]))
            return
        h.since = now if h.seq < 0 else h.since
        h.seq, h.heard, h.until = b["seq"], now, now + self.lease_s()
        h.named = "named" in b
        if h.named:
            b = b | {"ended": self.read_report(b=b, h=h, w=w)}
        else:
            h.running = set(b["running"])
        if w is None or w.boot != b["boot"]:
            if not b.get("bye"):  # one that goes need not be taken in again
                self.announce(b=b, h=h)
        else:
            self.take_ends(b=b, h=h, w=w)
        if h.slot is not None:
            self.tell_beat(i=i, h=h)
        h.leave = bool(b.get("leaves"))
        if h.leave and w is not None and w.state != LEAVES:
            self.hold_event(ev=["leave", i, b["boot"]], k=lambda r, st: None)
        h.slot = self.beat_slab.put(k=k)
        if h.slot is None:
            k(self.beat_outcome(i=i, h=h))
        elif h.told_soon or self.has_news(i=i, h=h):
            h.told_soon = False
            self.tell_beat(i=i, h=h)
        else:
            s = h.slot
            asyncio.get_running_loop().call_later(
                self.held_for(h), lambda: h.slot == s and self.tell_beat(i=i, h=h)
            )

    def may_work_on(self, *, b, h, w):
        """Whether a worker that takes leave may work on: its last beat did not say that it drains."""
        leave = bool(b.get("bye")) and "named" in b and w is not None and w.boot == b["boot"]
        return leave and not (h.leave and w.state == LEAVES)

    def take_early_bye(self, *, b, k):
        """A worker that takes leave first may work on for a while: it gets nothing new from here
        on, and what it runs stays its own until it reports the end or its lease has run out."""

        def back(result, stamp):
            k(Done(v={}) if stamp is not None else self.not_primary())

        self.hold_event(ev=["leave", b["id"], b["boot"]], k=back)

    def held_for(self, h):
        if h.leave:
            return C.BEAT_LEAVE
        return C.BEAT_BUSY if h.named and h.running and not h.ends else C.BEAT_HELD

    def tell_soon(self, *, i, h):
        """What the beat brought is recorded; a moment more, for a start to go along."""
        s = h.slot
        if s is not None and h.named:
            asyncio.get_running_loop().call_later(
                C.BEAT_ENDS, lambda: h.slot == s and self.tell_beat(i=i, h=h)
            )

    def announce(self, *, b, h):
        """A boot that would end another's legs must beat twice: one late beat of a boot
        that came and went, freed from somewhere frozen, ends nothing."""
        if b["id"] in self.record.workers and not h.greeted:
            h.greeted = h.told_soon = True
            return
        if h.asked or h.named and self.record.level < 2:
            return  # a record of an older level would forget the worker's labels
        h.asked = True

        def k(r, st):
            h.asked = False
            if st is not None and r[0] == "ok":
                self.say(E.WORKER_NEW, worker=b["id"], kind=b["kind"])
                self.work.set()
                self.tell_soon(i=b["id"], h=h)

        self.hold_event(
            k=k,
            ev=["worker", b["id"], b["boot"], b["kind"], b["zone"], b["rack"], b["room"], *self.more_of(b)],
        )

    def more_of(self, b):
        if self.record.level < 2 or not b.get("labels"):
            return [b.get("keepsHold", False)] if self.record.level else []
        return [b.get("keepsHold", False), b["labels"]]

    def take_ends(self, *, b, h, w):
        if self.record.level and w.keeps != b.get("keepsHold", False) and not h.asked:
            h.asked = True
            self.hold_event(
                ev=["keeps", w.id, w.boot, not w.keeps], k=lambda r, st: setattr(h, "asked", False)
            )
        if w.state == LOST and not h.asked:
            h.asked = True

            def back(r, st):
                h.asked = False
                if st is not None and r[0] == "ok":
                    self.say(E.WORKER_BACK, worker=w.id, legs=len(w.runs))

            self.hold_event(ev=["back", w.id, w.boot], k=back)
        for run, how, why, *saved in b["ended"]:
            if run in self.record.legs:
                h.report_end(run=run, end=ReportedEnd(how=how, why=why, saved=saved[0] if saved else None))
        self.hold_ends(i=w.id, h=h)
        h.bye = h.bye or bool(b.get("bye") and (h.named or w.state == LEAVES and not w.runs))
        self.hold_goodbye(i=w.id, h=h)

    def hold_ends(self, *, i, h):
        """Queues the reported ends that stand in no batch."""
        for run, end in h.ends.items():
            if not end.held:
                end.held = True
                self.hold_event(ev=end.event(run), k=self.when_settled(i=i, h=h, run=run))

    def when_settled(self, *, i, h, run):
        """What is done once a batch with a reported end is over; a refused one's goes into the next."""

        def back(result, stamp):
            if run in self.record.legs:
                h.ends[run].held = False
                if self.live():
                    self.hold_ends(i=i, h=h)
                return
            del h.ends[run]
            if not h.ends:
                self.tell_soon(i=i, h=h)
                self.hold_goodbye(i=i, h=h)

        return back

    def hold_goodbye(self, *, i, h):
        """A worker that took leave for good is given up, but not before its reported ends are recorded."""
        if h.bye and not h.ends:
            h.bye = False
            self.hold_event(ev=["lost", i, h.boot, h.saved] if h.named else ["lost", i, h.boot])

    def has_news(self, *, i, h):
        now = self.seam.now()
        starts, stops = self.orders(i=i, h=h)
        if h.leave and i in self.record.workers and self.record.workers[i].state == LEAVES:
            return True
        stops = stops + h.strange
        return any(now - h.told.get(r, -9.0) > C.NEWS_AGAIN for r in starts + stops)

    def beat_outcome(self, *, i, h):
        if not self.live() or h.going:  # its legs may end in the turn under way
            return self.not_primary()
        starts, stops = self.orders(i=i, h=h)
        now, w = self.seam.now(), self.record.workers.get(i)
        h.told = {r: now for r in starts + stops + h.strange}
        if h.leave and (w is None or w.state != LEAVES):
            return self.not_primary()  # a leave is acknowledged when it is recorded
        if h.named:
            return Done(v=self.named_answer(w=w, h=h, starts=starts, stops=stops))
        out = [self.start_card(self.record.legs[r]) for r in starts]
        return Done(
            v={
                "starts": out,
                "stops": stops,
                "holdMs": self.params.hold_ms,
                "validMs": C.START_VALID_MS,
                "epoch": self.epoch,
                "known": w is not None and w.boot == h.boot,
                "state": w.state if w else "",
                "live": sorted(w.runs) if w else [],
                "clockMs": self.clock_ms(),
                "level": self.record.level,
            }
        )

    def tell_beat(self, *, i, h):
        k = self.beat_slab.take(i=h.slot[0], g=h.slot[1])
        h.slot = None
        if k is not None:
            k(self.beat_outcome(i=i, h=h))

    @in_section("news")
    def news(self):
        """After a turn: beats that wait and now have something to be told."""
        if not self.live():
            return
        for i, h in self.sessions.items():
            if h.slot is not None and self.has_news(i=i, h=h):
                self.tell_beat(i=i, h=h)
