"""The bounds of an HTTP listener on loopback: more connections than it hold, slow clients, and more bytes of
bodies than it holds. Meanwhile worker reports are served; a refused client is told at once, with a
Retry-After, and none is left without an answer. The tests wait for answers, not for times."""

import asyncio
import contextlib

import aiohttp
import pytest

from hollowhall.base import connections
from hollowhall.base.doors import HttpListener, Reply
from hollowhall.base.limits import Bounds, ClientLimits
from hollowhall.base.seam import Runtime
from hollowhall.tools.fleet.fleet import free_ports

CARD = {
    "id": "m1",
    "addr": "127.0.0.1:7001",
    "role": "mast",
    "http": "127.0.0.1:7002",
    "seeds": ["127.0.0.1:7101"],
}
HALF_HEADER = b"GET /v1/jobs HTTP/1.1\r\nHost: h\r\nX-Slow: "  # an incomplete header
REQUEST = b"GET /v1/jobs HTTP/1.1\r\nHost: h\r\n\r\n"


@contextlib.asynccontextmanager
async def open_listener(*, take=None, **settings):
    def answer(*, call, callback):
        callback(Reply(status=200, body={"n": len(call.body)}))
        return lambda: None

    settings = {"bounds": Bounds(), "patience": ClientLimits} | settings
    listener = HttpListener(
        runtime=Runtime(),
        addr=f"127.0.0.1:{free_ports(1)[0]}",
        handler=take or answer,
        max_body_bytes=1 << 20,
        first=lambda method, path: path.startswith("/v1/workers"),
        too_large=lambda n: Reply(status=413, body={"limit": n}),
        full=lambda x: Reply(status=503, body={"where": x}, headers={"Retry-After": "1"}),
        **settings,
    )
    await listener.open()
    try:
        yield listener
    finally:
        await listener.close()


async def connect(listener, text):
    reader, writer = await asyncio.open_connection(*listener.addr.split(":"))
    writer.write(text)
    return reader, writer


async def report(session, listener, body=b"x" * 2000):
    start = asyncio.get_running_loop().time()
    async with session.post(f"http://{listener.addr}/v1/workers/w1/beat", data=body) as response:
        return response.status, asyncio.get_running_loop().time() - start


async def reply(reader):
    """(status, headers) of the next answer, or None if the connection was closed without one."""
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(lines[0].split()[1]), dict(line.lower().split(": ", 1) for line in lines[1:] if line)


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 30))


def flood(**kw):
    """300 slow clients of a listener for 75 connections and 25 with priority, and a report after every ten of
    them. Returns the most connections held, (status, seconds) of the reports, the clients' answers, and the
    bytes of bodies left at the end."""
    seen = {}

    async def scenario():
        async with (
            open_listener(bounds=Bounds(clients=75, priority=25), **kw) as listener,
            aiohttp.ClientSession() as session,
        ):
            most, reports, clients = 0, [], []
            for number in range(300):
                clients.append(await connect(listener, HALF_HEADER))
                if number % 10 == 9:
                    reports.append(await report(session, listener))
                most = max(most, len(listener.connections.all))
            for _, writer in clients:
                with contextlib.suppress(ConnectionError):
                    writer.write(b"1\r\n\r\n")
            answers = await asyncio.gather(*(reply(reader) for reader, _ in clients))
            seen.update(most=most, reports=reports, got=answers, left=listener.connections.bytes)
            for _, writer in clients:
                writer.close()

    run(scenario)
    return seen


def test_slow_clients_beyond_the_bound_cost_no_report():
    seen = flood()
    assert seen["most"] <= 100 and seen["left"] == 0
    assert {status for status, _ in seen["reports"]} == {200} and max(
        seconds for _, seconds in seen["reports"]
    ) < 2
    answers = seen["got"]  # each was served, refused with a Retry-After, or closed
    assert sum(answer is not None and answer[0] == 200 for answer in answers) >= 60
    refused = [answer for answer in answers if answer is not None and answer[0] != 200]
    assert refused and all(
        answer[0] == 503 and answer[1]["retry-after"] == "1" and answer[1]["connection"] == "close"
        for answer in refused
    )


def test_a_listener_without_bounds_is_detected(monkeypatch):
    monkeypatch.setattr(
        connections.Connections,
        "added",
        lambda self, connection: (
            self.all.setdefault(connection, True),
            self.set_state(connection=connection, state="waiting"),
        ),
    )
    assert flood()["most"] > 250


def test_a_connection_that_is_quiet_makes_room_for_a_new_one(monkeypatch):
    monkeypatch.setattr(connections.constants, "IDLE_MIN", 0.0)

    async def scenario():
        async with open_listener(bounds=Bounds(clients=4, priority=2)) as listener:
            old = [await connect(listener, REQUEST) for _ in range(4)]
            assert [(await reply(reader))[0] for reader, _ in old] == [200] * 4
            new = [await connect(listener, REQUEST) for _ in range(2)]
            assert [(await reply(reader))[0] for reader, _ in new] == [200] * 2
            for number, (reader, writer) in enumerate(old):  # the two that were idle the longest are closed
                await reader.readexactly(8)  # {"n": 0}
                if number >= 2:
                    writer.write(REQUEST)
                assert (await reply(reader) is None) == (number < 2)
            assert listener.connections.counts["dropped"] == 2 and len(listener.connections.all) == 4

    run(scenario)


@pytest.mark.parametrize(
    "text, patience",
    [
        (b"", ClientLimits(idle_s=0.1)),
        (HALF_HEADER, ClientLimits(header_s=0.1)),
        (b"POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\nx", ClientLimits(body_s=0.1)),
        (HALF_HEADER + b"x" * 3000, ClientLimits(head_bytes=2000)),
    ],
)
def test_slow_and_idle_clients_are_closed(text, patience):
    async def scenario():
        async with open_listener(patience=lambda: patience) as listener:
            reader, writer = await connect(listener, text)
            assert await reply(reader) is None and listener.connections.counts["late"] == 1
            writer.close()
            assert listener.connections.bytes == 0 and not listener.connections.all

    run(scenario)


def head(length, path="/v1/jobs"):
    return f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n".encode()


def test_bodies_in_flight_are_bounded_and_refused_by_their_header():
    callbacks = []

    def hold(*, call, callback):
        if call.path.startswith("/v1/workers"):
            callback(Reply(status=200, body={}))
        else:
            callbacks.append(callback)
        return lambda: None

    async def scenario():
        async with (
            open_listener(take=hold, bounds=Bounds(bodies=300_000)) as listener,
            aiohttp.ClientSession() as session,
        ):
            clients = [await connect(listener, head(100_000) + b"x" * 100_000) for _ in range(3)]
            while len(callbacks) < 3:
                await asyncio.sleep(0)
            assert listener.connections.bytes == 300_000
            for _ in range(20):  # refused by the header: no body was sent
                reader, writer = await connect(listener, head(100_000))
                status, headers = await reply(reader)
                assert (status, headers["retry-after"], headers["connection"]) == (503, "1", "close")
                writer.close()
            reader, writer = await connect(
                listener,
                b"POST /v1/jobs HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nxxxxx\r\n",
            )
            assert (await reply(reader))[0] == 503  # its header gives no length
            writer.close()
            reader, writer = await connect(listener, head(2 << 20))
            assert (await reply(reader))[0] == 413
            writer.close()
            assert (await report(session, listener, body=b"x" * 200_000))[0] == 200
            for answer in callbacks:
                answer(Reply(status=200, body={}))
            assert [(await reply(reader))[0] for reader, _ in clients] == [200] * 3
            for _, writer in clients:
                writer.close()
            reader, writer = await connect(listener, head(100_000) + b"x" * 100_000)
            while len(callbacks) < 4:
                await asyncio.sleep(0)
            writer.close()  # a client that disconnects releases its memory
            while listener.connections.bytes:
                await asyncio.sleep(0)

    run(scenario)


def test_a_connection_that_was_let_go_is_not_kept_again():
    """A handler that starts after its connection was closed must not register the connection again."""

    async def scenario():
        async with open_listener(patience=lambda: ClientLimits(body_s=0.1)) as listener:
            reader, writer = await connect(listener, b"")
            while not listener.connections.all:
                await asyncio.sleep(0)
            connection = next(iter(listener.connections.all))
            listener.connections.evict(connection=connection, why="dropped")
            for state in (connections.BODY, connections.HEAD, connections.WAITING):
                listener.connections.set_state(connection=connection, state=state)
            assert not any(listener.connections.by_state.values()) and await reply(reader) is None
            writer.close()

    run(scenario)


def test_a_client_that_asks_before_it_sends_is_told():
    async def scenario():
        request = head(9)[:-2] + b"Expect: 100-continue\r\n\r\n"
        async with open_listener(bounds=Bounds(bodies=10)) as listener:
            reader, writer = await connect(listener, request)
            assert (await reply(reader))[0] == 100
            writer.write(b"x" * 9)
            assert (await reply(reader))[0] == 200
            writer.close()
            reader, writer = await connect(listener, request.replace(b" 9\r", b" 9999999\r"))
            assert (await reply(reader))[0] == 413
            writer.close()

    run(scenario)
