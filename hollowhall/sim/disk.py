"""Simulated disks. Synced data stays. Data written and not synced survives a killed process;
a power cut loses it, keeps it or tears it. A disk may stall, fill up or be lost."""

import asyncio
import errno


class SimFile:
    """A file of fixed size: `safe` is what is synced, `pending` the write under way."""

    def __init__(self, *, disk, size):
        self.disk, self.size, self.safe, self.unsynced = disk, size, bytearray(size), None

    def read(self):
        self.settle()
        return bytes(self.safe)

    def settle(self):
        """Completes the pending write, as the page cache does when only the process has ended."""
        if self.unsynced is not None:
            offset, data = self.unsynced
            self.safe[offset : offset + len(data)] = data
            self.unsynced = None

    def power_cut(self, rng):
        """Keeps none, all or a random prefix of the pending write."""
        if self.unsynced is not None:
            offset, data = self.unsynced
            length = rng.choice((0, len(data), rng.randrange(len(data) + 1)))
            self.safe[offset : offset + length] = data[:length]
            self.unsynced = None

    async def put(self, *, off, data):
        self.settle()
        self.unsynced = (off, bytes(data))
        await self.disk.wait()
        self.settle()

    def close(self):
        pass


class SimDisk:
    """The disk of one machine: files written in place, and files replaced whole (`wholes`)."""

    def __init__(self, *, rng):
        self.rng, self.files, self.whole_files = rng, {}, {}
        self.full, self.stalled, self.slow, self.syncs = False, None, 0.0, 0
        self.unsynced_whole_file = None

    async def wait(self):
        """Takes the time of one sync. Raises OSError when the disk is full."""
        if self.full:
            raise OSError(errno.ENOSPC, "No space left on device")
        self.syncs += 1
        await asyncio.sleep(0.0005 + 0.0015 * self.rng.random() + self.slow)
        while self.stalled is not None:
            await asyncio.sleep(0.05)

    def file(self, *, name, size):
        if name not in self.files:
            self.files[name] = SimFile(disk=self, size=size)
        return self.files[name]

    def names(self):
        return sorted(self.files) + sorted(self.whole_files)

    def get(self, *, name):
        return self.whole_files.get(name)

    async def whole(self, *, name, data):
        """Replaces a file atomically: a power cut leaves the old content or the new."""
        self.unsynced_whole_file = (name, bytes(data))
        await self.wait()
        self.whole_files[name], self.unsynced_whole_file = bytes(data), None

    def power_cut(self):
        for file in self.files.values():
            file.power_cut(self.rng)
        if self.unsynced_whole_file is not None and self.rng.random() < 0.5:
            self.whole_files[self.unsynced_whole_file[0]] = self.unsynced_whole_file[1]
        self.unsynced_whole_file = None

    def lose(self):
        """Replaces the disk by an empty one. Files that an ended process holds open are detached."""
        self.files, self.whole_files, self.unsynced_whole_file = {}, {}, None
