"""The gateway's HTTP listener for the API of docs/http.md. A program with another listener in front of
the gateway disables this one by setting no address for it."""

from ..base import constants
from ..base.doors import Door
from ..base.limits import bounds_of, patience_of
from ..base.problems import Crowded, TooLarge

PRIORITY_PATHS = ("/v1/workers/", "/v1/charter", "/v1/members", "/readyz", "/healthz")


class HttpMixin:
    """Opens and closes the HTTP listener."""

    async def open_http(self):
        self.shell = None
        if self.params.http:
            self.shell = Door(
                seam=self.seam,
                addr=self.params.http,
                take=self.take,
                most=constants.BODY_MAX,
                bounds=bounds_of(self.params),
                first=lambda method, path: path.startswith(PRIORITY_PATHS),
                patience=lambda: patience_of(settings=self.params, limits={}),
                too_large=lambda limit: self.reply(TooLarge(limit=limit)),
                full=lambda where: self.reply(Crowded(where=where, after=constants.RETRY_AFTER)),
            )
            await self.shell.open()

    async def close_http(self):
        if self.shell is not None:
            await self.shell.shut()
