"""Rules about reservations: what is confirmed is never oversold, is not forgotten, and is
served. Served: while a window is open, its workers are well and its lanes have tasks that
wait, the lanes have as much of it as they want within a bounded time."""

SERVED = 5000  # ms; from the window's opening, or from when the lanes want it
UNWELL = 12_000  # ms; after the last trouble of any kind, until service is asked for again
TROUBLE = ("fault", "lapse", "freeze", "thaw", "lone", "heard", "left", "gone", "worker")
LOOK = 50  # ms; between two looks


def room_of(d):
    return [d.get("cores", 1), d.get("memMb", 0), d.get("gpus", 0)]


class ReservationRules:
    def open_reservations(self):
        self.reserved, self.lane_jobs = {}, {}  # id: what was confirmed; lane: its jobs
        self.percent, self.trouble, self.looked, self.away = 100, 0.0, 0.0, set()

    def see_share(self, r):
        """The operator's word: percent of a kind's room that reservations may take."""
        self.percent = r["percent"]

    def see_reserve_out(self, r):
        if r["status"] not in (200, 201) or r.get("state") not in ("waiting", "open"):
            return
        b, have = r["body"], self.reserved.get(r["name"])
        if have is not None:
            if have["body"] != b:
                self.flag("second-reservation", r["t"], f"{r['name']} confirmed with two bodies")
            return
        x = self.reserved[r["name"]] = {
            "name": r["name"],
            "body": b,
            "kind": b["kind"],
            "lanes": b["lanes"],
            "begin": b["fromMs"],
            "until": b["untilMs"],
            "count": b["count"],
            "room": room_of(b["room"]),
            "t": r["t"],
            "released": None,
            "short": None,
            "flagged": False,
        }
        self.seen["reservations"] = self.seen.get("reservations", 0) + 1
        self.judge_sum(x, r["t"])

    def see_release(self, r):
        """From when it was asked for, it may be gone."""
        if r["name"] in self.reserved:
            self.reserved[r["name"]]["released"] = r["t"]

    def see_shorten(self, r):
        x = self.reserved.get(r["name"])
        if x is not None:
            x["until"] = min(x["until"], r["body"].get("untilMs", x["until"]))
            x["count"] = min(x["count"], r["body"].get("count", x["count"]))

    def see_reservation_out(self, r):
        x = self.reserved.get(r["name"])
        if (
            x is not None
            and r["status"] == 404
            and x["released"] is None
            and r["at"] > x["t"]
            and r["t"] < x["until"]
        ):
            self.flag("forgotten", r["t"], f"reservation {r['name']} not to be read")

    def well_cards(self, kind):
        return [c for c in self.cards.values() if c["kind"] == kind and (c["w"], c["boot"]) not in self.lefts]

    def judge_sum(self, x, t):
        """At each moment of the new one's window, all that stands beside it."""
        xs = [
            y
            for y in self.reserved.values()
            if y["kind"] == x["kind"]
            and y["released"] is None
            and y["begin"] < x["until"]
            and x["begin"] < y["until"]
        ]
        cards = self.well_cards(x["kind"])
        for k, what in enumerate(("cores", "memMb", "gpus")):
            most = sum(c["room"][k] for c in cards) * self.percent // 100
            for at in sorted({max(x["begin"], y["begin"]) for y in xs}):
                n = sum(y["count"] * y["room"][k] for y in xs if y["begin"] <= at < y["until"])
                if n > most:
                    self.flag(
                        "oversold",
                        t,
                        f"{x['name']}: {n} {what} of {x['kind']} reserved at {at}, {most} may be",
                    )
                    return

    def note_lane_job(self, r):
        """An accepted job whose waiting can be judged: its steps ask for nothing special."""
        b = r["body"]
        if not b.get("notBefore") and not any(
            s.get(a)
            for s in b.get("steps", ())
            for a in ("after", "zone", "rack", "label", "spread", "gang", "notBefore")
        ):
            self.lane_jobs.setdefault(b.get("lane"), {})[r["name"]] = b

    def look_at_served(self, r):
        """Called with each row once anything is reserved."""
        t = r["t"]
        if r["ev"] in TROUBLE:
            self.trouble = t
            if r["ev"] in ("lapse", "freeze", "lone", "left", "gone"):
                self.away.add(r.get("w"))
            elif r["ev"] in ("worker", "thaw", "heard"):
                self.away.discard(r.get("w"))
        if t < self.looked + LOOK:
            return
        self.looked = t
        xs = [x for x in self.reserved.values() if x["released"] is None and x["begin"] <= t < x["until"]]
        for x in xs:
            short = not x["flagged"] and self.waits_short(x, t, xs)
            x["short"] = None if not short else x["short"] or t
            if short and t > max(x["short"], x["begin"], self.trouble + UNWELL) + SERVED:
                x["flagged"] = True
                self.flag(
                    "unserved",
                    t,
                    f"{x['name']}: lanes {x['lanes']} wait for "
                    f"{t - x['short']:.0f} ms with less than their {x['count']}",
                )

    def waits_short(self, x, t, xs):
        cards = [
            c
            for c in self.well_cards(x["kind"])
            if c["w"] not in self.away and x["body"].get("zone", "") in ("", c["zone"])
        ]
        could = sum(min(c["room"][k] // x["room"][k] for k in range(3) if x["room"][k]) for c in cards)
        if could < sum(y["count"] for y in xs if y["kind"] == x["kind"]) or x["body"].get("label"):
            return False
        live = {g["task"] for g in self.live.values()}
        mine = sum(
            self.body_of(g["job"]).get("lane") in x["lanes"]
            and g["w"] in self.cards
            and self.cards[g["w"]]["kind"] == x["kind"]
            for g in self.live.values()
        )
        return mine < x["count"] and any(
            self.limit_of(a, t) is None and self.lane_waits(a, x, live) for a in x["lanes"]
        )

    def lane_waits(self, lane, x, live):
        """Whether a task of the lane that fits a reserved room is ready and not begun."""
        jobs = self.lane_jobs.get(lane, {})
        for n, b in list(jobs.items()):
            ts = [(f"{n}/{s['name']}/{i}", s) for s in b["steps"] for i in range(s.get("tasks", 1))]
            if (
                all(i in self.ok_ends for i, _ in ts)
                or any(i in self.bad_ends for i, _ in ts)
                or self.jobs[n]["cancel_asked"] is not None
            ):
                del jobs[n]
            elif any(
                i not in live
                and i not in self.ok_ends
                and s["kind"] == x["kind"]
                and all(a <= b for a, b in zip(room_of(s.get("room", {})), x["room"]))
                for i, s in ts
            ):
                return True
        return False
