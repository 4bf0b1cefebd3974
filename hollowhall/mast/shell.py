"""The gateway's HTTP listener for the API of docs/http.md. A program with another listener in front of
the gateway disables this one by setting no address for it."""

from ..base import constants
from ..base.doors import HttpListener
from ..base.limits import client_limits, connection_bounds
from ..base.problems import Crowded, TooLarge

PRIORITY_PATHS = ("/v1/workers/", "/v1/charter", "/v1/members", "/readyz", "/healthz")


class HttpMixin:
    """Opens and closes the HTTP listener."""

    async def open_http(self):
        self.http_listener = None
        if self.settings.http:
            self.http_listener = HttpListener(
                runtime=self.runtime,
                addr=self.settings.http,
                handler=self.take,
                max_body_bytes=constants.BODY_MAX,
                bounds=connection_bounds(self.settings),
                first=lambda method, path: path.startswith(PRIORITY_PATHS),
                patience=lambda: client_limits(settings=self.settings, limits={}),
                too_large=lambda limit: self.reply(TooLarge(limit=limit)),
                full=lambda where: self.reply(Crowded(where=where, after=constants.RETRY_AFTER)),
            )
            await self.http_listener.open()

    async def close_http(self):
        if self.http_listener is not None:
            await self.http_listener.close()
