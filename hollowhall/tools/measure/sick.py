"""What sick workers cost, over seeds and kinds of sickness, without looking at their health:
a fleet under load, some of whose workers turn sick for a while, judged by versions of the
primary's care for workers. docs/measurements-sick.md keeps what was seen."""

import random
from multiprocessing import Pool

from cleo.commands.command import Command
from cleo.helpers import option

from ...base import log_events
from .sick_fleet import DOWN, STRETCH, TARGET_MS, UP, Fleet, Judge

BEGIN, SICK, WELL, CALM = 2.0, 5.0, 14.0, 28.0  # s; traffic, sickness, health, no traffic
END = 38.0  # s; what has not ended by then did not end
PART = 0.06  # of the workers turn sick; of a wide sickness, WIDE
WIDE = 0.2
PAUSE = 2.0  # s; without a start, until a worker counts as left alone
KINDS = {  # name: (share of starts that fail, times slower, it flaps, poison, sick part)
    "none": (0, 1, False, 0.0, 0.0),
    "fails": (1.0, 1, False, 0.0, PART),
    "grey": (0.5, 1, False, 0.0, PART),
    "hang": (0, float("inf"), False, 0.0, PART),
    "slow": (0, 8, False, 0.0, PART),
    "flap": (0, 1, True, 0.0, PART),
    "wide": (1.0, 1, False, 0.0, WIDE),
    "poison": (0, 1, False, 0.08, 0.0),
    "both": (1.0, 1, False, 0.08, PART),
    "told": (1.0, 1, False, 0.0, PART),
    "lies": (1.0, 1, False, 0.0, PART),
}
ANSWERS = {"told": (True, 0), "lies": (False, PART)}  # sick ones say so; sound ones say ill
LOOK = 2.0  # s; between two looks at each worker's health
FIGURES = ("on time", "late", "failed", "wasted", "starts", "alone s", "wrong", "back s", "looks")


class Off(Judge):
    """No care: neither failures nor pace count."""

    def note_health(self, **kw):
        pass

    def judge_progress(self, **kw):
        pass

    def health_view(self):
        return {}


class Before(Judge):
    """The care before workers had a health: five ends, half of them failed, and a minute aside."""

    def note_health(self, **kw):
        pass

    def take_report(self, *, request, session, worker):
        super().take_report(request=request, session=session, worker=worker)
        x, ms = self.recent_failures.get(worker.id, ()), self.clock_ms()
        if sum(x) >= 2.5 and len(x) >= 5 and worker.flaky < ms:
            bad, base = sum(x) / len(x), self.peer_failure_share(worker)
            if bad > 0.5 and bad > 2 * base:
                x.clear()
                self.aside_failure_share[worker.id] = bad
                self.say(log_events.WORKER_FLAKY, worker=worker.id)
                self.queue_event(event=["flaky", worker.id, ms + 60_000])

    def health_view(self):
        return {}


class Looks(Judge):
    """Today's care, and a look at every worker's health: two ill answers set it aside."""

    looked = 0.0

    def check_workers(self, *, now, ms):
        super().check_workers(now=now, ms=ms)
        if now - self.looked < LOOK:
            return
        self.looked = now
        for i, w in self.record.workers.items():
            self.looks += 1
            self.ill[i] = self.ill.get(i, 0) + 1 if not self.answer(i) else 0
            if self.ill[i] > 1 and self.may_set_aside(w):
                if self.ill[i] == 2:
                    self.say(log_events.WORKER_SLOW, worker=i)
                self.slow[i] = (1.0, now + self.note_slow_worker(worker_id=i, ms=ms) / 1000)


VERSIONS = {"off": Off, "before": Before, "now": Judge, "looks": Looks}


def alone_after(starts, *, since, until):
    """S from `since` until the last start before a pause; None where there was none."""
    xs = [x for x in starts if since <= x < until] + [until + PAUSE]
    at = since
    for x in xs:
        if x - at >= PAUSE:
            return at - since
        at = x
    return until - since


def play(*, seed, kind, judge, workers, load):
    """One run; the fleet, its sick workers, and what was said of sound ones."""
    fails, slow, flaps, poison, part = KINDS[kind]
    rng = random.Random(f"{seed} {kind}")
    f = Fleet(judge=judge, workers=workers, rng=rng, load=load, poison=poison)
    ill = rng.sample(f.ws, max(2, int(workers * part))) if part else []
    turn = {w: SICK + rng.uniform(0, 1) for w in ill}
    says, liars = ANSWERS.get(kind, (False, 0))
    liars = rng.sample([w.id for w in f.ws if w not in ill], int(workers * liars))
    f.d.looks, f.d.ill = 0, {}
    f.d.answer = lambda i: (
        not (SICK <= f.d.t < WELL and i in liars) and not (says and any(w.id == i and w.sick for w in ill))
    )
    while f.d.t < END:
        t = f.d.t
        for w in ill:
            if not flaps and not w.sick and turn[w] <= t < WELL:
                w.sick, w.fails, w.slow = True, fails, slow
            elif w.sick and t >= WELL and not flaps:
                w.sick, w.fails, w.slow = False, 0.0, 1.0
            elif flaps and t >= turn[w] and (t < WELL or w.away):
                f.come_back(w) if w.away else f.leave(w)
                turn[w] = t + rng.uniform(0.7, 1.3) * (DOWN if w.away else UP)
        f.tick(sending=BEGIN <= t < CALM)
    return f, ill


def figures(f, ill):
    """A run's figures, by FIGURES; None where it has nothing to say."""
    js, ids = [], {w.id.split(".")[0] for w in ill}
    for n, j in f.jobs.items():
        r = f.d.record.jobs.get(n)
        if not j.poison and r is not None:
            took = (r.ended >> 18) - 1_000_000 - j.at * 1000 if r.state == "done" else None
            js.append((took, STRETCH * j.ideal + TARGET_MS, r.state == "failed"))
    n = len(js)
    good = sum(t is not None and t <= a for t, a, _ in js)
    starts = [[x for x in w.starts if SICK <= x < WELL] for w in ill]
    alone = [alone_after(w.starts, since=SICK, until=WELL) for w in ill]
    back = [next((x - WELL for x in w.starts if x >= WELL), CALM - WELL) for w in ill]
    wrong = [
        kw["worker"] for t, no, kw in f.d.said if no in (413, 419) and kw["worker"].split(".")[0] not in ids
    ]
    mean = lambda xs: sum(xs) / len(xs) if xs else None  # noqa: E731
    return dict(
        zip(
            FIGURES,
            (
                good / n,
                sum(t is not None and a < t <= 3 * a for t, a, _ in js) / n,
                sum(x for *_, x in js) / n,
                f.lost / f.useful(),
                mean([len(x) for x in starts]),
                mean(alone),
                len(wrong),
                mean(back),
                f.d.looks,
            ),
        )
    )


def one(a):
    seed, kind, version, workers, load = a
    return (
        kind,
        version,
        figures(*play(seed=seed, kind=kind, judge=VERSIONS[version], workers=workers, load=load)),
    )


def line(kind, version, fs):
    """Means over the seeds, in the order of FIGURES."""

    def mean(k):
        xs = [f[k] for f in fs if f[k] is not None]
        return "-" if not xs else f"{sum(xs) / len(xs):.3f}"

    return " | ".join([kind, version, *map(mean, FIGURES)])


class SickCommand(Command):
    name = "sick"
    description = "Play sick workers over seeds, in virtual time, against versions of their care."
    options = [
        option("seeds", None, "FIRST-LAST.", flag=False, default="1-8"),
        option("kinds", None, ",".join(KINDS) + ".", flag=False, default=",".join(KINDS)),
        option("versions", None, ",".join(VERSIONS) + ".", flag=False, default=",".join(VERSIONS)),
        option("workers", None, "How many.", flag=False, default="120"),
        option("load", None, "Part of the room that is asked for.", flag=False, default="0.6"),
        option("procs", None, "Runs at the same time.", flag=False, default="2"),
    ]

    def handle(self):
        try:
            a, b = map(int, self.option("seeds").split("-"))
            ks, vs = self.option("kinds").split(","), self.option("versions").split(",")
            ks, vs = [k for k in ks if KINDS[k]], [v for v in vs if VERSIONS[v]]
            n, load, procs = (
                int(self.option("workers")),
                float(self.option("load")),
                int(self.option("procs")),
            )
            if not 0 < load <= 2 or not 4 <= n <= 2000 or b < a or procs < 1:
                raise ValueError("out of range")
        except (ValueError, KeyError) as e:
            self.line_error(f"bad option: {e}")
            return 2
        with Pool(procs) as p:
            got = p.map(
                one, [(s, k, v, n, load) for k in ks for v in vs for s in range(a, b + 1)], chunksize=1
            )
        self.line(" | ".join(["kind", "version", *FIGURES]))
        for k in ks:
            for v in vs:
                self.line(line(k, v, [f for x, y, f in got if (x, y) == (k, v)]))
        return 0


SICK_WORKERS = [SickCommand]
