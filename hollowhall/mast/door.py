"""Load shedding at the gateway.

The load is measured by the event loop's lag and the requests in flight. While it is above its limit
the fraction of submissions that are refused rises, otherwise it falls. The fraction is taken from the
least urgent of the recent submissions, relative to one another and not by absolute urgency; the most
urgent ones are accepted until the load is so high that even heartbeats would be late. A refused
client is told at once, with a time after which to retry. Heartbeats, departures, cancels and
operators' requests are never refused."""

from ..base import constants, log_events
from ..base.problems import Shed


class LoadSheddingMixin:
    """Decides which job submissions and reads are refused under load."""

    def open_load_shedding(self):
        self.shed_recently, self.admitted_recently, self.decayed_at = 0.0, 0.0, self.runtime.now()
        self.refused_fraction, self.fraction_updated_at, self.came = 0.0, self.runtime.now(), {}
        self.shed_since_log, self.shed_logged_at = 0, -constants.LOAD_LOG_INTERVAL

    def full(self):
        """The load relative to its limit: 1.0 is full."""
        return max(
            self.pending_requests.n / self.settings.shed_at, self.loop_lag / constants.GATEWAY_FULL_LAG
        )

    def shed_if_overloaded(self, *, lane, slot, read=False):
        """Whether this request was refused, and answered with Shed. Reads are refused whenever the load
        is above 1.0, whatever their urgency."""
        urgency = self.charter["rows"].get(lane, {}).get("urgency", 0)
        self.decay_counts()
        if not read:
            self.came[urgency] = self.came.get(urgency, 0.0) + 1.0
        full = self.full()
        if full > constants.LOAD_SUBMISSIONS_CLOSED or (
            full > 1.0 if read else self.in_refused_fraction(urgency)
        ):
            self.gauges.shed(lane)
            self.shed_since_log += 1
            if self.runtime.now() - self.shed_logged_at > constants.LOAD_LOG_INTERVAL:
                self.say(
                    log_events.ASK_SHED,
                    lane=lane,
                    since_last=self.shed_since_log,
                    in_flight=self.pending_requests.n,
                )
                self.shed_logged_at, self.shed_since_log = self.runtime.now(), 0
            self.shed_recently += 1.0
            self.finish(
                slot=slot,
                result=Shed(
                    lane=lane,
                    after=min(
                        constants.RETRY_AFTER_MAX,
                        constants.RETRY_AFTER
                        + int(
                            constants.SHED_COUNTS_HALF_LIFE
                            * self.shed_recently
                            / (self.admitted_recently + 1.0)
                            * 2 ** (-urgency / constants.URGENCY_HALVING_RETRY_AFTER)
                        ),
                    ),
                ),
            )
            return True
        self.admitted_recently += 1.0
        return False

    def in_refused_fraction(self, urgency):
        """Whether a submission of this urgency falls into the refused fraction. All less urgent ones are
        refused before any of this urgency; of this one at random as many as fill the rest."""
        lower = sum(count for other, count in self.came.items() if other < urgency)
        remaining = self.refused_fraction * sum(self.came.values()) - lower
        return remaining > 0 and self.runtime.rng.random() * self.came[urgency] < remaining

    def decay_counts(self):
        """Decays the counts of recent submissions exponentially, and adjusts the refused fraction. That
        fraction changes with the load and the time elapsed, not with the number of requests."""
        now = self.runtime.now()
        factor = 0.5 ** ((now - self.decayed_at) / constants.SHED_COUNTS_HALF_LIFE)
        self.shed_recently, self.admitted_recently, self.decayed_at = (
            self.shed_recently * factor,
            self.admitted_recently * factor,
            now,
        )
        self.came = {urgency: count * factor for urgency, count in self.came.items() if count * factor > 0.01}
        elapsed, self.fraction_updated_at = min(1.0, now - self.fraction_updated_at), now
        step = (
            constants.REFUSED_FRACTION_RISE
            if self.full() > constants.LOAD_FULL
            else -constants.REFUSED_FRACTION_FALL
        )
        self.refused_fraction = max(
            0.0, min(constants.REFUSED_FRACTION_MAX, self.refused_fraction + step * elapsed)
        )
