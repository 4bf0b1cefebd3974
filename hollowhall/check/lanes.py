"""Rules about the configuration: a confirmed edit is applied within about 2 s, versions never
go back, no two edits share a version, and no confirmed edit is lost."""

APPLY_MS = 2000  # ms until a confirmed edit must be applied


class QueueRules:
    """Checks the configuration and the limits of queues."""

    def open_queues(self):
        self.versions = {}  # version: row of the confirmed edit
        self.top = []  # (t answered, version) of reads and confirmations, ascending
        self.edits, self.reads, self.open_edits, self.edit_outs = [], [], [], {}

    def see_edit(self, row):
        self.seen["edits"] += 1
        self.open_edits.append(row)

    def see_edit_out(self, row):
        self.edit_outs[row["id"]] = row
        if row["status"] != 200:
            return
        version = row["version"]
        if version in self.versions:
            self.flag("charter", row["t"], f"two edits were confirmed as version {version}")
        if version != row["base"] + 1:
            self.flag("charter", row["t"], f"edit on version {row['base']} confirmed as version {version}")
        self.versions[version] = row
        self.edits.append(row)

    def see_charter_out(self, row):
        if row["status"] == 200:
            self.reads.append(row)

    def end_queues(self):
        """Checks all reads against the edits that were confirmed before and after them."""
        known = sorted(
            [(row["t"], row["version"]) for row in self.reads]
            + [(row["t"], row["version"]) for row in self.edits]
        )
        for row in self.reads:
            version = max((seen for time, seen in known if time < row["at"]), default=0)
            if row["version"] < version:
                self.flag(
                    "charter",
                    row["t"],
                    f"version {row['version']} was read after version {version} was known",
                )
            edit = self.versions.get(row["version"])
            if edit is not None:
                for lane, wanted in edit["rows"].items():
                    have = row["rows"].get(lane)
                    if wanted is None and have is not None:
                        self.flag(
                            "charter",
                            row["t"],
                            f"row {lane} was removed in version {row['version']} but is still there",
                        )
                    if wanted is not None and (
                        have is None or any(have.get(field) != value for field, value in wanted.items())
                    ):
                        self.flag("charter", row["t"], f"row {lane} of version {row['version']} reads {have}")
        if self.reads and self.versions:
            last = max(self.reads, key=lambda row: row["at"])
            lost = [
                version
                for version in self.versions
                if version > last["version"] and self.versions[version]["t"] < last["at"]
            ]
            if lost:
                self.flag("charter", last["t"], f"confirmed versions {lost} were lost")

    def limit_of(self, lane, time):
        """The highest limit that a queue may have at a time: the limits of the newest edit that was
        confirmed 2 s before, and of every later one that was confirmed or may have been applied. An
        edit without a sure answer cannot have been applied if its base is older. None: no limit."""
        confirmed, newest = None, 0
        for edit in self.edits:
            if edit["t"] <= time - APPLY_MS and edit["version"] > newest:
                newest = edit["version"]
                if lane in edit["rows"] or edit["whole"]:
                    confirmed, version = edit["rows"].get(lane), newest
        limits = [] if confirmed is None else [confirmed]
        for edit in self.open_edits:
            answer = self.edit_outs.get(edit["id"])
            if lane not in edit["rows"] or answer is not None and answer.get("taken") == "no":
                continue
            sure = answer is not None and answer["status"] == 200
            if confirmed is None or (answer["version"] > newest if sure else edit["base"] >= version):
                limits.append(edit["rows"][lane])
        limits = [(limit or {}).get("limit", 0) for limit in limits]
        return None if not limits or 0 in limits else max(limits)

    def judge_queue_start(self, row):
        """A start must keep within the limit of its queue."""
        job = self.jobs.get(row["job"])
        lane = self.body_of(row["job"]).get("lane") if job else None
        limit = self.limit_of(lane, row["t"]) if lane else None
        if limit is None:
            return
        count = sum(1 for start in self.live.values() if self.body_of(start["job"]).get("lane") == lane)
        if count > limit:
            self.flag(
                "over-limit", row["t"], f"{row['task']}: {count} running in queue {lane}, limit {limit}"
            )
