"""Which queue of the configuration a job belongs to. A queue has a name, which operators use,
and may have a place, which callers submit to; the two diverge when an operator renames a queue,
swaps two, or moves one. From format level 4 on a job follows its place: it belongs to the queue
at the place it was submitted to; if there is none, to the queue that it belonged to last, at
whatever place that one is now; and if that one is gone too, it waits until either is back. Below
that level a job follows the name only.

Only `assign_queue` changes a job's queue. It runs when a configuration is applied, so that all
replicas, and readers of their snapshots, agree on it."""

from ..base.problems import BadInput
from .kinds import ENDING, OPEN, READY


def places_of(rows):
    """{place: queue} of the queues that have a place."""
    return {row["place"]: name for name, row in rows.items() if row.get("place")}


def shared_places(rows):
    """A BadInput that names each queue whose place is also another queue's; None if there is none."""
    queue_at = places_of(rows)
    errors = [
        [f"rows.{name}.place", f"is the place of {queue_at[row['place']]!r}"]
        for name, row in rows.items()
        if row.get("place") and queue_at[row["place"]] != name
    ]
    return BadInput(errors=errors) if errors else None


class QueuesMixin:
    """The part of the record that assigns jobs to queues."""

    def index_places(self):
        """Derives `queue_at`, {place: queue}, from the configuration."""
        self.queue_at = places_of(self.charter["rows"]) if self.rule["jobs_follow_place"] else {}

    def queue_named(self, *, name, place=""):
        """The name of the queue that a request refers to: the queue at its place, if a place is given
        and has a queue; else the name that the caller gave."""
        return self.queue_at.get(place, name)

    def queue_of(self, job):
        """The name of the queue that a job belongs to; it may be missing from the configuration."""
        if job.home in self.queue_at:
            return self.queue_at[job.home]
        if job.lane in self.charter["rows"]:
            return job.lane
        return self.queue_at.get(job.last_place, job.lane)

    def reconfigure(self, configuration):
        """Replaces the configuration and assigns jobs to the queues that they now belong to."""
        names, queue_at = self.charter["rows"].keys(), self.queue_at
        self.keep_former_tenants(
            before=self.charter.get("tenants") or {}, after=configuration.get("tenants") or {}
        )
        self.charter = configuration
        self.drop_budgets()
        self.index_places()
        if queue_at != self.queue_at or names != self.charter["rows"].keys():
            self.assign_queues()

    def assign_queues(self):
        """Assigns every job that has not ended to its queue; at level 4 and above."""
        if self.rule["jobs_follow_place"]:
            for job in self.jobs.values():
                if job.state in (OPEN, ENDING):
                    self.assign_queue(job)

    def assign_queue(self, job):
        """Moves a job, with its ready tasks and running attempts, to the queue that it belongs to."""
        queue = self.queue_of(job)
        place = self.charter["rows"].get(queue, {}).get("place", "")
        home = job.home or place
        last_place = "" if place == home else place or job.last_place
        if (queue, home, last_place) == (job.lane, job.home, job.last_place):
            return
        self.touch(job)
        if job.home != home:
            job.place = home
        job.last_place = last_place
        if queue != job.lane:
            self.move_to_queue(job=job, queue=queue)

    def move_to_queue(self, *, job, queue):
        """Counts a job's ready tasks and attempts towards another queue than before."""
        ready = [task for task in job.tasks.values() if task.state == READY]
        for task in ready:
            self.unready(task)
        for attempt in self.attempts_of(job):
            self.count_in_queue(attempt=attempt, sign=-1)
            attempt.lane = queue
            self.count_in_queue(attempt=attempt, sign=1)
        job.lane = queue
        for task in ready:
            self.be_ready(task)
