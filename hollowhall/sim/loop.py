"""An event loop of virtual time. Nothing waits: when no callback is ready the time
jumps to the next timer. Every callback belongs to the node whose context it runs
in; a paused node's callbacks are kept until it wakes, a killed node's are dropped,
so the daemons' own code is frozen or ended between any two of its steps."""

import asyncio
import contextvars
from collections import deque

NODE = contextvars.ContextVar("node", default=None)


class Jump:
    """Stands where a selector stands: waiting is moving the time on."""

    def __init__(self, loop):
        self.loop = loop

    def select(self, timeout):
        if timeout is None:
            raise RuntimeError("the simulation has nothing left to do")
        self.loop.vt += timeout
        return []

    def close(self):
        pass


class SimLoop(asyncio.BaseEventLoop):
    def __init__(self):
        super().__init__()
        self.vt, self.steps = 0.0, 0
        self._selector = Jump(self)
        self._clock_resolution = 1e-9
        self.set_exception_handler(self.complain)
        self.complaints = []

    def time(self):
        return self.vt

    def complain(self, loop, ctx):
        e = ctx.get("exception")
        if e is not None:
            self.complaints.append(repr(e))

    def _process_events(self, events):
        pass

    def _write_to_self(self):
        pass

    def gate(self, cb, timer=False):
        def run(*a):
            self.steps += 1
            n = NODE.get()
            if n is not None and n.cost and n.awake:
                n.work(cb, a, timer)
            elif n is None or n.awake:
                cb(*a)
            elif n.alive:
                n.stash.append((cb, a, contextvars.copy_context(), timer))

        return run

    over = False  # set at the end; what garbage collection closes then is nothing

    def call_soon(self, cb, *a, context=None):
        if self.over:
            return asyncio.Handle(cb, a, self)
        return super().call_soon(self.gate(cb), *a, context=context)

    def call_at(self, when, cb, *a, context=None):
        if self.over:
            return asyncio.Handle(cb, a, self)
        return super().call_at(when, self.gate(cb, timer=True), *a, context=context)

    def raw_at(self, when, f):
        """A happening of the simulation itself, in no node's time."""
        super().call_at(when, f, context=contextvars.Context())

    def run_in_executor(self, ex, f, *a):
        raise RuntimeError("no threads in the simulation")


class Node:
    """One process of one machine, in one incarnation."""

    def __init__(self, *, name, machine, loop):
        self.name, self.machine, self.loop = name, machine, loop
        self.alive, self.awake, self.stash = True, True, []
        self.ctx = contextvars.copy_context()
        self.ctx.run(NODE.set, self)
        self.wires, self.ports, self.tasks = [], [], []
        self.cost, self.debt, self.free, self.backlog = 0.0, 0.0, 0.0, deque()
        self.times = 1.0  # so many times slower than others: every step and debt of it

    def work(self, cb, a, timer):
        """One processor: a step takes its time, and steps that come meanwhile wait."""
        if self.backlog or self.free > self.loop.vt:
            self.backlog.append((cb, a, contextvars.copy_context(), timer))
            if len(self.backlog) == 1:
                self.loop.raw_at(self.free, self.drain)
        else:
            self.step(cb, a)

    def step(self, cb, a):
        cb(*a)
        self.free, self.debt = max(self.free, self.loop.vt) + (self.cost + self.debt) * self.times, 0.0

    def drain(self):
        if not self.awake:
            self.stash, self.backlog = list(self.backlog) + self.stash, deque()
            return
        if self.backlog:
            cb, a, ctx, _ = self.backlog.popleft()
            ctx.run(self.step, cb, a)
        if self.backlog:
            self.loop.raw_at(self.free, self.drain)

    def run(self, co):
        t = self.loop.create_task(co, context=self.ctx)
        self.tasks.append(t)
        return t

    def pause(self):
        self.awake = False

    def wake(self, *, sockets_first=False):
        """Goes on with what was kept, as it came, or what lies in the sockets first and
        every timer that ran out meanwhile behind it."""
        if not self.alive or self.awake:
            return
        self.awake = True
        st, self.stash = self.stash, []
        if sockets_first:
            st.sort(key=lambda x: x[3])
        for cb, a, ctx, _ in st:
            self.loop.call_soon(cb, *a, context=ctx)

    def kill(self):
        self.alive = self.awake = False
        self.stash, self.backlog = [], deque()
