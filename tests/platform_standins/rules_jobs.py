"""Rules about jobs: UNASKED, REFUSED, MIXED, and LOST as far as it is about jobs and about
requests that break off around planned work. What happened to a job is read from the index;
idle jobs at the end of the day are in idle.py."""

from .bounds import parse

STATES = ("queued", "active", "complete", "failed", "cancelled")
FAIR = ("config", "worker", "leave", "evacuate")  # troubles by which no rule is excused


class JobRules:
    def judge_jobs(self):
        for _, r in self.ix.orders:
            self.unasked(r)
        for x in self.ix.runs:
            j = self.ix.jobs.get(parse(x.task).job) if parse(x.task) else None
            if j is not None:
                self.after_cancel(x, j)
                self.refused(x, j)
        for j in self.ix.jobs.values():
            if j.body is not None:
                self.mixed(j)
                self.forgotten(j)
                self.without_cause(j)
                self.asked_at_the_end(j)

    # --- UNASKED, REFUSED

    def unasked(self, r):
        o = self.ix.of(r["task"])
        if o is None:
            self.flag("UNASKED", r["t"], f"{r['task']} on {r['w']}: no client sent it")
            return
        j, s, p = o
        if r["spec"] != j.body.get("jobProfile", ""):
            self.flag("UNASKED", r["t"], f"{r['task']} on {r['w']} with another jobProfile")
        if r["saved"]:
            of = self.ix.saves.get(r["saved"])
            mine = (
                of == r["task"] or s.get("gangScheduled") and parse(of or "") and parse(of).group == p.group
            )
            if not mine:
                self.flag("UNASKED", r["t"], f"{r['task']} on {r['w']} with the progress of {of}")

    def after_cancel(self, x, j):
        if j.cancelled is None:
            return
        if x.t0 > j.cancelled + self.bounds.cancel_ms and self.touch.in_touch(x.by, x.t0):
            self.flag(
                "UNASKED",
                x.t0,
                f"{x.task} starts {x.t0 - j.cancelled:.0f} ms after its job's cancel was acknowledged",
            )
        point = j.cancelled + self.bounds.cancel_ms + self.bounds.stop_timeout_ms
        end = min(x.t1, self.ix.last)
        if x.t0 <= point < end and not self.touch.near(j.cancelled, point, but=FAIR):
            self.flag(
                "UNASKED",
                point,
                f"{x.task} goes on {end - j.cancelled:.0f} ms after its job's cancel was acknowledged",
            )

    def refused(self, x, j):
        if j.turned_away():
            self.flag("REFUSED", x.t0, f"{x.task} on {x.w}: every try was turned away")

    # --- MIXED, LOST

    def mixed(self, j):
        for r in j.states:
            if r.get("state") not in STATES:
                self.flag("MIXED", r["t"], f"{j.id}: state {r.get('state')!r}")
            elif r["state"] == "complete":
                for task, _, _, s in j.tasks():
                    if not self.ix.is_done(task, s, r["i"]):
                        self.flag("MIXED", r["t"], f"{j.id} complete, {task} is not")
                        break

    def forgotten(self, j):
        if j.accepted is None:
            return
        for r in j.gone:
            if (
                r["sent"] > j.accepted + self.bounds.visible_ms
                and not self.may_forget(j, r["sent"])
                and self.touch.in_touch(r["by"], r["t"])
            ):
                self.flag(
                    "LOST", r["t"], f"{j.id} unknown {r['sent'] - j.accepted:.0f} ms after it was accepted"
                )
                return

    def may_forget(self, j, t):
        return j.final() is not None and t > j.final() + self.bounds.status_s * 1000

    def without_cause(self, j):
        for r in j.states:
            if r.get("state") == "cancelled" and (j.cancel_sent is None or j.cancel_sent > r["t"]):
                self.flag("LOST", r["t"], f"{j.id} shown cancelled, nobody asked")
                return
            if r.get("state") == "failed" and not self.has_failed(j, r["i"]):
                self.flag("LOST", r["t"], f"{j.id} shown failed without a cause")
                return

    def has_failed(self, j, i):
        """Whether a task, or a gang, failed by itself as often as its queue allows."""
        limit, runs = self.retry_limit(j, min) or 1, {}
        for task, _, _, s in j.tasks():
            key = parse(task).group if s.get("gangScheduled") else task
            for x in self.ix.by_task.get(task, []):
                if x.how == "failed" and x.i1 < i:
                    runs.setdefault(key, set()).add((x.run, "" if s.get("gangScheduled") else x.w))
        return any(len(x) >= limit for x in runs.values())

    def asked_at_the_end(self, j):
        """Jobs are asked for once the traffic has long ended."""
        asks = self.finals.get(j.id, [])
        if j.accepted is None or not asks:
            return
        if not any(r["status"] == 200 or r["status"] == 410 and self.may_forget(j, r["sent"]) for r in asks):
            known = any(r["status"] == 410 for r in asks)
            self.flag(
                "LOST", asks[-1]["t"], f"{j.id} " + ("is not known" if known else "is not answered in time")
            )

    # --- LOST, leaving in order

    def judge_cuts(self):
        for r in self.broken_off:
            m, sent = self.touch.machine(r["by"]), r["sent"]
            if r["t"] - sent <= self.bounds.loss_slack_ms:
                continue
            if self.touch.near(sent, r["t"], but=("term", "hup", "start", *FAIR)):
                continue
            grace = self.bounds.grace_s * 1000 + 1000
            term = any(s.t0 <= r["t"] <= s.t0 + grace for s in self.touch.of(m, "term"))
            hup = any(
                s.t0 <= r["t"] and sent < s.t0 + self.bounds.config_apply_ms for s in self.touch.of(m, "hup")
            )
            if term or hup:
                self.flag(
                    "LOST",
                    r["t"],
                    f"{r['id']} to {r['by']} broke off after {r['t'] - sent:.0f} ms, around planned work",
                )
