"""Outcomes, tagged. Whatever is asked of a part of hollowhall ends in a Done or
in one Problem. A problem's `taken` says what the asker may conclude: "no" means
the ask certainly had no effect, "unsure" that it may yet have one. Problems
travel between processes as [tag, fields]; a tag we do not know becomes Broken."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

KINDS = {}


@dataclass(frozen=True, kw_only=True)
class Done:
    v: Any = None
    ok: ClassVar[bool] = True


@dataclass(frozen=True, kw_only=True)
class Problem:
    ok: ClassVar[bool] = False
    taken: ClassVar[str] = "no"
    status: ClassVar[int] = 503

    def __init_subclass__(cls, **kw):
        super().__init_subclass__(**kw)
        KINDS[cls.__name__] = cls


class Raised(Exception):
    """Carries a Problem through code that must unwind."""

    def __init__(self, problem):
        super().__init__(repr(problem))
        self.problem = problem


def kind(*, status=503, taken="no"):
    def wrap(cls):
        cls = dataclass(frozen=True, kw_only=True)(cls)
        cls.status, cls.taken = status, taken
        KINDS[cls.__name__] = cls
        return cls

    return wrap


@kind()
class NotLeader(Problem):
    hint: str = ""


@kind()
class NotPrimary(Problem):
    hint: str = ""


@kind()
class CircuitDown(Problem):
    addr: str = ""


@kind(taken="unsure")
class Unsure(Problem):
    why: str = "handover"


@kind(taken="unsure", status=504)
class Late(Problem):
    op: str = ""


@kind(status=429)
class Full(Problem):
    where: str = ""
    after: int = 1


@kind(status=429)
class Shed(Problem):
    lane: str = ""
    after: int = 1


@kind()
class Crowded(Problem):
    """No room for it at a door, for now: of `where`, connections or bodies."""

    where: str = ""
    after: int = 1


@kind()
class Leaving(Problem):
    who: str = ""


@kind(status=400)
class Mismatch(Problem):
    field: str = ""
    want: str = ""
    got: str = ""


@kind(status=422)
class BadInput(Problem):
    errors: list = field(default_factory=list)


@kind(status=400)
class BadJson(Problem):
    why: str = ""


@kind(status=413)
class TooLarge(Problem):
    limit: int = 0


@kind(status=415)
class BadType(Problem):
    got: str = ""


@kind(status=405)
class BadMethod(Problem):
    method: str = ""


@kind(status=401)
class Unauthorized(Problem):
    """No key, or one that no tenant has."""


@kind(status=429)
class Throttled(Problem):
    """A tenant's budget is spent here: of which resource, for which operation, by which kind of limit."""

    resource: str = ""
    operation: str = ""
    limit: str = ""
    after: int = 1


@kind()
class BudgetUnknown(Throttled):
    """The same of a daemon that cannot know what the budget has: it has had no contact for too long."""


@kind(status=409)
class StaleBase(Problem):
    base: int = 0
    version: int = 0


@kind(status=409)
class OtherBody(Problem):
    name: str = ""


@kind(status=409)
class OldEpoch(Problem):
    epoch: int = 0
    have: int = 0


@kind(status=409)
class OldStamp(Problem):
    stamp: int = 0
    last: int = 0


@kind(status=409)
class Refused(Problem):
    why: str = ""


@kind(status=409)
class NotReserved(Problem):
    why: str = ""  # docs/reservations.md lists them
    free: int = 0  # how many of the count asked for could be confirmed


@kind(status=404)
class Unknown(Problem):
    what: str = ""
    id: str = ""


@kind(status=410)
class Forgotten(Problem):
    name: str = ""
    state: str = ""


@kind(status=500, taken="unsure")
class Broken(Problem):
    where: str = ""
    why: str = ""


@kind()
class NotSynced(Problem):
    tries: int = 0


@kind()
class NewerLevel(Problem):
    level: int = 0
    known: int = 0


@kind()
class Diverged(Problem):
    index: int = 0
    have: int = 0
    most: int = 0


@kind()
class Missing(Problem):
    what: str = ""
    extra: str = ""


@kind()
class DiskDamage(Problem):
    file: str = ""
    at: int = 0
    why: str = ""


@kind()
class DiskFailed(Problem):
    file: str = ""
    why: str = ""


@kind()
class BadParams(Problem):
    errors: list = field(default_factory=list)
