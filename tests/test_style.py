"""The house style, read from the syntax tree: constants in one place with unit and reason,
arguments by keyword, our words in names, no failure as a bare string, hints at the seams
only, no sleeping test. What is excused is named here, with the reason."""

import ast
import io
import pathlib
import re
import tokenize

import pytest

ROOT = pathlib.Path(__file__).parent.parent
DAEMONS = ("base", "almanac", "desk", "mast", "record")
FILES = sorted(ROOT.glob("hollowhall/**/*.py"))
OURS = [f for f in FILES if f.parent.name in DAEMONS]
PLATFORM = sorted(ROOT.glob("platform/*.py"))
TREES = {f: ast.parse(f.read_text()) for f in FILES + PLATFORM + sorted(ROOT.glob("tests/*.py"))}

# Called by position, as all continuations are, or with an entry's fields in their order;
# what a mast's table of paths, the asyncio streams or a library calls.
BY_PLACE = {"k", "k2", "then", "back", "on", "give", "define_event", "__init__"}
PLACED = re.compile(r"^ev_")
ROUTES = ("call", "slot")
# Two of a name whose callers cannot be told apart by it, in different programs; short.
TWICE_NAMED = {
    "change",
    "full",
    "lapse",
    "load",
    "lost",
    "number",
    "put",
    "reply",
    "step",
    "unfit",
    "_put",
    "_whole",
    "count",
    "delivered",
    "next",
}
# The users' later word: names follow the standard terms of the field, and a module that is
# worked in is renamed whole. In those named here our first words (left) are not used any
# more for what the standard terms (right) say; elsewhere either may stand until its turn.
WORDS = {
    "ask": "request",
    "deliver": "forward",
    "problem": "failure",
    "requester": "client",
    "outcome": "answer",
    "charter": "configuration",
    "leg": "attempt",
    "params": "settings",
    "holding": "queue",
    "circuit": "connection",
}
RENAMED = {
    "hollowhall/almanac/bootstrap.py",
    *(f"hollowhall/explore/{x}.py" for x in ("breadth", "command", "history", "invariants", "orders")),
    *(f"hollowhall/explore/{x}.py" for x in ("search", "stepped_loop", "walks")),
    "hollowhall/mast/requests.py",
    "hollowhall/base/doors.py",
    "hollowhall/base/here.py",
    "hollowhall/base/limits.py",
    "hollowhall/base/connections.py",
    "hollowhall/almanac/joining.py",
    "hollowhall/record/gangs.py",
    "hollowhall/desk/gather.py",
    "hollowhall/desk/reports.py",
    "platform/front.py",
    "hollowhall/record/reservations.py",
    "hollowhall/record/reservation_bodies.py",
    "hollowhall/desk/reserving.py",
    "hollowhall/desk/reserved_plan.py",
    "hollowhall/desk/giving_back.py",
    "hollowhall/desk/reservation_requests.py",
    "hollowhall/mast/reservations.py",
    "platform/control.py",
    "platform/boot.py",
    "platform/tables.py",
    "platform/serve.py",
}
EXCUSED_WORDS = {"params_of", "take_params"}  # the product's own word for its settings
EXCUSED_WORDS |= {"ask"}  # a link's method, until base/circuit.py has its turn
# Polls until daemons on real sockets are ready; daemons that run in virtual time.
SIMULATED = ("World", "Halls(", "world(", "play", "SimLoop()")  # words of files that run in virtual time
PLACES = ("constants.py", "formats.py", "scheduling.py")  # constants; those of format levels never change
REAL_TIME = {"test_http.py", "weak_parts.py", "weak.py"}
REAL_TIME |= {
    "soak.py",
    "soak_changes.py",
    "soak_processes.py",
    "older_data.py",
}  # processes on the real clock
RAISES = {"Raised", "ValidationError", "TimeoutError"}  # marshmallow wants its own


def where(f, n):
    return f"{f.relative_to(ROOT)}:{n.lineno}"


def functions(t):
    return [n for n in ast.walk(t) if isinstance(n, (ast.FunctionDef, ast.AsyncFunctionDef))]


def by_position(fs):
    for f in fs:
        for n in functions(TREES[f]):
            a = [x.arg for x in n.args.posonlyargs + n.args.args if x.arg not in ("self", "cls")]
            if (
                len(a) < 2
                or n.name in BY_PLACE | TWICE_NAMED
                or PLACED.match(n.name)
                or tuple(a[:2]) == ROUTES
            ):
                continue
            yield where(f, n), n.name


def test_arguments_of_daemons_go_by_keyword():
    assert list(by_position(OURS)) == []


def test_constants_stand_in_one_place_with_unit_and_reason():
    loose = []
    for f in OURS:
        for n in TREES[f].body if f.name not in PLACES else ():
            if isinstance(n, ast.Assign) and any(
                isinstance(x, ast.Name) and x.id.isupper() for x in n.targets
            ):
                nums = [
                    x for x in ast.walk(n.value) if isinstance(x, ast.Constant) and isinstance(x.value, float)
                ]
                if nums or isinstance(n.value, ast.Constant) and isinstance(n.value.value, int):
                    loose.append(where(f, n))
    assert loose == []
    for path in [ROOT / "hollowhall/base" / x for x in PLACES]:
        said = {}
        for t in tokenize.generate_tokens(io.StringIO(path.read_text()).readline):
            if t.type == tokenize.COMMENT:
                said[t.start[0]] = t.string
        bare = [
            n.targets[0].lineno
            for n in TREES[path].body
            if isinstance(n, ast.Assign)
            and not any(len(said.get(i, "")) > 12 for i in range(n.lineno, n.end_lineno + 1))
        ]
        assert set(bare) <= {
            n.lineno
            for n in TREES[path].body
            if isinstance(n, ast.Assign) and ast.unparse(n.targets[0]) in ("MAX_LOGICAL", "RULES")
        }


def names(t):
    for n in ast.walk(t):
        if isinstance(n, (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)):
            yield n, n.name
        elif isinstance(n, ast.Name) and isinstance(n.ctx, ast.Store):
            yield n, n.id
        elif isinstance(n, ast.Attribute) and isinstance(n.ctx, ast.Store):
            yield n, n.attr
        elif isinstance(n, ast.arg):
            yield n, n.arg


def old_words(files):
    """Names in renamed modules that still say one of our first words."""
    for f in files:
        for n, name in names(TREES[f]):
            ps = re.sub(r"(?<!^)([A-Z])", r"_\1", name).lower().split("_")
            if name not in EXCUSED_WORDS and any(p in WORDS or p.rstrip("s") in WORDS for p in ps):
                yield where(f, n), name


def test_renamed_modules_use_the_standard_terms():
    assert RENAMED <= {str(f.relative_to(ROOT)) for f in TREES}
    assert list(old_words([ROOT / f for f in sorted(RENAMED)])) == []


def test_no_failure_is_a_bare_string():
    bad = [
        (where(f, n), ast.unparse(n.exc)[:60])
        for f in OURS
        for n in ast.walk(TREES[f])
        if isinstance(n, ast.Raise)
        and isinstance(n.exc, ast.Call)
        and ast.unparse(n.exc.func).split(".")[-1] not in RAISES
    ]
    assert bad == []


def test_hints_stand_at_the_seams_only():
    """Fields of dataclasses are the seams; functions say by their names what they take."""
    bad = [
        where(f, n)
        for f in FILES
        for n in functions(TREES[f])
        if n.returns is not None or any(a.annotation for a in n.args.args + n.args.kwonlyargs)
    ]
    assert bad == []


def test_no_test_sleeps():
    """asyncio.sleep is virtual time in a simulated world, or 0."""
    bad = []
    for f in sorted(ROOT.glob("tests/*.py")):
        text = f.read_text()
        bad += [
            where(f, n)
            for n in ast.walk(TREES[f])
            if isinstance(n, ast.Call) and ast.unparse(n.func) == "time.sleep"
        ]
        if f.name not in REAL_TIME and not any(x in text for x in SIMULATED):
            bad += [
                where(f, n)
                for n in ast.walk(TREES[f])
                if isinstance(n, ast.Call)
                and ast.unparse(n.func) == "asyncio.sleep"
                and ast.unparse(n.args[0]) != "0"
            ]
    assert bad == []


@pytest.mark.parametrize(
    "text, test",
    [
        ("def f(a, b):\n    pass\n", by_position),
        ("def deliver(a):\n    pass\n", old_words),
        ("class Asks:\n    pass\n", old_words),
    ],
)
def test_the_look_itself_can_fail(text, test, monkeypatch):
    f = ROOT / "hollowhall/base/planted.py"
    monkeypatch.setitem(TREES, f, ast.parse(text))
    assert list(test([f]))
