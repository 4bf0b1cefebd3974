"""Results of requests. Every request ends in a Success or in one Failure. A failure's `taken` tells the
caller whether the request had an effect: "no" means that it certainly had none, "unsure" that it may have had
one or may still have one. Failures are sent between processes as [class name, fields]; an unknown class
becomes Broken. `status` is the HTTP status of a failure."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

FAILURES = {}  # classes of failures, by name


@dataclass(frozen=True, kw_only=True)
class Success:
    """The result of a request that succeeded."""

    value: Any = None
    ok: ClassVar[bool] = True


@dataclass(frozen=True, kw_only=True)
class Failure:
    """The result of a request that failed."""

    ok: ClassVar[bool] = False
    taken: ClassVar[str] = "no"
    status: ClassVar[int] = 503

    def __init_subclass__(cls, **kw):
        super().__init_subclass__(**kw)
        FAILURES[cls.__name__] = cls


class Raised(Exception):
    """Carries a Failure as an exception."""

    def __init__(self, problem):
        super().__init__(repr(problem))
        self.failure = problem


def failure(*, status=503, taken="no"):
    """A decorator for a class of failures."""

    def wrap(cls):
        cls = dataclass(frozen=True, kw_only=True)(cls)
        cls.status, cls.taken = status, taken
        FAILURES[cls.__name__] = cls
        return cls

    return wrap


@failure()
class NotLeader(Failure):
    """This store member is not the leader. `hint`: the address of the leader, if known."""

    hint: str = ""


@failure()
class NotPrimary(Failure):
    """This scheduler is not the primary. `hint`: the address of the primary, if known."""

    hint: str = ""


@failure()
class CircuitDown(Failure):
    """There is no connection to `addr`; the request was not sent."""

    addr: str = ""


@failure(taken="unsure")
class Unsure(Failure):
    """It is unknown whether the request had an effect."""

    why: str = "handover"


@failure(taken="unsure", status=504)
class Late(Failure):
    """No result arrived in time."""

    op: str = ""


@failure(status=429)
class Full(Failure):
    """A queue is full. `after`: s, until a retry makes sense."""

    where: str = ""
    after: int = 1


@failure(status=429)
class Shed(Failure):
    """Refused under load, by the urgency of the queue `lane`. `after`: s, until a retry makes sense."""

    lane: str = ""
    after: int = 1


@failure()
class Crowded(Failure):
    """A listener has no connections or no memory for bodies left, as `where` says."""

    where: str = ""
    after: int = 1


@failure()
class Leaving(Failure):
    """The daemon `who` is shutting down."""

    who: str = ""


@failure(status=400)
class Mismatch(Failure):
    """A peer's first frame or a request has the wrong value in a field."""

    field: str = ""
    want: str = ""
    got: str = ""


@failure(status=422)
class BadInput(Failure):
    """An invalid request. `errors`: a list of [key, reason]."""

    errors: list = field(default_factory=list)


@failure(status=400)
class BadJson(Failure):
    """The body is not valid JSON."""

    why: str = ""


@failure(status=413)
class TooLarge(Failure):
    """The body exceeds the limit in bytes."""

    limit: int = 0


@failure(status=415)
class BadType(Failure):
    """Unsupported content type."""

    got: str = ""


@failure(status=405)
class BadMethod(Failure):
    """The path does not support this method."""

    method: str = ""


@failure(status=401)
class Unauthorized(Failure):
    """The request has no key, or one of no tenant."""


@failure(status=429)
class Throttled(Failure):
    """A tenant's budget at this gateway is spent: for which resource and operation, and which kind of
    limit."""

    resource: str = ""
    operation: str = ""
    limit: str = ""
    after: int = 1


@failure()
class BudgetUnknown(Throttled):
    """The gateway does not know the tenant's budget: it has reached no primary for too long."""


@failure(status=409)
class StaleBase(Failure):
    """An edit is based on version `base`, but the current one is `version`."""

    base: int = 0
    version: int = 0


@failure(status=409)
class OtherBody(Failure):
    """A job or reservation `name` exists with another body."""

    name: str = ""


@failure(status=409)
class OldEpoch(Failure):
    """The writer, of `epoch`, has been replaced by one of the newer epoch `have`."""

    epoch: int = 0
    have: int = 0


@failure(status=409)
class OldStamp(Failure):
    """The timestamp `stamp` is not above the `last` one."""

    stamp: int = 0
    last: int = 0


@failure(status=409)
class Refused(Failure):
    """The operation is not allowed in the current state."""

    why: str = ""


@failure(status=409)
class NotReserved(Failure):
    """A reservation could not be confirmed."""

    why: str = ""  # listed in docs/reservations.md
    free: int = 0  # how many of the requested count could be confirmed


@failure(status=404)
class Unknown(Failure):
    """There is no such object. `what`: its kind."""

    what: str = ""
    id: str = ""


@failure(status=410)
class Forgotten(Failure):
    """The job ended in `state` and is no longer kept."""

    name: str = ""
    state: str = ""


@failure(status=500, taken="unsure")
class Broken(Failure):
    """An internal error; the request may have had an effect."""

    where: str = ""
    why: str = ""


@failure()
class NotSynced(Failure):
    """The clock or the record is not ready yet; the request may be retried."""

    tries: int = 0


@failure()
class NewerLevel(Failure):
    """The record has a format level that this version does not support."""

    level: int = 0
    known: int = 0


@failure()
class Diverged(Failure):
    """The checksum of this member's record differs from that of most others."""

    index: int = 0
    have: int = 0
    most: int = 0


@failure()
class Missing(Failure):
    """An optional dependency is not installed. `extra`: the package with the extra that brings it."""

    what: str = ""
    extra: str = ""


@failure()
class DiskDamage(Failure):
    """A file is damaged at an offset."""

    file: str = ""
    at: int = 0
    why: str = ""


@failure()
class DiskFailed(Failure):
    """A read or write failed."""

    file: str = ""
    why: str = ""


@failure()
class BadParams(Failure):
    """Invalid settings. `errors`: a list of [key, reason]."""

    errors: list = field(default_factory=list)
