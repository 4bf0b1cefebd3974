"""Bounds on the HTTP connections of a listener. Above the bound, idle connections are closed, the oldest
first; a connection beyond the bound is answered and closed, unless it carries priority requests. A slow
client keeps a connection no longer than the listener's time-outs allow. Only this module depends on
aiohttp's connection classes; a daemon without HTTP does not import it."""

import asyncio
import socket

from aiohttp import web

from . import constants

# States of a connection: idle between requests, receiving a header, receiving a body, being served.
WAITING, HEAD, BODY, SERVED = "waiting", "head", "body", "served"


class Connection(web.RequestHandler):
    """One HTTP connection, which reports its state to the Connections that it belongs to."""

    __slots__ = ("connections", "state", "since", "header_bytes", "priority")

    def __init__(self, *, connections, **kw):
        super().__init__(connections.manager, **kw)
        self.connections, self.state, self.since, self.header_bytes = connections, WAITING, 0.0, 0
        self.priority = False

    def connection_made(self, transport):
        super().connection_made(transport)
        self.connections.added(self)

    def connection_lost(self, exc):
        self.connections.removed(self)
        super().connection_lost(exc)

    def data_received(self, data):
        if data and self.state == WAITING:
            self.connections.set_state(connection=self, state=HEAD)
        if self.state == HEAD:
            self.header_bytes += len(data)
            if self.connections.too_long(
                self
            ):  # a complete header has reached its handler when the check runs
                self._loop.call_soon(self._loop.call_soon, self.connections.close_if_header_too_long, self)
        super().data_received(data)

    def drop(self):
        """Closes at once; its request handler sees a client that disconnected."""
        if self.transport is not None:
            self.transport.abort()


class Connections:
    """The open connections of a listener, by state and age."""

    def __init__(self, *, manager, bounds, patience):
        self.manager, self.bounds, self.patience = manager, bounds, patience
        self.all, self.priority_count, self.bytes = {}, 0, 0
        self.over_bound = {}  # connections beyond the bound; the oldest first
        self.by_state = {WAITING: {}, HEAD: {}, BODY: {}}  # by state, the oldest first
        self.counts = {"dropped": 0, "turned": 0, "late": 0}
        self.loop = asyncio.get_running_loop()
        self.timer = self.loop.call_later(constants.SLOW_CLIENT_CHECK_PERIOD, self.close_slow)

    def make(self):
        """The protocol of a new connection, for the listening socket."""
        more = {"read_bufsize": constants.READ_BUFFER_BYTES} if self.bounds.bodies else {}
        return Connection(
            connections=self, loop=self.loop, access_log=None, lingering_time=constants.LINGERING_TIME, **more
        )

    def close(self):
        self.timer.cancel()

    def set_state(self, *, connection, state):
        """Changes a connection's state; nothing else does."""
        for connections in (self.by_state.get(connection.state, {}), self.by_state.get(state, {})):
            connections.pop(connection, None)
        connection.state, connection.header_bytes = state, 0
        connection.since = self.loop.time()
        if (
            state in self.by_state and connection in self.all
        ):  # a closed connection may still reach its handler
            self.by_state[state][connection] = True

    def added(self, connection):
        bounds = self.bounds
        self.all[connection] = True
        self.set_state(connection=connection, state=WAITING)
        if bounds.clients and len(self.all) - self.priority_count > bounds.clients:
            idle = self.oldest(least=constants.IDLE_MIN)
            if idle is None:
                self.over_bound[connection] = True
            else:
                self.evict(connection=idle, why="dropped")
        if bounds.clients and len(self.all) > bounds.clients + bounds.priority:
            self.evict(connection=self.oldest(but=connection) or connection, why="dropped")

    def removed(self, connection):
        if self.all.pop(connection, None):
            self.priority_count -= connection.priority
            self.over_bound.pop(connection, None)
            self.set_state(connection=connection, state=SERVED)

    def oldest(self, *, least=0.0, but=None):
        """The connection idle the longest, and for at least `least` seconds, without priority and not being
        served. With `least` 0, connections beyond the bound come first, and one whose body is still
        arriving qualifies, too."""
        now = self.loop.time()
        for connection in self.over_bound if not least else ():
            if connection.state != SERVED and connection is not but:
                return connection
        for state in (WAITING, HEAD) if least else (WAITING, HEAD, BODY):
            for connection in self.by_state[state]:
                if now - connection.since < least:
                    break
                if not connection.priority and connection is not but:
                    return connection
        return None

    def evict(self, *, connection, why):
        """Closes a connection and counts it under `why`, a key of `counts`."""
        self.counts[why] += 1
        self.removed(connection)
        connection.drop()

    def mark_priority(self, connection):
        """Gives a connection priority: it carried a worker's report or an operator's request."""
        if not connection.priority and connection in self.all:
            connection.priority = True
            self.priority_count += 1
            self.over_bound.pop(connection, None)

    def is_over_bound(self, connection):
        """Whether a request on this connection is to be refused; no longer once others have closed."""
        if connection in self.over_bound and len(self.all) - self.priority_count <= self.bounds.clients:
            del self.over_bound[connection]
        return connection in self.over_bound

    def too_long(self, connection):
        limits = self.patience()
        return bool(limits.head_bytes) and connection.header_bytes > limits.head_bytes

    def close_if_header_too_long(self, connection):
        if connection.state == HEAD and self.too_long(connection) and connection in self.all:
            self.evict(connection=connection, why="late")

    def close_slow(self):
        """Closes the connections that exceeded the time-out of their state."""
        now, limits = self.loop.time(), self.patience()
        for state, most in ((WAITING, limits.idle_s), (HEAD, limits.header_s), (BODY, limits.body_s)):
            late = []
            for connection in self.by_state[state] if most else ():
                if now - connection.since < most:
                    break
                late.append(connection)
            for connection in late:
                self.evict(connection=connection, why="late")
        self.timer = self.loop.call_later(constants.SLOW_CLIENT_CHECK_PERIOD, self.close_slow)

    def reserve_bytes(self, *, count, first):
        """Reserves memory for `count` more bytes of bodies; False if there is none left."""
        most = self.bounds.bodies * (2 if first else 1)
        if most and self.bytes and self.bytes + count > most:  # a single body is always accepted
            return False
        self.bytes += count
        return True


class Listener:
    """A listening socket that accepts a few connections at a time. asyncio's own servers accept all that wait
    before the first is examined, and so exceed any bound on descriptors. `addr`: (IP, port)."""

    def __init__(self, *, addr, make):
        self.make, self.opening, self.loop = make, set(), asyncio.get_running_loop()
        self.sock = socket.create_server(
            addr,
            backlog=constants.LISTEN_BACKLOG,
            family=socket.AF_INET6 if ":" in addr[0] else socket.AF_INET,
        )
        self.sock.setblocking(False)
        self.start_accepting()

    def start_accepting(self):
        if self.sock.fileno() >= 0:
            self.loop.add_reader(self.sock, self.accept)

    def accept(self):
        while len(self.opening) < constants.CONCURRENT_ACCEPTS:
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:  # no descriptors left: retries once some connections have been closed
                self.loop.remove_reader(self.sock)
                self.loop.call_later(constants.SLOW_CLIENT_CHECK_PERIOD, self.start_accepting)
                return
            sock.setblocking(False)
            task = self.loop.create_task(self.set_up(sock))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    async def set_up(self, sock):
        try:
            await self.loop.connect_accepted_socket(self.make, sock)
        except OSError:
            sock.close()  # the client has disconnected

    def close(self):
        self.loop.remove_reader(self.sock)
        self.sock.close()
        for task in list(self.opening):
            task.cancel()
