"""Settings are validated before a socket opens, and every invalid key is named."""

import subprocess
import sys

import pytest

from hollowhall.base.params import check
from hollowhall.base.problems import Raised

GOOD = {
    "id": "desk-1",
    "addr": "127.0.0.1:7001",
    "role": "desk",
    "seeds": ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"],
}


def test_valid_settings_are_accepted():
    settings = check(GOOD)
    assert settings.id == "desk-1" and len(settings.seeds) == 3


@pytest.mark.parametrize(
    "change, key",
    [
        ({"addr": "localhost:1"}, "addr"),
        ({"addr": "127.0.0.1:70000"}, "addr"),
        ({"seeds": ["10.0.0.300:1"]}, "seeds.0"),
        ({"colour": "red"}, "colour"),
        ({"id": "a b"}, "id"),
        ({"shed_at": "many"}, "shed_at"),
        ({"ring_bytes": 1}, "ring_bytes"),
        ({"snap_every": 1}, "snap_every"),
        ({"role": "almanac"}, "data"),
        ({"role": "mast"}, "http"),
        ({"memory_mb": 1}, "memory_mb"),
        ({"memory_mb": 200.5}, "memory_mb"),
        ({"descriptors": 10}, "descriptors"),
    ],
)
def test_invalid_settings_name_their_key(change, key):
    with pytest.raises(Raised) as raised:
        check(GOOD | change)
    assert key in [name for name, _ in raised.value.failure.errors]


def test_the_program_exits_with_2_and_names_the_keys():
    process = subprocess.run(
        [sys.executable, "-m", "hollowhall", "desk", "--id", "d", "--addr", "1.2.3.4:0"],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert process.returncode == 2
    assert "addr" in process.stderr and "seeds" in process.stderr
