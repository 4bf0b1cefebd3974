"""Incremental snapshots of a large record, which keeps changing meanwhile. Small parts are
copied at once; jobs are packed a slice at a time, and a job that is about to change is packed
just before (copy on write). The snapshot shows the state at the moment it was begun, and the
event loop is never blocked for longer than one slice, or one job, takes to pack."""

import asyncio

from ..base import constants
from ..base.circuit import pack, unpack


class SnapshotCopy:
    """A snapshot in progress. `left` holds the jobs that are not packed yet, `most` the number of tasks
    in the next slice."""

    def __init__(self, *, rec):
        self.head, self.blobs = rec.pack(jobs=False), []
        self.left = dict(rec.jobs)
        self.rec, self.most = rec, min(constants.PACK_FIRST_SLICE_TASKS, constants.PACK_SLICE_MAX_TASKS)

    def put(self, jobs, spend):
        """Packs jobs, after reporting the CPU time that this takes to `spend`."""
        tasks = sum(len(job.tasks) for job in jobs)
        spend(s=tasks * constants.PACK_TASK_CPU_TIME)
        self.blobs.append(pack([job.pack() for job in jobs]))

    def adapt_slice_size(self, *, s):
        """Adapts the slice size after the last slice, and what else ran then, took s seconds, so
        that a slice blocks the event loop for about as long on a processor of any speed."""
        self.most = int(
            min(
                constants.PACK_SLICE_MAX_TASKS,
                max(
                    constants.PACK_SLICE_MIN_TASKS,
                    min(2 * self.most, self.most * constants.PACK_SLICE_TARGET_TIME / max(s, 1e-4)),
                ),
            )
        )

    def slice(self, spend):
        """Packs jobs of about `most` tasks; false once no job is left."""
        jobs, tasks = [], 0
        while self.left and tasks < self.most:
            jobs.append(self.left.pop(next(iter(self.left))))
            tasks += len(jobs[-1].tasks)
        if jobs:
            self.put(jobs, spend)
        return bool(self.left)


class CopyingMixin:
    """The part of the record that takes incremental snapshots of it."""

    copying = None

    def touch(self, job):
        """Must be called before a job changes: a snapshot in progress packs it as it was."""
        copying = self.copying
        if copying is not None and copying.left.pop(job.name, None) is not None:
            copying.put([job], self.spend)

    def spend(self, *, s):
        """Takes the CPU seconds that a `touch` uses; replaced by the daemon during a snapshot."""

    def task_count(self):
        return sum(len(job.tasks) for job in self.jobs.values())

    async def picture(self, *, spend, now, also=lambda: None):
        """(snapshot, result of `also` at the moment it was begun), or None if the record was loaded
        from another snapshot meanwhile. One at a time: a second caller waits for the first."""
        while self.copying is not None:
            await asyncio.sleep(constants.BATCH_INTERVAL_MIN)
        copying = self.copying = SnapshotCopy(rec=self)
        extra, self.spend = also(), spend
        try:
            while True:
                started = now()
                if not copying.slice(spend):
                    break
                await asyncio.sleep(constants.PACK_SLICE_PAUSE)
                copying.adapt_slice_size(s=now() - started - constants.PACK_SLICE_PAUSE)
                await asyncio.sleep(now() - started)  # packing takes at most half of the time
                if self.copying is not copying:
                    return None
        finally:
            if self.copying is copying:
                self.copying = None
        return copying.head | {"blobs": copying.blobs}, extra


def jobs_of(snapshot):
    """The jobs of a snapshot, taken at once or in slices."""
    return snapshot["jobs"] + [job for blob in snapshot.get("blobs", ()) for job in unpack(blob)]
