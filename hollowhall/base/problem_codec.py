"""Encodes results: between processes as [tag, fields], for HTTP clients as a JSON object."""

from dataclasses import asdict

from .problems import FAILURES, Broken, Success


def to_wire(result):
    return ["ok", result.value] if result.ok else [type(result).__name__, asdict(result)]


def from_wire(encoded):
    """The result. An unknown tag, from a newer version, becomes Broken; unknown fields are ignored."""
    tag, value = encoded
    if tag == "ok":
        return Success(value=value)
    cls = FAILURES.get(tag)
    if cls is None:
        return Broken(where="wire", why=tag)
    known = cls.__dataclass_fields__
    return cls(**{name: content for name, content in value.items() if name in known})


def to_json(failure):
    """The HTTP body for a failure."""
    body = {"problem": type(failure).__name__, "taken": failure.taken, **asdict(failure)}
    return body
