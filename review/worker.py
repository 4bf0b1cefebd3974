"""A stand-in worker, as PROTOCOL.md describes one: it beats, carries out what the answers say, holds
what runs for the time that it was given, and lists what runs and what has ended. The text of a job says
how long its tasks work and how much they take of a worker: {"ms": 1500, "cpu": 2000}."""

import json
import threading
import time

from fleet import BOUNDS, KEEPALIVE_S, SILENCE_S, follow, read

STOP_S = 0.1  # a stop is carried out in this; stopTimeoutMs is 900


class Run:
    def __init__(self, *, task, run, spec, saved, at):
        self.task, self.run, self.at, self.saved = task, run, at, saved
        d = json.loads(spec)
        self.ms, self.cpu = d.get("ms", 500), d.get("cpu", 0)
        self.ends, self.how = at + self.ms / 1000, "done"
        self.still, self.lag = 0.0, 0.0

    def percent(self, now):
        now = self.still or now  # it stands still since then
        return max(0, min(99, int(100 * (now - self.at - self.lag) * 1000 / self.ms)))


class Worker:
    def __init__(self, *, id, service, zone, rack, rec, daemons, cpu=16000, via=lambda a: a):
        self.id, self.service, self.zone, self.rec = id, service, zone, rec
        self.capacity, self.labels = {"cpu": cpu, "memMb": 65536, "gpu": 0}, ["a", rack]
        self.daemons, self.via = daemons, via
        self.seq = self.n = self.fence = 0
        self.runs, self.ends, self.last = {}, [], {}  # task: Run; ends to be told; task: highest run over
        self.hold, self.at, self.over, self.state = 0.0, None, False, "up"
        self.took_leave = threading.Event()  # DELETE is to be sent
        self.acked = None  # when it was acknowledged
        self.still_until = 0.0
        self.lock, self.wake = threading.RLock(), threading.Event()
        self.history = []  # (task, run, start, end, how)

    def start(self):
        for f in (self.beats, self.work):
            threading.Thread(target=f, daemon=True).start()
        return self

    # --- what runs

    def work(self):
        while not self.over:
            now = time.monotonic()
            with self.lock:
                for r in list(self.runs.values()):
                    if now >= self.hold:
                        self.end(r, "lapsed")
                    elif not self.hold_up(r, now) and now >= r.ends:
                        self.end(r, r.how)
            time.sleep(0.005)

    def end(self, r, how):
        del self.runs[r.task]
        self.n += 1
        self.ends.append([self.n, r.task, r.run, how, ""])
        self.last[r.task] = max(r.run, self.last.get(r.task, 0)) if how == "stopped" else r.run
        self.history.append((r.task, r.run, r.at, time.monotonic(), how))
        self.rec.note("run ends", worker=self.id, task=r.task, run=r.run, how=how)
        self.wake.set()

    def stand_still(self, seconds):
        """What runs, and what is started meanwhile, makes no progress for so long; stops are obeyed."""
        self.still_until = time.monotonic() + seconds

    def hold_up(self, r, now):
        """Whether a run stands still now; when it goes on, its end is so much later."""
        if now < self.still_until and r.how == "done":
            r.still = r.still or now
            return True
        if r.still:
            r.lag, r.ends, r.still = r.lag + now - r.still, r.ends + now - r.still, 0.0
        return False

    def used(self):
        with self.lock:
            return sum(r.cpu for r in self.runs.values())

    def leave_now(self):
        """The process ends: all that runs on it dies."""
        with self.lock:
            self.over = True
            for r in list(self.runs.values()):
                self.history.append((r.task, r.run, r.at, time.monotonic(), "died"))
                self.rec.note("run ends", worker=self.id, task=r.task, run=r.run, how="died")
            self.runs.clear()
        self.rec.note("worker ends", worker=self.id)

    # --- beats

    def report(self):
        with self.lock:
            self.seq += 1
            now = time.monotonic()
            return {
                "targetService": self.service,
                "address": "127.0.0.1:9",
                "zone": self.zone,
                "revision": "v1",
                "slots": 8,
                "state": self.state,
                "warmupLeftMs": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "clockMs": int(now * 1000),
                "sequence": self.seq,
                "active": [[r.task, r.run, r.saved, r.percent(now)] for r in self.runs.values()],
                "ended": self.ends[:500],
            }

    def beats(self):
        n, pause = 0, 0.0
        while not self.over:
            leave = self.took_leave.is_set() and self.acked is None
            a = self.at or self.daemons[n % len(self.daemons)]
            sent = time.monotonic()
            if leave:
                st, text, _ = follow(a, "DELETE", f"/instances/{self.id}", via=self.via)
                self.rec.note("worker", worker=self.id, call="DELETE", at=a, status=st)
            else:
                b = self.report()
                st, text, _ = follow(a, "PUT", f"/instances/{self.id}", b, via=self.via)
            good = 200 <= st < 300 and time.monotonic() - sent <= SILENCE_S
            if not good:
                if not leave:
                    self.rec.note("worker", worker=self.id, call="PUT", at=a, status=st)
                n += 1  # on to the next daemon, which is another one
                if self.daemons[n % len(self.daemons)] == a:
                    n += 1
                self.at, pause = None, min(1.0, pause * 2 or 0.05)
                time.sleep(pause)
                continue
            pause = 0.0
            if leave:
                self.acked = time.monotonic()
                continue
            d = read(text) or {}
            self.take(d, sent)
            self.at = d.get("keepaliveTarget") or a
            self.wake.wait(min(KEEPALIVE_S, d.get("retryAfterMs", KEEPALIVE_S * 1000) / 1000))
            if self.wake.is_set():
                time.sleep(0.05)
            self.wake.clear()

    def take(self, d, sent):
        with self.lock:
            if d.get("fenceToken", 0) < self.fence or self.over:
                return
            self.fence = d.get("fenceToken", 0)
            self.ends = [e for e in self.ends if e[0] > d.get("lastSeen", 0)]
            if "holdMs" not in d:
                return
            self.hold = max(self.hold, sent + min(d["holdMs"], BOUNDS["holdMaxMs"]) / 1000)
            for task, run in d.get("stop", ()):
                self.stop(task, run)
            for task, run, spec, saved in d.get("start", ()):
                self.begin(task, run, spec, saved)

    def stop(self, task, run):
        r = self.runs.get(task)
        if r is not None and r.run == run:
            now = time.monotonic()
            r.still, r.ends, r.how = 0.0, now + STOP_S if r.still else min(r.ends, now + STOP_S), "stopped"
        else:
            self.last[task] = max(run, self.last.get(task, 0))

    def begin(self, task, run, spec, saved):
        if task in self.runs or run <= self.last.get(task, 0):
            return
        r = self.runs[task] = Run(task=task, run=run, spec=spec, saved=saved, at=time.monotonic())
        self.rec.note("run starts", worker=self.id, task=task, run=run, ms=r.ms)


def overlaps(workers):
    """Pairs of runs of one task that worked at the same time: (task, first, second, seconds)."""
    by, out = {}, []
    for w in workers:
        now = time.monotonic()
        for t, n, a, b, _ in w.history:
            by.setdefault(t, []).append((a, b, w.id, n))
        for r in list(w.runs.values()):
            by.setdefault(r.task, []).append((r.at, now, w.id, r.run))
    for t, xs in by.items():
        xs.sort()
        for i, x in enumerate(xs):
            for y in xs[i + 1 :]:
                if y[0] < x[1]:
                    out.append((t, x[2:], y[2:], round(min(x[1], y[1]) - y[0], 3)))
    return out
