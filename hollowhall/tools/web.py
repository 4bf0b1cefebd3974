"""HTTP as the stand-ins use it: one Web object asks masts and says plainly what it
knows. An answer is (status, body, headers); no answer is a Problem whose `taken`
says whether the ask may have arrived. Also the history file that check reads."""

import asyncio
import json
import time

import aiohttp

from ..base.problems import CircuitDown, Late, Unsure


class Web:
    def __init__(self, *, most=512):
        self.s, self.most = None, most

    async def ask(self, *, method, addr, path, body=None, wait=5.0):
        if self.s is None:
            self.s = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=self.most))
        try:
            async with self.s.request(method, f"http://{addr}{path}", json=body,
                                      timeout=aiohttp.ClientTimeout(total=wait)) as r:
                return r.status, await r.json(content_type=None), dict(r.headers)
        except aiohttp.ClientConnectorError:
            return CircuitDown(addr=addr)
        except asyncio.TimeoutError:
            return Late(op=path)
        except (aiohttp.ClientError, OSError, ValueError):
            return Unsure(why="circuit")

    async def close(self):
        if self.s is not None:
            await self.s.close()


class History:
    """What requesters, workers and operators saw, one JSON object a line."""

    def __init__(self, *, path=None, now=None):
        self.f = open(path, "a", buffering=1) if path else None
        self.rows, self.now = [], now or (lambda: time.time() * 1000)

    def note(self, ev, **d):
        row = {"t": round(self.now(), 3), "ev": ev, **d}
        if self.f:
            self.f.write(json.dumps(row) + "\n")
        else:
            self.rows.append(row)
        return row


def read(paths):
    """Rows of several history files, by time, each knowing its file and line. A line that
    is no row becomes one of its own kind for the checker to list; only a torn last line,
    of a writer that was killed, is left out."""
    out = []
    for p in paths:
        t = 0.0
        with open(p, errors="replace") as f:
            for n, line in enumerate(f, 1):
                try:
                    r = json.loads(line)
                except ValueError:
                    r = None
                    if not line.endswith("\n"):
                        continue
                if not isinstance(r, dict) or not isinstance(r.get("ev"), str) or isinstance(
                        r.get("t"), bool) or not isinstance(r.get("t"), (int, float)):
                    r = {"t": t, "ev": "unreadable", "line": line.strip()[:80]}
                t = r["t"]
                out.append(r | {"_at": f"{p}:{n}"})
    out.sort(key=lambda r: r["t"])
    return out
