"""RPC connections between daemons. The first frame in each direction names the protocol version, the cluster
and the sender; a mismatch closes the connection with a typed failure. After that come requests and their
results, each with the index and generation of a slot among the pending requests. An RpcClient keeps one connection
to one address open, in one task. CircuitDown means that the request was never sent; Unsure and Late mean
that it may have arrived."""

import asyncio
from functools import partial

import ormsgpack

from . import constants, log_events
from .problem_codec import from_wire, to_wire
from .problems import Broken, CircuitDown, Full, Late, Mismatch, Unsure
from .slab import PendingRequests

REQUEST_FRAME, RESULT = 0, 1  # kinds of frames: a request, a result
PACK_OPTIONS = ormsgpack.OPT_NON_STR_KEYS


def pack(value):
    return ormsgpack.packb(value, option=PACK_OPTIONS)


def unpack(data):
    return ormsgpack.unpackb(data, option=PACK_OPTIONS)


class RpcConnection:
    """An open RPC connection, which carries requests both ways."""

    def __init__(self, *, wire, host, peer=""):
        self.wire, self.host, self.peer = wire, host, peer
        self.pending_requests, self.up = (
            PendingRequests(capacity=constants.PENDING_REQUESTS_PER_CONNECTION),
            True,
        )
        self.heard, self.probed, self.monitored = host.runtime.now(), 0.0, False

    def send_request(self, *, op, request, callback, wait=constants.REQUEST_TIMEOUT):
        """Sends a request; the callback is called once with its result. Returns its slot (index, generation),
        or None if it was not sent."""
        if not self.up:
            callback(CircuitDown(addr=self.peer))
            return None
        slot = self.pending_requests.put(callback=callback)
        if slot is None:
            callback(Full(where="circuit", after=constants.RETRY_AFTER))
            return None
        if not self.wire.send(pack([REQUEST_FRAME, slot[0], slot[1], op, request])):
            self.pending_requests.take(index=slot[0], generation=slot[1])
            callback(CircuitDown(addr=self.peer))
            return None
        asyncio.get_running_loop().call_later(wait, self.lapse, slot, op)
        if not self.monitored:
            self.monitored = True
            self.heard = self.host.runtime.now()
            asyncio.get_running_loop().call_later(constants.PROBE_TIMEOUT / 2, self.check_alive)
        return slot

    def lapse(self, slot, op):
        """Ends a request that is still pending after its time-out."""
        callback = self.pending_requests.take(index=slot[0], generation=slot[1])
        if callback is not None:
            callback(Late(op=op))

    def check_alive(self):
        """While requests are pending, probes a connection that is silent, and closes it if the probe
        brings no answer either."""
        now, last = self.host.runtime.now(), self.probed
        self.monitored = self.up and self.pending_requests.n > 0
        if not self.monitored:
            return
        if last > self.heard and now - last >= constants.PROBE_TIMEOUT:
            self.down()
            return
        if now - self.heard >= constants.PROBE_TIMEOUT / 2 and last <= self.heard:
            self.probed = now
            self.send_request(
                op="where", request={}, wait=constants.PROBE_TIMEOUT, callback=lambda result: None
            )
        asyncio.get_running_loop().call_later(constants.PROBE_TIMEOUT / 4, self.check_alive)

    async def call(self, *, op, request, wait=constants.REQUEST_TIMEOUT):
        """Sends a request and returns its result."""
        future = asyncio.get_running_loop().create_future()
        slot = self.send_request(
            op=op,
            request=request,
            wait=wait,
            callback=lambda result: future.done() or future.set_result(result),
        )
        try:
            return await future
        finally:
            if slot is not None:
                self.pending_requests.take(index=slot[0], generation=slot[1])

    def reply(self, index, generation, result):
        if self.up:
            self.wire.send(pack([RESULT, index, generation, to_wire(result)]))

    async def run(self):
        """Reads until the peer closes the connection. The only task of this connection."""
        count = 0
        try:
            while (frame := await self.wire.recv()) is not None:
                self.heard, count = self.host.runtime.now(), count + 1
                if count % constants.FRAMES_PER_YIELD == 0:
                    await asyncio.sleep(0)  # frames buffered here must not starve other tasks
                frame = unpack(frame)
                if frame[0] == REQUEST_FRAME:
                    self.host.serve(
                        op=frame[3],
                        request=frame[4],
                        caller=self.peer,
                        callback=partial(self.reply, frame[1], frame[2]),
                    )
                else:
                    callback = self.pending_requests.take(index=frame[1], generation=frame[2])
                    if callback is not None:
                        callback(from_wire(frame[3]))
        finally:
            self.down()

    def down(self):
        """Closes the connection; pending requests end as Unsure."""
        if self.up:
            self.up = False
            self.wire.close()
            for callback in self.pending_requests.drain():
                callback(Unsure(why="circuit"))


class RpcClient:
    """An RPC client for one address: keeps a connection open and reconnects with growing pauses."""

    def __init__(self, *, host, addr):
        self.host, self.addr, self.connection, self.level = host, addr, None, 0
        self.connected, self.closed = asyncio.Event(), False
        self.task = host.add_future(self.keep_connected())

    def close(self):
        self.closed = True  # checked by the task as well, since wait_for may lose a cancellation
        self.task.cancel()
        if self.connection is not None:
            self.connection.down()

    async def keep_connected(self):
        gap = constants.RECONNECT_DELAY
        while not self.closed:
            wire = None
            try:
                wire = await self.host.runtime.net.dial(addr=self.addr)
                wire.send(pack(self.host.hello()))
                first_frame = await asyncio.wait_for(wire.recv(), constants.CONNECT_TIMEOUT)
                failure = hello_failure(host=self.host, m=first_frame, addr=self.addr)
                if self.closed:
                    wire.close()
                elif failure is not None:
                    self.host.say(log_events.HELLO_REFUSED, addr=self.addr, problem=failure)
                    wire.close()
                else:
                    self.level = unpack(first_frame).get("level", 0)
                    self.connection, gap = (
                        RpcConnection(wire=wire, host=self.host, peer=self.addr),
                        constants.RECONNECT_DELAY,
                    )
                    self.connected.set()
                    await self.connection.run()
            except (TimeoutError, OSError):
                pass
            finally:
                if wire is not None:
                    wire.close()  # also a connection whose peer accepted it and sent no hello
            self.connected.clear()
            await asyncio.sleep(gap * (0.5 + self.host.runtime.rng.random()))
            gap = min(gap * 2, constants.RECONNECT_DELAY_MAX)

    @property
    def up(self):
        return self.connection is not None and self.connection.up

    def silent(self, *, now):
        """Whether the peer owes answers and has been silent for PEER_SILENT_AFTER."""
        return (
            self.up
            and self.connection.pending_requests.n > 0
            and now - self.connection.heard > constants.PEER_SILENT_AFTER
        )

    async def call(self, *, op, request, wait=constants.REQUEST_TIMEOUT):
        """Sends a request and returns its result; CircuitDown at once while there is no connection."""
        if not self.up:
            return CircuitDown(addr=self.addr)
        return await self.connection.call(op=op, request=request, wait=wait)

    def send_request(self, *, op, request, callback, wait=constants.REQUEST_TIMEOUT):
        """Sends a request; the callback is called once with its result."""
        if not self.up:
            callback(CircuitDown(addr=self.addr))
            return
        self.connection.send_request(op=op, request=request, callback=callback, wait=wait)


def hello_failure(*, host, m, addr=""):
    """The failure of a peer's first frame `m`, or None. `addr`: the address that was dialled. A daemon that
    answers there under another address is not the peer for which votes, acknowledgements and leases on this
    connection would be counted. Versions before 0.3 do not send their address."""
    if m is None:
        return CircuitDown(addr="")
    hello = unpack(m)
    wanted = [("v", constants.WIRE_VERSION), ("cluster", host.settings.cluster)]
    if addr and "addr" in hello:
        wanted.append(("addr", addr))
    for field, value in wanted:
        if hello.get(field) != value:
            return Mismatch(field=field, want=str(value), got=str(hello.get(field)))
    return None


class RpcServerMixin:
    """Accepts RPC connections for a daemon and serves the requests on them."""

    def hello(self):
        return {
            "v": constants.WIRE_VERSION,
            "cluster": self.settings.cluster,
            "id": self.settings.id,
            "addr": self.settings.addr,
            "level": constants.LEVEL,
        }

    async def accept_connection(self, wire):
        try:
            first_frame = await asyncio.wait_for(wire.recv(), constants.CONNECT_TIMEOUT)
        except TimeoutError:
            first_frame = None
        if first_frame is None:
            wire.close()
            return
        wire.send(pack(self.hello()))
        failure = hello_failure(host=self, m=first_frame)
        if failure is not None:
            self.say(log_events.HELLO_REFUSED, addr="in", problem=failure)
            wire.close()
            return
        connection = RpcConnection(wire=wire, host=self, peer=unpack(first_frame).get("id", ""))
        self.connections[connection] = True
        try:
            await connection.run()
        finally:
            self.connections.pop(connection, None)

    def serve(self, *, op, request, callback, caller):
        """Passes a request to the daemon's method on_<op>, which calls the callback with a result."""
        with self.loop_time.section(op):
            self.serve_now(op=op, request=request, callback=callback, caller=caller)

    def serve_now(self, *, op, request, callback, caller):
        handler = getattr(self, "on_" + op, None)
        if handler is None:
            callback(Broken(where="serve", why="no such ask"))
            return
        try:
            handler(request=request, callback=callback, caller=caller)
        except Exception as error:  # must not end the other requests of the connection
            self.say(log_events.SERVE_BROKEN, op=op, problem=repr(error))
            self.log_exception(error)
            callback(Broken(where=op, why=type(error).__name__))
