"""What the settings of a day say in numbers, by the platform's names in our case, and how
tasks are named there. Every stand-in and every rule takes its bounds from here."""

import re
from dataclasses import dataclass
from typing import NamedTuple

TASK = re.compile(r"^([0-9a-f]{16})\.(0|[1-9]\d*)\.(0|[1-9]\d*)\.(0|[1-9]\d*)$")


@dataclass(frozen=True, kw_only=True)
class Bounds:
    keepalive_ms: int = 1500  # at the latest after this a worker's next beat goes out
    contact_ms: int = 3000
    ack_ms: int = 4000
    drain_ms: int = 2000
    grace_s: float = 6
    loss_slack_ms: int = 200
    config_apply_ms: int = 2000
    downgrade_slack_ms: int = 250
    evacuate_ms: int = 5000
    hold_max_ms: int = 6000
    stop_timeout_ms: int = 400
    gang_timeout_ms: int = 3000
    cancel_ms: int = 3000
    visible_ms: int = 3000
    early_ms: int = 250
    finish_s: float = 14
    status_s: float = 120
    spread_factor: float = 3
    checkpoint_s: float = 1
    restore_ms: int = 100


class Task(NamedTuple):
    job: str
    k: int
    step: int
    index: int

    @property
    def group(self):
        """What a gang's members share, whichever of its runs."""
        return self.job, self.k, self.step


def parse(name):
    """A task by its name, or None where that is no task's name."""
    m = TASK.match(name) if isinstance(name, str) else None
    return m and Task(m[1], int(m[2]), int(m[3]), int(m[4]))


def need(step):
    """What one task of a step takes of a worker: thousandths of a core, MB, GPUs."""
    return [step.get("cpu", 0), step.get("memMb", 0), step.get("gpu", 0)]


def labels(step):
    """The labels that a worker must have for a step."""
    x = step.get("requiredLabels") or []
    return [x] if isinstance(x, str) else list(x)


def times(body):
    return max(1, body.get("runCount", 0))
