"""The runtime of a daemon: clock, random numbers, network and disk. Daemons use these only through a Runtime, so
the same code runs on real sockets here and in the seeded simulation (hollowhall/sim). `now` includes time
spent suspended, so that a machine that was suspended finds its leases expired; `wall` is read by the clock
service only."""

import asyncio
import os
import random
import struct
import time

from . import constants


class Wire:
    """A TCP connection that carries frames: four bytes of length, then the frame."""

    def __init__(self, *, reader, writer):
        self.reader, self.writer = reader, writer

    def send(self, frame):
        """False if the connection is closed, which it becomes when the peer does not keep up."""
        transport = self.writer.transport
        if transport.is_closing() or transport.get_write_buffer_size() > constants.SEND_BUFFER_MAX_BYTES:
            self.close()
            return False
        self.writer.write(struct.pack(">I", len(frame)) + frame)
        return True

    async def recv(self):
        """The next frame; None at the end of the connection or for a frame above the limit."""
        try:
            (length,) = struct.unpack(">I", await self.reader.readexactly(4))
            if length > constants.FRAME_MAX_BYTES:
                self.close()
                return None
            return await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError):
            return None

    def close(self):
        if not self.writer.transport.is_closing():
            self.writer.transport.abort()


class Net:
    """The network: connections for RPC."""

    async def dial(self, *, addr):
        host, port = split(addr)
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), constants.CONNECT_TIMEOUT
        )
        return Wire(reader=reader, writer=writer)

    async def listen(self, *, addr, on_connection):
        host, port = split(addr)

        async def on(reader, writer):
            await on_connection(Wire(reader=reader, writer=writer))

        return await asyncio.start_server(on, host, port)


class File:
    """A preallocated file; writes and syncs run outside the event loop."""

    def __init__(self, *, path, size):
        self.path, self.size = path, size
        fresh = not os.path.exists(path) or os.path.getsize(path) < size
        self.fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        if fresh:
            os.posix_fallocate(self.fd, 0, size)
        os.fsync(self.fd)  # data that a killed process wrote but did not sync is read back, and must last

    def read(self):
        return os.pread(self.fd, self.size, 0)

    def _put(self, offset, data):
        written = 0
        while written < len(data):
            written += os.pwrite(self.fd, data[written:], offset + written)
        os.fdatasync(self.fd)

    async def put(self, *, off, data):
        await asyncio.get_running_loop().run_in_executor(None, self._put, off, data)

    def close(self):
        os.close(self.fd)


class Disk:
    """The files of one folder."""

    def __init__(self, *, folder):
        self.folder = folder
        os.makedirs(folder, exist_ok=True)

    def file(self, *, name, size):
        file = File(path=os.path.join(self.folder, name), size=size)
        self._dir()
        return file

    def names(self):
        return sorted(os.listdir(self.folder))

    def get(self, *, name):
        """The content of a file; None if there is none."""
        try:
            with open(os.path.join(self.folder, name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def _dir(self):
        fd = os.open(self.folder, os.O_RDONLY)
        os.fsync(fd)
        os.close(fd)

    def _whole(self, name, data):
        path = os.path.join(self.folder, name)
        with open(path + ".new", "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(path + ".new", path)
        self._dir()

    async def whole(self, *, name, data):
        """Replaces a small file atomically."""
        await asyncio.get_running_loop().run_in_executor(None, self._whole, name, data)


class Runtime:
    """The real runtime. `folder`: where `disk` keeps its files; without it there is no disk."""

    def __init__(self, *, folder=None, seed=None):
        self.rng = random.Random(seed)
        self.net = Net()
        self.disk = Disk(folder=folder) if folder else None

    def now(self):
        """Seconds of a monotonic clock that includes time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self):
        """Milliseconds of the wall clock."""
        return int(time.time() * 1000)

    def spend(self, *, s):
        """Announces work that takes `s` seconds of CPU time. The simulation adds them to its clock, in which
        work takes no time otherwise. Returns the seconds that `now` does not include yet."""
        return 0.0


def split(addr):
    """(host, port) of IP:port."""
    host, port = addr.rsplit(":", 1)
    return host, int(port)
