"""The gateway (role `mast`): one stateless daemon on each edge machine, without a disk.

It accepts HTTP requests from clients, workers and operators and forwards them to the primary
scheduler or the store's leader. Changes of the configuration, the primary and the fleet arrive by
long polls that carry the version held. The callback of a request is kept in a bounded table of
pending requests; a client that disconnects frees its slot at once."""

import asyncio
from functools import partial

from ..base import constants, log_events
from ..base.circuit import RpcClient
from ..base.daemon import Daemon
from ..base.doors import Call, Reply
from ..base.problems import CircuitDown, Full, Late, Leaving, NotLeader, NotPrimary, Unsure
from ..base.ring_place import MonitoringMixin
from ..base.slab import PendingRequests
from .admission import AdmissionMixin
from .configuration import ConfigurationMixin
from .door import LoadSheddingMixin
from .gauges import Gauges
from .keys import KeysMixin
from .requests import RequestsMixin
from .routes import RoutesMixin
from .shell import HttpMixin
from .tenants import TenantsMixin

BULK_OPS = ("job", "read", "state", "count", "list", "picture", "workers", "reservation", "reservations")


class Mast(
    AdmissionMixin,
    KeysMixin,
    TenantsMixin,
    ConfigurationMixin,
    RequestsMixin,
    LoadSheddingMixin,
    RoutesMixin,
    HttpMixin,
    MonitoringMixin,
    Daemon,
):
    """The gateway daemon: holds the configuration and the primary's address, and forwards requests."""

    role = "mast"

    def __init__(self, *, settings, runtime):
        super().__init__(settings=settings, runtime=runtime)
        self.pending_requests, self.gauges = (
            PendingRequests(capacity=constants.PENDING_REQUESTS_PER_CONNECTION),
            Gauges(),
        )
        self.charter, self.primary, self.primary_rev = {"version": 0, "rows": {}}, "", 0
        self.bulk_links = {}  # by the primary's address: a separate connection for submissions and reads
        self.retries = 0
        self.open_load_shedding()

    async def open(self):
        self.open_monitoring()
        self.open_admission()
        self.open_configuration()
        self.run_task(coroutine=self.follow_primary(), name="primary")
        await self.open_http()

    async def shut(self):
        for callback in self.pending_requests.drain():
            callback(Leaving(who=self.settings.id))
        await self.close_http()

    async def leave(self):
        """Refuses new requests and waits for the pending ones, for a limited time."""
        await super().leave()
        for _ in range(50):
            if self.pending_requests.n == 0:
                break
            await asyncio.sleep(constants.LEADER_CHECK_PERIOD)

    async def follow_primary(self):
        """Long-polls the store's entry that names the primary scheduler."""
        while True:
            result = await self.ask_any_member(
                op="watch",
                request={"p": "desk/", "rev": self.primary_rev},
                wait=constants.LONG_POLL_TIMEOUT + 1,
            )
            if result.ok and result.value["news"] and result.value["rev"] > self.primary_rev:
                self.primary_rev = result.value["rev"]
                entry = result.value["kv"].get("desk/primary")
                self.set_primary(addr=entry["v"]["addr"] if entry else "")
            elif not result.ok:
                await asyncio.sleep(constants.RECONNECT_DELAY)

    def set_primary(self, *, addr):
        """Connects to another primary. Closes the connections to the previous one, so that requests
        that wait for it fail at once instead of timing out."""
        previous, self.primary = self.primary, addr
        for links in (self.links, self.bulk_links) if previous and addr and previous != addr else ():
            if previous in links and links[previous].up:
                links[previous].connection.down()
        if addr:
            self.way(op="beat", addr=addr)
            self.way(op="job", addr=addr)

    def members_to_avoid(self):
        """Also the store member on the primary's machine: the store's leader, the primary and the
        clock's leader mostly run on one machine."""
        machine = self.primary.rpartition(":")[0]
        return super().members_to_avoid() | {
            address for address in self.store_addresses if address.rpartition(":")[0] == machine
        }

    def way(self, *, op, addr):
        """The connection to the primary for an operation. Submissions and reads have one of their own,
        so that heartbeats, departures and cancels do not queue behind many of them."""
        if op not in BULK_OPS:
            return self.link(addr=addr)
        if addr not in self.bulk_links:
            for address in [address for address in self.bulk_links if address != self.primary]:
                self.bulk_links.pop(address).close()
            self.bulk_links[addr] = RpcClient(host=self, addr=addr)
        return self.bulk_links[addr]

    # --- handling of a request

    def take(self, *, call, callback):
        """Handles an HTTP request; calls callback once with its Reply. Returns a function that frees
        the slot when the client disconnects."""
        started_at = self.runtime.now()

        def done(result):
            reply = self.reply(result)
            self.gauges.count(call.method, reply.status, self.runtime.now() - started_at)
            callback(reply)

        slot = self.pending_requests.put(callback=done)
        if slot is None:
            callback(self.reply(Full(where="mast", after=constants.RETRY_AFTER)))
            return lambda: None
        self.gauges.set_load(n=self.pending_requests.n, lag=self.loop_lag)
        if self.leaving:
            self.finish(slot=slot, result=Leaving(who=self.settings.id))
        else:
            self.route(call=call, slot=slot)
        return lambda: self.pending_requests.take(index=slot[0], generation=slot[1])

    def finish(self, *, slot, result):
        """Answers the request in slot s with result o; does nothing if the slot was freed."""
        callback = self.pending_requests.take(index=slot[0], generation=slot[1])
        if callback is not None:
            callback(result)

    def forward(self, *, op, request, slot, convert, wait=constants.CLIENT_REQUEST_TIMEOUT, attempts=2):
        """Forwards a request to the primary. Sends it once more if the first attempt was certainly not
        accepted and another primary is known; otherwise the client gets the failure at once. convert
        turns a successful result into the one that is answered; wait: s."""
        address = self.primary
        if not address:
            self.finish(slot=slot, result=NotPrimary())
            return
        self.way(op=op, addr=address).send_request(
            op=op,
            request=request,
            wait=wait,
            callback=partial(self.delivered, op, request, slot, convert, wait, attempts, address),
        )

    def delivered(self, op, request, slot, convert, wait, attempts, address, result):
        if isinstance(result, (NotPrimary, CircuitDown)) and attempts > 1:
            hint = getattr(result, "hint", "")
            if hint and hint != address:
                self.primary = hint
            if self.primary and (self.primary != address or not self.way(op=op, addr=address).up):
                self.retries += 1
                asyncio.get_running_loop().call_later(
                    0.05,
                    lambda: self.forward(
                        op=op, request=request, slot=slot, convert=convert, wait=wait, attempts=1
                    ),
                )
                return
        self.finish(slot=slot, result=convert(result) if result.ok else result)

    def ask_store(self, *, op, request, slot, convert, safe):
        """Sends a request to the store's leader from a task and answers the slot with the result. With
        safe=False an unanswered request ends as Unsure, since the store may have applied it."""

        async def go():
            result = await self.store(op=op, request=request, safe=safe, wait=2.0, total=2.5)
            if isinstance(result, NotLeader):
                result = Unsure(why="store") if not safe else result
            self.finish(slot=slot, result=convert(result) if result.ok else result)

        self.run_task(coroutine=go(), name=op)


__all__ = ["Mast", "Call", "Reply", "Late", "log_events"]
