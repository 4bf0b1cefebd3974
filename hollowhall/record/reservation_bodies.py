"""A reservation's body, and what a change may make less of it, checked by marshmallow."""

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
    kind = fields.Str(required=True, validate=NAME)
    count = fields.Int(strict=True, required=True, validate=COUNT)
    room = fields.Nested(RoomSchema, required=True)
    zone = fields.Str(load_default="", validate=validate.Length(max=64))
    label = fields.Str(load_default="", validate=validate.Length(max=64))
    lanes = fields.List(fields.Str(validate=NAME), required=True, validate=validate.Length(min=1, max=16))
    fromMs = fields.Int(strict=True, required=True, validate=MS)
    untilMs = fields.Int(strict=True, required=True, validate=MS)


class ShorterSchema(Schema):
    count = fields.Int(strict=True, validate=COUNT)
    untilMs = fields.Int(strict=True, validate=MS)


RESERVATION, SHORTER = ReservationSchema(), ShorterSchema()


def check_reservation(body):
    """(spec, digest) of a reservation's body; raises Raised(BadInput) with every bad field.
    spec: kind, zone, label, lanes, room [cores, memMb, gpus], count, fromMs, untilMs."""
    try:
        d = RESERVATION.load(body)
    except ValidationError as e:
        raise Raised(BadInput(errors=flat(e=e.messages))) from None
    r, bad = d["room"], []
    d["room"], d["lanes"] = [r["cores"], r["memMb"], r["gpus"]], sorted(set(d["lanes"]))
    if not any(d["room"]):
        bad.append(["room", "an empty room needs no reservation"])
    if d["untilMs"] <= d["fromMs"]:
        bad.append(["untilMs", "not after fromMs"])
    if bad:
        raise Raised(BadInput(errors=bad))
    b = ormsgpack.packb(d, option=ormsgpack.OPT_SORT_KEYS)
    return d, hashlib.sha256(b).hexdigest()[:32]


def check_shorter(body):
    try:
        d = SHORTER.load(body)
    except ValidationError as e:
        raise Raised(BadInput(errors=flat(e=e.messages))) from None
    if not d:
        raise Raised(BadInput(errors=[["untilMs", "untilMs or count is wanted"]]))
    return d
