"""The scheduler's policies, each with a switch that is on unless a setting turns it off. A switch
exists so that an experiment can tell what a mechanism is worth (docs/decisions.md); what guards a
rule has none."""

from dataclasses import dataclass, fields

from ..base.problems import BadInput, Raised


@dataclass(kw_only=True, frozen=True)
class Policy:
    """One switch for each mechanism."""

    order_by_aim: bool = True  # what can still end by its aim goes before what is late
    headroom: bool = True  # less urgent work leaves the room that urgent queues used at their peak
    rack_patience: bool = True  # a step waits a while for the rack that it wants
    set_slow_aside: bool = True  # workers whose attempts go slowly get nothing new for a while
    health: bool = True  # suspicion, probation and trials by the evidence of ends
    speculative_copies: bool = True  # a second attempt beside one that is late or silent
    rescue_slow: bool = True  # what stands on a slow worker is begun again elsewhere
    rescue_leaving: bool = True  # what cannot end before its worker leaves is moved in time
    preemption: bool = True  # urgent work makes room by stopping what is less urgent
    reserve_starving: bool = True  # a task that starves gets a worker kept for it
    reserve_gangs: bool = True  # a gang that starves gets workers kept for it
    drain_estimates: bool = True  # workers are held back by when they will have room
    backfill: bool = True  # what ends before a held worker is wanted may run on it meanwhile
    urgent_borrow: bool = True  # what is more urgent than the holder may run on a held worker
    learned_durations: bool = True  # ends tell how long a queue's tasks take
    proven_retries: bool = True  # what failed goes where something ended well a moment ago

    def off(self):
        """The names of the switches that are off."""
        return [f.name for f in fields(self) if not getattr(self, f.name)]


NAMES = tuple(f.name for f in fields(Policy))
DEFAULT = Policy()


def read_policy(*, off):
    """A policy from a list, or a comma-separated text, of switches that are off; raises
    Raised(BadInput) naming each unknown one."""
    names = [x.strip() for x in off.split(",")] if isinstance(off, str) else list(off)
    names = [x for x in names if x]
    bad = [["policy", f"no switch {x!r}; there are {', '.join(NAMES)}"] for x in names if x not in NAMES]
    if bad:
        raise Raised(BadInput(errors=bad))
    return Policy(**dict.fromkeys(names, False))
