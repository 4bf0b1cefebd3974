"""The time that a daemon's event loop spends in each section of code. Everything in a daemon shares one loop,
so whatever blocks it delays heartbeats and keep-alives, too; the log line of a stalled loop names what
ran."""

from contextlib import contextmanager
from functools import wraps

from . import constants


class LoopTime:
    """Seconds spent in named sections since the last `take`. The time of a nested section is not counted for
    the section around it."""

    def __init__(self, *, now):
        self.now, self.spent, self.inner = now, {}, [0.0]

    @contextmanager
    def section(self, name):
        """A context manager that counts the time spent inside it for `name`."""
        start = self.now()
        self.inner.append(0.0)
        try:
            yield
        finally:
            whole = self.now() - start
            self.spent[name] = self.spent.get(name, 0.0) + whole - self.inner.pop()
            self.inner[-1] += whole

    def take(self):
        """The sections that took most since the last call, in ms, as 'beat:310,place:120'; '-' for none."""
        spent, self.spent = self.spent, {}
        most = sorted(spent.items(), key=lambda item: -item[1])[: constants.LOOP_SECTIONS_LOGGED]
        return ",".join(f"{name}:{round(seconds * 1000)}" for name, seconds in most) or "-"


def in_section(name):
    """A decorator that counts the time of a daemon's method for the section `name`."""

    def wrap(method):
        @wraps(method)
        def timed(self, *args, **kw):
            loop_time = getattr(self, "loop_time", None)
            if loop_time is None:  # an object used without a daemon
                return method(self, *args, **kw)
            with loop_time.section(name):
                return method(self, *args, **kw)

        return timed

    return wrap
