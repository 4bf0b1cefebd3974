"""The scheduler's policies, each with a switch that is on unless a setting turns it off.

A switch lets an experiment measure what a mechanism is worth (docs/decisions.md). Mechanisms that enforce
a rule have no switch."""

from dataclasses import dataclass, fields

from ..base.problems import BadInput, Raised


@dataclass(kw_only=True, frozen=True)
class Policy:
    """One switch per mechanism."""

    order_by_aim: bool = True  # jobs that can still end by their aim go before late ones
    headroom: bool = True  # less urgent work leaves free the peak use of urgent queues
    rack_patience: bool = True  # a step waits a while for its preferred rack
    set_slow_aside: bool = True  # workers with slow attempts get no starts for a while
    health: bool = True  # suspicion, probation and trials, judged by how attempts end
    speculative_copies: bool = True  # a second attempt beside a late one, or one on a silent worker
    rescue_slow: bool = True  # attempts on a slow worker are started again elsewhere
    rescue_leaving: bool = True  # attempts that cannot end before their worker leaves are moved
    preemption: bool = True  # urgent work may stop less urgent attempts to get room
    reserve_starving: bool = True  # a worker is held back for a task that starves
    reserve_gangs: bool = True  # workers are held back for a gang that starves
    drain_estimates: bool = True  # held workers are chosen by when they will have room
    backfill: bool = True  # short work may run on a held worker until it is needed
    urgent_borrow: bool = True  # work more urgent than the holder needs no safety margin for that
    learned_durations: bool = True  # the duration of a queue's tasks is learned from their ends
    proven_retries: bool = True  # failed tasks go to workers with a recent successful attempt

    def off(self):
        """The names of the switches that are off."""
        return [field.name for field in fields(self) if not getattr(self, field.name)]


NAMES = tuple(field.name for field in fields(Policy))
DEFAULT = Policy()


def read_policy(*, off):
    """A policy from a list, or a comma-separated text, of switches that are off; raises
    Raised(BadInput) naming each unknown one."""
    names = [name.strip() for name in off.split(",")] if isinstance(off, str) else list(off)
    names = [name for name in names if name]
    bad = [
        ["policy", f"no switch {name!r}; there are {', '.join(NAMES)}"] for name in names if name not in NAMES
    ]
    if bad:
        raise Raised(BadInput(errors=bad))
    return Policy(**dict.fromkeys(names, False))
