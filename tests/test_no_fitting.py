"""Nothing that decides knows a deployment, a kind of request, a day or a bench by name: what adapts,
adapts to what it observes."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
DECIDES = ("hollowhall/almanac", "hollowhall/base", "hollowhall/desk", "hollowhall/hall")
DECIDES += ("hollowhall/mast", "hollowhall/record", "platform", "deploy/system.toml")
NAMES = re.compile(
    r"cymylau|mandina|memoria|gardemanger|garde-manger|inventaire|reappro|peremption|tablette|tile-cut"
    r"|composite-rebuild|hail-classify|feed-watch|cell-track|fuzzy-lookup|memory-merge|pretrans|quiet-\d"
    r"|trouble-\d|scale-\d|fleetbench",
    re.I,
)


def files():
    for name in DECIDES:
        path = ROOT / name
        yield from sorted(path.rglob("*.py")) if path.is_dir() else [path]


def named(text):
    return sorted({m.group(0).lower() for m in NAMES.finditer(text)})


@pytest.mark.parametrize("path", list(files()), ids=lambda p: str(p.relative_to(ROOT)))
def test_no_name_of_a_deployment_in_what_decides(path):
    assert named(path.read_text()) == []


def test_a_planted_name_is_caught():
    assert named('if lane == "plan-reappro" and day == "trouble-3":') == ["reappro", "trouble-3"]
