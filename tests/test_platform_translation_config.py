"""The adapter's translation of configurations: every fault named, given back as written, changes by name."""

import json

import pytest
import tables
from test_platform_translation import CONFIG, ROUTE

from hollowhall.base import problems as P


def faults(d):
    with pytest.raises(P.Raised) as e:
        tables.read_config(d)
    return {a for a, _ in e.value.problem.errors}


def test_an_invalid_configuration_names_every_fault():
    bad = [
        ROUTE | {"name": "a", "timeoutMs": 0},
        ROUTE | {"name": "b", "targetService": "no"},
        ROUTE | {"name": "c"},
        ROUTE | {"name": "c", "pathPrefix": "/z/"},
    ]
    got = faults(CONFIG | {"routeTable": [ROUTE, *bad], "revision": 0})
    assert got >= {
        "revision",
        "routeTable.1.timeoutMs",
        "routeTable.2.targetService",
        "routeTable.3.pathPrefix",
        "routeTable.4.name",
    }
    assert faults(CONFIG | {"routeTable": "x"}) == {"routeTable"}
    for text in (b'{"revision": 1, "revision": 2}', b'{"a"', b"3"):
        with pytest.raises(P.Raised):
            tables.parse(text)


def charter(d):
    return {"chosen": d["revision"], **vars(tables.read_config(d))}


def test_a_configuration_is_given_back_as_it_was_written():
    odd = CONFIG | {"routeTable": [ROUTE | {"unknown": [1]}], "more": {"a": 1}}
    assert tables.whole_config(charter(odd)) == odd


def test_changes_by_name():
    other = ROUTE | {"name": "r-2", "pathPrefix": "/z/"}
    new = ROUTE | {"timeoutMs": 9}
    d = tables.merged(
        charter(CONFIG | {"routeTable": [ROUTE, other]}),
        {
            "revision": 8,
            "upsert": {"routeTable": [new, ROUTE | {"name": "r-3", "pathPrefix": "/y/"}]},
            "withdraw": {"routeTable": ["r-2", "nobody"]},
        },
    )
    assert d["revision"] == 8 and [x["name"] for x in d["routeTable"]] == ["r-1", "r-3"]
    assert d["routeTable"][0] == new and d["serviceTable"] == CONFIG["serviceTable"]
    with pytest.raises(P.Raised):
        tables.merged(charter(CONFIG), {"revision": 8, "upsert": {"routeTable": [3]}})


@pytest.mark.parametrize("word", ["NaN", "Infinity", "-Infinity", "1e999"])
def test_a_word_that_is_no_json_is_refused(word):
    # CONFIG, review: it was acknowledged, and GET /config then answered what is no JSON
    body = json.dumps(CONFIG).replace('"guards": true', f'"guards": true, "warmupS": {word}')
    assert word in body
    with pytest.raises(P.Raised) as e:
        tables.parse(body)
    assert isinstance(e.value.problem, P.BadInput)
