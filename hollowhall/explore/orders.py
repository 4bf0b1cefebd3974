"""The operators' side of a run: orders for a configuration, reads of it, and what each was told."""

import hashlib
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Order:
    """A whole configuration under a number that an operator chose, on top of another one."""

    number: int
    base: int
    author: str

    def mark(self):
        """Its idempotency key."""
        return hashlib.sha256(f"{self.base} {self.number} {self.author}".encode()).hexdigest()[:24]

    def body(self):
        return {
            "chosen": self.number,
            "on": self.base,
            "mark": self.mark(),
            "rows": {},
            "kinds": {},
            "notes": {"author": self.author},
        }


@dataclass(kw_only=True)
class Operation:
    """One call of an operator. Times count events. `value` is (number, author) or None."""

    kind: str  # "order" or "read"
    invoked: int
    order: Order | None = None
    returned: int | None = None
    confirmed: bool = False
    refused: bool = False
    value: tuple | None = None
