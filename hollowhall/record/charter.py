"""Validation of the configuration (the table of queues) and of job bodies, with marshmallow.
An error names each invalid row and field. A job whose steps form a cycle, name an unknown
step or share a name is rejected as a whole."""

import hashlib

import ormsgpack
from marshmallow import Schema, ValidationError, fields, validate

from ..base import constants
from ..base.params import NAME, flat
from ..base.problems import BadInput, Raised

RANGE = validate.Range


class RowSchema(Schema):
    """A queue: one row of the configuration."""

    weight = fields.Float(required=True, validate=RANGE(min=0.01, max=1000.0))
    limit = fields.Int(strict=True, load_default=0, validate=RANGE(min=0, max=100_000))
    urgency = fields.Int(strict=True, load_default=0, validate=RANGE(min=0, max=9))
    kind = fields.Str(validate=NAME)  # kind of worker; overrides that of a step
    maxFailures = fields.Int(strict=True, validate=RANGE(min=1, max=1000))
    stretch = fields.Float(validate=RANGE(min=0.0, max=1e6))
    aimMs = fields.Int(strict=True, validate=RANGE(min=0, max=1 << 40))
    place = fields.Str(
        validate=validate.Length(max=constants.QUEUE_PATH_MAX_LENGTH)
    )  # where callers reach the queue
    open = fields.Bool(truthy={True}, falsy={False})  # callers need no key
    note = fields.Dict()  # the operator's own text, kept as it is


class RoomSchema(Schema):
    """Resources of a worker that one task takes."""

    cores = fields.Int(strict=True, load_default=1, validate=RANGE(min=0, max=1 << 24))
    memMb = fields.Int(strict=True, load_default=0, validate=RANGE(min=0, max=1 << 24))
    gpus = fields.Int(strict=True, load_default=0, validate=RANGE(min=0, max=4096))


class SpreadSchema(Schema):
    """The most tasks of one step on one worker and in one rack; 0 for no limit."""

    perWorker = fields.Int(strict=True, load_default=0, validate=RANGE(min=0, max=10_000))
    perRack = fields.Int(strict=True, load_default=0, validate=RANGE(min=0, max=10_000))


DEFAULT_ROOM, DEFAULT_SPREAD = (
    RoomSchema().load({}),
    SpreadSchema().load({}),
)  # loaded once: making a schema is slow


class StepSchema(Schema):
    """A step of a job: tasks that are alike, and what they need."""

    name = fields.Str(required=True, validate=NAME)
    after = fields.List(fields.Str(validate=NAME), load_default=list)
    tasks = fields.Int(strict=True, load_default=1, validate=RANGE(min=1, max=constants.TASKS_MAX))
    kind = fields.Str(required=True, validate=NAME)
    room = fields.Nested(RoomSchema, load_default=lambda: dict(DEFAULT_ROOM))
    spread = fields.Nested(SpreadSchema, load_default=lambda: dict(DEFAULT_SPREAD))
    zone = fields.Str(load_default="", validate=validate.Length(max=64))
    rack = fields.Str(load_default="", validate=validate.Length(max=64))
    maxFailures = fields.Int(strict=True, load_default=3, validate=RANGE(min=1, max=1000))
    backoffMs = fields.Int(strict=True, load_default=500, validate=RANGE(min=0, max=600_000))
    runMs = fields.Int(strict=True, load_default=0, validate=RANGE(min=0, max=86_400_000))
    ifLost = fields.Str(load_default="auto", validate=validate.OneOf(["auto", "wait", "restart"]))
    work = fields.Dict(load_default=dict)
    gang = fields.Bool(truthy={True}, falsy={False})  # all tasks start together, or none
    tight = fields.Bool(truthy={True}, falsy={False})  # a gang that is placed in one rack if possible
    near = fields.Str(validate=validate.Length(max=64))  # the preferred rack
    label = fields.Str(validate=validate.Length(max=64))  # only workers with this label fit
    copies = fields.Bool(truthy={True}, falsy={False})  # a task may have several attempts at once
    saves = fields.Bool(truthy={True}, falsy={False})  # attempts leave checkpoints
    forever = fields.Bool(truthy={True}, falsy={False})  # started again however it ends
    notBefore = fields.Int(strict=True, validate=RANGE(min=0, max=1 << 44))
    estimateMs = fields.Int(strict=True, validate=RANGE(min=0, max=1 << 40))


class JobSchema(Schema):
    """A job as it is submitted."""

    lane = fields.Str(required=True, validate=NAME)
    notBefore = fields.Int(strict=True, load_default=0, validate=RANGE(min=0, max=1 << 44))
    standing = fields.Bool(load_default=False)
    place = fields.Str(
        validate=validate.Length(max=constants.QUEUE_PATH_MAX_LENGTH)
    )  # the place it was submitted at
    tenant = fields.Str(
        validate=validate.Length(min=1, max=constants.TENANT_NAME_MAX_LENGTH)
    )  # the tenant whose key the request had
    work = fields.Dict()  # given to the worker if a step has no work of its own
    steps = fields.List(fields.Nested(StepSchema), required=True, validate=validate.Length(min=1, max=200))


JOB, ROW = JobSchema(), RowSchema()
LEVEL_2_FIELDS = ("gang", "tight", "near", "label", "copies", "saves", "forever", "notBefore", "estimateMs")


def required_level(spec):
    """The lowest format level that supports every field of this job."""
    if "tenant" in spec:
        return 5
    return 2 if any(field in step for step in spec["steps"] for field in LEVEL_2_FIELDS) else 0


def raise_bad_input(errors):
    """Raises Raised(BadInput); errors: [[field, message], ...]."""
    raise Raised(BadInput(errors=errors))


def check_name(name):
    """Raises Raised(BadInput) if a name is not valid."""
    try:
        NAME(name)
    except ValidationError as error:
        raise_bad_input([["name", str(error.messages[0])]])


def check_rows(rows):
    """Rows of a configuration change as the record keeps them; None removes a row. Raises
    Raised(BadInput) with every invalid field."""
    check = check_rows_in_slices(rows)
    while True:
        try:
            next(check)
        except StopIteration as stop:
            return stop.value


def check_rows_in_slices(rows):
    """`check_rows` as a generator that yields the number of rows checked since the last yield, so that a
    daemon can run other work between slices; the rows are the generator's return value."""
    checked, errors = {}, []
    if not isinstance(rows, dict):
        raise_bad_input([["rows", "a mapping of lane to row is wanted"]])
    if len(rows) > constants.RULES[constants.LEVEL]["rows_max"]:
        raise_bad_input([["rows", f"more than {constants.RULES[constants.LEVEL]['rows_max']} rows"]])
    for index, (lane, row) in enumerate(rows.items()):
        if index % constants.ROWS_PER_SLICE == constants.ROWS_PER_SLICE - 1:
            yield constants.ROWS_PER_SLICE
        try:
            NAME(lane)
            checked[lane] = None if row is None else ROW.load(row)
        except ValidationError as error:
            errors += [
                [f"rows.{lane}" + (f".{field}" if field else ""), message]
                for field, message in flat(messages=error.messages)
            ]
    if errors:
        raise_bad_input(errors)
    return checked


def check_job(body):
    """(job, digest): a job's body with every default filled in, and its hash. Raises Raised(BadInput)
    with every invalid field."""
    if (
        isinstance(body, dict)
        and isinstance(body.get("steps"), list)
        and len(body["steps"]) > constants.TASKS_MAX
    ):  # before validation, whose memory use grows with the number of steps
        raise_bad_input([["steps", f"more than {constants.TASKS_MAX} tasks"]])
    try:
        job = JOB.load(body)
    except ValidationError as error:
        raise_bad_input(flat(messages=error.messages))
    names, errors = [step["name"] for step in job["steps"]], []
    if len(set(names)) < len(names):
        errors.append(["steps", "two steps share a name"])
    if sum(step["tasks"] for step in job["steps"]) > constants.TASKS_MAX:
        errors.append(["steps", f"more than {constants.TASKS_MAX} tasks"])
    for step in job["steps"]:
        errors += [
            [f"steps.{step['name']}.after", f"unknown step {earlier!r}"]
            for earlier in step["after"]
            if earlier not in names
        ]
        room, spread = step.pop("room"), step.pop("spread")
        if step["ifLost"] == "auto":  # the default is left out: digests stay as in release 0.1.0
            del step["ifLost"]
        step["room"] = [room["cores"], room["memMb"], room["gpus"]]
        step["perWorker"], step["perRack"] = spread["perWorker"], spread["perRack"]
        for field in [field for field in LEVEL_2_FIELDS if not step.get(field, True)]:
            del step[field]
        if step.get("gang") and step["tasks"] > constants.GANG_MAX:
            errors.append([f"steps.{step['name']}.tasks", f"a gang has at most {constants.GANG_MAX} members"])
        if job["standing"]:
            step["runMs"] = 0
    if not errors and has_cycle(job["steps"]):
        errors.append(["steps", "the steps wait for each other in a circle"])
    if errors:
        raise_bad_input(errors)
    packed = ormsgpack.packb(job, option=ormsgpack.OPT_SORT_KEYS)
    return job, hashlib.sha256(packed).hexdigest()[:32]


def has_cycle(steps):
    """Whether steps wait for each other in a circle, directly or through others."""
    waiting = {step["name"]: set(step["after"]) for step in steps}
    while waiting:
        unblocked = [name for name, after in waiting.items() if not after & waiting.keys()]
        if not unblocked:
            return True
        for name in unblocked:
            del waiting[name]
    return False
