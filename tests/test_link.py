"""A connection whose peer accepts it and never sends its hello, as a frozen process does, is closed again.
Otherwise each second of a freeze would cost both sides a descriptor."""

import asyncio

from test_hall import ControllerWorld, all_members_up

from hollowhall.base.circuit import RpcClient


def test_a_handshake_without_answer_closes_its_connection():
    world = ControllerWorld(seed=1, count=3)

    async def go():
        world.start_all()
        await world.until(all_members_up(world, 3))
        daemon = world.halls()[0].store
        opened = []

        class Wire:
            """Accepts what is sent and never receives anything."""

            def __init__(self):
                self.is_closed = False
                opened.append(self)

            def send(self, frame):
                return True

            async def recv(self):
                await asyncio.sleep(1e6)

            def close(self):
                self.is_closed = True

        class Net:
            """A network on which every connection is a silent Wire."""

            async def dial(self, *, addr):
                return Wire()

        daemon.runtime.net = Net()
        RpcClient(host=daemon, addr="10.9.9.9:7000")
        await asyncio.sleep(20)
        count = len(opened)
        await asyncio.sleep(3)
        assert count > 5 and all(wire.is_closed for wire in opened[:count]), sum(
            not wire.is_closed for wire in opened[:count]
        )

    world.run(go())
