"""Which scheduler is primary, for callers that reach a standby. A standby probes the primary itself,
since the lease shows its death only after it has expired."""

import asyncio

from ..base import constants


class PrimaryMixin:
    """Probes the primary and tells its address."""

    async def listen_primary(self):
        """Probes the primary every PRIMARY_CHECK_PERIOD seconds while this scheduler is a standby."""
        while True:
            await asyncio.sleep(constants.PRIMARY_CHECK_PERIOD)
            addr = self.primary
            if addr and addr != self.settings.addr and not self.live():
                result = await self.link(addr=addr).call(
                    op="where", request={}, wait=constants.PRIMARY_SILENT_MAX
                )
                if result.ok:
                    self.heard_primary = (addr, self.runtime.now())

    heard_primary = ("", 0.0)

    def known_primary(self):
        """The primary's address if it answered within PRIMARY_SILENT_MAX seconds; else ''."""
        addr, heard_at = self.heard_primary
        if self.live():
            return self.settings.addr
        return (
            addr
            if addr == self.primary and self.runtime.now() - heard_at < constants.PRIMARY_SILENT_MAX
            else ""
        )

    async def find_primary(self):
        """Waits up to FIND_PRIMARY_TIMEOUT seconds for a live primary; returns its address or ''."""
        deadline = self.runtime.now() + constants.FIND_PRIMARY_TIMEOUT
        while not self.known_primary() and self.runtime.now() < deadline and not self.leaving:
            await asyncio.sleep(constants.REQUEST_ATTEMPT_PAUSE)
        return self.known_primary()
