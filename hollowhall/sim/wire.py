"""A connection of the simulated network: keeps the order of messages, holds them back while its
path is cut, and is reset when that lasts. A node set to freeze between a check and a send is
paused here, at the message that it was about to send."""

import asyncio
import contextvars

RETRY, GIVE_UP = 0.2, 12.0  # s; between two attempts at a held message; until a reset


class SimWire:
    """One end of a connection."""

    def __init__(self, *, net, node, peer_machine):
        self.net, self.node, self.peer_machine = net, node, peer_machine
        self.inbox, self.arrival, self.far_end, self.open = [], None, None, True
        self.outbox, self.sending, self.blocked_s = [], False, 0.0

    def send(self, frame):
        """Queues a frame; False if this end is closed."""
        if not self.open:
            return False
        if self.net.freeze_patterns and self.net.freeze_before_send(self.node, frame):
            self.node.held.append((self.send, (frame,), contextvars.copy_context(), False))
            return True
        if self.node.cost:
            self.node.owed_s += self.net.frame_cost(frame)
        self.outbox.append(frame)
        if not self.sending:
            self.sending = True
            self.net.later(self.net.delay(self.node.machine, self.peer_machine), self.pump)
        return True

    def pump(self):
        """Delivers the oldest queued frame, or holds it back while the path is cut."""
        if not self.open or not self.outbox:
            self.sending = False
            return
        if (
            self.net.is_cut(self.node.machine, self.peer_machine)
            or self.far_end.node.machine in self.net.dark
        ):
            self.blocked_s += RETRY
            if self.blocked_s > GIVE_UP:
                self.reset()
                return
            self.net.later(RETRY, self.pump)
            return
        self.blocked_s = 0.0
        if not self.far_end.open:
            self.reset()
            return
        self.far_end.deliver(self.outbox.pop(0))
        if self.outbox:
            self.net.later(self.net.delay(self.node.machine, self.peer_machine) * 0.2, self.pump)
        else:
            self.sending = False

    def deliver(self, frame):
        self.inbox.append(frame)
        if self.arrival is not None and not self.arrival.done():
            self.arrival.set_result(None)

    async def recv(self):
        """The next frame, or None when the connection has ended."""
        while not self.inbox:
            if not self.open:
                return None
            self.arrival = asyncio.get_running_loop().create_future()
            await self.arrival
        if self.node.cost:
            self.node.owed_s += self.net.frame_cost(self.inbox[0])
        return self.inbox.pop(0)

    def reset(self):
        self.open, self.outbox, self.sending = False, [], False
        if self.arrival is not None and not self.arrival.done():
            self.arrival.set_result(None)

    def close(self):
        if self.open:
            self.reset()
            peer = self.far_end
            if not self.net.is_cut(self.node.machine, self.peer_machine):
                self.net.later(self.net.delay(self.node.machine, self.peer_machine), peer.reset)


class Port:
    """An address that a node listens on."""

    def __init__(self, *, net, addr):
        self.net, self.addr = net, addr

    def close(self):
        self.net.ports.pop(self.addr, None)
