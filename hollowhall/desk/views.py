"""Jobs and tasks as they are shown to callers."""

from ..base import constants
from ..record.kinds import LOST, READY, RUNNING, WAITING


class ViewsMixin:
    """Builds the bodies that describe jobs and tasks."""

    def job_view(self, name, *, tasks=False):
        """A job with counts of its tasks by state and why its steps wait; with `tasks` also each task."""
        job = self.record.jobs[name]
        count = {}
        for task in job.tasks.values():
            count[task.state] = count.get(task.state, 0) + 1
        view = {
            "name": name,
            "lane": job.lane,
            "state": job.state,
            "why": job.why,
            "tasks": count,
            "stamp": str(job.stamp),
            "atMs": job.stamp >> constants.LOGICAL_BITS,
            "endedMs": job.ended >> constants.LOGICAL_BITS,
            "fails": sum(task.fails for task in job.tasks.values()),
        }
        view["waits"] = {
            step: self.wait_reason((name, step)) for step in job.steps if (name, step) in self.record.ready
        }
        if tasks:
            view["each"] = [self.task_view(task) for task in job.tasks.values()]
        return view

    def task_view(self, task):
        attempt = self.record.attempts.get(task.run) if task.state == RUNNING else None
        worker = self.record.workers.get(attempt.worker) if attempt else None
        lost = {"lost": True} if worker is not None and worker.state == LOST else {}
        return lost | {
            "task": task.id,
            "step": task.step,
            "state": task.state,
            "fails": task.fails,
            "runId": str(task.run) if task.run else "",
            "worker": attempt.worker if attempt else "",
            "dueMs": task.due if task.state in (WAITING, READY) else 0,
        }
