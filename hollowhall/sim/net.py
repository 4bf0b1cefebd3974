"""The simulated network. Wires keep the order of messages; a message takes a short random time,
rarely a long one. A cut path holds messages back, as retransmission would, and resets the wire
when it lasts; it may be cut in one direction only. HTTP uses the same paths. A killed process
resets its wires; a machine without power sends nothing."""

import asyncio
import json

from ..base.problems import CircuitDown, Late, Unsure
from .loop import NODE
from .wire import RETRY, Port, SimWire


def shown(body):
    """The body of a reply as its reader receives it: parsed JSON where possible, otherwise text."""
    if isinstance(body, bytes):
        try:
            return json.loads(body or b"null")
        except ValueError:
            return body.decode(errors="replace")
    return body if isinstance(body, str) else json.loads(json.dumps(body))


class SimNet:
    """The network of a simulation; `face(node)` is the network interface of one node."""

    def __init__(self, *, loop, rng):
        self.loop, self.rng = loop, rng
        self.ports, self.http_listeners, self.home = {}, {}, {}
        self.cuts, self.dark, self.slow = set(), set(), {}
        self.sent, self.freeze_patterns = 0, {}
        self.frame_s = self.byte_s = self.http_s = (
            0.0  # s of CPU time of a daemon: each frame, byte, HTTP request
        )

    def frame_cost(self, frame):
        return self.frame_s + self.byte_s * len(frame)

    def freeze_before_send(self, node, frame):
        """Whether this send has to wait. A node set to freeze between a check and a send is paused at
        its first message that contains the pattern; that message and later ones wait."""
        pattern_and_event = self.freeze_patterns.get(node.name)
        if pattern_and_event is None:
            return False
        if node.awake and pattern_and_event[0] in frame:
            node.pause()
            pattern_and_event[1].set()
        return not node.awake

    def later(self, delay, function, *args):
        """Calls a function of the network itself after `delay` seconds, in no node's context."""
        self.loop.call_at(
            self.loop.time() + delay, self.outside, function, args, context=self.outside_context
        )

    def outside(self, function, args):
        function(*args)

    def delay(self, source, target):
        """Seconds that a message takes between two machines: one in 500 takes 0.2 s longer."""
        self.sent += 1
        seconds = 0.0001 if source == target else 0.0003 + 0.0007 * self.rng.random()
        if source != target and self.rng.random() < 0.002:
            seconds += 0.2
        return seconds + self.slow.get(source, 0.0) + self.slow.get(target, 0.0)

    def is_cut(self, source, target):
        return source != target and (
            (source, target) in self.cuts or source in self.dark or target in self.dark
        )

    def cut(self, source, target, *, both=True):
        self.cuts.add((source, target))
        if both:
            self.cuts.add((target, source))

    def heal(self):
        self.cuts.clear()

    async def dial(self, node, addr):
        machine = self.home.get(addr, "")
        await asyncio.sleep(self.delay(node.machine, machine))
        for _ in range(100):
            if not self.is_cut(node.machine, machine) and not self.is_cut(machine, node.machine):
                break
            await asyncio.sleep(RETRY)
        else:
            raise TimeoutError
        port = self.ports.get(addr)
        if port is None or not port[0].alive:
            raise ConnectionRefusedError(addr)
        listener, on_connection = port
        near_end, far_end = (
            SimWire(net=self, node=node, peer_machine=machine),
            SimWire(net=self, node=listener, peer_machine=node.machine),
        )
        near_end.far_end, far_end.far_end = far_end, near_end
        node.wires.append(near_end)
        listener.wires.append(far_end)
        listener.run(on_connection(far_end))
        return near_end

    def down(self, node, *, silent):
        """Closes the ports of an ended process. Its wires are reset, unless `silent`."""
        for addr in [address for address, port in self.ports.items() if port[0] is node]:
            del self.ports[addr]
        for addr in [address for address, port in self.http_listeners.items() if port[0] is node]:
            del self.http_listeners[addr]
        for wire in node.wires:
            if wire.open and not silent:
                wire.close()
            wire.open = False

    def down_wires(self, node):
        """Resets every wire of a node whose process goes on."""
        for wire in node.wires:
            wire.close()

    async def http(self, *, machine, method, addr, path, body, wait, headers=None):
        """Sends one HTTP request from a machine; the daemon's own handler serves it. A body of bytes is
        sent unchanged, any other as JSON. Returns (status, body, headers) or a Failure."""
        from ..mast import Call

        server_machine, answer = self.home.get(addr, ""), self.loop.create_future()
        parts = path.split("?", 1)
        query = dict(value.split("=", 1) for value in parts[1].split("&")) if len(parts) > 1 else {}
        if not isinstance(body, bytes):
            body = b"" if body is None else json.dumps(body).encode()
        sent_headers = {"host": addr, "content-type": "application/json"} | {
            name.lower(): str(value) for name, value in (headers or {}).items()
        }
        call = Call(
            method=method,
            path=parts[0],
            query=query,
            body=body,
            headers=sent_headers,
            ctype=sent_headers["content-type"].split(";")[0].strip(),
        )
        retries_and_cancel = [0, lambda: None]

        def send_reply(reply):
            def deliver_reply():
                if self.is_cut(server_machine, machine):
                    retries_and_cancel[0] += 1
                    if retries_and_cancel[0] < 50:
                        self.later(RETRY, deliver_reply)
                elif not answer.done():
                    answer.set_result((reply.status, shown(reply.body), reply.headers))

            self.later(self.delay(server_machine, machine), deliver_reply)

        def deliver_request():
            if answer.done():
                return
            if self.is_cut(machine, server_machine):
                retries_and_cancel[0] += 1
                if retries_and_cancel[0] < 50:
                    self.later(RETRY, deliver_request)
                return
            listener = self.http_listeners.get(addr)
            if listener is None or not listener[0].alive:
                answer.set_result(CircuitDown(addr=addr))
                return
            node, take = listener
            node.http.append(answer)

            def handle():
                node.owed_s += self.http_s
                retries_and_cancel[1] = take(call=call, callback=send_reply)

            self.loop.call_soon(handle, context=node.ctx)

        self.later(self.delay(machine, server_machine), deliver_request)
        try:
            return await asyncio.wait_for(asyncio.shield(answer), wait)
        except TimeoutError:
            return Late(op=path)
        finally:
            if not answer.done():
                answer.set_result(Unsure(why="gone"))
            retries_and_cancel[1]()

    def face(self, node):
        return NodeNetwork(net=self, node=node)


class NodeNetwork:
    """The network interface that the daemons of one node use."""

    def __init__(self, *, net, node):
        self.net, self.node = net, node

    async def dial(self, *, addr):
        from ..base import constants

        return await asyncio.wait_for(self.net.dial(self.node, addr), constants.CONNECT_TIMEOUT)

    async def listen(self, *, addr, on_connection):
        self.net.ports[addr] = (self.node, on_connection)
        return Port(net=self.net, addr=addr)

    def dial_http(self):
        """Its presence tells daemons that this network serves HTTP without an HTTP listener."""

    def serve_http(self, *, addr, take):
        self.net.http_listeners[addr] = (self.node, take)


class SimWeb:
    """The HTTP client of a simulated worker or client on one machine."""

    def __init__(self, *, net, machine):
        self.net, self.machine = net, machine

    async def ask(self, *, method, addr, path, body=None, wait=5.0, headers=None):
        return await self.net.http(
            machine=self.machine, method=method, addr=addr, path=path, body=body, wait=wait, headers=headers
        )

    async def close(self):
        pass


__all__ = ["SimNet", "SimWeb", "NODE"]
