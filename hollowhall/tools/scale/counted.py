"""A daemon that counts: the ordinary program, with counters around its sockets, its
frames and a mast's asks. One more ask, `counts`, tells them with processor time and memory
at one moment. Run as a module, with the program's own arguments. It ends when its
parent does, for a scale run must leave nothing behind."""

import os
import signal
import socket
import sys
import threading
import time

from cleo.application import Application

from ...base.daemon import Daemon
from ...base.problems import Success
from ...base.seam import Wire
from ...mast import Mast

COUNTS = {"out_b": 0, "in_b": 0, "out_n": 0, "in_n": 0, "asks": 0}


def end_with_parent(end=lambda: os.kill(os.getpid(), signal.SIGTERM)):
    """Our standard input is a pipe of the parent's: it ends when the parent does."""

    def wait():
        while os.read(0, 4096):
            pass
        end()

    threading.Thread(target=wait, daemon=True).start()


def memory():
    """Resident memory in bytes: all of it, and what is this process's own."""
    d = {}
    with open("/proc/self/status") as f:
        for x in f:
            if x.startswith(("VmRSS", "RssAnon")):
                d[x.split(":")[0]] = int(x.split()[1]) * 1024
    return d["VmRSS"], d["RssAnon"]


def moment():
    """What every process of a run can say of itself."""
    m, own = memory()
    return {"t": time.monotonic(), "cpu": time.process_time(), "rss": m, "own": own}


def count_bytes():
    """TCP bytes, HTTP and our own circuits alike, at the system call."""
    send, recv = socket.socket.send, socket.socket.recv

    def counted_send(s, b, *a):
        n = send(s, b, *a)
        COUNTS["out_b"] += n
        return n

    def counted_recv(s, *a):
        b = recv(s, *a)
        COUNTS["in_b"] += len(b)
        return b

    socket.socket.send, socket.socket.recv = counted_send, counted_recv


def count_frames():
    send, recv, take = Wire.send, Wire.recv, Mast.take

    def counted_send(w, b):
        COUNTS["out_n"] += 1
        return send(w, b)

    async def counted_recv(w):
        COUNTS["in_n"] += 1
        return await recv(w)

    def counted_take(m, **kw):
        COUNTS["asks"] += 1
        return take(m, **kw)

    Wire.send, Wire.recv, Mast.take = counted_send, counted_recv, counted_take


def duty(d):
    """What a daemon is now, and its own counters."""
    if d.role == "almanac":
        r = d.segments
        return {
            "duty": d.election_role,
            "clock": d.clk is not None,
            "entries": d.applied,
            "syncs": r.syncs,
            "disk_b": r.bytes,
            "stamp_calls": d.stamp_calls,
            "stamps": d.stamps,
        }
    if d.role == "desk":
        rec = d.record
        return {
            "duty": "primary" if d.live() else "understudy",
            "entries": d.applied,
            "turns": d.batch_count,
            "events": d.event_count,
            "workers": len(rec.workers),
            "runs": len(rec.attempts),
            "jobs": len(rec.jobs),
            "tasks": rec.task_count(),
        }
    return {"duty": "mast", "charter": d.charter["version"]}


def on_counts(self, *, request, callback, caller):
    callback(Success(value=COUNTS | moment() | duty(self) | {"lag": self.loop_lag}))


def main():
    from ..run import RUN

    program = Application("hollowhall")
    for c in RUN:
        program.add(c())
    end_with_parent()
    count_bytes()
    count_frames()
    Daemon.on_counts = on_counts
    sys.exit(program.run())


if __name__ == "__main__":
    sys.exit(main())
