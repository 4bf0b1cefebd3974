"""Idempotent requests to the primary, which may be sent again: a job under its name, a cancel, a read.

A request is retried for as long as its client can still use the answer, until a primary answers. When
that time is over the client gets a failure: taken='no' if no attempt can have been accepted,
otherwise 'unsure'."""

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import Any

from ..base import constants
from ..base.problems import Broken, CircuitDown, Full, Late, Leaving, NotPrimary, Success, Unsure

READS = ("state", "count", "read", "list")  # these change nothing, so their failures are never 'unsure'


@dataclass(kw_only=True)
class Request:
    """A request that is retried until its deadline."""

    op: str
    body: dict
    slot: tuple
    deadline: float  # s
    unsure: bool = False  # whether an attempt may have been accepted
    attempt: int = 0
    last_result: Any = None


class RequestsMixin:
    """Sends requests to the primary and retries them."""

    def request(self, *, op, request, callback, wait):
        """Sends a request; callback is called once with the result. Returns a function that frees the
        slot when the client disconnects. wait: s, at most."""
        slot = self.pending_requests.put(callback=callback)
        if slot is None:
            callback(Full(where="mast", after=constants.RETRY_AFTER))
            return lambda: None
        if self.leaving:
            self.finish(slot=slot, result=Leaving(who=self.settings.id))
            return lambda: None
        self.gauges.set_load(n=self.pending_requests.n, lag=self.loop_lag)
        self.try_request(Request(op=op, body=request, slot=slot, deadline=self.runtime.now() + wait))
        return lambda: self.pending_requests.take(index=slot[0], generation=slot[1])

    def is_pending(self, request):
        """Whether the request is still unanswered and its client connected."""
        index, generation = request.slot
        return (
            index < len(self.pending_requests.generations)
            and self.pending_requests.generations[index] == generation
        )

    def try_request(self, request):
        """Sends the next attempt, or ends the request if its time is over or the store unreachable."""
        left = request.deadline - self.runtime.now()
        if not self.is_pending(request):
            return
        if left <= 0:
            self.give_up(request)
            return
        if not any(self.link(addr=store_address).up for store_address in self.store_addresses):
            self.give_up(request)  # isolated: another gateway may serve the client sooner
            return
        address = self.primary
        if not address or not self.way(op=request.op, addr=address).up:
            self.retry_later(request=request, result=NotPrimary())
            return
        request.attempt += 1
        attempt = request.attempt
        self.way(op=request.op, addr=address).send_request(
            op=request.op,
            request=request.body,
            wait=min(left, constants.REQUEST_ATTEMPT_TIMEOUT),
            callback=partial(self.back, request, attempt, address),
        )

    def back(self, request, attempt, address, result):
        """Handles the result of an attempt; one of an earlier attempt is ignored."""
        if attempt != request.attempt or not self.is_pending(request):
            return
        if not result.ok and result.taken == "no" and request.unsure and result.status in (429, 503):
            # This attempt was refused, but an earlier one may have been accepted.
            self.retry_later(request=request, result=result)
            return
        if result.ok or not isinstance(result, (NotPrimary, CircuitDown, Late, Unsure, Broken)):
            self.finish(slot=request.slot, result=result)
            return
        request.unsure = request.unsure or result.taken != "no"
        hint = getattr(result, "hint", "")
        if hint and hint != address and self.primary == address:
            self.primary = hint
        self.retry_later(request=request, result=result)

    def retry_later(self, *, request, result):
        request.last_result = result
        self.retries += 1
        asyncio.get_running_loop().call_later(constants.REQUEST_ATTEMPT_PAUSE, self.try_request, request)

    def give_up(self, request):
        """Ends a request without an answer: Unsure if an attempt of a change may have been accepted."""
        unsure = request.unsure and request.op not in READS
        self.finish(slot=request.slot, result=Unsure(why="no primary in time") if unsure else NotPrimary())

    def is_ready(self):
        """Success if this gateway can serve: it has a configuration and a connection to the store."""
        up = any(self.link(addr=address).up for address in self.store_addresses)
        if self.leaving or self.charter["version"] < 2 or not up:
            return NotPrimary()
        return Success(value={"ready": True})
