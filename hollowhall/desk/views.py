"""A job and its tasks as callers are shown them."""

from ..base import consts as C
from ..record.kinds import LOST, READY, RUNNING, WAITING


class ViewsMixin:
    """Views of the record."""

    def job_view(self, n, *, tasks=False):
        j = self.record.jobs[n]
        count = {}
        for t in j.tasks.values():
            count[t.state] = count.get(t.state, 0) + 1
        d = {
            "name": n,
            "lane": j.lane,
            "state": j.state,
            "why": j.why,
            "tasks": count,
            "stamp": str(j.stamp),
            "atMs": j.stamp >> C.LOGICAL_BITS,
            "endedMs": j.ended >> C.LOGICAL_BITS,
            "fails": sum(t.fails for t in j.tasks.values()),
        }
        d["waits"] = {s: self.why_waits((n, s)) for s in j.steps if (n, s) in self.record.ready}
        if tasks:
            d["each"] = [self.task_view(t) for t in j.tasks.values()]
        return d

    def task_view(self, t):
        g = self.record.legs.get(t.run) if t.state == RUNNING else None
        w = self.record.workers.get(g.worker) if g else None
        lost = {"lost": True} if w is not None and w.state == LOST else {}
        return lost | {
            "task": t.id,
            "step": t.step,
            "state": t.state,
            "fails": t.fails,
            "runId": str(t.run) if t.run else "",
            "worker": g.worker if g else "",
            "dueMs": t.due if t.state in (WAITING, READY) else 0,
        }
