"""The adapter's translation of configurations: every fault reported, read back as written, changes by name."""

import json

import pytest
import tables
from test_platform_translation import CONFIG, ROUTE

from hollowhall.base import problems as P


def faults(config):
    with pytest.raises(P.Raised) as raised:
        tables.read_config(config)
    return {field for field, _ in raised.value.failure.errors}


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
            tables.parse_object(text)


def charter(config):
    return {"chosen": config["revision"], **vars(tables.read_config(config))}


def test_a_configuration_is_given_back_as_it_was_written():
    odd = CONFIG | {"routeTable": [ROUTE | {"unknown": [1]}], "more": {"a": 1}}
    assert tables.whole_config(charter(odd)) == odd


def test_changes_by_name():
    other = ROUTE | {"name": "r-2", "pathPrefix": "/z/"}
    new = ROUTE | {"timeoutMs": 9}
    config = tables.merged(
        charter(CONFIG | {"routeTable": [ROUTE, other]}),
        {
            "revision": 8,
            "upsert": {"routeTable": [new, ROUTE | {"name": "r-3", "pathPrefix": "/y/"}]},
            "withdraw": {"routeTable": ["r-2", "nobody"]},
        },
    )
    assert config["revision"] == 8 and [row["name"] for row in config["routeTable"]] == ["r-1", "r-3"]
    assert config["routeTable"][0] == new and config["serviceTable"] == CONFIG["serviceTable"]
    with pytest.raises(P.Raised):
        tables.merged(charter(CONFIG), {"revision": 8, "upsert": {"routeTable": [3]}})


@pytest.mark.parametrize("word", ["NaN", "Infinity", "-Infinity", "1e999"])
def test_a_word_that_is_no_json_is_refused(word):
    # Rule CONFIG: such a configuration was acknowledged, and GET /config then answered invalid JSON.
    body = json.dumps(CONFIG).replace('"guards": true', f'"guards": true, "warmupS": {word}')
    assert word in body
    with pytest.raises(P.Raised) as raised:
        tables.parse_object(body)
    assert isinstance(raised.value.failure, P.BadInput)
