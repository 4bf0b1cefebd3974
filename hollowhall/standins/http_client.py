"""The HTTP client of the simulated workers and clients and of the operators' commands. An answer is
(status, body, headers); without one the result is a Failure, whose `taken` says whether the
request may have arrived."""

import aiohttp

from ..base.problems import CircuitDown, Late, Unsure


class HttpClient:
    """An HTTP client with at most `most` connections, which stay open between requests."""

    def __init__(self, *, max_connections=512):
        self.session, self.max_connections = None, max_connections

    async def ask(self, *, method, addr, path, body=None, wait=5.0, headers=None):
        """Sends one request; its answer or a Failure."""
        if self.session is None:
            self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=self.max_connections))
        try:
            async with self.session.request(
                method,
                f"http://{addr}{path}",
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=wait),
            ) as response:
                return response.status, await response.json(content_type=None), dict(response.headers)
        except aiohttp.ClientConnectorError:
            return CircuitDown(addr=addr)
        except TimeoutError:
            return Late(op=path)
        except (aiohttp.ClientError, OSError, ValueError):
            return Unsure(why="circuit")

    async def close(self):
        if self.session is not None:
            await self.session.close()
