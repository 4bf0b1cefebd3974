"""An HTTP listener on aiohttp in front of a handler `take(call=, callback=)`. It turns an HTTP request into a
Call and the Reply into an HTTP response, within the bounds of base/limits.py. The simulation calls the
handler directly."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from . import constants
from .limits import Bounds, ClientLimits
from .seam import split


@dataclass(kw_only=True)
class Call:
    """An HTTP request."""

    method: str
    path: str
    query: dict = field(default_factory=dict)
    ctype: str = "application/json"
    body: bytes = b""
    headers: dict = field(default_factory=dict)  # names are in lower case


@dataclass(kw_only=True)
class Reply:
    """An HTTP response. `body`: a string is sent as text, anything else as JSON, None as no body."""

    status: int
    body: Any = None
    headers: dict = field(default_factory=dict)


class HttpListener:
    """An HTTP listener at `addr`. `take`: handles a Call, passes a Reply to its callback and returns a
    function that is called when the request ends. `most`: bytes, the largest body. `too_large`: the Reply to
    a body over the limit, given in bytes; `full`: the Reply to a request refused for lack of connections or
    memory, given which. `first`: whether requests of a method and path have priority. `patience`: a function,
    called for each request, that returns the limits for clients."""

    def __init__(
        self,
        *,
        runtime,
        addr,
        handler,
        max_body_bytes,
        too_large,
        full,
        bounds=Bounds(),
        patience=ClientLimits,
        first=lambda method, path: False,
    ):
        self.runtime, self.addr, self.handler, self.max_body_bytes = runtime, addr, handler, max_body_bytes
        self.too_large, self.full, self.first = too_large, full, first
        self.bounds, self.patience = bounds, patience
        self.app_runner = self.server = self.connections = None
        self.requests_in_progress, self.shutting_down = 0, False

    async def open(self):
        if hasattr(self.runtime.net, "dial_http"):
            self.runtime.net.serve_http(addr=self.addr, take=self.handler)
            return
        from aiohttp import web  # not needed by a daemon without HTTP or in the simulation

        from .connections import BODY, SERVED, WAITING, Connections, Listener

        self.web, self.states = web, (BODY, SERVED, WAITING)
        app = web.Application(client_max_size=self.max_body_bytes + 1)
        app.router.add_route("*", "/{path:.*}", self.on_http, expect_handler=self.on_expect)
        self.app_runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=constants.HTTP_SHUTDOWN_TIMEOUT
        )
        await self.app_runner.setup()
        self.connections = Connections(
            manager=self.app_runner.server, bounds=self.bounds, patience=self.patience
        )
        self.server = Listener(addr=split(self.addr), make=self.connections.make)

    async def close(self):
        """Accepts no new connections and lets requests that have started to arrive finish, which aiohttp's
        own shutdown does not: it discards the rest of a body."""
        if self.app_runner is None:
            return
        self.shutting_down = True
        self.server.close()
        end = asyncio.get_running_loop().time() + constants.HTTP_SHUTDOWN_TIMEOUT
        while self.requests_in_progress and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(constants.CLOCK_REFRESH_PERIOD / 5)
        self.connections.close()
        await self.app_runner.cleanup()

    def limit(self):
        """Bytes; the largest body that is accepted now."""
        return min(self.max_body_bytes, self.patience().body_bytes or self.max_body_bytes)

    def refusal(self, *, request, first):
        """The Reply to a request that is refused before its body is read; otherwise None."""
        if self.connections.is_over_bound(request.protocol):
            self.connections.counts["turned"] += 1
            return self.full("connections")
        if (request.content_length or 0) > self.limit():
            return self.too_large(self.limit())
        if not self.connections.reserve_bytes(
            count=0 if request.content_length is None else request.content_length, first=first
        ):
            return self.full("bodies")
        return None

    async def on_expect(self, request):
        """Tells a client that sent Expect: 100-continue to send its body, unless on_http is going to refuse
        it."""
        first = self.first(request.method, request.path)
        if (first or request.protocol not in self.connections.over_bound) and (
            request.content_length or 0
        ) <= self.limit():
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0
        return None

    async def on_http(self, request):
        body, served, waiting = self.states
        connection, first = request.protocol, self.first(request.method, request.path)
        self.connections.set_state(connection=connection, state=body)
        if first:
            self.connections.mark_priority(connection)
        refusal = self.refusal(request=request, first=first)
        if refusal is not None:
            self.connections.set_state(connection=connection, state=waiting)
            return self.response(refusal, last=True)
        reserved = [request.content_length or 0]
        future = asyncio.get_running_loop().create_future()
        release = lambda: None  # noqa: E731
        self.requests_in_progress += 1
        try:
            content = await self.read(request=request, first=first, reserved=reserved)
            if isinstance(content, Reply):
                return self.response(content, last=True)
            self.connections.set_state(connection=connection, state=served)
            release = self.handler(
                callback=lambda reply: future.done() or future.set_result(reply),
                call=Call(
                    method=request.method,
                    path=request.path,
                    query=dict(request.query),
                    ctype=request.content_type,
                    body=content,
                    headers={name.lower(): value for name, value in request.headers.items()},
                ),
            )
            return self.response(await future)
        finally:
            self.requests_in_progress -= 1
            release()
            self.connections.bytes -= reserved[0]
            if connection in self.connections.all:
                self.connections.set_state(connection=connection, state=waiting)

    async def read(self, *, request, first, reserved):
        """The body, or a Reply if it is too large. reserved[0]: the bytes reserved for it, at first the
        length in its header; raised as more arrive."""
        parts, count = [], 0
        async for chunk in request.content.iter_any():
            count += len(chunk)
            if count > self.limit():
                return self.too_large(self.limit())
            if count > reserved[0]:
                if not self.connections.reserve_bytes(count=count - reserved[0], first=first):
                    return self.full("bodies")
                reserved[0] = count
            parts.append(chunk)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def response(self, reply, *, last=False):
        """The aiohttp response for a Reply; `last`: closes the connection after it."""
        if reply.body is None:
            response = self.web.Response(status=reply.status, headers=reply.headers)
        elif isinstance(reply.body, str):
            response = self.web.Response(status=reply.status, text=reply.body, headers=reply.headers)
        else:
            response = self.web.json_response(reply.body, status=reply.status, headers=reply.headers)
        if last or self.shutting_down:
            response.force_close()
        return response
