"""CONFIG, and LOST as far as it is about what was acknowledged before a closing fault. A
change is in force for certain once it is acknowledged, never if it was refused, and may be
where there was no clear answer. An answer is judged by the versions that allow it."""

import json
from dataclasses import dataclass, field

from . import config as F

INF = float("inf")
EMPTY = {"revision": 0, "routeTable": [], "serviceTable": []}
TAKEN, NOT_TAKEN, MAYBE = "acknowledged", "refused", "maybe"


@dataclass(kw_only=True)
class Change:
    """One change of the operator, however often it was sent."""

    revision: int
    base: int
    whole: bool
    invalid: str
    body: dict
    sent: float
    acked: float = INF
    tries: dict = field(default_factory=dict)  # call: status, None without an answer
    content: dict = None

    @property
    def fate(self):
        """An answer with 4xx counts only if no other try may have been taken."""
        if self.acked < INF:
            return TAKEN
        got = [st for st in self.tries.values() if st != "down"]
        clear = all(st and 400 <= st < 500 and st not in (408, 429) for st in got)
        return NOT_TAKEN if clear and got else MAYBE


class ConfigRules:
    def open_config(self):
        self.changes, by_key, calls = [], {}, {}
        for r in self.rows:
            if r["ev"] == "config":
                key = json.dumps([r["base"], r["whole"], r["body_sent"]], sort_keys=True)
                if key not in by_key:
                    by_key[key] = Change(
                        revision=r["revision"],
                        base=r["base"],
                        sent=r["t"],
                        whole=r["whole"],
                        invalid=r["invalid"],
                        body=r["body_sent"],
                    )
                    self.changes.append(by_key[key])
                calls[r["id"]] = by_key[key]
                by_key[key].tries[r["id"]] = None
            elif r["ev"] == "config_out" and r["id"] in calls:
                c = calls[r["id"]]
                c.tries[r["id"]] = "down" if r["why"] == "down" else r["status"]
                if 200 <= r["status"] < 300:
                    c.acked = min(c.acked, r["t"])
        for c in self.changes:
            c.content = self.content(c)
        self.good = [
            c for c in self.changes if not c.invalid and c.content is not None and c.fate != NOT_TAKEN
        ]
        self.bad_ones = [c for c in self.changes if c.content is not None and c not in self.good]

    def content(self, c):
        """The whole configuration that a change stands for, if that is known."""
        if c.whole:
            return c.body if "routeTable" in c.body else None
        bases = [
            b
            for b in self.changes
            if b.revision == c.base and b.content is not None and not b.invalid and b.fate != NOT_TAKEN
        ]
        bases.sort(key=lambda b: b.acked)
        return F.apply(bases[0].content, c.body) if bases else None

    def routes_of(self, j, t, refused=False):
        cs = self.bad_ones if refused else self.good
        rs = [F.find(c.content, host=j.host, prefix=j.prefix) for c in cs if c.sent <= t]
        return [r for r in rs if r is not None]

    def services(self, j, t, refused=False):
        """The services to which some version directs a job's queue; None: nothing is known."""
        if not self.changes:
            return set() if refused else None
        return {r["targetService"] for r in self.routes_of(j, t, refused)}

    def retry_limit(self, j, pick):
        limits = [r["retryLimit"] for r in self.routes_of(j, INF)]
        return pick(limits) if limits else None

    # --- the rules

    def judge_config(self):
        by_base = {}
        for c in self.changes:
            if c.fate == TAKEN and c.invalid:
                self.flag("CONFIG", c.acked, f"{c.revision} is invalid ({c.invalid}) and was acknowledged")
            elif c.fate == TAKEN:
                by_base.setdefault(c.base, []).append(c)
        for base, cs in by_base.items():
            if len(cs) > 1:
                self.flag(
                    "CONFIG",
                    max(c.acked for c in cs),
                    f"{[c.revision for c in cs]} on top of {base} are all acknowledged",
                )
        self.judge_answers()
        self.judge_read_back()

    def judge_answers(self):
        """Goes through the answers in order and keeps what each machine has shown to know."""
        known, lives = (
            {},
            sorted((s.t0, s.m) for s in self.touch.spans if s.what in ("kill", "term", "start", "remove")),
        )
        for r in self.rows:
            while lives and lives[0][0] <= r["t"]:
                known.pop(lives.pop(0)[1], None)
            if r["ev"] in ("submit_out", "count_out") and (r["status"] == 404 or 200 <= r["status"] < 300):
                self.judge_answer(r, known)

    def allows(self, content, r):
        there = F.find(content, host=r["host"], prefix=r["prefix"]) is not None
        return there == (r["status"] != 404)

    def judge_answer(self, r, known):
        m, sent, b = self.touch.machine(r["by"]), r["sent"], self.bounds
        vs = [(0, EMPTY), *((c.revision, c.content) for c in self.good if c.sent <= r["t"])]
        fit = [v for v, c in vs if self.allows(c, r)]
        what = f"{r['id']}: {r['status']} for {r['host']}{r['prefix']} from {m}"
        if not fit:
            if any(self.allows(c.content, r) for c in self.bad_ones if c.sent <= r["t"]):
                self.flag("CONFIG", r["t"], what + ", as only a refused version allows")
            return
        floor = max((c.revision for c in self.good if c.acked + b.config_apply_ms < sent), default=0)
        if max(fit) < floor and self.touch.in_touch(r["by"], r["t"]):
            self.flag("CONFIG", r["t"], what + f", though {floor} was acknowledged")
        seen, at = known.get(m, (0, INF))
        slow = any(s.t0 <= r["t"] and s.t1 >= at for s in self.touch.of(m, "slow"))
        if max(fit) < seen and sent > at + b.downgrade_slack_ms * (8 if slow else 1):
            self.flag("CONFIG", r["t"], what + f", though {seen} was seen there")
        if min(fit) > seen:
            known[m] = (min(fit), r["t"])

    def judge_read_back(self):
        reads = [r for r in self.rows if r["ev"] == "read_out" and r.get("final")]
        if not reads:
            return
        newest = max((c.revision for c in self.good if c.fate == TAKEN), default=0)
        came = [r for r in reads if r["status"] == 200 and isinstance(r.get("body"), dict)]
        t = reads[-1]["t"]
        if not came:
            if reads[-1]["t"] - reads[0]["t"] >= self.bounds.contact_ms / 2 and newest:
                self.flag("CONFIG", t, "the configuration does not come when read back")
            return
        c = came[-1]["body"]
        v = c.get("revision", 0)
        if v < newest:
            closing = any(s.what == "closing" for s in self.touch.spans)
            gone = closing and not any(x.revision == v for x in self.good)
            self.flag("LOST" if gone else "CONFIG", t, f"{v} is read back, {newest} was acknowledged")
        mine = [x for x in self.good if x.revision == v]
        if v and not any(F.same(x.content, c) for x in mine):
            refused = any(x.revision == v for x in self.bad_ones) and not mine
            self.flag(
                "CONFIG",
                t,
                f"{v} as read back " + ("was refused" if refused else "differs from what was sent"),
            )
