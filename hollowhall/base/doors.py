"""A door: HTTP by aiohttp in front of a `take(call, k)`. It turns an HTTP request into a
Call and a Reply into a response, nothing more; in the simulation it is left out."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from .seam import split


@dataclass(kw_only=True)
class Call:
    """A request as it came over HTTP."""
    method: str
    path: str
    query: dict = field(default_factory=dict)
    ctype: str = "application/json"
    body: bytes = b""
    headers: dict = field(default_factory=dict)     # names in lower case


@dataclass(kw_only=True)
class Reply:
    status: int
    body: Any = None
    headers: dict = field(default_factory=dict)


class Door:
    """`too_large` gives the Reply to a body over `most` bytes."""

    def __init__(self, *, seam, addr, take, most, too_large):
        self.seam, self.addr, self.take = seam, addr, take
        self.most, self.too_large, self.runner = most, too_large, None

    async def open(self):
        if hasattr(self.seam.net, "dial_http"):
            self.seam.net.serve_http(addr=self.addr, take=self.take)
            return
        from aiohttp import web     # a daemon in the simulation, or without HTTP, needs none
        self.web = web
        app = web.Application(client_max_size=self.most + 1)
        app.router.add_route("*", "/{path:.*}", self.on_http)
        self.runner = web.AppRunner(app, handler_cancellation=True, access_log=None)
        await self.runner.setup()
        h, p = split(self.addr)
        await web.TCPSite(self.runner, h, p, backlog=1024).start()

    async def shut(self):
        if self.runner is not None:
            await self.runner.cleanup()

    async def on_http(self, q):
        f = asyncio.get_running_loop().create_future()
        free = lambda: None  # noqa: E731
        try:
            try:
                body = await q.read()
            except self.web.HTTPRequestEntityTooLarge:
                return self.shown(self.too_large())
            free = self.take(k=lambda r: f.done() or f.set_result(r), call=Call(
                method=q.method, path=q.path, query=dict(q.query), ctype=q.content_type,
                body=body, headers={a.lower(): b for a, b in q.headers.items()}))
            return self.shown(await f)
        finally:
            free()

    def shown(self, r):
        if r.body is None:
            return self.web.Response(status=r.status, headers=r.headers)
        if isinstance(r.body, str):
            return self.web.Response(status=r.status, text=r.body, headers=r.headers)
        return self.web.json_response(r.body, status=r.status, headers=r.headers)
