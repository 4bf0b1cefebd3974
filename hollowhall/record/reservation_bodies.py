"""Validation of reservation bodies, and of changes that reduce a reservation, with marshmallow."""

import hashlib

import ormsgpack
from marshmallow import Schema, ValidationError, fields, validate

from ..base.params import NAME, flat
from ..base.problems import BadInput, Raised
from .charter import RoomSchema

RANGE = validate.Range
MS = RANGE(min=0, max=1 << 44)
COUNT = RANGE(min=1, max=100_000)


class ReservationSchema(Schema):
    """A reservation as it is requested."""

    kind = fields.Str(required=True, validate=NAME)
    count = fields.Int(strict=True, required=True, validate=COUNT)
    room = fields.Nested(RoomSchema, required=True)
    zone = fields.Str(load_default="", validate=validate.Length(max=64))
    label = fields.Str(load_default="", validate=validate.Length(max=64))
    lanes = fields.List(fields.Str(validate=NAME), required=True, validate=validate.Length(min=1, max=16))
    fromMs = fields.Int(strict=True, required=True, validate=MS)
    untilMs = fields.Int(strict=True, required=True, validate=MS)


class ReductionSchema(Schema):
    """A change that ends a reservation earlier or lowers its count."""

    count = fields.Int(strict=True, validate=COUNT)
    untilMs = fields.Int(strict=True, validate=MS)


RESERVATION, REDUCTION = ReservationSchema(), ReductionSchema()


def check_reservation(body):
    """(spec, digest) of a reservation's body; raises Raised(BadInput) with every invalid field.
    spec: kind, zone, label, lanes, room [cores, memMb, gpus], count, fromMs, untilMs."""
    try:
        reservation = RESERVATION.load(body)
    except ValidationError as error:
        raise Raised(BadInput(errors=flat(messages=error.messages))) from None
    room, errors = reservation["room"], []
    reservation["room"], reservation["lanes"] = (
        [room["cores"], room["memMb"], room["gpus"]],
        sorted(set(reservation["lanes"])),
    )
    if not any(reservation["room"]):
        errors.append(["room", "an empty room needs no reservation"])
    if reservation["untilMs"] <= reservation["fromMs"]:
        errors.append(["untilMs", "not after fromMs"])
    if errors:
        raise Raised(BadInput(errors=errors))
    packed = ormsgpack.packb(reservation, option=ormsgpack.OPT_SORT_KEYS)
    return reservation, hashlib.sha256(packed).hexdigest()[:32]


def check_reduction(body):
    """The fields of a change that reduces a reservation; raises Raised(BadInput)."""
    try:
        change = REDUCTION.load(body)
    except ValidationError as error:
        raise Raised(BadInput(errors=flat(messages=error.messages))) from None
    if not change:
        raise Raised(BadInput(errors=[["untilMs", "untilMs or count is wanted"]]))
    return change
