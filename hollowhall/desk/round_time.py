"""How long a round of placement may keep the event loop. The store's heartbeats, the keep-alives of leases and the
beats of workers wait for it on the same loop, so a round over a long backlog ends before they are late, and goes
on behind them."""


class RoundTime:
    """The time of one round, in seconds. `spend` tells the simulation what the work costs; on a real machine
    it takes its time by itself."""

    def __init__(self, *, seam, most):
        self.seam, self.most = seam, most
        self.start, self.told = seam.now(), 0.0

    def spend(self, *, s):
        """Work that takes `s` seconds of a processor was done."""
        self.told += self.seam.spend(s=s)

    def took(self):
        """How long the round has taken so far."""
        return self.seam.now() - self.start + self.told

    def over(self):
        """Whether the round has had its time."""
        return self.took() >= self.most


class Unbounded:
    """The time of a round that nothing waits for: a plan, or a test of one decision."""

    def spend(self, *, s):
        """Nobody counts it."""

    def over(self):
        """Never."""
        return False
