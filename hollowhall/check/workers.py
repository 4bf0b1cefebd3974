"""Rules about tasks and workers: one run at a time, order of steps, due times,
room, kind, rack and spread, allowed failures, leaving workers."""

EARLY = 100  # ms; a tenth of a second
WAKE = 200  # ms; a woken worker's stale tasks must be stopped within
LEAVE_START = 2000  # ms; after a leave was acknowledged


class WorkerRules:
    def open_workers(self):
        self.live = {}  # run: its start row
        self.by_task, self.by_worker, self.by_step = {}, {}, {}
        self.ok_ends, self.bad_ends, self.flops, self.lefts, self.spans = {}, {}, {}, {}, {}
        self.good, self.refused_starts, self.frozen, self.thawed, self.shadow = {}, [], set(), {}, {}
        self.lone, self.void, self.top_stamp, self.top_runs = {}, set(), 0, {}

    def see_freeze(self, r):
        """A frozen machine's tasks do not run; what they do on waking is looked at."""
        self.frozen.add(r["w"])

    def see_told(self, r):
        """The worker learnt that a good end is recorded: it counts whatever comes."""
        g = self.runs.get(r["run"])
        if g is None:
            return
        for b in self.bad_ends.get(g["task"], ()):
            if b["run"] == r["run"]:
                b["told"] = True
                return
        self.good[g["task"]] = {"w": g["w"], "told": True}

    def see_lapse(self, r):
        """A hold ran out, or a worker is gone: what it had not told counts for nothing."""
        for i in [i for i, e in self.good.items() if e["w"] == r["w"] and not e["told"]]:
            del self.good[i]
            self.void.add(i)
            self.seen["void_ends"] += 1
        for i, bs in self.bad_ends.items():
            self.bad_ends[i] = [b for b in bs if b["told"] or b["w"] != r["w"]]

    see_gone = see_lapse

    def see_lone(self, r):
        """A worker that runs on has not been heard for its hold: nobody can stop it."""
        self.lone[r["w"]] = None

    def see_heard(self, r):
        self.lone[r["w"]] = r["t"]

    def see_both(self, r):
        self.flag("two-holders", r["t"], f"{r['duty']}: {r['ids']} at one moment")

    def see_stamp(self, r):
        """Stamps in the order in which they were issued, whoever did it."""
        if r["first"] <= self.top_stamp:
            self.flag("stamp-order", r["t"], f"{r['first']} issued after {self.top_stamp}")
        self.top_stamp = max(self.top_stamp, r["first"] + r["n"] - 1)

    def see_thaw(self, r):
        self.frozen.discard(r["w"])
        self.thawed[r["w"]] = r["t"]

    def see_worker(self, r):
        self.cards[r["w"]] = r

    def see_left(self, r):
        self.lefts[r["w"], r["boot"]] = r["t"]

    def see_start(self, r):
        self.seen["starts"] += 1
        s = self.judge_job_start(r)
        t, i = r["t"], r["task"]
        if r["run"] in self.runs:
            self.flag("twice", t, f"run {r['run']} started again")
        top = self.top_runs.get(i, 0)
        if int(r["run"]) < top:
            self.flag("run-order", t, f"{i}: run {r['run']} started after {top}")
        self.top_runs[i] = max(top, int(r["run"]))
        for x in sorted(self.by_task.get(i, ())):
            o = self.live[x]
            if s and s.get("ifLost") == "restart" and o["w"] in self.lone:
                continue  # its job asked for that rather than wait
            if o["w"] in self.frozen:
                self.shadow[x] = r  # it must end as soon as its machine wakes
            else:
                self.flag("twice", t, f"{i} on {r['w']} while it runs on {o['w']}")
        e = self.good.get(i)
        asked = s and s.get("ifLost") == "restart" and e is not None and e["w"] in self.lone
        if e is not None and not asked and (e["told"] or e["w"] not in self.frozen):
            self.flag("twice", t, f"{i} again after it ended well")
        if i in self.void:  # what the exemption for untold good ends costs
            self.void.discard(i)
            self.seen["void_reruns"] += 1
        left = self.lefts.get((r["w"], r["boot"]))
        if left is not None and t > left + LEAVE_START:
            self.flag("leaving-starts", t, f"{i} on {r['w']} {t - left:.0f} ms after its leave")
        self.runs[r["run"]] = r
        self.live[r["run"]] = r
        for d, k in ((self.by_task, i), (self.by_worker, r["w"])):
            d.setdefault(k, set()).add(r["run"])
        self.by_step.setdefault((r["job"], r["step"]), set()).add(r["run"])
        if s is not None:
            self.judge_start(r, s)
        self.judge_lane_start(r)

    def judge_start(self, r, s):
        t, i, n = r["t"], r["task"], r["job"]
        body = self.body_of(n)
        for a in s.get("after", []):
            sa = next(x for x in body["steps"] if x["name"] == a)
            for k in range(sa.get("tasks", 1)):
                if f"{n}/{a}/{k}" not in self.ok_ends:
                    self.flag("too-early", t, f"{i} before {n}/{a}/{k} was done")
        if t < body.get("notBefore", 0) - EARLY:
            self.flag("too-early", t, f"{i} {body['notBefore'] - t:.0f} ms before its time")
        fails = len(self.bad_ends.get(i, ()))
        if fails:
            due = self.bad_ends[i][-1]["t"] + s.get("backoffMs", 500) * (1 << min(fails - 1, 6))
            if t < due - EARLY:
                self.flag("too-early", t, f"{i} {due - t:.0f} ms before its backoff ended")
        if fails >= s.get("maxFailures", 3):
            self.flag("over-failures", t, f"{i} after {fails} failures")
        self.judge_where(r, s)

    def judge_where(self, r, s):
        t, i, w = r["t"], r["task"], self.cards.get(r["w"])
        if w is None:
            self.flag("wrong-worker", t, f"{i} on {r['w']}, which announced nothing")
            return
        if s["kind"] != w["kind"] or s.get("zone", "") not in ("", w["zone"]):
            self.flag("wrong-worker", t, f"{i} on {w['w']}, a {w['kind']} in {w['zone']}")
        if s.get("rack", "") not in ("", w["rack"]):
            self.flag("wrong-worker", t, f"{i} off its rack, on {w['rack']}")
        sp = s.get("spread", {})
        mates = [self.live[x] for x in self.by_step[r["job"], r["step"]] if x in self.live]
        here = sum(1 for m in mates if m["w"] == r["w"])
        rack = sum(1 for m in mates if self.cards[m["w"]]["rack"] == w["rack"])
        if sp.get("perWorker") and here > sp["perWorker"]:
            self.flag("crowded", t, f"{i}: {here} of its step on {r['w']}")
        if sp.get("perRack") and rack > sp["perRack"]:
            self.flag("crowded", t, f"{i}: {rack} of its step on rack {w['rack']}")
        used = [0, 0, 0]
        for x in self.by_worker[r["w"]]:
            g = self.live[x]
            gs = next((y for y in self.body_of(g["job"])["steps"] if y["name"] == g["step"]), None)
            rm = (gs or {}).get("room", {})
            for k, (a, dflt) in enumerate((("cores", 1), ("memMb", 0), ("gpus", 0))):
                used[k] += rm.get(a, dflt)
        if any(u > m for u, m in zip(used, w["room"])):
            self.flag("over-room", t, f"{i} on {r['w']}: {used} of {w['room']}")

    def see_end(self, r):
        g = self.live.pop(r["run"], None)
        if g is None:
            return
        i = g["task"]
        if r["run"] in self.shadow and (
            r["how"] in ("ok", "bad") or r["t"] > self.thawed.get(g["w"], r["t"]) + WAKE
        ):
            self.flag("twice", r["t"], f"{i} went on after {g['w']} woke, it ran elsewhere")
        self.by_task[i].discard(r["run"])
        self.by_worker[g["w"]].discard(r["run"])
        self.by_step[g["job"], g["step"]].discard(r["run"])
        self.spans.setdefault(g["job"], []).append((g["t"], r["t"], i, g["w"]))
        if r["how"] == "ok":
            self.ok_ends.setdefault(i, r["t"])
            self.good[i] = {"w": g["w"], "told": False}
            self.seen["ends_ok"] += 1
        elif r["how"] == "bad":
            self.flops[i] = self.flops.get(i, 0) + 1  # told or not
            self.bad_ends.setdefault(i, []).append({"run": r["run"], "t": r["t"], "w": g["w"], "told": False})
            self.seen["ends_bad"] += 1
