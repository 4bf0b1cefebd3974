#!/bin/bash
# Builds what the scripts of this review start beside the system: the stand-ins are Python on aiohttp, which
# the build of the deploy file has put into target/deps; they are checked here.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "build the system first: the build command of deploy/system.toml"; exit 1; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 - <<'END'
import ast
import glob

import aiohttp  # noqa: F401

for path in ["review/common3/rig.py", *glob.glob("review/1[1-5]/case.py")]:
    ast.parse(open(path).read(), path)
END
