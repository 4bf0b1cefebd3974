"""The file that `solve` reads, checked by marshmallow, and a checker of placements that shares no code with the
solver. A file, or a saved snapshot, names workers and groups of equal tasks with their requirements; docs/solve.md
is the reference."""

from dataclasses import dataclass, field

from marshmallow import Schema, ValidationError, fields, post_load, validate, validates_schema

from ...base import constants
from ...base.params import NAME, flat
from ...base.problems import BadInput, Raised
from ...record.charter import DEFAULT_ROOM, RoomSchema, SpreadSchema

OBJECTIVES = ("fewest-workers", "even-load", "fewest-moves")
RESOURCES = ("cores", "memMb", "gpus")


@dataclass(kw_only=True)
class Host:
    """A worker as the solver sees it."""

    id: str
    kind: str
    zone: str = ""
    rack: str = ""
    room: list


@dataclass(kw_only=True)
class Group:
    """Equal tasks to place, with their constraints. `apart`, `together`: names of other groups; `pinned`: the only
    workers allowed; `now`: {worker: tasks} of the present placement."""

    name: str
    tasks: int
    kind: str
    room: list
    zone: str = ""
    rack: str = ""
    spread: dict = field(default_factory=dict)
    apart: list = field(default_factory=list)
    together: list = field(default_factory=list)
    pinned: list = field(default_factory=list)
    now: dict = field(default_factory=dict)


@dataclass(kw_only=True)
class PlacementProblem:
    """Workers, groups to place on them, and the objective (`favour`)."""

    hosts: list
    groups: list
    favour: str


def amounts_of(amounts):
    """A mapping of amounts as a list in the order of RESOURCES."""
    return [amounts[resource] for resource in RESOURCES]


class HostSchema(RoomSchema):
    """A worker in a file."""

    id = fields.Str(required=True, validate=NAME)
    kind = fields.Str(required=True, validate=NAME)
    zone = fields.Str(validate=validate.Length(max=64))
    rack = fields.Str(validate=validate.Length(max=64))

    @post_load
    def make(self, data, **kw):
        room = {resource: data.pop(resource) for resource in RESOURCES}
        return Host(**data, room=amounts_of(room))


class GroupSchema(Schema):
    """A group in a file."""

    name = fields.Str(required=True, validate=validate.Length(min=1, max=200))
    tasks = fields.Int(strict=True, load_default=1, validate=validate.Range(min=1, max=constants.TASKS_MAX))
    kind = fields.Str(required=True, validate=NAME)
    room = fields.Nested(RoomSchema, load_default=lambda: dict(DEFAULT_ROOM))
    zone = fields.Str(validate=validate.Length(max=64))
    rack = fields.Str(validate=validate.Length(max=64))
    spread = fields.Nested(SpreadSchema)
    apart = fields.List(fields.Str())
    together = fields.List(fields.Str())
    pinned = fields.List(fields.Str())
    now = fields.Dict(
        keys=fields.Str(),
        values=fields.Int(strict=True, validate=validate.Range(min=0, max=constants.TASKS_MAX)),
    )

    @post_load
    def make(self, data, **kw):
        return Group(**data | {"room": amounts_of(data["room"])})


class PlacementProblemSchema(Schema):
    """A whole file."""

    workers = fields.List(fields.Nested(HostSchema), validate=validate.Length(max=5000))
    groups = fields.List(fields.Nested(GroupSchema), validate=validate.Length(max=5000))
    favour = fields.Str(load_default=OBJECTIVES[0], validate=validate.OneOf(OBJECTIVES))

    @validates_schema(skip_on_field_errors=True)
    def check_names(self, data, **kw):
        """Rejects names that are used twice, and references to unknown groups or workers. References to workers
        are not checked if the file names none: a snapshot gives them then."""
        workers = [worker.id for worker in data.get("workers", ())]
        groups = [group.name for group in data.get("groups", ())]
        faults = {}
        for what, values in (("workers", workers), ("groups", groups)):
            if len(set(values)) < len(values):
                faults[what] = ["two share a name"]
        for group in data.get("groups", ()):
            for key, values, known in (
                ("apart", group.apart, groups),
                ("together", group.together, groups),
                ("pinned", group.pinned, workers),
                ("now", group.now, workers),
            ):
                unknown = (
                    [value for value in values if value not in known and known]
                    if key in ("pinned", "now")
                    else [value for value in values if value not in known or value == group.name]
                )
                if unknown:
                    faults[f"groups.{group.name}.{key}"] = [f"unknown: {', '.join(sorted(unknown))}"]
        if faults:
            raise ValidationError(faults)


def read_placement_problem(content, *, record=None):
    """A PlacementProblem from a file's content. Workers and groups that the file does not name come from the
    record of a snapshot. Raises Raised(BadInput) with all errors of the file."""
    try:
        loaded = PlacementProblemSchema().load(content)
    except ValidationError as error:
        raise Raised(BadInput(errors=flat(messages=error.messages))) from None
    hosts, groups = loaded.get("workers", []), loaded.get("groups", [])
    if record is not None and not hosts:
        hosts = [
            Host(
                id=worker.id,
                kind=worker.kind,
                zone=worker.zone,
                rack=worker.rack,
                room=[size - used for size, used in zip(worker.room, worker.used)],
            )
            for worker in sorted(record.workers.values(), key=lambda worker: worker.id)
            if worker.state == "up"
        ]
    if record is not None and not groups:
        groups = [group_of_step(record, key, tasks) for key, tasks in sorted(record.ready.items())]
    if not hosts or not groups:
        raise Raised(
            BadInput(
                errors=[
                    [key, "none are named"]
                    for key, named in (("workers", hosts), ("groups", groups))
                    if not named
                ]
            )
        )
    return PlacementProblem(hosts=hosts, groups=groups, favour=loaded["favour"])


def group_of_step(record, key, tasks):
    """The ready tasks of a step as a group; key: (job, step)."""
    spec = record.jobs[key[0]].steps[key[1]].spec
    return Group(
        name="/".join(key),
        tasks=len(tasks),
        kind=spec["kind"],
        room=spec["room"],
        zone=spec["zone"],
        rack=spec["rack"],
        spread={field: spec[field] for field in ("perWorker", "perRack") if spec[field]},
    )


def check_placements(problem, placed):
    """The violations [rule, text] of placements {group: {worker: tasks}}; uses the problem only, not the solver's
    model."""
    faults, hosts = [], {host.id: host for host in problem.hosts}
    used = {worker: [0, 0, 0] for worker in hosts}
    for group in problem.groups:
        counts = {host: count for host, count in placed.get(group.name, {}).items() if count}
        if sum(counts.values()) != group.tasks:
            faults.append(["tasks", f"{group.name}: {sum(counts.values())} of {group.tasks} placed"])
        racks = {}
        for worker, count in counts.items():
            host = hosts.get(worker)
            if host is None or count < 0:
                faults.append(["worker", f"{group.name}: {count} on {worker}"])
                continue
            for resource in range(3):
                used[worker][resource] += count * group.room[resource]
            racks[host.rack] = racks.get(host.rack, 0) + count
            for key in ("kind", "zone", "rack"):
                if getattr(group, key) not in ("", getattr(host, key)):
                    faults.append([key, f"{group.name} on {worker}"])
            if group.pinned and worker not in group.pinned:
                faults.append(["pinned", f"{group.name} on {worker}"])
            if group.spread.get("perWorker") and count > group.spread["perWorker"]:
                faults.append(["perWorker", f"{group.name}: {count} on {worker}"])
        for rack, count in racks.items():
            if group.spread.get("perRack") and count > group.spread["perRack"]:
                faults.append(["perRack", f"{group.name}: {count} on rack {rack}"])
        for other in group.apart:
            both = [worker for worker in counts if placed.get(other, {}).get(worker)]
            if both:
                faults.append(["apart", f"{group.name} and {other} on {both[0]}"])
        for other in group.together:
            if set(counts) != {worker for worker, count in placed.get(other, {}).items() if count}:
                faults.append(["together", f"{group.name} and {other}"])
    for worker, amounts in used.items():
        if any(amount > size for amount, size in zip(amounts, hosts[worker].room)):
            faults.append(["room", f"{worker}: {amounts} of {hosts[worker].room}"])
    return faults
