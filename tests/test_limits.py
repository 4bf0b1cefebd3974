"""The bounds of a door, reached on loopback: more connections than it keeps, slow clients,
and more bytes of bodies than it holds. Reports go through all the while, whoever is refused
hears so at once and when to come back, and nobody is left hanging. Waits are on answers."""

import asyncio
import contextlib

import aiohttp
import pytest

from hollowhall.base import connections
from hollowhall.base.doors import Door, Reply
from hollowhall.base.limits import Bounds, Patience
from hollowhall.base.seam import Seam
from hollowhall.tools.fleet.fleet import free_ports

CARD = {
    "id": "m1",
    "addr": "127.0.0.1:7001",
    "role": "mast",
    "http": "127.0.0.1:7002",
    "seeds": ["127.0.0.1:7101"],
}
HALF = b"GET /v1/jobs HTTP/1.1\r\nHost: h\r\nX-Slow: "  # of a header, and no more
WHOLE = b"GET /v1/jobs HTTP/1.1\r\nHost: h\r\n\r\n"


@contextlib.asynccontextmanager
async def door(*, take=None, **kw):
    def answer(*, call, k):
        k(Reply(status=200, body={"n": len(call.body)}))
        return lambda: None

    kw = {"bounds": Bounds(), "patience": Patience} | kw
    d = Door(
        seam=Seam(),
        addr=f"127.0.0.1:{free_ports(1)[0]}",
        take=take or answer,
        most=1 << 20,
        first=lambda method, path: path.startswith("/v1/workers"),
        too_large=lambda n: Reply(status=413, body={"limit": n}),
        full=lambda x: Reply(status=503, body={"where": x}, headers={"Retry-After": "1"}),
        **kw,
    )
    await d.open()
    try:
        yield d
    finally:
        await d.shut()


async def client(d, text):
    r, w = await asyncio.open_connection(*d.addr.split(":"))
    w.write(text)
    return r, w


async def report(s, d, body=b"x" * 2000):
    t = asyncio.get_running_loop().time()
    async with s.post(f"http://{d.addr}/v1/workers/w1/beat", data=body) as x:
        return x.status, asyncio.get_running_loop().time() - t


async def reply(r):
    """(status, headers), or None of a connection that was closed without one."""
    try:
        x = (await r.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(x[0].split()[1]), dict(a.lower().split(": ", 1) for a in x[1:] if a)


def go(scene):
    asyncio.run(asyncio.wait_for(scene(), 30))


def flood(**kw):
    """300 slow clients at a door for 75 and 25 more, and a report after every ten of them:
    (the most connections held, (status, seconds) of the reports, what became of all)."""
    out = {}

    async def scene():
        async with door(bounds=Bounds(clients=75, spare=25), **kw) as d, aiohttp.ClientSession() as s:
            most, reports, conns = 0, [], []
            for n in range(300):
                conns.append(await client(d, HALF))
                if n % 10 == 9:
                    reports.append(await report(s, d))
                most = max(most, len(d.kept.all))
            for _, w in conns:
                with contextlib.suppress(ConnectionError):
                    w.write(b"1\r\n\r\n")
            got = await asyncio.gather(*(reply(r) for r, _ in conns))
            out.update(most=most, reports=reports, got=got, left=d.kept.bytes)
            for _, w in conns:
                w.close()

    go(scene)
    return out


def test_slow_clients_beyond_the_bound_cost_no_report():
    x = flood()
    assert x["most"] <= 100 and x["left"] == 0
    assert {st for st, _ in x["reports"]} == {200} and max(t for _, t in x["reports"]) < 2
    got = x["got"]  # each was served, refused with a time to come back, or closed
    assert sum(g is not None and g[0] == 200 for g in got) >= 60
    refused = [g for g in got if g is not None and g[0] != 200]
    assert refused and all(
        g[0] == 503 and g[1]["retry-after"] == "1" and g[1]["connection"] == "close" for g in refused
    )


def test_the_version_that_keeps_all_is_told_apart(monkeypatch):
    monkeypatch.setattr(
        connections.Connections,
        "came",
        lambda self, c: (self.all.setdefault(c, True), self.to(c=c, state="waiting")),
    )
    assert flood()["most"] > 250


def test_a_connection_that_is_quiet_makes_room_for_a_new_one(monkeypatch):
    monkeypatch.setattr(connections.C, "IDLE_LEAST", 0.0)

    async def scene():
        async with door(bounds=Bounds(clients=4, spare=2)) as d:
            old = [await client(d, WHOLE) for _ in range(4)]
            assert [(await reply(r))[0] for r, _ in old] == [200] * 4
            new = [await client(d, WHOLE) for _ in range(2)]
            assert [(await reply(r))[0] for r, _ in new] == [200] * 2
            for n, (r, w) in enumerate(old):  # the two that were quiet for longest are gone
                await r.readexactly(8)  # {"n": 0}
                if n >= 2:
                    w.write(WHOLE)
                assert (await reply(r) is None) == (n < 2)
            assert d.kept.counts["dropped"] == 2 and len(d.kept.all) == 4

    go(scene)


@pytest.mark.parametrize(
    "text, patience",
    [
        (b"", Patience(idle_s=0.1)),
        (HALF, Patience(header_s=0.1)),
        (b"POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\nx", Patience(body_s=0.1)),
        (HALF + b"x" * 3000, Patience(head_bytes=2000)),
    ],
)
def test_who_keeps_the_door_waiting_is_closed(text, patience):
    async def scene():
        async with door(patience=lambda: patience) as d:
            r, w = await client(d, text)
            assert await reply(r) is None and d.kept.counts["late"] == 1
            w.close()
            assert d.kept.bytes == 0 and not d.kept.all

    go(scene)


def head(n, path="/v1/jobs"):
    return f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {n}\r\n\r\n".encode()


def test_bodies_in_flight_are_bounded_and_refused_by_their_header():
    held = []

    def keeps(*, call, k):
        if call.path.startswith("/v1/workers"):
            k(Reply(status=200, body={}))
        else:
            held.append(k)
        return lambda: None

    async def scene():
        async with door(take=keeps, bounds=Bounds(bodies=300_000)) as d, aiohttp.ClientSession() as s:
            conns = [await client(d, head(100_000) + b"x" * 100_000) for _ in range(3)]
            while len(held) < 3:
                await asyncio.sleep(0)
            assert d.kept.bytes == 300_000
            for _ in range(20):  # told by the header alone: no body was sent
                r, w = await client(d, head(100_000))
                st, h = await reply(r)
                assert (st, h["retry-after"], h["connection"]) == (503, "1", "close")
                w.close()
            r, w = await client(
                d, b"POST /v1/jobs HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nxxxxx\r\n"
            )
            assert (await reply(r))[0] == 503  # its header says nothing
            w.close()
            r, w = await client(d, head(2 << 20))
            assert (await reply(r))[0] == 413
            w.close()
            assert (await report(s, d, body=b"x" * 200_000))[0] == 200
            for k in held:
                k(Reply(status=200, body={}))
            assert [(await reply(r))[0] for r, _ in conns] == [200] * 3
            for _, w in conns:
                w.close()
            r, w = await client(d, head(100_000) + b"x" * 100_000)
            while len(held) < 4:
                await asyncio.sleep(0)
            w.close()  # a client that goes away gives its room back
            while d.kept.bytes:
                await asyncio.sleep(0)

    go(scene)


def test_a_connection_that_was_let_go_is_not_kept_again():
    """Its handler may have been about to begin."""

    async def scene():
        async with door(patience=lambda: Patience(body_s=0.1)) as d:
            r, w = await client(d, b"")
            while not d.kept.all:
                await asyncio.sleep(0)
            c = next(iter(d.kept.all))
            d.kept.let_go(c=c, why="dropped")
            for state in (connections.BODY, connections.HEAD, connections.WAITING):
                d.kept.to(c=c, state=state)
            assert not any(d.kept.slow.values()) and await reply(r) is None
            w.close()

    go(scene)


def test_a_client_that_asks_before_it_sends_is_told():
    async def scene():
        ask = head(9)[:-2] + b"Expect: 100-continue\r\n\r\n"
        async with door(bounds=Bounds(bodies=10)) as d:
            r, w = await client(d, ask)
            assert (await reply(r))[0] == 100
            w.write(b"x" * 9)
            assert (await reply(r))[0] == 200
            w.close()
            r, w = await client(d, ask.replace(b" 9\r", b" 9999999\r"))
            assert (await reply(r))[0] == 413
            w.close()

    go(scene)
