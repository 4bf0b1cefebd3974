"""The operators' commands for jobs, queues, fleet status and workers. They send HTTP requests to a
gateway, as any client does. With --json the answer is printed unchanged."""

import asyncio
import json

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ...base.problems import Failure, Raised
from ...standins.http_client import HttpClient
from ..fleet.fleet import read_fleet


def common():
    """The options that all operators' commands have."""
    return [
        option("mast", None, "IP:port of a gateway's HTTP.", flag=False),
        option(
            "fleet", None, "fleet.json or its directory, if no --mast is given.", flag=False, default="run"
        ),
        option("json", None, "Print the answer as JSON.", flag=True),
    ]


class OperateCommand(Command):
    """Base of the commands that send HTTP requests to a gateway."""

    options = common()

    def mast(self):
        """The address of the gateway: --mast, else the first one of the fleet file."""
        return self.option("mast") or read_fleet(self.option("fleet"))["masts"][0]

    def key_header(self):
        """The header with a tenant's key, or None if the command takes none."""
        return None

    def ask(self, method, path, body=None):
        """Sends one request; returns (status, answer). Raises SystemExit if the gateway does not answer."""

        async def go():
            client = HttpClient()
            try:
                return await client.ask(
                    method=method,
                    addr=self.mast(),
                    path=path,
                    body=body,
                    wait=10.0,
                    headers=self.key_header(),
                )
            finally:
                await client.close()

        try:
            result = asyncio.run(go())
        except Raised as e:
            self.line_error(e.failure.errors[0][1])
            raise SystemExit(2) from None
        if isinstance(result, Failure):
            self.line_error(f"no answer from the mast: {type(result).__name__}")
            raise SystemExit(4)
        return result[0], result[1]

    def show(self, status, answer, lines):
        """Prints an answer, through `lines`, or an error. Returns the exit code."""
        if self.option("json"):
            self.line(json.dumps(answer, indent=1))
        elif status >= 400:
            self.line_error(
                f"{answer.get('problem', status)}: "
                + ", ".join(f"{key}={value}" for key, value in answer.items() if key != "problem")
            )
        else:
            for line in lines(answer):
                self.line(line)
        return 0 if status < 400 else 1


class JobsCommand(OperateCommand):
    """Lists, shows, submits and cancels jobs."""

    name = "jobs"
    description = "List jobs, or show, submit or cancel one."
    arguments = [argument("job", "Name of a job.", optional=True)]
    options = common() + [
        option("lane", None, "Only jobs of this queue.", flag=False, default=""),
        option("state", None, "Only jobs in this state.", flag=False, default=""),
        option("send", None, "JSON file with the job's body, submitted under the name.", flag=False),
        option("cancel", None, "Cancel the job.", flag=True),
        option("key-file", None, "File with the key of the tenant that owns the job.", flag=False),
    ]

    def key_header(self):
        path = self.option("key-file")
        if not path:
            return None
        with open(path) as f:
            return {"Authorization": f"Bearer {f.read().strip()}"}

    def handle(self):
        name = self.argument("job")
        try:
            self.key_header()
        except OSError as error:
            self.line_error(f"--key-file: {error}")
            return 2
        if name is None:
            status, answer = self.ask(
                "GET", f"/v1/jobs?lane={self.option('lane')}&state={self.option('state')}"
            )
            return self.show(
                status,
                answer,
                lambda answer: (
                    [one_line(job) for job in answer["jobs"]]
                    + ([f"more after {answer['next']}"] if answer["next"] else [])
                ),
            )
        if self.option("send"):
            try:
                with open(self.option("send")) as file:
                    body = json.load(file)
            except (OSError, ValueError) as error:
                self.line_error(f"{self.option('send')}: {error}")
                return 2
            status, answer = self.ask("PUT", f"/v1/jobs/{name}", body)
        elif self.option("cancel"):
            status, answer = self.ask("DELETE", f"/v1/jobs/{name}")
        else:
            status, answer = self.ask("GET", f"/v1/jobs/{name}")
        return self.show(
            status,
            answer,
            lambda answer: (
                [one_line(answer)]
                + [
                    f"  {task['task']}  {task['state']}  {task['worker']}  fails {task['fails']}"
                    for task in answer.get("each", [])
                ]
            ),
        )


def one_line(job):
    tasks = " ".join(f"{key}:{value}" for key, value in job["tasks"].items())
    why = job["why"] or " ".join(f"{key} waits: {value}" for key, value in job["waits"].items())
    return f"{job['name']}  {job['lane']}  {job['state']}  {tasks}  {why}".rstrip()


class LanesCommand(OperateCommand):
    """Shows and changes the configuration of the queues."""

    name = "lanes"
    description = (
        "Show the configuration of the queues, or change it: --set tiles.weight=4 or --table file.json."
    )
    options = common() + [
        option("set", None, "LANE.FIELD=NUMBER; may be repeated.", flag=False, multiple=True),
        option("drop", None, "A queue to remove; may be repeated.", flag=False, multiple=True),
        option("table", None, "JSON file with the whole table of rows.", flag=False),
        option("base", None, "Version that the change is based on; default: the current one.", flag=False),
    ]

    def handle(self):
        status, answer = self.ask("GET", "/v1/charter")
        if status == 200 and (self.option("set") or self.option("drop") or self.option("table")):
            base = int(self.option("base") or answer["version"])
            try:
                rows, method = self.rows(answer["rows"])
            except (OSError, ValueError, KeyError) as error:
                self.line_error(f"bad edit: {error}")
                return 2
            status, answer = self.ask(method, "/v1/charter", {"base": base, "rows": rows})
            return self.show(status, answer, lambda answer: [f"charter is at version {answer['version']}"])
        return self.show(
            status,
            answer,
            lambda answer: (
                [f"version {answer['version']}"]
                + [
                    f"{lane}  weight {row['weight']}  limit {row['limit'] or 'none'}  urgency {row['urgency']}"
                    for lane, row in sorted(answer["rows"].items())
                ]
            ),
        )

    def rows(self, current):
        """(rows, HTTP method) of the change: PUT replaces the whole table, PATCH changes the named rows. A row of
        None removes the queue."""
        if self.option("table"):
            with open(self.option("table")) as file:
                return json.load(file), "PUT"
        rows = {a: None for a in self.option("drop")}
        for setting in self.option("set"):
            key, value = setting.split("=", 1)
            lane, column = key.rsplit(".", 1)
            row = rows.setdefault(lane, dict(current.get(lane) or {"weight": 1}))
            row[column] = float(value) if column == "weight" else int(value)
        return rows, "PATCH"


class StatusCommand(OperateCommand):
    """Shows the daemons and workers of the fleet."""

    name = "fleet status"
    description = "Show daemons and workers as a gateway sees them."

    def handle(self):
        status, answer = self.ask("GET", "/v1/fleet")

        def lines(answer):
            yield f"primary {answer['primary']}  epoch {answer['epoch']}  turns {answer['turns']}  charter {answer['charter']}"
            for name, daemon in sorted(answer["daemons"].items()):
                yield f"{name}  {daemon['role']}  {daemon['zone']}  {daemon['addr']}  {'down' if daemon.get('down') else 'up'}"
            for worker in answer["workers"]:
                yield (
                    f"{worker['id']}  {worker['kind']}  {worker['rack']}  {worker['state']}  legs {worker['legs']}  "
                    f"used {worker['used']} of {worker['room']}"
                    + ("  probation" if worker["probation"] else "")
                )

        return self.show(status, answer, lines)


class DrainCommand(OperateCommand):
    """Drains a worker."""

    name = "drain"
    description = "Drain a worker: it gets no new work."
    arguments = [argument("worker", "Id of the worker.")]

    def handle(self):
        status, answer = self.ask("POST", f"/v1/workers/{self.argument('worker')}/leave", {})
        return self.show(status, answer, lambda answer: [f"{self.argument('worker')} is leaving"])


class GoneCommand(OperateCommand):
    """Declares a lost worker gone, so that its tasks can start elsewhere."""

    name = "gone"
    description = "Declare that a lost worker runs nothing any more: its tasks start elsewhere."
    arguments = [argument("worker", "Id of the worker; refused while the worker still reports.")]

    def handle(self):
        status, answer = self.ask("POST", f"/v1/workers/{self.argument('worker')}/gone", {})
        return self.show(status, answer, lambda answer: [f"{self.argument('worker')} is gone"])


OPERATE = [JobsCommand, LanesCommand, StatusCommand, DrainCommand, GoneCommand]
