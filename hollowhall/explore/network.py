"""Messages between replicas, held until an event delivers or loses them."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Any

from ..base import constants
from ..base.circuit import pack, unpack
from ..base.problem_codec import from_wire, to_wire
from ..base.problems import Unsure


@dataclass(kw_only=True)
class Message:
    """A request or a reply. `incarnation` is that of the replica that sent the request."""

    number: tuple  # (source, target, operation, is_reply, count of such messages)
    source: str
    target: str
    operation: str
    payload: bytes
    incarnation: int
    callback: Any = None  # called with the result, if the requesting incarnation still runs
    is_reply: bool = False

    def key(self):
        """The fields by which a search compares messages."""
        return (self.source, self.target, self.operation, self.payload, self.is_reply)


class Network:
    """All messages in flight, by number. Only events deliver or remove them. Messages are counted
    for each kind and pair of replicas, so that numbers stay the same when a run is shrunk."""

    def __init__(self):
        self.messages, self.counts = {}, Counter()

    def add(self, *, source, target, operation, is_reply=False, **fields):
        kind = (source, target, operation, is_reply)
        self.counts[kind] += 1
        number = (*kind, self.counts[kind])
        self.messages[number] = Message(
            number=number, source=source, target=target, operation=operation, is_reply=is_reply, **fields
        )

    def request(self, *, replica, target, operation, body, callback):
        self.add(
            source=replica.settings.addr,
            target=target,
            operation=operation,
            payload=pack(body),
            incarnation=replica.incarnation,
            callback=callback,
        )

    def remove(self, number):
        return self.messages.pop(number)

    def reply(self, message, outcome):
        """Puts the reply to a request in flight."""
        self.add(
            source=message.target,
            target=message.source,
            operation=message.operation,
            payload=pack(to_wire(outcome)),
            incarnation=message.incarnation,
            callback=message.callback,
            is_reply=True,
        )

    def drop_replies_to(self, address, incarnation):
        """Removes replies to an incarnation that has ended; its requests may still arrive."""
        for message in list(self.messages.values()):
            if message.is_reply and message.target == address and message.incarnation == incarnation:
                del self.messages[message.number]


class ModelRpcClient:
    """Replaces the RPC client of another replica: requests go to the Network."""

    up, closed, level, connection = True, False, constants.LEVEL, None

    def __init__(self, *, replica, network, address):
        self.replica, self.network, self.address = replica, network, address

    def send_request(self, *, op, request, callback, wait=0.0):
        self.network.request(
            replica=self.replica, target=self.address, operation=op, body=request, callback=callback
        )

    async def call(self, *, op, request, wait=0.0):
        future = asyncio.get_running_loop().create_future()
        self.send_request(
            op=op, request=request, callback=lambda outcome: future.done() or future.set_result(outcome)
        )
        return await future

    def silent(self, *, now):
        return False

    def close(self):
        pass


def result_of(message):
    return from_wire(unpack(message.payload))


NO_REPLY = Unsure(why="circuit")
