"""Rules about the charter: a confirmed edit is applied within about 2 s, versions
never go back, two edits never share a version, and nothing confirmed is lost."""

APPLY = 2000  # ms


class LaneRules:
    def open_lanes(self):
        self.versions = {}  # version: confirmed edit rows
        self.top = []  # (t answered, version) of reads and confirmations, rising
        self.edits, self.reads, self.open_edits, self.edit_outs = [], [], [], {}

    def see_edit(self, r):
        self.seen["edits"] += 1
        self.open_edits.append(r)

    def see_edit_out(self, r):
        self.edit_outs[r["id"]] = r
        if r["status"] != 200:
            return
        v = r["version"]
        if v in self.versions:
            self.flag("charter", r["t"], f"two edits were confirmed as version {v}")
        if v != r["base"] + 1:
            self.flag("charter", r["t"], f"edit on {r['base']} confirmed as {v}")
        self.versions[v] = r
        self.edits.append(r)

    def see_charter_out(self, r):
        if r["status"] == 200:
            self.reads.append(r)

    def end_lanes(self):
        known = sorted(
            [(r["t"], r["version"]) for r in self.reads] + [(r["t"], r["version"]) for r in self.edits]
        )
        for r in self.reads:
            v = max((x for t, x in known if t < r["at"]), default=0)
            if r["version"] < v:
                self.flag("charter", r["t"], f"read {r['version']} after {v} was known")
            e = self.versions.get(r["version"])
            if e is not None:
                for a, row in e["rows"].items():
                    have = r["rows"].get(a)
                    if row is None and have is not None:
                        self.flag("charter", r["t"], f"row {a} dropped in {r['version']} is there")
                    if row is not None and (have is None or any(have.get(x) != y for x, y in row.items())):
                        self.flag("charter", r["t"], f"row {a} of {r['version']} reads {have}")
        if self.reads and self.versions:
            last = max(self.reads, key=lambda r: r["at"])
            lost = [v for v in self.versions if v > last["version"] and self.versions[v]["t"] < last["at"]]
            if lost:
                self.flag("charter", last["t"], f"versions {lost} were lost")

    def limit_of(self, lane, t):
        """The loosest limit that may stand at t: that of the newest edit confirmed 2 s
        before, and of every one after it that was confirmed or may have been taken. An
        unsure edit whose base is behind is dead. None when there is no limit."""
        base, top = None, 0
        for e in self.edits:
            if e["t"] <= t - APPLY and e["version"] > top:
                top = e["version"]
                if lane in e["rows"] or e["whole"]:
                    base, at = e["rows"].get(lane), top
        ls = [] if base is None else [base]
        for e in self.open_edits:
            o = self.edit_outs.get(e["id"])
            if lane not in e["rows"] or o is not None and o.get("taken") == "no":
                continue
            sure = o is not None and o["status"] == 200
            if base is None or (o["version"] > top if sure else e["base"] >= at):
                ls.append(e["rows"][lane])
        ls = [(x or {}).get("limit", 0) for x in ls]
        return None if not ls or 0 in ls else max(ls)

    def judge_lane_start(self, r):
        j = self.jobs.get(r["job"])
        lane = self.body_of(r["job"]).get("lane") if j else None
        lim = self.limit_of(lane, r["t"]) if lane else None
        if lim is None:
            return
        n = sum(1 for g in self.live.values() if self.body_of(g["job"]).get("lane") == lane)
        if n > lim:
            self.flag("over-limit", r["t"], f"{r['task']}: {n} in lane {lane}, limit {lim}")
