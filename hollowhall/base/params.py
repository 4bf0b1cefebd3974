"""Settings of a daemon: a TOML file and command-line flags, validated by marshmallow before any socket opens.
Every invalid key is reported with its reason. `LIVE` names the settings that SIGHUP can change in a running
daemon."""

import ipaddress
import tomllib
from dataclasses import dataclass, field
from typing import Any

from marshmallow import Schema, ValidationError, fields, post_load, validate

from . import constants
from .problems import BadParams, Raised

LIVE = ("log", "shed_at", "level", "reserved_percent")


def address(text):
    """Validates IP:port; a host name is an error."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValidationError(f"{host!r} is not an IP number") from None
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValidationError(f"{port!r} is not a port from 1 to 65535")


NAME = validate.Regexp(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")


@dataclass(kw_only=True)
class DaemonSettings:
    """The settings of a daemon, with their defaults."""

    id: str
    addr: str
    role: str = ""
    cluster: str = "hollowhall"
    http: str = ""
    bind: str = ""
    zone: str = "z1"
    seeds: list = field(default_factory=list)
    data: str = ""
    found: bool = False
    log: str = "info"
    shed_at: int = 400
    ring_files: int = constants.LOG_SEGMENTS
    ring_bytes: int = constants.LOG_SEGMENT_BYTES
    snap_every: int = constants.SNAPSHOT_INTERVAL_ENTRIES
    level: int = constants.LEVEL_DEFAULT
    desk: str = ""  # address of the scheduler in a `hall`
    auto_members: bool = False
    far_times: float = 2.0
    reserved_percent: int = constants.RESERVED_PERCENT
    hold_ms: int = constants.WORKER_LEASE_MS
    margin_ms: int = int(constants.WORKER_LEASE_MARGIN * 1000)
    memory_mb: int = 0
    descriptors: int = 0
    join: bool = False
    policy_off: list = field(default_factory=list)  # fields of desk/policy.py that are switched off
    build: str = ""
    extra: Any = None


class DaemonSettingsSchema(Schema):
    """Validates settings by key, and then those that depend on the role."""

    id = fields.Str(required=True, validate=NAME)
    role = fields.Str(validate=validate.OneOf(["almanac", "desk", "mast", "hall"]))
    addr = fields.Str(required=True, validate=address)
    cluster = fields.Str(validate=NAME)
    http = fields.Str(validate=address)
    bind = fields.Str(validate=address)
    zone = fields.Str(validate=NAME)
    seeds = fields.List(fields.Str(validate=address), validate=validate.Length(min=1, max=7), required=True)
    data = fields.Str(validate=validate.Length(min=1))
    found = fields.Bool()
    log = fields.Str(validate=validate.OneOf(["debug", "info", "warning", "error"]))
    shed_at = fields.Int(strict=True, validate=validate.Range(min=8, max=4096))
    ring_files = fields.Int(strict=True, validate=validate.Range(min=3, max=64))
    ring_bytes = fields.Int(
        strict=True, validate=validate.Range(min=2 * constants.ENTRY_MAX_BYTES, max=1 << 28)
    )
    join = fields.Bool(truthy={True}, falsy={False})
    level = fields.Int(strict=True, validate=validate.Range(min=0, max=constants.LEVEL))
    desk = fields.Str(validate=address)
    auto_members = fields.Bool(truthy={True}, falsy={False})
    far_times = fields.Float(validate=validate.Range(min=1.0, max=100.0))
    reserved_percent = fields.Int(strict=True, validate=validate.Range(min=0, max=100))
    hold_ms = fields.Int(strict=True, validate=validate.Range(min=500, max=600_000))
    margin_ms = fields.Int(strict=True, validate=validate.Range(min=50, max=60_000))
    memory_mb = fields.Int(strict=True, validate=validate.Range(min=64, max=1 << 20))
    descriptors = fields.Int(strict=True, validate=validate.Range(min=96, max=1 << 20))
    policy_off = fields.List(fields.Str())
    snap_every = fields.Int(strict=True, validate=validate.Range(min=20, max=1_000_000))

    @post_load
    def make(self, values, **kw):
        errors = []
        if values.get("role") in ("almanac", "hall") and not values.get("data"):
            errors.append(["data", "an almanac needs a data folder"])
        if values.get("role") == "hall" and not values.get("desk"):
            errors.append(["desk", "a hall needs an address for its desk"])
        if values.get("role") == "mast" and not values.get("http"):
            errors.append(["http", "a mast needs an address for HTTP"])
        if errors:
            raise Raised(BadParams(errors=errors))
        return DaemonSettings(**values)


def flat(*, messages, at=""):
    """marshmallow's nested messages `e` as a list of [key, reason]; `at`: the key they belong to."""
    if isinstance(messages, dict):
        return [
            row
            for key, inner in messages.items()
            for row in flat(messages=inner, at=f"{at}.{key}" if at else str(key))
        ]
    if isinstance(messages, list):
        return [row for inner in messages for row in flat(messages=inner, at=at)]
    return [[at, str(messages)]]


def check(values):
    """Settings from a dict; raises Raised(BadParams) that lists every invalid key."""
    try:
        return DaemonSettingsSchema().load(values)
    except ValidationError as error:
        raise Raised(BadParams(errors=flat(messages=error.messages))) from None


def read(*, path, flags):
    """Settings from a TOML file and flags, which take precedence; raises Raised(BadParams)."""
    values = {}
    if path:
        try:
            with open(path, "rb") as file:
                values = tomllib.load(file)
        except OSError as error:
            raise Raised(BadParams(errors=[["params", error.strerror]])) from None
        except tomllib.TOMLDecodeError as error:
            raise Raised(BadParams(errors=[["params", str(error)]])) from None
    values.update({name: value for name, value in flags.items() if value is not None})
    return check(values)
