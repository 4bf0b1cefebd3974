"""The planner: shows what a change would move, and changes nothing. It takes a snapshot of the record from a
gateway, or a saved one, runs the scheduler's placement on it once without the change and once with it, and
reports the difference by queue and worker. That is one round at the time of the snapshot; `--ahead` forecasts
the time after it (ahead.py)."""

import asyncio
import json

from cleo.commands.command import Command
from cleo.helpers import option

from ...base.problems import BadInput, Failure, Raised, StaleBase, Unknown
from ...desk.place import Round
from ...desk.reserved_plan import plan_of
from ...standins.http_client import HttpClient
from ..fleet.fleet import read_fleet
from .change import apply, read_change, read_picture
from .plan_ahead import AheadMixin

MAX_STARTS = 1_000_000  # per round; in effect no limit


def next_round(record, now):
    """The next round of placement on a record: ({task: worker} of the starts, {task: reason} of those that wait)."""
    placement_round = Round(rec=record, now=now, most=MAX_STARTS)
    placement_round.open_plan(plan_of(rec=record, ms=now))
    starts = dict(placement_round.run())
    reasons = {}
    for key, tasks in record.ready.items():
        for task in tasks.values():
            if task.id not in starts:
                reasons[task.id] = placement_round.wait_reason_of(key)
    return starts, reasons


def placed(record, out):
    """{task: worker} of placements that `solve` found for the steps of a snapshot. Raises Raised(BadInput) if they
    are not of this snapshot."""
    workers = {}
    try:
        for key, counts in out["placements"].items():
            job, step = key.rsplit("/", 1)
            worker_ids = [worker for worker, count in sorted(counts.items()) for _ in range(count)]
            tasks = sorted(record.ready[job, step].values(), key=lambda task: task.n)
            workers |= {task.id: worker for task, worker in zip(tasks, worker_ids)}
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise Raised(
            BadInput(errors=[["placements", f"not placements of this picture: {error!r}"]])
        ) from None
    return workers


def plan(*, picture, change, placements=None):
    """The difference that a change, or given placements, make to the next round: the lists `starts`, `waits`,
    `moves`, `impossible` and `stops` by queue, and the number of `unchanged` starts."""
    present, now = read_picture(picture)
    changed, _ = read_picture(json.loads(json.dumps(picture)))
    present_workers = {attempt.task: attempt.worker for attempt in changed.attempts.values()}
    apply(changed, change, now)
    starts_now, reasons_now = next_round(present, now)
    starts_then, reasons_then = next_round(changed, now)
    if placements is not None:
        starts_then = placed(changed, placements)
        reasons_then = {
            task.id: "not placed"
            for tasks in changed.ready.values()
            for task in tasks.values()
            if task.id not in starts_then
        }
    lane_of = {
        task: job.lane for record in (present, changed) for job in record.jobs.values() for task in job.tasks
    }
    lost = {task: worker for task, worker in present_workers.items() if worker in change.lose}
    return {
        "at": now,
        "version": present.charter["version"],
        "starts": rows_of(
            {task: worker for task, worker in starts_then.items() if task not in starts_now}, lane_of
        ),
        "waits": rows_of(
            {
                task: reasons_then[task]
                for task in starts_now
                if task in reasons_then and reasons_then[task] != "never"
            },
            lane_of,
        ),
        "moves": rows_of(
            {
                task: [starts_now.get(task) or lost.get(task), starts_then[task]]
                for task in starts_then
                if (starts_now.get(task) or lost.get(task) or starts_then[task]) != starts_then[task]
            },
            lane_of,
        ),
        "impossible": rows_of(
            {
                task: "never"
                for task, reason in reasons_then.items()
                if reason == "never" and reasons_now.get(task) != "never"
            },
            lane_of,
        ),
        "stops": rows_of(lost, lane_of),
        "unchanged": sum(1 for task in starts_then if starts_now.get(task) == starts_then[task]),
    }


def rows_of(values, lane):
    """{queue: [[task, value]]} of {task: value}."""
    out = {}
    for task, value in sorted(values.items()):
        out.setdefault(lane.get(task, ""), []).append([task, value])
    return out


class PlanCommand(AheadMixin, Command):
    """Shows what a change would move."""

    name = "plan"
    description = "Show what a change of queues or workers would move, changing nothing."
    options = [
        option("mast", None, "IP:port of a gateway's HTTP.", flag=False),
        option("fleet", None, "fleet.json or its directory.", flag=False, default="run"),
        option("picture", None, "A saved snapshot, in place of the present record.", flag=False),
        option(
            "placements",
            None,
            "Output of solve --picture --save, to compare with the scheduler's own next round.",
            flag=False,
        ),
        option("save", None, "File to save the snapshot in that was used.", flag=False),
        option("change", None, "JSON file: base, rows, whole, drain, lose, add.", flag=False),
        option("drain", None, "A worker to drain; may be repeated.", flag=False, multiple=True),
        option("lose", None, "A worker to lose; may be repeated.", flag=False, multiple=True),
        option("lose-zone", None, "Lose every worker of a zone.", flag=False),
        option("ahead", None, "Seconds to forecast: how long tasks then wait.", flag=False),
        option(
            "durations",
            None,
            "For --ahead: histories of simulated workers and load generators; default: the ended jobs of the record.",
            flag=False,
            multiple=True,
        ),
        option("seeds", None, "For --ahead: number of runs.", flag=False, default="5"),
        option("drainable", None, "For --ahead: drain each worker in turn, one per forecast.", flag=True),
        option("json", None, "Print JSON.", flag=True),
    ]

    def picture(self):
        """The snapshot: the saved one, else from a gateway. Raises SystemExit if the gateway gives none."""
        if self.option("picture"):
            try:
                with open(self.option("picture")) as file:
                    return json.load(file)
            except (OSError, ValueError) as error:
                raise Raised(BadInput(errors=[["picture", str(error)]])) from None

        async def go():
            client = HttpClient()
            try:
                return await client.ask(
                    method="GET",
                    path="/v1/picture",
                    wait=20.0,
                    addr=(self.option("mast") or read_fleet(self.option("fleet"))["masts"][0]),
                )
            finally:
                await client.close()

        result = asyncio.run(go())
        if isinstance(result, Failure) or result[0] != 200:
            self.line_error(f"no picture from the mast: {result}")
            raise SystemExit(4)
        return result[1]

    def change(self, picture):
        """The change that the file and the options describe."""
        content = {}
        if self.option("change"):
            try:
                with open(self.option("change")) as file:
                    content = json.load(file)
            except (OSError, ValueError) as error:
                raise Raised(BadInput(errors=[["change", str(error)]])) from None
        change = read_change(content)
        change.drain, change.lose = change.drain + self.option("drain"), change.lose + self.option("lose")
        zone = self.option("lose-zone")
        if zone:
            in_zone = [
                worker_id
                for worker_id, worker in read_picture(picture)[0].workers.items()
                if worker.zone == zone
            ]
            if not in_zone:
                raise Raised(Unknown(what="zone", id=zone))
            change.lose = sorted({*change.lose, *in_zone})
        return change

    def placements(self):
        """The content of the file of placements, or None without one."""
        if not self.option("placements"):
            return None
        try:
            with open(self.option("placements")) as file:
                return json.load(file)
        except (OSError, ValueError) as error:
            raise Raised(BadInput(errors=[["placements", str(error)]])) from None

    def handle(self):
        try:
            picture = self.picture()
            if self.option("save"):
                with open(self.option("save"), "w") as file:
                    json.dump(picture, file)
            if self.option("ahead"):
                out = self.ahead(picture)
                self.line(json.dumps(out)) if self.option("json") else self.show(out)
                return 0
            out = plan(picture=picture, change=self.change(picture), placements=self.placements())
        except Raised as error:
            self.line_error(repr(error.failure))
            return 3 if isinstance(error.failure, StaleBase) else 2
        if self.option("json"):
            self.line(json.dumps(out))
            return 0
        for what in ("starts", "waits", "moves", "impossible", "stops"):
            count = sum(len(value) for value in out[what].values())
            self.line(f"{what}: {count}")
            for lane, rows in out[what].items():
                for task, value in rows[:20]:
                    self.line(f"  {lane}  {task}  {value if isinstance(value, str) else ' -> '.join(value)}")
        self.line(f"unchanged: {out['unchanged']}")
        return 0


PLAN = [PlanCommand]
