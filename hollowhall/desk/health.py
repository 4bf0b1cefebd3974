"""The health of workers, as their own attempts tell it. Each worker is sound, suspected, set
aside or on trial; `health_to` is the one place where that changes. Evidence is the logarithm of
how much likelier a sick worker is to show what was seen than a sound one: failures weigh by how
rare they are in their queue, good ends speak against it, and all of it decays. A failure is the
task's own fault where the step fails on other workers as well: then nobody is blamed for it. A
suspected worker is chosen last and gets nothing that failed before; one on trial gets one
attempt at a time, and each relapse doubles the time that it is set aside, up to a bound."""

from dataclasses import dataclass, field
from math import log

from ..base import consts as C
from ..base import events as E
from ..record.kinds import UP

SOUND, SUSPECTED, ASIDE, TRIAL = "sound", "suspected", "aside", "trial"
MOVES = {SOUND: (SUSPECTED, ASIDE), SUSPECTED: (SOUND, ASIDE), ASIDE: (TRIAL, SOUND), TRIAL: (SOUND, ASIDE)}


@dataclass(kw_only=True)
class Health:
    state: str = SOUND
    guilt: float = 0.0  # evidence, natural logarithm of odds
    at: int = 0  # ms; up to when it is decayed
    until: int = 0  # ms; set aside up to then
    slow_at: int = 0  # ms; the last sign that its attempts go too slowly
    times: int = 0  # relapses: how often it was set aside lately
    good: int = 0  # good ends on trial
    good_at: int = 0  # ms; of its last good end
    era: int = 0  # rises when it is tried anew or cleared: older ends count no more
    steps: dict = field(default_factory=dict)  # (job, step): what that step adds to the guilt


class HealthMixin:
    def open_health(self):
        self.health, self.results, self.queue_bad = {}, {}, {}

    def health_of(self, i):
        return self.health.setdefault(i, Health())

    def health_to(self, *, i, state, ms, until=0):
        """The one place where a worker's health changes its state."""
        x = self.health_of(i)
        assert state in MOVES[x.state], (i, x.state, state)
        if state == ASIDE:
            x.times, x.until = x.times + 1, until
        else:
            x.guilt, x.good = (C.GUILT_SUSPECTED / 2, 0) if state == TRIAL else (x.guilt, 0)
        if state in (SOUND, TRIAL):
            x.steps, x.era = {}, x.era + 1
        x.state, x.at = state, ms

    def probation_ms(self, i):
        """How long a worker is set aside now: twice as long with each relapse."""
        return min(C.PROBATION_MOST_MS, C.PROBATION_MS << min(self.health_of(i).times, 8))

    # --- evidence

    def note_health(self, *, evs, ms):
        """The ends of a turn that is about to be applied, and what it says of probation."""
        if not self.policy.health:
            return
        for ev in evs:
            if ev[0] == "flaky" and ev[1] in self.record.workers:
                self.note_probation(i=ev[1], until=ev[2], ms=ms)
            elif ev[0] == "end" and ev[2] in ("ok", "bad") and ev[1] in self.record.legs:
                g = self.record.legs[ev[1]]
                if not self.record.jobs[g.job].steps[g.step].spec.get("forever"):
                    self.note_end(g=g, bad=ev[2] == "bad", ms=ms)  # those may fail at any time

    def note_probation(self, *, i, until, ms):
        x = self.health_of(i)
        if until > ms and x.state != ASIDE:
            self.health_to(i=i, state=ASIDE, ms=ms, until=until)
        elif until > ms:
            x.until = until
        elif x.state == ASIDE:
            x.times = max(0, x.times - 1)
            self.health_to(i=i, state=SOUND, ms=ms)

    def note_end(self, *, g, bad, ms):
        k, i = (g.job, g.step), g.worker
        rs = self.results.setdefault(k, {})
        r, era = rs.setdefault(i, [0, 0, 0]), self.health_of(i).era
        if r[2] != era:
            r[:] = [0, 0, era]
        r[bad] += 1
        usual = self.queue_bad.get(g.lane, C.FAILS_USUAL)
        if self.health_of(i).state == SOUND:
            self.queue_bad[g.lane] = usual + C.FAILS_NEW * (bad - usual)
        usual = min(max(usual, C.FAILS_LEAST), C.FAILS_MOST)
        if not bad:
            self.health_of(i).good_at = ms
            self.add_guilt(i=i, d=log((1 - C.FAILS_SICK) / (1 - usual)), ms=ms)
        weight = log(C.FAILS_SICK / usual)
        for j in list(rs) if len(rs) <= C.BLAMED_MOST else [i]:
            if self.blame(i=j, k=k, rs=rs, weight=weight, ms=ms) and j != i:
                self.judge_health(i=j, ms=ms)
        self.judge_health(i=i, ms=ms, bad=bad)
        while len(self.results) > C.RESULTS_KEPT:
            del self.results[next(iter(self.results))]

    def blame(self, *, i, k, rs, weight, ms):
        """What a step's failures on a worker add to its guilt, by how the step fared on others:
        all of them where it ended well there, none where it failed there too, a part where it
        failed only on workers that are not sound. True if it is another guilt now."""
        bad, x = rs[i][1], self.health_of(i)
        was = x.steps.get(k, 0.0)
        if not bad or rs[i][2] != x.era:
            return False
        others = [(j, r) for j, r in rs.items() if j != i]
        too = {self.health_of(j).state in (SOUND, SUSPECTED) for j, r in others if r[1]}
        if True in too:
            new = 0.0
        elif too:
            new = weight * C.BLAME_UNSURE
        else:
            new = weight * (min(bad, C.BLAME_MOST) if any(r[0] for _, r in others) else 1)
        if new != was:
            x.steps[k] = new
            self.add_guilt(i=i, d=new - was, ms=ms)
            while len(x.steps) > C.BLAMES_KEPT:
                del x.steps[next(iter(x.steps))]
        return new != was

    def add_guilt(self, *, i, d, ms):
        """Adds evidence; what was known before has decayed since."""
        x = self.health_of(i)
        if x.state != ASIDE:
            x.guilt *= 0.5 ** (max(0, ms - x.at) / C.GUILT_HALF_MS)
        x.guilt, x.at = max(0.0, x.guilt + d), max(ms, x.at)

    def judge_health(self, *, i, ms, bad=None):
        """What its evidence makes of a worker now. Only the primary sets one aside."""
        x, w = self.health_of(i), self.record.workers.get(i)
        if w is None:
            return
        if x.state == TRIAL:
            x.good += bad is False
            if x.good >= C.TRIAL_GOOD:
                self.health_to(i=i, state=SOUND, ms=ms)
            elif bad and x.guilt >= C.GUILT_SUSPECTED:
                self.put_aside(w=w, ms=ms)
        elif x.state == ASIDE:
            if x.guilt < C.GUILT_SUSPECTED and w.flaky > ms and self.live():
                x.guilt = C.GUILT_SUSPECTED
                self.say(E.WORKER_CLEARED, worker=i)
                self.hold_event(ev=["flaky", i, 0])
        elif x.guilt >= C.GUILT_ASIDE:
            self.put_aside(w=w, ms=ms)
        elif x.guilt >= C.GUILT_SUSPECTED and x.state == SOUND:
            self.health_to(i=i, state=SUSPECTED, ms=ms)
        elif x.guilt < C.GUILT_SUSPECTED / 2 and x.state == SUSPECTED:
            self.health_to(i=i, state=SOUND, ms=ms)

    def put_aside(self, *, w, ms):
        """Sets a worker aside, unless too many of its kind are: then it stays as it is."""
        if not self.live() or not self.may_put_aside(w):
            return
        until = ms + self.probation_ms(w.id)
        ends = self.windows.get(w.id) or (1,)
        self.judged[w.id] = max(C.FAILS_SICK, sum(ends) / len(ends))
        self.say(
            E.WORKER_FLAKY,
            worker=w.id,
            failed=round(self.judged[w.id], 2),
            guilt=round(self.health_of(w.id).guilt, 1),
            ms=until - ms,
        )
        self.health_to(i=w.id, state=ASIDE, ms=ms, until=until)
        self.hold_event(ev=["flaky", w.id, until])

    def note_pace_of(self, *, i, ms):
        """A worker's attempts go far too slowly, or stand still: for how many ms it is set
        aside after this sign of it, twice as long if it was on trial for that before."""
        x, times = self.health_of(i), self.health_of(i).times
        span = min(C.PROBATION_MOST_MS, int(C.ASIDE_S * 1000) << min(times - (x.state == ASIDE), 8))
        if x.state != ASIDE:
            self.health_to(i=i, state=ASIDE, ms=ms, until=ms + span)
        x.until, x.slow_at = max(x.until, ms + span), ms
        return span

    def calm_again(self, *, i, ms):
        """Whether a worker was set aside for its pace and gave no sign of it for ASIDE_S since."""
        x = self.health_of(i)
        return x.state == ASIDE and x.slow_at > 0 and ms - x.slow_at >= C.ASIDE_S * 1000

    def end_aside(self, *, i, ms):
        """A worker that was set aside is tried before its time is over."""
        if self.health_of(i).state == ASIDE:
            self.health_to(i=i, state=TRIAL, ms=ms)

    def may_put_aside(self, w):
        """Whether another one of its kind may be set aside; never more than a part is."""
        kind = [x.id for x in self.record.workers.values() if x.kind == w.kind and x.state == UP]
        n = sum(i in self.slow or i in self.health and self.health[i].state == ASIDE for i in kind)
        return n < len(kind) * C.ASIDE_PART

    def look_at_health(self, *, ms):
        """What time alone changes: evidence decays, and who was set aside is tried again."""
        for i in [i for i in self.health if i not in self.record.workers]:
            del self.health[i]
        for i, x in self.health.items():
            if x.state == ASIDE and ms >= x.until and i not in self.slow:
                self.health_to(i=i, state=TRIAL, ms=ms)
            elif x.state == SUSPECTED:
                self.add_guilt(i=i, d=0.0, ms=ms)
                self.judge_health(i=i, ms=ms)
            elif x.state == SOUND and x.times and ms - x.at > C.RELAPSE_MS:
                x.times, x.at = x.times - 1, ms

    def doubted(self):
        """What placement is to know: `doubt`, the suspected (a failure that is reported and not
        yet recorded counts at once); `trials`; `aside`, with when that ends; `proven`, those
        that ended something well a moment ago."""
        by, fresh = {s: {} for s in MOVES}, self.clock_ms() - C.PROVEN_MS
        for i, x in self.health.items():
            by[x.state][i] = (0.0, x.until)
        bad = {i for i, h in self.sessions.items() if any(end.how == "bad" for end in h.ends.values())}
        return {
            "doubt": by[SUSPECTED].keys() | bad,
            "trials": by[TRIAL].keys(),
            "aside": by[ASIDE],
            "proven": {i for i in by[SOUND] if self.health[i].good_at > fresh and i not in bad}
            if self.policy.proven_retries
            else set(),
        }
