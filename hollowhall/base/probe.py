"""One request over an RPC connection of its own, from a tool that is not a daemon."""

import asyncio

from . import constants
from .circuit import REQUEST_FRAME, pack, unpack
from .problem_codec import from_wire
from .problems import CircuitDown, Late
from .seam import Net


async def probe(*, addr, op, request, cluster="hollowhall", wait=2.0):
    """Returns the result; CircuitDown if the daemon cannot be reached, Late after `wait` seconds."""
    try:
        wire = await Net().dial(addr=addr)
    except (TimeoutError, OSError):
        return CircuitDown(addr=addr)
    try:
        wire.send(pack({"v": constants.WIRE_VERSION, "cluster": cluster, "id": "probe"}))
        wire.send(pack([REQUEST_FRAME, 0, 0, op, request]))
        await asyncio.wait_for(wire.recv(), wait)
        frame = await asyncio.wait_for(wire.recv(), wait)
        return from_wire(unpack(frame)[3]) if frame else CircuitDown(addr=addr)
    except TimeoutError:
        return Late(op=op)
    finally:
        wire.close()
