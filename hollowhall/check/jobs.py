"""Rules about jobs: one job a name, nothing refused or unsent runs, cancels hold,
accepted jobs stay, done means every task ended well."""

VISIBLE, READABLE = 3000, 120_000  # ms; seen within, and readable at least
CANCEL_START, CANCEL_RUN = 3000, 12_000  # ms; after a confirmed cancel
RECOVER = 12_000  # ms; service after the last fault
ENDS = ("done", "failed", "cancelled")


class JobRules:
    def open_jobs(self):
        self.jobs = {}  # name: what requesters know
        self.done_seen, self.last_fault, self.served = [], None, []

    def job(self, name):
        return self.jobs.setdefault(
            name,
            {
                "bodies": {},
                "news": [],
                "taken": None,
                "maybe": False,
                "refused": 0,
                "cancel": None,
                "cancel_asked": None,
                "end": None,
                "state": "",
                "calls": {},
            },
        )

    def see_put(self, r):
        j = self.job(r["name"])
        j["calls"][r["id"]] = r
        j["bodies"][repr(r["body"])] = r["body"]
        self.seen["puts"] += 1

    def see_put_out(self, r):
        j, st = self.job(r["name"]), r["status"]
        if st in (200, 201):
            if st == 201 or r.get("new"):
                j["news"].append(r["t"])
                if len(j["news"]) > 1:
                    self.flag("second-job", r["t"], f"{r['name']} was new twice")
            if j["taken"] is None:
                j["taken"], j["body"] = r["t"], r["body"]
                self.note_lane_job(r)
                self.seen["jobs_accepted"] += 1
            elif r["body"] != j["body"]:
                self.flag("second-job", r["t"], f"{r['name']} taken with two bodies")
            self.served.append(r["t"])
        elif r["taken"] == "no":
            j["refused"] += 1
        else:
            j["maybe"] = True

    def see_cancel(self, r):
        j = self.job(r["name"])
        j["cancel_asked"] = j["cancel_asked"] or r["t"]

    def see_cancel_out(self, r):
        j = self.job(r["name"])
        if r["status"] == 200 and r.get("state") not in ("done", "failed") and j["cancel"] is None:
            j["cancel"] = r["t"]
        elif r["status"] == 404 and j["taken"] and r["at"] > j["taken"]:
            self.flag("forgotten", r["t"], f"{r['name']} unknown to a cancel")

    def see_get_out(self, r):
        j, st = self.job(r["name"]), r["status"]
        if st in (404, 410) and j["taken"] is not None and r["at"] > j["taken"] + VISIBLE:
            if j["end"] is None or r["t"] < j["end"] + READABLE:
                self.flag("forgotten", r["t"], f"{r['name']} not to be read: {st}")
        if st != 200:
            return
        self.served.append(r["t"])
        if j["state"] in ENDS and r["state"] != j["state"] and r["at"] > j["end"]:
            self.flag("goes-back", r["t"], f"{r['name']} was {j['state']}, now {r['state']}")
        if r["state"] in ENDS and j["end"] is None:
            j["end"], j["state"] = r["t"], r["state"]
            self.seen["jobs_ended"] += 1
            if r["state"] == "done":
                self.done_seen.append((r["t"], r["name"]))
            if r["state"] == "failed":
                self.judge_failed(r)
            if r["state"] == "cancelled" and j["cancel_asked"] is None:
                self.flag("failed-without-cause", r["t"], f"{r['name']} cancelled, nobody asked")

    def judge_failed(self, r):
        for s in self.body_of(r["name"])["steps"]:
            for n in range(s.get("tasks", 1)):
                i = f"{r['name']}/{s['name']}/{n}"
                if self.flops.get(i, 0) >= s.get("maxFailures", 3):
                    return
        self.flag("failed-without-cause", r["t"], f"{r['name']} shown failed")

    def body_of(self, name):
        j = self.job(name)
        if "body" in j:
            return j["body"]
        return next(iter(j["bodies"].values()), {"steps": []})

    def see_fault(self, r):
        self.last_fault = r["t"]

    def judge_job_start(self, r):
        """A start, looked at from its job's side."""
        j, n = self.jobs.get(r["job"]), r["job"]
        if j is None or not j["calls"]:
            self.flag("unsent-runs", r["t"], f"{r['task']}: nobody sent {n}")
            return None
        if j["taken"] is None:
            self.refused_starts.append(r)
        if j["cancel"] is not None and r["t"] > j["cancel"] + CANCEL_START:
            self.flag(
                "cancelled-starts",
                r["t"],
                f"{r['task']} {r['t'] - j['cancel']:.0f} ms after the cancel was confirmed",
            )
        s = next((s for s in self.body_of(n)["steps"] if s["name"] == r["step"]), None)
        k = int(r["task"].rsplit("/", 1)[1])
        if s is None or not 0 <= k < s.get("tasks", 1):
            self.flag("unsent-runs", r["t"], f"{r['task']} is in no body sent")
            return None
        return s

    def see_calm(self, r):
        """All faults were healed long ago: what was taken and can end has ended."""
        for n, j in self.jobs.items():
            if (
                j["taken"]
                and j["end"] is None
                and not j["body"].get("standing")
                and r["t"] > j["taken"] + 30_000
                and self.can_end(j["body"])
            ):
                self.flag("forgotten", r["t"], f"{n} never ended")

    def can_end(self, body):
        names = ("cores", "memMb", "gpus")
        for s in body["steps"]:
            rm = s.get("room", {})
            if not any(
                w["kind"] == s["kind"] and all(rm.get(a, 0) <= m for a, m in zip(names, w["room"]))
                for w in self.cards.values()
            ):
                return False
        return True

    def end_jobs(self):
        t1 = self.rows[-1]["t"] if self.rows else 0
        for r in self.refused_starts:
            j = self.jobs[r["job"]]
            if j["taken"] is None and not j["maybe"] and j["refused"] >= len(j["calls"]):
                self.flag("refused-runs", r["t"], f"{r['task']} ran, every send was refused")
        for t, n in self.done_seen:
            for s in self.body_of(n)["steps"]:
                for k in range(s.get("tasks", 1)):
                    i = f"{n}/{s['name']}/{k}"
                    if self.ok_ends.get(i, t + 1) > t:
                        self.flag("done-too-soon", t, f"{n} shown done, {i} had not ended well")
        for n, j in self.jobs.items():
            if j["cancel"] is None:
                continue
            still = [(g["t"], t1, g["task"], g["w"]) for g in self.live.values() if g["job"] == n]
            for _, b, task, w in self.spans.get(n, []) + still:
                heard = self.lone.get(w, 0.0)  # None: cut off still, and it runs on
                if heard is not None and b > max(j["cancel"], heard) + CANCEL_RUN:
                    self.flag(
                        "cancelled-runs",
                        b,
                        f"{task} ran {b - j['cancel']:.0f} ms after the cancel was confirmed",
                    )
        if self.last_fault is not None and t1 > self.last_fault + RECOVER:
            if not any(self.last_fault < t <= self.last_fault + RECOVER for t in self.served):
                self.flag(
                    "no-service", self.last_fault + RECOVER, "nothing answered within 12 s of the last fault"
                )
