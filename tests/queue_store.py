"""Helper of tests: a record with queues that have places, and calls of a primary and an operator on it."""

from test_level_two import step

from hollowhall.base.constants import LOGICAL_BITS
from hollowhall.record import Record
from hollowhall.record.charter import check_job

HERE, THERE, AWAY = "here", "there", "away"


def row(place=None, **more):
    return {"weight": 1.0, "limit": 0, "urgency": 1} | ({"place": place} if place else {}) | more


class Store:
    """A record, and what a primary and an operator change in it. Each call is a second later."""

    def __init__(self, *, level=4, workers=4, **rows):
        self.record, self.stamp, self.revision = Record(), 1, 0
        self.record.to_level(level)
        self.configure(**rows)
        for index in range(workers):
            self.do(["worker", f"w{index}", "1", "svc", "z", "r", [8000, 1000, 0], True, ["a"]])

    def do(self, *events):
        """Applies events as one batch; their results."""
        self.stamp += 1000 << LOGICAL_BITS
        batch = {"e": 1, "c": 1, "s": self.stamp, "v": list(events)}
        return self.record.apply_entry(op="turn", d=batch).value

    def configure(self, *, tenants=None, **rows):
        self.revision += 1
        result = self.record.apply_entry(
            op="edit",
            d={
                "chosen": self.revision,
                "on": self.revision - 1,
                "mark": str(self.revision),
                "rows": rows,
                "kinds": {},
                "notes": {},
            }
            | ({} if tenants is None else {"tenants": tenants}),
        )
        assert result.ok, result
        return result

    def job(self, name="j", *, lane="a", place=HERE, steps=None, standing=False):
        body = {"lane": lane, "standing": standing, "steps": steps or [step(kind="svc")]}
        return self.do(["job", name, *check_job(body | ({"place": place} if place else {}))])[0]

    def queue(self, name="j"):
        return self.record.jobs[name].lane

    def restarted(self):
        """The same store, with a record loaded from a snapshot of the present one."""
        record = Record()
        record.load(self.record.pack())
        assert record.digest() == self.record.digest()
        self.record = record
        return self

    def grants(self):
        """Starts every waiting task that the record allows; ids of the started tasks."""
        started = []
        for queue in [name for name in self.record.lines if name in self.record.charter["rows"]]:
            for line in list(self.record.lines[queue].values()):
                for _, job, step_name in list(line):
                    for task in list(self.record.ready[job, step_name].values()):
                        for worker in self.record.workers:
                            if self.do(["grant", task.id, worker])[0][0] == "ok":
                                started.append(task.id)
                                break
        return started

    def end(self, task, how="ok"):
        job = self.record.jobs[task.rsplit("/", 2)[0]]
        self.do(["end", job.tasks[task].run, how, ""])
