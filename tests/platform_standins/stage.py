"""A simulated place for the stand-ins, without daemons: the loop of virtual time, a network,
one history. Tests put doors on it that answer as they are told, and workers, clients and
operators that ask them. Every one of them sits on a machine of its own."""

import asyncio
import contextvars
import random

from hollowhall.mast import Reply
from hollowhall.sim.loop import Node, SimLoop
from hollowhall.sim.net import SimNet, SimWeb
from hollowhall.standins.history import History

from .balancer import Balancer
from .bounds import Bounds
from .clients import Client
from .operators import Operator
from .registry import Registry
from .workers import Worker

BASE_MS = 1_780_000_000_000  # ms; the true time at the start


class Stage:
    def __init__(self, *, seed=1, loop=None, net=None, hist=None, bounds=None):
        self.rng = random.Random(seed)
        self.loop = loop or SimLoop()
        self.net = net or SimNet(loop=self.loop, rng=random.Random(seed * 7 + 1))
        if net is None:
            self.net.outside_context = contextvars.copy_context()
        self.hist = hist or History(now=self.true_ms)
        self.bounds, self.registry = bounds or Bounds(), Registry()
        self.workers, self.nodes, self.controls = {}, {}, []
        self.balancer = Balancer(web=self.web("platform"))

    def true_ms(self):
        return BASE_MS + self.loop.virtual_time * 1000

    def web(self, machine):
        return SimWeb(net=self.net, machine=machine)

    def draw(self):
        return random.Random(self.rng.getrandbits(60))

    def node(self, name, machine):
        n = Node(name=name, machine=machine, loop=self.loop)
        n.http = []
        self.nodes[name] = n
        return n

    def serve(self, addr, machine, take):
        """Doors at an address, as a daemon on that machine has them."""
        self.net.home[addr] = machine
        node = self.nodes.get(machine) or self.node(machine, machine)
        self.net.face(node).serve_http(addr=addr, take=take)
        self.hist.note("daemon", addr=addr, m=machine)
        return node

    def add_worker(self, id, *, service="tiles", zone="z1", rack="r1", capacity=(16000, 32768, 0), **kw):
        node = self.node(id, "w-" + id)
        w = Worker(
            id=id,
            service=service,
            zone=zone,
            rack=rack,
            capacity=capacity,
            web=self.web("w-" + id),
            daemons=kw.pop("daemons", lambda: self.controls),
            registry=self.registry,
            hist=self.hist,
            rng=self.draw(),
            loop=self.loop,
            bounds=self.bounds,
            **kw,
        )
        self.workers[id] = w
        node.run(w.live())
        return w

    def crash(self, id):
        """A worker's machine is gone; what comes back has another id."""
        self.workers.pop(id).crash()
        node = self.nodes.pop(id)
        self.loop.call_soon(node.kill)

    def client(self, name, *, queue, zone="z1", pick=None, **kw):
        return Client(
            name=name,
            zone=zone,
            queue=queue,
            web=self.web("c-" + name),
            pick=pick or self.balancer.pick,
            registry=self.registry,
            hist=self.hist,
            rng=self.draw(),
            loop=self.loop,
            **kw,
        )

    def operator(self, name, **kw):
        return Operator(
            name=name,
            web=self.web("o-" + name),
            hist=self.hist,
            rng=self.draw(),
            daemons=kw.pop("daemons", lambda: self.controls),
            loop=self.loop,
            bounds=self.bounds,
            **kw,
        )

    def rows(self, ev, **d):
        return [r for r in self.hist.rows if r["ev"] == ev and all(r.get(k) == v for k, v in d.items())]

    def run(self, co, *, limit=600.0):
        """Plays a scenario in virtual time."""

        async def go():
            return await asyncio.wait_for(co, limit)

        asyncio.set_event_loop(self.loop)
        try:
            return self.loop.run_until_complete(go())
        finally:
            for n in self.nodes.values():
                n.kill()
            self.loop.over = True
            asyncio.set_event_loop(None)


class Script:
    """A door that answers as a test says: `reply(call)` gives a Reply, (s, Reply) for one
    that takes its time, or None for silence. Every call is kept."""

    def __init__(self, *, loop, reply):
        self.loop, self.reply, self.calls = loop, reply, []

    def take(self, *, call, callback):
        self.calls.append((self.loop.time(), call))
        r = self.reply(call)
        if isinstance(r, tuple):
            self.loop.call_later(r[0], callback, r[1])
        elif r is not None:
            callback(r)
        return lambda: None


def ok(**v):
    return Reply(status=200, body=v)
