"""A connection whose peer takes it in and never says hello, as a frozen one does, is closed
again: else a freeze costs both sides one more descriptor each second."""

import asyncio

from test_hall import Halls, up

from hollowhall.base.circuit import Link


def test_a_handshake_without_answer_closes_its_connection():
    w = Halls(seed=1, n=3)

    async def go():
        w.start_all()
        await w.until(up(w, 3))
        d = w.halls()[0].store
        opened = []

        class Wire:
            def __init__(self):
                self.shut = False
                opened.append(self)

            def send(self, b):
                return True

            async def recv(self):
                await asyncio.sleep(1e6)

            def close(self):
                self.shut = True

        class Net:
            async def dial(self, *, addr):
                return Wire()

        d.seam.net = Net()
        Link(host=d, addr="10.9.9.9:7000")
        await asyncio.sleep(20)
        n = len(opened)
        await asyncio.sleep(3)
        assert n > 5 and all(x.shut for x in opened[:n]), sum(not x.shut for x in opened[:n])

    w.run(go())
