"""One process of the load generator against a fleet on this machine."""

import asyncio
import random
import time

from ...standins.crowd import Operator, Requester
from ...standins.history import History
from ...standins.http_client import HttpClient
from ...standins.shapes import SHAPES
from .trial import boot_now


def crowd_of(d, path, seed, secs, times, edits):
    """One process's part of a crowd: what it saw, or None when no mast answers."""

    async def go():
        shape, web, hist = SHAPES[d["shape"]], HttpClient(), History(path=path)
        kw = dict(masts=d["masts"], web=web, hist=hist, now=boot_now)
        op = Operator(rng=random.Random(seed + 1), tag="op", **kw)
        if await op.found(lanes=shape.lanes) is None:
            return None
        r = Requester(rng=random.Random(seed), tag=f"job{int(time.time())}-{seed}", **kw)
        ts = [r.run(mix=shape.mix, seconds=secs, times=times)]
        if edits:
            ts.append(op.change_rows_periodically(lanes=shape.lanes, seconds=secs))
        await asyncio.gather(*ts)
        await web.close()
        return r.figures, r.latency

    return asyncio.run(go())
