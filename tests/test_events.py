"""The events in the code and their catalogue in the docs are the same, and every
constant states its unit and reason."""

import pathlib
import re

from hollowhall.base import events as E

ROOT = pathlib.Path(__file__).parent.parent


def test_the_catalogue_is_the_code():
    text = (ROOT / "docs/events.md").read_text()
    rows = dict(re.findall(r"^\| HH(\d+) \| \w+ \| ([^|]+?) \|", text, re.M))
    assert rows == {str(n): e.text for n, e in E.ALL.items()}


def test_every_event_is_used():
    names = {a for a, e in vars(E).items() if isinstance(e, E.Event)}
    code = "".join(p.read_text() for p in (ROOT / "hollowhall").rglob("*.py"))
    assert [a for a in sorted(names) if f"E.{a}" not in code] == []


def test_constants_have_unit_and_reason():
    files = [ROOT / "hollowhall/base" / name for name in ("consts.py", "scheduling.py")]
    lines = [line for path in files for line in path.read_text().splitlines()]
    bare = [x for x in lines if re.match(r"^[A-Z_]+ = ", x) and "#" not in x]
    assert bare == ["MAX_LOGICAL = 1 << LOGICAL_BITS"]


def test_no_file_is_over_250_lines():
    long = [
        str(p)
        for d in ("hollowhall", "tests", "docs")
        for p in (ROOT / d).rglob("*")
        if p.suffix in (".py", ".md") and len(p.read_text().splitlines()) > 250
    ]
    assert long == []
