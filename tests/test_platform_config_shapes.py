"""Configurations of odd shapes, as an operator's broken tool may send them: each is answered,
and none ends the process; a table that is none, or limits that no daemon can read, are refused."""

import asyncio
import json
import pathlib
import sys

import pytest

from hollowhall.base.circuit import pack
from hollowhall.base.doors import Call
from hollowhall.base.problems import Success

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "platform"))

from control import Control

GOOD = {
    "revision": 7,
    "routeTable": [
        {"name": "a", "hostName": "h", "pathPrefix": "/p/", "timeoutMs": 10, "targetService": "s"}
    ],
    "serviceTable": [{"name": "s"}],
    "limits": {},
}


class Desk:
    """Takes every edit, as a store would: what cannot be packed breaks there."""

    async def store(self, *, op, request, **kw):
        pack(request)
        return Success(value={"chosen": 5, "rows": {}, "kinds": {}, "notes": {}})


class Hall:
    desk = Desk()


def status(method, body, base="5"):
    got, c = [], Control(hall=Hall(), addr="1.1.1.1:1")
    asyncio.run(
        c.config(Call(method=method, path="/config", body=body, headers={"if-match": base}), got.append)
    )
    return got[0].status


def var(**kw):
    return json.dumps(GOOD | kw).encode()


BIG = json.dumps(GOOD).replace('"timeoutMs": 10', '"timeoutMs": ' + "9" * 30).encode()


@pytest.mark.parametrize(
    "method, body, base",
    [
        ("PUT", var(revision=10**25), "5"),
        ("PUT", BIG, "5"),
        ("PUT", var(note="\ud800"), "5"),
        ("PUT", json.dumps(GOOD).encode(), "\u00b2"),
        ("PUT", json.dumps(GOOD).encode(), "9" * 30),
        ("PUT", var(note="x").replace(b'"x"', b"9" * 5000), "5"),
        ("PUT", var(x=json.loads("[" * 90 + "]" * 90)), "5"),
        ("PUT", b"[" * 800 + b"]" * 800, "5"),
        ("PUT", json.dumps(GOOD).encode()[:-1] + b', "x": ' + b"[" * 700 + b"]" * 700 + b"}", "5"),
        ("PUT", json.dumps(GOOD).encode()[:-1] + b', "x": ' + b"[" * 950 + b"]" * 950 + b"}", "5"),
        ("PATCH", json.dumps({"revision": 9, "upsert": {"routeTable": [None]}}).encode(), "5"),
        ("PATCH", json.dumps({"revision": [], "upsert": {"routeTable": {}}}).encode(), "5"),
        ("PATCH", json.dumps({"revision": 9, "withdraw": {"routeTable": 5}}).encode(), "5"),
        ("PATCH", json.dumps({"revision": 9, "upsert": {"routeTable": [{"name": "q"}]}}).encode(), "5"),
        ("PATCH", json.dumps({"revision": 10**30, "upsert": {}}).encode(), "4"),
        ("PUT", var(routeTable=[[]]), "5"),
        ("PUT", var(routeTable=[5]), "5"),
        ("PUT", var(serviceTable=[{"name": None}]), "5"),
        ("PUT", json.dumps(GOOD).encode().replace(b'"a"', b'"\xff"'), "5"),
        ("PUT", b"", "5"),
        ("PUT", b"\xff\xfe", "5"),
    ],
)
def test_ends_in_an_answer(method, body, base):
    assert status(method, body, base) >= 200


@pytest.mark.parametrize(
    "body",
    [
        var(routeTable=""),
        var(routeTable=0),
        var(routeTable=False),
        var(serviceTable={}, routeTable={}),
        var(limits=None),
        var(limits=[]),
        var(limits={"maxBodyBytes": "x"}),
        var(limits={"maxBodyBytes": -1}),
        json.dumps({"revision": 7}).encode(),
    ],
)
def test_a_table_that_is_none_is_refused(body):
    assert status("PUT", body) == 400


@pytest.mark.parametrize(
    "change",
    [
        {"upsert": []},
        {"upsert": {"routeTable": {}}},
        {"withdraw": {"routeTable": 0}},
        {"withdraw": 5},
        {"withdraw": {"routeTable": [7]}},
    ],
)
def test_a_change_whose_lists_are_none_is_refused(change):
    assert status("PATCH", json.dumps({"revision": 9} | change).encode()) == 400


def test_what_is_well_formed_is_taken():
    assert status("PUT", var(limits={"idleTimeoutMs": 0, "maxBodyBytes": 0})) == 200  # none
    assert status("PUT", var()) == 200 and status("PUT", var(routeTable=[], serviceTable=[])) == 200
    assert (
        status("PATCH", json.dumps({"revision": 9, "upsert": {"serviceTable": [{"name": "t"}]}}).encode())
        == 200
    )
