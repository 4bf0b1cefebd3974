"""A change that the planner tries: its file, checked by marshmallow, and how it is applied to a copy of the
record that a snapshot contains."""

from dataclasses import dataclass, field

from marshmallow import Schema, ValidationError, fields, validate

from ...base.params import flat
from ...base.problems import BadInput, Raised, Unknown
from ...record import Record, check_rows
from ...record.kinds import LEAVES, UP, Worker
from .solve_file import HostSchema


@dataclass(kw_only=True)
class Change:
    """What to try: rows of the configuration, and workers drained, lost or added. `whole`: the rows replace the
    whole table; `base`: the version of the configuration that the change is based on, 0 for the present one."""

    base: int = 0
    rows: dict = field(default_factory=dict)
    whole: bool = False
    drain: list = field(default_factory=list)
    lose: list = field(default_factory=list)
    add: list = field(default_factory=list)


class ChangeSchema(Schema):
    """The file of a change."""

    base = fields.Int(strict=True, validate=validate.Range(min=0))
    rows = fields.Dict(keys=fields.Str())
    whole = fields.Bool(truthy={True}, falsy={False})
    drain = fields.List(fields.Str())
    lose = fields.List(fields.Str())
    add = fields.List(fields.Nested(HostSchema))


def read_change(content):
    """A Change from a file's content. Raises Raised(BadInput) with all errors of the file."""
    try:
        return Change(**ChangeSchema().load(content))
    except ValidationError as error:
        raise Raised(BadInput(errors=flat(messages=error.messages))) from None


def read_picture(picture):
    """(record, its time in Unix ms) of a snapshot. Raises Raised(BadInput) if it is not a snapshot."""
    record = Record()
    try:
        record.load(picture["record"])
        return record, int(picture["at"])
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise Raised(BadInput(errors=[["picture", f"not a picture: {error!r}"]])) from None


def apply(record, change, now):
    """Applies a change to a record. Raises Raised for an unknown queue or worker, bad rows or an old base."""
    if change.rows or change.whole:
        rows = check_rows(change.rows)
        base = change.base or record.charter["version"]
        gone = [lane for lane, row in rows.items() if row is None and lane not in record.charter["rows"]]
        if gone:
            raise Raised(Unknown(what="lane", id=gone[0]))
        result = record.edit({"base": base, "rows": rows, "whole": change.whole})
        if not result.ok:
            raise Raised(result)
    for worker in change.drain + change.lose:
        if worker not in record.workers:
            raise Raised(Unknown(what="worker", id=worker))
    for worker in change.drain:
        record.workers[worker].state = LEAVES
    for worker in change.lose:
        record.ev_lost(record.last, worker, record.workers[worker].boot)
    for added in change.add:
        record.workers[added.id] = Worker(
            id=added.id,
            boot="plan",
            kind=added.kind,
            state=UP,
            zone=added.zone,
            rack=added.rack,
            room=added.room,
        )
