"""Workload files: the fleet, the queues with the shapes of their jobs, and the faults that an
experiment plays. A file is TOML; it is checked whole, and every bad field is named."""

import tomllib
from dataclasses import dataclass

from marshmallow import Schema, ValidationError, fields, post_load, validate

from ...base.params import NAME, flat
from ...base.problems import BadInput, Raised

FAULTS = ("burst", "crash", "cut", "slow", "errors", "hang", "leave", "outage")
SHARE = validate.Range(min=0.0, max=1.0)
POSITIVE = validate.Range(min=0.0, min_inclusive=False)


@dataclass(kw_only=True, frozen=True)
class Spread:
    """A quantity that varies: its mean, its coefficient of variation, and its largest value."""

    mean: float
    spread: float = 0.0
    most: float = 0.0

    def draw(self, rng):
        """One value: log-normal with that mean and spread, cut at `most` if that is not 0."""
        if not self.spread:
            return self.mean
        from math import log, sqrt

        variance = log(1 + self.spread**2)
        value = rng.lognormvariate(log(self.mean) - variance / 2, sqrt(variance))
        return min(value, self.most) if self.most else value


@dataclass(kw_only=True, frozen=True)
class QueueLoad:
    """What is sent to one queue. Shares are parts of its jobs (0 to 1); times in ms or s as named."""

    name: str
    urgency: int
    per_s: float
    worth: float
    late_worth: float
    stretch: float
    target_ms: float
    max_failures: int
    work_ms: Spread
    tasks: Spread
    steps: Spread
    cores: Spread
    mem_mb: Spread
    uneven: float = 0.0
    estimate_off: float = 0.0
    gang: float = 0.0
    tight: float = 0.0
    saves: float = 0.0
    copies: float = 0.0
    labelled: float = 0.0
    near: float = 0.0
    failing: float = 0.0
    poison: float = 0.0
    waiting: int = 0


@dataclass(kw_only=True, frozen=True)
class Fault:
    """One trouble: `share` of the workers (or a queue's load) from second `at` for `for_s` seconds."""

    kind: str
    at: float
    for_s: float = 5.0
    share: float = 0.1
    x: float = 4.0
    queue: str = ""


@dataclass(kw_only=True, frozen=True)
class Workload:
    """All of a workload file. `room` is a worker's cores (thousandths), memory (MB) and GPUs."""

    name: str
    workers: int
    room: list
    rack: int
    labels: list
    queues: list
    faults: list
    send_s: float
    finish_s: float
    spread_factor: float
    lease_ms: int
    checkpoint_ms: float
    restore_ms: float
    stop_ms: float
    gang_ms: float
    waste_price: float


class SpreadSchema(Schema):
    mean = fields.Float(required=True, validate=POSITIVE)
    spread = fields.Float(load_default=0.0, validate=validate.Range(min=0.0, max=5.0))
    most = fields.Float(load_default=0.0, validate=validate.Range(min=0.0))

    @post_load
    def make(self, data, **kw):
        return Spread(**data)


ONE = Spread(mean=1.0)


class QueueSchema(Schema):
    name = fields.Str(required=True, validate=NAME)
    urgency = fields.Int(strict=True, load_default=5, validate=validate.Range(min=0, max=9))
    per_s = fields.Float(required=True, validate=POSITIVE)
    worth = fields.Float(load_default=1.0, validate=POSITIVE)
    late_worth = fields.Float(load_default=0.3, validate=validate.Range(min=0.0))
    stretch = fields.Float(load_default=1.5, validate=POSITIVE)
    target_ms = fields.Float(load_default=1000.0, validate=validate.Range(min=0.0))
    max_failures = fields.Int(strict=True, load_default=3, validate=validate.Range(min=1, max=1000))
    work_ms = fields.Nested(SpreadSchema, required=True)
    tasks = fields.Nested(SpreadSchema, load_default=ONE)
    steps = fields.Nested(SpreadSchema, load_default=ONE)
    cores = fields.Nested(SpreadSchema, required=True)
    mem_mb = fields.Nested(SpreadSchema, load_default=Spread(mean=0.0))
    uneven = fields.Float(load_default=0.0, validate=validate.Range(min=0.0, max=5.0))
    estimate_off = fields.Float(load_default=0.0, validate=validate.Range(min=0.0, max=5.0))
    gang = fields.Float(load_default=0.0, validate=SHARE)
    tight = fields.Float(load_default=0.0, validate=SHARE)
    saves = fields.Float(load_default=0.0, validate=SHARE)
    copies = fields.Float(load_default=0.0, validate=SHARE)
    labelled = fields.Float(load_default=0.0, validate=SHARE)
    near = fields.Float(load_default=0.0, validate=SHARE)
    failing = fields.Float(load_default=0.0, validate=SHARE)
    poison = fields.Float(load_default=0.0, validate=SHARE)
    waiting = fields.Int(strict=True, load_default=0, validate=validate.Range(min=0, max=10_000))

    @post_load
    def make(self, data, **kw):
        return QueueLoad(**data)


class FaultSchema(Schema):
    kind = fields.Str(required=True, validate=validate.OneOf(FAULTS))
    at = fields.Float(required=True, validate=validate.Range(min=0.0))
    for_s = fields.Float(load_default=5.0, validate=POSITIVE)
    share = fields.Float(load_default=0.1, validate=SHARE)
    x = fields.Float(load_default=4.0, validate=POSITIVE)
    queue = fields.Str(load_default="")

    @post_load
    def make(self, data, **kw):
        return Fault(**data)


class WorkloadSchema(Schema):
    name = fields.Str(required=True, validate=validate.Length(min=1, max=200))
    workers = fields.Int(strict=True, required=True, validate=validate.Range(min=1, max=5000))
    room = fields.List(
        fields.Int(strict=True, validate=validate.Range(min=0)),
        required=True,
        validate=validate.Length(equal=3),
    )
    rack = fields.Int(strict=True, load_default=12, validate=validate.Range(min=1))
    labels = fields.List(fields.Str(), load_default=lambda: ["a"], validate=validate.Length(min=1))
    queues = fields.List(fields.Nested(QueueSchema), required=True, validate=validate.Length(min=1))
    faults = fields.List(fields.Nested(FaultSchema), load_default=list)
    send_s = fields.Float(load_default=30.0, validate=POSITIVE)
    finish_s = fields.Float(load_default=20.0, validate=POSITIVE)
    spread_factor = fields.Float(load_default=2.0, validate=validate.Range(min=1.0))
    lease_ms = fields.Int(strict=True, load_default=3600, validate=validate.Range(min=500))
    checkpoint_ms = fields.Float(load_default=1000.0, validate=POSITIVE)
    restore_ms = fields.Float(load_default=300.0, validate=validate.Range(min=0.0))
    stop_ms = fields.Float(load_default=200.0, validate=validate.Range(min=0.0))
    gang_ms = fields.Float(load_default=4000.0, validate=POSITIVE)
    waste_price = fields.Float(load_default=0.0, validate=validate.Range(min=0.0))

    @post_load
    def make(self, data, **kw):
        return Workload(**data)


def read_workload(*, path):
    """The workload of a file; raises Raised(BadInput) naming every bad field."""
    try:
        with open(path, "rb") as file:
            workload = WorkloadSchema().load(tomllib.load(file))
    except OSError as e:
        raise Raised(BadInput(errors=[[str(path), e.strerror or str(e)]])) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise Raised(BadInput(errors=[[str(path), str(e)]])) from None
    except ValidationError as e:
        raise Raised(BadInput(errors=flat(messages=e.messages))) from None
    names = [q.name for q in workload.queues]
    bad = [["queues", f"{n!r} stands twice"] for n in {n for n in names if names.count(n) > 1}]
    bad += [
        [f"faults.{i}.queue", f"no queue {f.queue!r}"]
        for i, f in enumerate(workload.faults)
        if f.queue and f.queue not in names
    ]
    if bad:
        raise Raised(BadInput(errors=bad))
    return workload
