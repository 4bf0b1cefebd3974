"""A request whose body is still arriving when the HTTP listener closes gets its answer, and the listener
closes soon after; idle connections do not delay it."""

import asyncio

from hollowhall.base.doors import HttpListener, Reply
from hollowhall.base.seam import Runtime

REQ = b"POST /q/0123456789abcdef HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n"


def test_a_body_half_here_when_the_door_shuts():
    async def go():
        def take(*, call, callback):
            callback(Reply(status=503, body={"len": len(call.body)}))
            return lambda: None

        listener = HttpListener(
            runtime=Runtime(),
            addr="127.0.0.1:0",
            handler=take,
            max_body_bytes=1 << 20,
            too_large=lambda n: Reply(status=413, body={}),
            full=lambda where: Reply(status=503, body={}),
        )
        await listener.open()
        port = listener.server.sock.getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        idle_reader, idle_writer = await asyncio.open_connection("127.0.0.1", port)  # idle, kept alive
        writer.write(REQ + b"x" * 1000)
        while not listener.requests_in_progress:
            await asyncio.sleep(0)
        closing = asyncio.ensure_future(listener.close())
        while not listener.shutting_down:
            await asyncio.sleep(0)
        writer.write(b"x" * 2000)  # the other two segments
        try:
            answer = await asyncio.wait_for(reader.read(200), 1.5)
        except TimeoutError:
            answer = b"(nothing for 1.5 s)"
        ended = True
        try:
            await asyncio.wait_for(asyncio.shield(closing), 2)
        except TimeoutError:
            ended = False
        closing.cancel()
        writer.close()
        idle_writer.close()
        return answer, ended

    answer, ended = asyncio.run(go())
    assert answer.startswith(b"HTTP/1.1 503") and ended, (answer, ended)
