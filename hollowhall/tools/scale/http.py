"""HTTP as hollow workers and callers speak it: one circuit kept to one mast, no library,
for a client library's processor time is several times a mast's. The same `ask` as the
simulation's, so that hollow ones run there unchanged."""

import asyncio
import json

from ...base.problems import CircuitDown, Late, Unsure


class Http:
    """One circuit to one mast at a time; another address closes it."""

    def __init__(self):
        self.addr, self.r, self.w = "", None, None

    async def ask(self, *, method, addr, path, body=None, wait=5.0):
        """(status, body, headers), or a problem that says whether it may have arrived."""
        sent = False
        try:
            async with asyncio.timeout(wait):
                if addr != self.addr or self.w is None or self.w.is_closing():
                    await self.close()
                    h, p = addr.rsplit(":", 1)
                    self.r, self.w = await asyncio.open_connection(h, int(p))
                    self.addr = addr
                b = b"" if body is None else json.dumps(body).encode()
                sent = True
                self.w.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/"
                    f"json\r\nContent-Length: {len(b)}\r\n\r\n".encode()
                    + b
                )
                return await self.reply()
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as e:
            await self.close()
            if isinstance(e, asyncio.TimeoutError):
                return Late(op=path)
            return Unsure(why="circuit") if sent else CircuitDown(addr=addr)

    async def reply(self):
        head = (await self.r.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        hs = {a.title(): b.strip() for a, _, b in (x.partition(":") for x in head[1:] if x)}
        b = await self.r.readexactly(int(hs.get("Content-Length", 0)))
        return int(head[0].split()[1]), json.loads(b), hs

    async def close(self):
        if self.w is not None:
            self.w.close()
        self.w = None


class Pool:
    """Circuits that many callers of a process share, kept open between their asks."""

    def __init__(self):
        self.free = {}

    async def ask(self, *, method, addr, path, body=None, wait=5.0):
        idle = self.free.setdefault(addr, [])
        h = idle.pop() if idle else Http()
        try:
            return await h.ask(method=method, addr=addr, path=path, body=body, wait=wait)
        finally:
            idle.append(h)

    async def close(self):
        for hs in self.free.values():
            for h in hs:
                await h.close()
