"""The jobs that a soak's clients send."""

import time

from platform_standins import jobs


def mix():
    """(maker, how often): a little of everything that ends by itself or by a cancel."""
    return [
        (jobs.simple, 3),
        (jobs.chain, 4),
        (jobs.flaky, 1),
        (jobs.gang, 2),
        (jobs.saving_gang, 1),
        (jobs.saving, 1),
        (jobs.apart, 1),
        (jobs.twice, 1),
        (jobs.lasting, 0.5),
        (jobs.timed(wall_ms=lambda: time.time() * 1000), 1),
    ]
