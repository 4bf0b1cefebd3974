#!/usr/bin/env bash
# The stand-ins of the scripts are Python and use its own library alone: there is nothing to compile. This
# looks whether they can be read, and whether the build of the deploy file has been done.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo "the build of deploy/system.toml comes first" >&2; exit 1; }
python3 - <<'P'
import ast
import pathlib

for f in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(f.read_text(), str(f))
P
