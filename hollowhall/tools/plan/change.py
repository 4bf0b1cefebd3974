"""A change that the planner tries: its file, checked by marshmallow, and how it is made on
a record of its own, which is read from a picture."""

from dataclasses import dataclass, field

from marshmallow import Schema, ValidationError, fields, validate

from ...base.params import flat
from ...base.problems import BadInput, Raised, Unknown
from ...record import Record, check_rows
from ...record.kinds import LEAVES, UP, Worker
from .solve_file import HostSchema


@dataclass(kw_only=True)
class Change:
    """What is to be tried: rows of the charter, workers drained, lost or added."""

    base: int = 0
    rows: dict = field(default_factory=dict)
    whole: bool = False
    drain: list = field(default_factory=list)
    lose: list = field(default_factory=list)
    add: list = field(default_factory=list)


class ChangeSchema(Schema):
    base = fields.Int(strict=True, validate=validate.Range(min=0))
    rows = fields.Dict(keys=fields.Str())
    whole = fields.Bool(truthy={True}, falsy={False})
    drain = fields.List(fields.Str())
    lose = fields.List(fields.Str())
    add = fields.List(fields.Nested(HostSchema))


def read_change(d):
    """A Change from a file's content; every fault in one typed problem."""
    try:
        return Change(**ChangeSchema().load(d))
    except ValidationError as e:
        raise Raised(BadInput(errors=flat(e=e.messages))) from None


def read_picture(d):
    """A Record from a picture; a typed problem if it is none."""
    r = Record()
    try:
        r.load(d["record"])
        return r, int(d["at"])
    except (KeyError, TypeError, ValueError, AttributeError) as e:
        raise Raised(BadInput(errors=[["picture", f"not a picture: {e!r}"]])) from None


def apply(rec, ch, now):
    """The change on a record of its own; raises a typed problem for a bad one."""
    if ch.rows or ch.whole:
        rows = check_rows(ch.rows)
        base = ch.base or rec.charter["version"]
        gone = [a for a, r in rows.items() if r is None and a not in rec.charter["rows"]]
        if gone:
            raise Raised(Unknown(what="lane", id=gone[0]))
        o = rec.edit({"base": base, "rows": rows, "whole": ch.whole})
        if not o.ok:
            raise Raised(o)
    for w in ch.drain + ch.lose:
        if w not in rec.workers:
            raise Raised(Unknown(what="worker", id=w))
    for w in ch.drain:
        rec.workers[w].state = LEAVES
    for w in ch.lose:
        rec.ev_lost(rec.last, w, rec.workers[w].boot)
    for a in ch.add:
        rec.workers[a.id] = Worker(
            id=a.id, boot="plan", kind=a.kind, state=UP, zone=a.zone, rack=a.rack, room=a.room
        )
