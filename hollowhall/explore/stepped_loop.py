"""An event loop in virtual time, which advances only on request."""

import asyncio
from asyncio import events


class NoSelector:
    """A selector that never waits: the loop has no I/O."""

    def select(self, timeout):
        return []

    def close(self):
        pass


class SteppedLoop(asyncio.BaseEventLoop):
    """Runs callbacks on request. `now` is virtual time in seconds."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.errors = []
        self._selector = NoSelector()
        self._clock_resolution = 1e-9
        self.set_exception_handler(self._note_error)

    def time(self):
        return self.now

    def _note_error(self, loop, context):
        error = context.get("exception")
        if error is not None:
            self.errors.append(repr(error))

    def _process_events(self, event_list):
        pass

    def _write_to_self(self):
        pass

    def settle(self):
        """Runs all callbacks that are ready, and those that follow from them."""
        events._set_running_loop(self)
        try:
            while self._ready:
                self._run_once()
        finally:
            events._set_running_loop(None)

    def advance(self, seconds):
        """Advances virtual time and runs the timers that are due."""
        self.now += seconds
        self.call_soon(lambda: None)
        self.settle()

    def complete(self, coroutine):
        """Runs a coroutine that waits for no later event; returns its result."""
        task = self.create_task(coroutine)
        self.settle()
        return task.result()
