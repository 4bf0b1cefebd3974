"""The mast's own door: its HTTP, as docs/http.md has it. A program that puts another door
before the mast leaves this one out by giving no address for it."""

from ..base import consts as C
from ..base.doors import Door
from ..base.problems import TooLarge


class ShellMixin:
    async def open_shell(self):
        self.shell = None
        if self.params.http:
            self.shell = Door(seam=self.seam, addr=self.params.http, take=self.take,
                              most=C.BODY_MAX, too_large=lambda: self.reply(
                                  TooLarge(limit=C.BODY_MAX)))
            await self.shell.open()

    async def shut_shell(self):
        if self.shell is not None:
            await self.shell.shut()
