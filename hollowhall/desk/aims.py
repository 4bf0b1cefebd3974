"""When a job should have ended: its queue's `stretch` times the longest chain of its steps by the
caller's own estimates, plus the queue's `aimMs`. Up to `LATE_TIMES` the aim a job is late; later it
is of little use to anybody. An estimate may be off by half, so that an aim orders jobs and judges
none."""

from ..base import consts as C


def chain_ms(*, spec):
    """The longest chain of steps of a job's body, in ms of work, by its estimates."""
    steps = {s["name"]: s for s in spec["steps"]}
    known = {}

    def until(name):
        if name not in known:
            step = steps[name]
            own = step.get("estimateMs") or C.FAR_MS
            known[name] = own + max((until(a) for a in step["after"]), default=0)
        return known[name]

    pending = [s["name"] for s in spec["steps"]]
    if len(pending) > C.CHAIN_STEPS:  # a long chain would nest too deep
        return sum(s.get("estimateMs") or C.FAR_MS for s in spec["steps"])
    return max((until(name) for name in pending), default=0)


def aim_ms(*, spec, row):
    """How long after it was accepted a job should have ended, in ms; 0 where its queue names none."""
    if not row.get("stretch") and not row.get("aimMs"):
        return 0
    return int(row.get("stretch", 0) * chain_ms(spec=spec) + row.get("aimMs", 0))
