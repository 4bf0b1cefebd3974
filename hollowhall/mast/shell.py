"""The HTTP shell: aiohttp in front of `take`. It turns an HTTP request into a Call
and a Reply into a response, nothing more; in the simulation it is left out."""

import asyncio

from aiohttp import web

from ..base import consts as C
from ..base.problems import TooLarge
from ..base.seam import split


class ShellMixin:
    async def open_shell(self):
        if not hasattr(self.seam.net, "dial_http"):
            app = web.Application(client_max_size=C.BODY_MAX + 1)
            app.router.add_route("*", "/{path:.*}", self.on_http)
            self.runner = web.AppRunner(app, handler_cancellation=True, access_log=None)
            await self.runner.setup()
            h, p = split(self.params.http)
            await web.TCPSite(self.runner, h, p, backlog=1024).start()
        else:
            self.runner = None
            self.seam.net.serve_http(addr=self.params.http, take=self.take)

    async def shut_shell(self):
        if self.runner is not None:
            await self.runner.cleanup()

    async def on_http(self, q):
        from . import Call
        f = asyncio.get_running_loop().create_future()
        free = lambda: None  # noqa: E731
        try:
            try:
                body = await q.read()
            except web.HTTPRequestEntityTooLarge:
                return shown(self.reply(TooLarge(limit=C.BODY_MAX)))
            free = self.take(k=lambda r: f.done() or f.set_result(r), call=Call(
                method=q.method, path=q.path, query=dict(q.query),
                ctype=q.content_type, body=body))
            return shown(await f)
        finally:
            free()


def shown(r):
    if isinstance(r.body, str):
        return web.Response(status=r.status, text=r.body, headers=r.headers)
    return web.json_response(r.body, status=r.status, headers=r.headers)
