"""How the platform's own callers reach the control plane: they choose among the daemons of
a lagging list, follow a 307 twice, and move to another daemon after a failure, a 5xx, a 408
or 429 or silence, with pauses that grow."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from hollowhall.base.problems import CircuitDown, Failure, Late

FIRST_PAUSE, MOST_PAUSE = 0.05, 2.0  # s; between two tries, doubling
HOPS = 2  # redirects that are followed


@dataclass(frozen=True, kw_only=True)
class Answer:
    """What came of one call. Status 0: no answer, and `why` says which way."""

    status: int
    body: Any = None
    headers: dict
    addr: str
    why: str = ""  # down: never sent; silence; cut: the connection ended first

    @property
    def ok(self):
        return 200 <= self.status < 300

    @property
    def moves(self):
        """Whether a caller tries another daemon for it."""
        return self.status in (0, 408, 429) or self.status >= 500 or 300 <= self.status < 400


async def ask(*, web, method, addr, path, body=None, headers=None, wait=1.0):
    """One request, its outcome as an Answer whatever happens."""
    o = await web.ask(method=method, addr=addr, path=path, body=body, headers=headers, wait=wait)
    if isinstance(o, Failure):
        why = {CircuitDown: "down", Late: "silence"}.get(type(o), "cut")
        return Answer(status=0, headers={}, addr=addr, why=why)
    st, v, h = o
    return Answer(status=st, body=read(v), addr=addr, headers={k.lower(): x for k, x in h.items()})


def read(v):
    """A body as JSON where it is that."""
    try:
        return json.loads(v) if isinstance(v, (str, bytes)) else v
    except ValueError:
        return v


class Caller:
    """One caller of the control plane, which remembers where it is."""

    def __init__(self, *, web, daemons, rng, loop=None):
        self.web, self.daemons, self.rng = web, daemons, rng
        self.loop, self.at, self.misses = loop or asyncio.get_event_loop(), "", 0

    def pick(self, *, other=False):
        """A daemon of the list as it stands; another one than before where there is one."""
        known = list(self.daemons())
        if other or self.at not in known:
            left = [a for a in known if a != self.at] or known
            self.at = self.rng.choice(left) if left else ""
        return self.at

    async def once(self, *, method, addr, path, body=None, headers=None, wait=1.0):
        """One call with its redirects; the wait is for all of them together."""
        end = self.loop.time() + wait
        for hop in range(HOPS + 1):
            a = await ask(
                web=self.web,
                method=method,
                addr=addr,
                path=path,
                body=body,
                headers=headers,
                wait=max(0.001, end - self.loop.time()),
            )
            to = a.headers.get("location", "")
            if a.status != 307 or hop == HOPS or not to.startswith("http://"):
                return a
            addr, _, rest = to[len("http://") :].partition("/")
            path = "/" + rest
        return a

    def pause(self):
        """How long to wait before the next try; it grows until a call goes well."""
        s = min(MOST_PAUSE, FIRST_PAUSE * 2 ** min(self.misses, 8))
        self.misses += 1
        return s * (0.75 + 0.5 * self.rng.random())
