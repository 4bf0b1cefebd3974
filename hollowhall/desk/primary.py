"""Which scheduler is primary, for callers that reach a standby. A standby probes the primary itself,
since the lease shows its death only after it has expired."""

import asyncio

from ..base import constants


class PrimaryMixin:
    """Probes the primary and tells its address."""

    async def listen_primary(self):
        """Probes the primary every PRIMARY_LOOK seconds while this scheduler is a standby."""
        while True:
            await asyncio.sleep(constants.PRIMARY_LOOK)
            addr = self.primary
            if addr and addr != self.params.addr and not self.live():
                result = await self.link(addr=addr).call(op="where", request={}, wait=constants.PRIMARY_DEAF)
                if result.ok:
                    self.heard_primary = (addr, self.seam.now())

    heard_primary = ("", 0.0)

    def known_primary(self):
        """The primary's address if it answered within PRIMARY_DEAF seconds; else ''."""
        addr, heard_at = self.heard_primary
        if self.live():
            return self.params.addr
        return addr if addr == self.primary and self.seam.now() - heard_at < constants.PRIMARY_DEAF else ""

    async def find_primary(self):
        """Waits up to PRIMARY_WAIT seconds for a live primary; returns its address or ''."""
        deadline = self.seam.now() + constants.PRIMARY_WAIT
        while not self.known_primary() and self.seam.now() < deadline and not self.leaving:
            await asyncio.sleep(constants.ATTEMPT_GAP)
        return self.known_primary()
