"""How long a round of placement may occupy the event loop.

The store's heartbeats, lease renewals and the workers' heartbeats wait on the same loop, so a round over a
long backlog ends before they are late and continues after them."""


class RoundTime:
    """The time of one round, in seconds, at most `most`. `spend` tells the simulation what the work costs; on
    a real machine, time passes by itself."""

    def __init__(self, *, runtime, most):
        self.runtime, self.most = runtime, most
        self.start, self.reported = runtime.now(), 0.0

    def spend(self, *, s):
        """Reports work that takes `s` seconds of a processor."""
        self.reported += self.runtime.spend(s=s)

    def took(self):
        """How many seconds the round has taken so far."""
        return self.runtime.now() - self.start + self.reported

    def over(self):
        """Whether the round has used up its time."""
        return self.took() >= self.most


class Unbounded:
    """The time of a round without a limit: for the planner, or a test of one decision."""

    def spend(self, *, s):
        """Not counted."""

    def over(self):
        """Never."""
        return False
