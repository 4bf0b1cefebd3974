"""The operators' side of a run: configuration changes (orders), reads, and their results."""

import hashlib
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Order:
    """A configuration change: a whole configuration, its number chosen by the operator, and the
    number of the configuration it is based on."""

    number: int
    base: int
    author: str

    def idempotency_key(self):
        """The same for each retry of an order."""
        return hashlib.sha256(f"{self.base} {self.number} {self.author}".encode()).hexdigest()[:24]

    def body(self):
        """The request that the store receives."""
        return {
            "chosen": self.number,
            "on": self.base,
            "mark": self.idempotency_key(),
            "rows": {},
            "kinds": {},
            "notes": {"author": self.author},
        }


@dataclass(kw_only=True)
class Operation:
    """One request of an operator. `invoked` and `returned` count events; `value`, the result of a
    read, is (number, author), or None if no configuration was set."""

    kind: str  # "order" or "read"
    invoked: int
    order: Order | None = None
    returned: int | None = None
    confirmed: bool = False
    refused: bool = False
    value: tuple | None = None
