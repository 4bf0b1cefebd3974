"""Cuts between real processes. In a trial that asks for them every daemon is known to
the others by a relay's address and listens elsewhere (param `bind`). A relay learns
from a circuit's first frame who dialled, and holds back what goes from one daemon to
another while that way is cut, as a network would. It reads no more than that frame."""

import asyncio
import struct

from ...base.circuit import unpack
from ...base.seam import split

LOOK = 0.02  # s; how often a held way is looked at again
PIECE = 1 << 16  # bytes; forwarded in one go


class Relays:
    def __init__(self):
        self.cuts, self.servers, self.held, self.tasks = set(), [], 0, set()

    def cut(self, frm, to):
        self.cuts |= {(a, b) for a in frm for b in to if a != b}

    def heal(self):
        self.cuts.clear()

    async def add(self, card):
        h, p = split(card["addr"])

        async def got(r, w):
            me = asyncio.current_task()
            self.tasks.add(me)
            try:
                await self.serve(card, r, w)
            except asyncio.CancelledError:
                pass  # the trial is over
            finally:
                self.tasks.discard(me)

        self.servers.append(await asyncio.start_server(got, h, p))

    async def way(self, a, b):
        """Until what goes from a to b may pass."""
        self.held += (a, b) in self.cuts
        while (a, b) in self.cuts:
            await asyncio.sleep(LOOK)

    async def serve(self, card, r, w):
        w2, ts = None, []
        try:
            head = await r.readexactly(4)
            body = await r.readexactly(struct.unpack(">I", head)[0])
            who, to = unpack(body).get("id", ""), card["id"]
            await self.way(who, to)
            h, p = split(card["bind"])
            r2, w2 = await asyncio.open_connection(h, p)
            w2.write(head + body)
            ts = [asyncio.ensure_future(x) for x in (self.pump(r, w2, who, to), self.pump(r2, w, to, who))]
            await asyncio.wait(ts, return_when=asyncio.FIRST_COMPLETED)
            await self.end(ts)
        except asyncio.CancelledError:
            await self.end(ts)
            raise
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for x in (w, w2):
                if x is not None:
                    x.transport.abort()

    async def end(self, ts):
        for t in ts:
            t.cancel()
        await asyncio.gather(*ts, return_exceptions=True)

    async def pump(self, r, w, a, b):
        try:
            while x := await r.read(PIECE):
                await self.way(a, b)
                w.write(x)
                await w.drain()
        except OSError:
            return

    async def close(self):
        self.heal()
        for s in self.servers:
            s.close()
        for t in list(self.tasks):
            t.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
