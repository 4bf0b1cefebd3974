"""An event loop in virtual time: when no callback is ready, the time jumps to the next timer.
Every callback belongs to the node in whose context it runs. Callbacks of a paused node are
held until it wakes, those of a killed node are dropped, so the daemons' own code can be
frozen or ended between any two of its callbacks."""

import asyncio
import contextvars
from collections import deque

NODE = contextvars.ContextVar("node", default=None)


class VirtualSelector:
    """Replaces the selector of the loop: waiting advances the virtual time."""

    def __init__(self, loop):
        self.loop = loop

    def select(self, timeout):
        if timeout is None:
            raise RuntimeError("the simulation has nothing left to do")
        self.loop.virtual_time += timeout
        return []

    def close(self):
        pass


class SimLoop(asyncio.BaseEventLoop):
    """`vt` is the virtual time in seconds, `complaints` the exceptions that nothing caught."""

    def __init__(self):
        super().__init__()
        self.virtual_time, self.steps = 0.0, 0
        self._selector = VirtualSelector(self)
        self._clock_resolution = 1e-9
        self.set_exception_handler(self.record_exception)
        self.complaints = []

    def time(self):
        return self.virtual_time

    def record_exception(self, loop, context):
        exception = context.get("exception")
        if exception is not None:
            self.complaints.append(repr(exception))

    def _process_events(self, events):
        pass

    def _write_to_self(self):
        pass

    def on_node(self, callback, timer=False):
        """Wraps a callback: it runs, is held or is dropped as the state of its node says."""

        def run(*args):
            self.steps += 1
            node = NODE.get()
            if node is not None and node.cost and node.awake:
                node.work(callback, args, timer)
            elif node is None or node.awake:
                callback(*args)
            elif node.alive:
                node.held.append((callback, args, contextvars.copy_context(), timer))

        return run

    over = False  # set at the end: garbage collection may still close objects, which then has no effect

    def call_soon(self, callback, *args, context=None):
        if self.over:
            return asyncio.Handle(callback, args, self)
        return super().call_soon(self.on_node(callback), *args, context=context)

    def call_at(self, when, callback, *args, context=None):
        if self.over:
            return asyncio.Handle(callback, args, self)
        return super().call_at(when, self.on_node(callback, timer=True), *args, context=context)

    def call_outside_nodes(self, when, function):
        """Calls a function of the simulation itself, which takes no node's time."""
        super().call_at(when, function, context=contextvars.Context())

    def run_in_executor(self, executor, function, *args):
        raise RuntimeError("no threads in the simulation")


class Node:
    """One process on one machine, from its start to its end. When `cost` is not 0 the process has
    one CPU: each callback takes `cost` seconds and those owed in `owed_s`."""

    def __init__(self, *, name, machine, loop):
        self.name, self.machine, self.loop = name, machine, loop
        self.alive, self.awake, self.held = True, True, []
        self.ctx = contextvars.copy_context()
        self.ctx.run(NODE.set, self)
        self.wires, self.ports, self.tasks = [], [], []
        self.cost, self.owed_s, self.free, self.backlog = 0.0, 0.0, 0.0, deque()
        self.times = 1.0  # factor on all CPU time of this process; above 1 it is slower than others

    def work(self, callback, args, timer):
        """Runs a callback on the one CPU: it takes time, and callbacks that come meanwhile queue up."""
        if self.backlog or self.free > self.loop.virtual_time:
            self.backlog.append((callback, args, contextvars.copy_context(), timer))
            if len(self.backlog) == 1:
                self.loop.call_outside_nodes(self.free, self.drain)
        else:
            self.step(callback, args)

    def step(self, callback, args):
        callback(*args)
        self.free, self.owed_s = (
            max(self.free, self.loop.virtual_time) + (self.cost + self.owed_s) * self.times,
            0.0,
        )

    def drain(self):
        """Runs the next queued callback once the CPU is free."""
        if not self.awake:
            self.held, self.backlog = list(self.backlog) + self.held, deque()
            return
        if self.backlog:
            callback, args, context, _ = self.backlog.popleft()
            context.run(self.step, callback, args)
        if self.backlog:
            self.loop.call_outside_nodes(self.free, self.drain)

    def run(self, coroutine):
        task = self.loop.create_task(coroutine, context=self.ctx)
        self.tasks.append(task)
        return task

    def pause(self):
        self.awake = False

    def wake(self, *, sockets_first=False):
        """Runs the held callbacks, in their order, or with `sockets_first` those of sockets before
        those of timers that expired meanwhile."""
        if not self.alive or self.awake:
            return
        self.awake = True
        held, self.held = self.held, []
        if sockets_first:
            held.sort(key=lambda entry: entry[3])
        for callback, args, context, _ in held:
            self.loop.call_soon(callback, *args, context=context)

    def kill(self):
        self.alive = self.awake = False
        self.held, self.backlog = [], deque()
