"""Rules about starts: LIMIT, TWICE, ORDER, ROUTE, BUDGET, GANG, DRAIN, EVAC. Each method
looks at one run, or at one task's runs, with the exceptions that the page gives."""

from .bounds import labels, parse

SECOND = 1000  # ms; a machine in touch has learnt of an end after this
JUMP = 5000  # ms; earlier starts are allowed for on days when clocks jump


class StartRules:
    def judge_starts(self):
        for x in self.ix.runs:
            o = self.ix.of(x.task)
            if o is None:
                continue  # UNASKED says so
            j, s, p = o
            self.limit(x)
            self.order(x, j, s, p)
            self.route(x, j, s, p)
            self.budget(x, j, s)
            self.gang(x, j)
            self.drain(x)
            self.evac(x)
        for task in self.ix.by_task:
            self.twice(task)

    def limit(self, x):
        w = self.ix.workers.get(x.w)
        if w is None or w["guards"]:
            return
        used = [sum(c) for c in zip(*(self.ix.need_of(y) for y in self.ix.alive(x.w, x.i0)))]
        if any(u > m for u, m in zip(used, w["capacity"])):
            self.flag("LIMIT", x.t0, f"{x.task} on {x.w}: {used} of {w['capacity']}")

    def twice(self, task):
        o = self.ix.of(task)
        if o is None:
            return
        j, s, p = o
        runs = self.ix.by_task[task]
        good = [] if s.get("longRunning") else self.good_ends(task, s, p)
        shown = j.shown("complete")
        for n, x in enumerate(runs):
            if not s.get("duplicateRun"):
                for y in runs[:n]:
                    if y.i1 > x.i0:
                        self.flag("TWICE", x.t0, f"{task} on {x.w} while it runs on {y.w}")
                if any(y.i1 < x.i0 for y in good):
                    self.flag("TWICE", x.t0, f"{task} on {x.w} after it was done")
                    continue
            ends = [y.noted for y in good] + ([shown] if shown is not None else [])
            if ends and x.t0 > min(ends) + SECOND and self.touch.in_touch(x.by, x.t0):
                self.flag("TWICE", x.t0, f"{task} on {x.w} long after it was known to be done")

    def good_ends(self, task, step, p):
        """Runs that ended done and were taken note of; in a gang any member's serves."""
        tasks = [task]
        if step.get("gangScheduled"):
            tasks = [f"{p.job}.{p.k}.{p.step}.{n}" for n in range(step["taskCount"])]
        return [
            x for t in tasks for x in self.ix.by_task.get(t, []) if x.how == "done" and x.noted is not None
        ]

    def order(self, x, j, s, p):
        for d in s.get("dependsOn", []):
            sd = j.body["stages"][d]
            for n in range(sd["taskCount"]):
                before = f"{p.job}.{p.k}.{d}.{n}"
                if not self.ix.is_done(before, sd, x.i0):
                    self.flag("ORDER", x.t0, f"{x.task} before {before} was done")
                    return
        if j.body.get("runCount", 0) > 0:
            due = j.body.get("firstRunMs", 0) + p.k * j.body.get("intervalMs", 0)
            early = self.bounds.early_ms + (JUMP if self.touch.clocks_jump() else 0)
            if x.t0 < due - early:
                self.flag("ORDER", x.t0, f"{x.task} {due - x.t0:.0f} ms before its time")

    def route(self, x, j, s, p):
        w = self.ix.workers.get(x.w)
        if w is None:
            return
        to = self.services(j, x.t0)
        if to is not None and w["service"] not in to:
            if w["service"] in self.services(j, x.t0, refused=True):
                self.flag("CONFIG", x.t0, f"{x.task} on {x.w}: by a version that was refused")
            else:
                self.flag("ROUTE", x.t0, f"{x.task} on {x.w} of {w['service']}, not {sorted(to)}")
        lacks = [a for a in labels(s) if a not in w["labels"]]
        if lacks:
            self.flag("ROUTE", x.t0, f"{x.task} on {x.w} without {lacks}")
        most = s.get("antiAffinity", 0)
        if most:
            n = sum(parse(y.task).group == p.group for y in self.ix.alive(x.w, x.i0) if parse(y.task))
            if n > most:
                self.flag("ROUTE", x.t0, f"{x.task}: {n} of its step on {x.w}")

    def budget(self, x, j, s):
        limit = self.retry_limit(j, max)
        if s.get("longRunning") or limit is None:
            return
        bad = sorted(
            (y for y in self.ix.by_task[x.task] if y.how == "failed" and y.noted is not None and y.i1 < x.i0),
            key=lambda y: y.noted,
        )
        if len(bad) < limit:
            return
        if s.get("duplicateRun") and not (
            x.t0 > bad[limit - 1].noted + SECOND and self.touch.in_touch(x.by, x.t0)
        ):
            return
        self.flag("BUDGET", x.t0, f"{x.task} after {len(bad)} failed runs")

    def gang(self, x, j):
        if x.how != "alone" or j.cancel_sent is not None and j.cancel_sent <= x.t1:
            return
        if not (self.touch.in_touch(x.by, x.t0) and self.touch.in_touch(x.by, x.t1)):
            return
        if not self.touch.near(x.t0, x.t1, but=("config", "worker")):
            self.flag("GANG", x.t1, f"{x.task} ended alone on {x.w}")

    def drain(self, x):
        for r in self.drains.get(x.w, []):
            if (
                x.t0 > r["t"] + self.bounds.drain_ms
                and self.touch.in_touch(r["by"], r["t"])
                and self.touch.in_touch(x.by, x.t0)
            ):
                self.flag(
                    "DRAIN",
                    x.t0,
                    f"{x.task} on {x.w} {x.t0 - r['t']:.0f} ms after it was acknowledged to drain",
                )
                return

    def evac(self, x):
        w = self.ix.workers.get(x.w)
        for zone, t0, t1 in self.evacuations:
            if w and w["zone"] == zone and t0 + self.bounds.evacuate_ms < x.t0 < t1:
                if self.touch.in_touch(x.by, x.t0):
                    self.flag("EVAC", x.t0, f"{x.task} on {x.w}, {zone} is evacuated")
                    return
