"""Validation of tenants as operators write them, with marshmallow: limits, weight and keys. A key is
given as plain text or as a digest; only digests are kept."""

import hashlib
import re

from marshmallow import Schema, ValidationError, fields, validate

from ..base import constants
from ..base.params import flat
from ..base.problems import BadInput, Raised

RANGE = validate.Range
ROOM = RANGE(min=0, max=1 << 53)
DIGEST = re.compile(r"^sha256:([0-9a-f]{64})$")


class TenantSchema(Schema):
    """A tenant: one row of the configuration. Its limits are totals of running tasks."""

    weight = fields.Float(
        load_default=1.0, validate=RANGE(min=1e-6, max=1e9)
    )  # its share when resources are scarce
    cores = fields.Int(strict=True, load_default=0, validate=ROOM)  # 0: no limit
    memMb = fields.Int(strict=True, load_default=0, validate=ROOM)
    gpus = fields.Int(strict=True, load_default=0, validate=ROOM)
    keys = fields.List(
        fields.Str(validate=validate.Length(min=1, max=constants.TENANT_KEY_MAX_LENGTH)),
        load_default=list,
        validate=validate.Length(max=constants.TENANT_KEYS_MAX),
    )
    note = fields.Dict()  # the operator's own text, kept as it is


TENANT = TenantSchema()


def key_digest(text):
    """SHA-256 of a key as 64 hex digits: stored in its place, and compared with that of a request's key."""
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()


def kept_key(text):
    """The digest of a key that is given as plain text or as `sha256:` and a digest."""
    given = DIGEST.match(text)
    return given[1] if given else key_digest(text)


def check_tenants(tenants):
    """Rows of tenants by name, with keys as digests; None removes a row. Raises Raised(BadInput) with
    every invalid field; errors name fields and tenants, never a key."""
    if not isinstance(tenants, dict):
        raise Raised(BadInput(errors=[["tenants", "a mapping of name to row is wanted"]]))
    if len(tenants) > constants.TENANTS_MAX:
        raise Raised(BadInput(errors=[["tenants", f"more than {constants.TENANTS_MAX} tenants"]]))
    checked, errors = {}, []
    for name, row in tenants.items():
        if not isinstance(name, str) or not 0 < len(name) <= constants.TENANT_NAME_MAX_LENGTH:
            errors.append(
                ["tenants", f"a name of 1 to {constants.TENANT_NAME_MAX_LENGTH} characters is wanted"]
            )
            continue
        try:
            checked[name] = None if row is None else tenant_row(row)
        except ValidationError as error:
            errors += [
                [f"tenants.{name}.{field}", message] for field, message in flat(messages=error.messages)
            ]
    if errors:
        raise Raised(BadInput(errors=errors))
    return checked


def tenant_row(row):
    """One row as the record keeps it; raises ValidationError."""
    checked = TENANT.load(row)
    return checked | {"keys": sorted({kept_key(text) for text in checked["keys"]})}
