"""The store's replica without its periodic tasks: what a timer starts in a daemon is started by
an event here."""

import asyncio
import random

from ..almanac import StoreMember
from ..almanac.vote import LEADER
from ..base import constants
from ..sim.disk import SimDisk
from .network import ModelRpcClient

TASKS_THAT_RUN = {"disk", "snaps", "campaign", "renew", "change", "step out"}


class OmittedTask:
    """Replaces a periodic task whose work is started by events."""

    def cancel(self):
        pass


class ModelDisk(SimDisk):
    """A disk whose syncs complete at once, or wait for an event while `syncs_held` is set."""

    def __init__(self):
        super().__init__(rng=random.Random(0))
        self.syncs_held, self.waiting_syncs = False, []

    async def wait(self):
        if self.syncs_held:
            self.waiting_syncs.append(asyncio.get_running_loop().create_future())
            await self.waiting_syncs[-1]
        else:
            await asyncio.sleep(0)

    def complete_sync(self):
        """Completes the oldest waiting sync."""
        self.waiting_syncs.pop(0).set_result(None)

    def lose_power(self, *, keep_writes, keep_renames):
        """Loses unsynced bytes of files unless `keep_writes`, and an unsynced whole-file write unless
        `keep_renames`."""
        for file in self.files.values():
            if keep_writes:
                file.settle()
            file.unsynced = None
        if keep_renames and self.unsynced_whole_file is not None:
            self.whole_files[self.unsynced_whole_file[0]] = self.unsynced_whole_file[1]
        self.unsynced_whole_file, self.waiting_syncs = None, []

    def end_of_process(self):
        """The process ends; its writes survive in the machine's page cache."""
        for file in self.files.values():
            file.settle()
        self.unsynced_whole_file, self.waiting_syncs = None, []

    def copy_from(self, other):
        self.files, self.whole_files, self.unsynced_whole_file = {}, dict(other.whole_files), None
        for name, file in other.files.items():
            self.file(name=name, size=file.size).safe[:] = file.safe


class ModelRuntime:
    """Clock, random numbers, disk and event log of one replica."""

    def __init__(self, *, loop, disk, seed):
        self.loop, self.disk, self.rng, self.events = loop, disk, random.Random(seed), []

    def now(self):
        return self.loop.now + 100.0

    def wall(self):
        return int(self.loop.now * 1000)

    def spend(self, *, s):
        pass

    def writer(self, *, name):
        return lambda event, **fields: self.events.append((event.number, fields))


class ModelReplica(StoreMember):
    """A replica from one start to the next; `incarnation` counts its starts."""

    def __init__(self, *, settings, runtime, network, incarnation):
        self.network, self.incarnation, self.tasks = network, incarnation, []
        super().__init__(settings=settings, runtime=runtime)

    def link(self, *, addr):
        if addr not in self.links:
            self.links[addr] = ModelRpcClient(replica=self, network=self.network, address=addr)
        return self.links[addr]

    def run_task(self, *, coroutine, name=""):
        if name not in TASKS_THAT_RUN:
            coroutine.close()
            return OmittedTask()
        task = self.runtime.loop.create_task(coroutine)
        self.tasks.append(task)
        return task

    def boot(self):
        """Reads the disk and opens each part, as a start does before the periodic tasks."""
        self.ended = asyncio.Event()
        self.open_store()
        self.open_membership()
        self.disk_event = asyncio.Event()
        self.open_snapshots()
        self.open_serve()
        self.open_clock()
        self.restore()
        self.open_members()
        self.run_task(coroutine=self.keep_disk(), name="disk")
        self.run_task(coroutine=self.run_snapshots(), name="snaps")
        self.open_joining()
        self.opened = True
        self.apply_membership()

    def stop(self):
        for task in self.tasks:
            task.cancel()

    # --- work of the periodic tasks

    def time_out(self):
        """What the leader check does after an election timeout: step down, recover, or campaign."""
        if self.election_role == LEADER:
            if self.quorum_age() > constants.ELECTION_TIMEOUT_MAX:
                self.become(role="follower", why="quorum not heard")
        elif self.blank:
            self.start_task(self.recover_blank())
        else:
            self.start_task(self.campaign())

    def start_task(self, coroutine):
        task = self.runtime.loop.create_task(coroutine)
        self.tasks.append(task)
        return task
