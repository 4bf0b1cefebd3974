"""The HTTP client of the stand-ins and of the operators' commands: one Web object asks
masts and says plainly what it knows. An answer is (status, body, headers); no answer
is a Problem whose `taken` says whether the ask may have arrived."""

import aiohttp

from ..base.problems import CircuitDown, Late, Unsure


class Web:
    def __init__(self, *, most=512):
        self.s, self.most = None, most

    async def ask(self, *, method, addr, path, body=None, wait=5.0, headers=None):
        """One request; its answer, or the Problem that took its place. Connections stay open
        from one to the next, until the other side ends them."""
        if self.s is None:
            self.s = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=self.most))
        try:
            async with self.s.request(
                method,
                f"http://{addr}{path}",
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=wait),
            ) as r:
                return r.status, await r.json(content_type=None), dict(r.headers)
        except aiohttp.ClientConnectorError:
            return CircuitDown(addr=addr)
        except TimeoutError:
            return Late(op=path)
        except (aiohttp.ClientError, OSError, ValueError):
            return Unsure(why="circuit")

    async def close(self):
        if self.s is not None:
            await self.s.close()
