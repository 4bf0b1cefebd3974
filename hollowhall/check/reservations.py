"""Rules about reservations: confirmed reservations do not exceed the resources, are not
forgotten and are served. Served means that while the window is open, its workers are available
and its queues have tasks that wait, the queues get what was reserved within a bounded time."""

SERVE_WITHIN_MS = 5000  # ms to serve it, from the opening of the window or from when its queues need it
QUIET_MS = 12_000  # ms after the last disturbance in which it need not be served
DISTURBANCES = ("fault", "lapse", "freeze", "thaw", "lone", "heard", "left", "gone", "worker")
CHECK_EVERY_MS = 50  # ms between two checks of whether reservations are served


def room_of(resources):
    """[cores, memMb, gpus] of a step or reservation as it was sent."""
    return [resources.get("cores", 1), resources.get("memMb", 0), resources.get("gpus", 0)]


class ReservationRules:
    """Checks reservations as callers, operators and workers saw them."""

    def open_reservations(self):
        self.reserved, self.queue_jobs = {}, {}  # id: confirmed reservation; queue: its jobs
        # unavailable: workers that are frozen, unreachable, leaving or gone
        self.percent, self.disturbed_at, self.checked_at, self.unavailable = 100, 0.0, 0.0, set()

    def see_share(self, row):
        """The operator set the percentage of a kind's resources that reservations may take."""
        self.percent = row["percent"]

    def see_reserve_out(self, row):
        if row["status"] not in (200, 201) or row.get("state") not in ("waiting", "open"):
            return
        body, confirmed = row["body"], self.reserved.get(row["name"])
        if confirmed is not None:
            if confirmed["body"] != body:
                self.flag("second-reservation", row["t"], f"{row['name']} was confirmed with two bodies")
            return
        reservation = self.reserved[row["name"]] = {
            "name": row["name"],
            "body": body,
            "kind": body["kind"],
            "lanes": body["lanes"],
            "begin": body["fromMs"],
            "until": body["untilMs"],
            "count": body["count"],
            "room": room_of(body["room"]),
            "t": row["t"],
            "released": None,
            "short": None,
            "flagged": False,
        }
        self.seen["reservations"] = self.seen.get("reservations", 0) + 1
        self.judge_total(reservation, row["t"])

    def see_release(self, row):
        """From the request to release it on, a reservation may be gone."""
        if row["name"] in self.reserved:
            self.reserved[row["name"]]["released"] = row["t"]

    def see_shorten(self, row):
        reservation = self.reserved.get(row["name"])
        if reservation is not None:
            reservation["until"] = min(reservation["until"], row["body"].get("untilMs", reservation["until"]))
            reservation["count"] = min(reservation["count"], row["body"].get("count", reservation["count"]))

    def see_reservation_out(self, row):
        reservation = self.reserved.get(row["name"])
        if (
            reservation is not None
            and row["status"] == 404
            and reservation["released"] is None
            and row["at"] > reservation["t"]
            and row["t"] < reservation["until"]
        ):
            self.flag("forgotten", row["t"], f"reservation {row['name']} cannot be read")

    def available_workers(self, kind):
        return [
            worker
            for worker in self.workers.values()
            if worker["kind"] == kind and (worker["w"], worker["boot"]) not in self.left_at
        ]

    def judge_total(self, reservation, time):
        """All reservations must be within the share at each moment of a new one's window."""
        overlapping = [
            other
            for other in self.reserved.values()
            if other["kind"] == reservation["kind"]
            and other["released"] is None
            and other["begin"] < reservation["until"]
            and reservation["begin"] < other["until"]
        ]
        workers = self.available_workers(reservation["kind"])
        for resource, name in enumerate(("cores", "memMb", "gpus")):
            most = sum(worker["room"][resource] for worker in workers) * self.percent // 100
            for moment in sorted({max(reservation["begin"], other["begin"]) for other in overlapping}):
                reserved = sum(
                    other["count"] * other["room"][resource]
                    for other in overlapping
                    if other["begin"] <= moment < other["until"]
                )
                if reserved > most:
                    self.flag(
                        "oversold",
                        time,
                        f"{reservation['name']}: {reserved} {name} of {reservation['kind']} at {moment}, of {most}",
                    )
                    return

    def note_queue_job(self, row):
        """Keeps an accepted job of whose tasks it is certain when they can start: its steps have no
        requirements beside kind and resources."""
        body = row["body"]
        if not body.get("notBefore") and not any(
            step.get(field)
            for step in body.get("steps", ())
            for field in ("after", "zone", "rack", "label", "spread", "gang", "notBefore")
        ):
            self.queue_jobs.setdefault(body.get("lane"), {})[row["name"]] = body

    def check_served(self, row):
        """Checks at each row, once there are reservations, whether open ones are served in time."""
        time = row["t"]
        if row["ev"] in DISTURBANCES:
            self.disturbed_at = time
            if row["ev"] in ("lapse", "freeze", "lone", "left", "gone"):
                self.unavailable.add(row.get("w"))
            elif row["ev"] in ("worker", "thaw", "heard"):
                self.unavailable.discard(row.get("w"))
        if time < self.checked_at + CHECK_EVERY_MS:
            return
        self.checked_at = time
        overlapping = [
            reservation
            for reservation in self.reserved.values()
            if reservation["released"] is None and reservation["begin"] <= time < reservation["until"]
        ]
        for reservation in overlapping:
            short = not reservation["flagged"] and self.is_underserved(reservation, time, overlapping)
            reservation["short"] = None if not short else reservation["short"] or time
            if (
                short
                and time
                > max(reservation["short"], reservation["begin"], self.disturbed_at + QUIET_MS)
                + SERVE_WITHIN_MS
            ):
                reservation["flagged"] = True
                self.flag(
                    "unserved",
                    time,
                    f"{reservation['name']}: queues {reservation['lanes']} have waited "
                    f"{time - reservation['short']:.0f} ms with fewer than {reservation['count']} tasks",
                )

    def is_underserved(self, reservation, time, overlapping):
        """Whether an open reservation has fewer running tasks than its count, though tasks wait for it and
        the available workers could hold it and all others that are open."""
        workers = [
            worker
            for worker in self.available_workers(reservation["kind"])
            if worker["w"] not in self.unavailable
            and reservation["body"].get("zone", "") in ("", worker["zone"])
        ]
        capacity = sum(
            min(
                worker["room"][resource] // reservation["room"][resource]
                for resource in range(3)
                if reservation["room"][resource]
            )
            for worker in workers
        )
        if capacity < sum(
            other["count"] for other in overlapping if other["kind"] == reservation["kind"]
        ) or reservation["body"].get("label"):
            return False
        live = {start["task"] for start in self.live.values()}
        running = sum(
            self.body_of(start["job"]).get("lane") in reservation["lanes"]
            and start["w"] in self.workers
            and self.workers[start["w"]]["kind"] == reservation["kind"]
            for start in self.live.values()
        )
        return running < reservation["count"] and any(
            self.limit_of(lane, time) is None and self.queue_waits(lane, reservation, live)
            for lane in reservation["lanes"]
        )

    def queue_waits(self, lane, reservation, live):
        """Whether a task of the queue that fits the reservation is ready and not started. Drops jobs
        whose tasks need not run any more."""
        jobs = self.queue_jobs.get(lane, {})
        for name, body in list(jobs.items()):
            tasks = [
                (f"{name}/{step['name']}/{task}", step)
                for step in body["steps"]
                for task in range(step.get("tasks", 1))
            ]
            if (
                all(task in self.ok_ends for task, _ in tasks)
                or any(task in self.bad_ends for task, _ in tasks)
                or self.jobs[name]["cancel_asked"] is not None
            ):
                del jobs[name]
            elif any(
                task not in live
                and task not in self.ok_ends
                and step["kind"] == reservation["kind"]
                and all(
                    wanted <= reserved
                    for wanted, reserved in zip(room_of(step.get("room", {})), reservation["room"])
                )
                for task, step in tasks
            ):
                return True
        return False
