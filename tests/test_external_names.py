"""Guards against a rename that reaches clients, back ends, peers or data: names of messages, settings, stored fields, log
fields, commands and metrics, as docs/external-names.txt lists them, still stand in the code letter for letter."""

import ast
import pathlib

ROOT = pathlib.Path(__file__).parent.parent
LISTED = (ROOT / "docs/external-names.txt").read_text().split()


def names_of(tree):
    """Texts, keywords, fields and names of classes and functions: where a name may leave the process."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value
        elif isinstance(node, ast.keyword) and node.arg:
            yield node.arg
        elif isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)):
            yield node.name
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            yield node.target.id
        elif isinstance(node, ast.Assign):
            yield from (target.id for target in node.targets if isinstance(target, ast.Name))


SOURCES = [path for folder in ("hollowhall", "platform") for path in sorted((ROOT / folder).rglob("*.py"))]
STANDING = {name for path in SOURCES for name in names_of(ast.parse(path.read_text()))}


def gone(listed, standing):
    return [name for name in listed if name not in standing]


def test_names_that_leave_the_process_still_stand():
    assert len(LISTED) > 1000
    assert gone(LISTED, STANDING) == []


def test_the_list_is_sorted_and_holds_a_name_once():
    assert LISTED == sorted(set(LISTED))


def test_a_name_that_is_gone_is_found():
    assert gone(["HOLLOWHALL_SETTINGS", "no such name"], STANDING) == ["no such name"]
