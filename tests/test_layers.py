"""The layers, read from the imports in the syntax tree, late imports inside functions
included: no file imports against them, and no files or rooms of the tools import each
other in a ring. What is excused is named here, with the reason."""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
# A package and those it may import. The checker shares nothing with what it judges.
BELOW = {"base": set(), "record": {"base"}, "check": set()}
BELOW |= {a: {"base", "record"} for a in ("almanac", "desk", "mast", "standins")}
BELOW["hall"] = {"base", "record", "almanac", "desk"}  # both as one process
BELOW["sim"] = set(BELOW)
BELOW["explore"] = {"base", "record", "almanac", "sim"}  # the model of the store
BELOW["tools"] = set(BELOW)
BELOW |= {"cli": {"tools", "explore", ""}, "__main__": {"cli"}, "": set()}


def module(path):
    p = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(p[:-1] if p[-1] == "__init__" else p)


FILES = sorted((ROOT / "hollowhall").rglob("*.py"))
TREES = {module(f): ast.parse(f.read_text()) for f in FILES}
PACKAGES = {module(f) for f in FILES if f.name == "__init__.py"}


def known(name, trees):
    """The module that a dotted name is, or is in."""
    while name and name not in trees:
        name = name.rpartition(".")[0]
    return name


def targets(name, tree, trees):
    """The modules of ours that one imports."""
    here = name.split(".") if name in PACKAGES else name.split(".")[:-1]
    for n in ast.walk(tree):
        if isinstance(n, ast.Import):
            full = [a.name for a in n.names]
        elif isinstance(n, ast.ImportFrom):
            base = here[: len(here) - n.level + 1] if n.level else []
            base = ".".join(base + ([n.module] if n.module else []))
            full = [f"{base}.{a.name}" for a in n.names]
        else:
            continue
        yield from (k for k in (known(x, trees) for x in full) if k)


def imports(trees):
    return {(a, b) for a, t in trees.items() for b in targets(a, t, trees)}


def layer(name):
    return (name.split(".") + [""])[1]


def against(trees):
    """Imports that run against the layers."""
    return sorted(
        (a, b)
        for a, b in imports(trees)
        if layer(a) != layer(b) and layer(b) not in BELOW.get(layer(a), set())
    )


def rings(edges):
    """All that import themselves by way of others."""
    out, reach = {}, {}
    for a, b in edges:
        out.setdefault(a, set()).add(b)
    for a in out:
        todo, seen = [a], set()
        while todo:
            new = out.get(todo.pop(), set()) - seen
            seen |= new
            todo += new
        reach[a] = seen
    return sorted(a for a in reach if a in reach[a])


def rings_of_files(trees):
    return rings(imports(trees))


def rings_of_rooms(trees):
    """Of the tools' packages, and run.py, which stands by itself."""
    room = {a: ".".join(a.split(".")[:3]) for a in trees if layer(a) == "tools"}
    return rings(
        {(room[a], room[b]) for a, b in imports(trees) if a in room and b in room and room[a] != room[b]}
    )


@pytest.mark.parametrize("look", [against, rings_of_files, rings_of_rooms])
def test_imports_follow_the_layers(look):
    assert look(TREES) == []


def test_every_package_stands_in_the_layers():
    assert {layer(a) for a in TREES} == set(BELOW)


def test_the_tools_are_rooms_and_the_daemons_commands():
    flat = {f.name for f in (ROOT / "hollowhall/tools").glob("*.py")}
    assert flat == {"__init__.py", "run.py"}
    bare = [
        a
        for a in PACKAGES
        if layer(a) in ("check", "standins", "sim", "tools") and not ast.get_docstring(TREES[a])
    ]
    assert bare == []


@pytest.mark.parametrize(
    "look, planted",
    [
        (against, {"base.slab": "from ..record import Record"}),
        (against, {"record.kinds": "from .. import desk"}),
        (against, {"desk.care": "import hollowhall.mast.door as d"}),
        (against, {"check.jobs": "from ..base import constants"}),
        (against, {"standins.crew": "from ..sim.world import World"}),
        (against, {"standins.crowd": "from ..desk.place import Round"}),
        (against, {"sim.net": "def late():\n    from ..tools.run import RUN"}),
        (against, {"sim.net": "from hollowhall import tools"}),
        (against, {"tools.run": "from ..cli import make"}),
        (against, {"other.new": "from ..base import constants"}),
        (rings_of_files, {"tools.plan.change": "def late():\n    from .plan import plan"}),
        (rings_of_files, {"base.slab": "from . import seam", "base.seam": "from .slab import Slab"}),
        (rings_of_rooms, {"tools.fleet.relay": "from ..plan.change import Change"}),
    ],
)
def test_the_look_itself_can_fail(look, planted):
    trees = TREES | {f"hollowhall.{a}": ast.parse(t) for a, t in planted.items()}
    assert look(trees)
