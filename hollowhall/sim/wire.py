"""A wire of the simulated network: messages in order, held back while its path is
cut, reset when that lasts. A machine set to freeze between look and send is stopped
here, at the very message it was about to send."""

import asyncio
import contextvars

RETRY, GIVE_UP = 0.2, 12.0  # s; between two tries of a held message, and until a reset


class SimWire:
    def __init__(self, *, net, node, peer_machine):
        self.net, self.node, self.peer_machine = net, node, peer_machine
        self.box, self.bell, self.other, self.open = [], None, None, True
        self.q, self.busy, self.blocked = [], False, 0.0

    def send(self, b):
        if not self.open:
            return False
        if self.net.snooze and self.net.doze(self.node, b):
            self.node.stash.append((self.send, (b,), contextvars.copy_context(), False))
            return True
        if self.node.cost:
            self.node.debt += self.net.frame_cost(b)
        self.q.append(b)
        if not self.busy:
            self.busy = True
            self.net.later(self.net.delay(self.node.machine, self.peer_machine), self.pump)
        return True

    def pump(self):
        if not self.open or not self.q:
            self.busy = False
            return
        if self.net.is_cut(self.node.machine, self.peer_machine) or self.other.node.machine in self.net.dark:
            self.blocked += RETRY
            if self.blocked > GIVE_UP:
                self.reset()
                return
            self.net.later(RETRY, self.pump)
            return
        self.blocked = 0.0
        if not self.other.open:
            self.reset()
            return
        self.other.got(self.q.pop(0))
        if self.q:
            self.net.later(self.net.delay(self.node.machine, self.peer_machine) * 0.2, self.pump)
        else:
            self.busy = False

    def got(self, b):
        self.box.append(b)
        if self.bell is not None and not self.bell.done():
            self.bell.set_result(None)

    async def recv(self):
        while not self.box:
            if not self.open:
                return None
            self.bell = asyncio.get_running_loop().create_future()
            await self.bell
        if self.node.cost:
            self.node.debt += self.net.frame_cost(self.box[0])
        return self.box.pop(0)

    def reset(self):
        self.open, self.q, self.busy = False, [], False
        if self.bell is not None and not self.bell.done():
            self.bell.set_result(None)

    def close(self):
        if self.open:
            self.reset()
            o = self.other
            if not self.net.is_cut(self.node.machine, self.peer_machine):
                self.net.later(self.net.delay(self.node.machine, self.peer_machine), o.reset)


class Port:
    def __init__(self, *, net, addr):
        self.net, self.addr = net, addr

    def close(self):
        self.net.ports.pop(self.addr, None)
