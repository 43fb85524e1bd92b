#!/usr/bin/env bash
# The stand-ins are Python sources that need no build. Checks that they can be read and that the
# fleet's program has been built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import ast
import glob

for name in ["standins.py"] + sorted(glob.glob("[1-5]/*.py")) + sorted(glob.glob("left-out/*.py")):
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
CHECK
test -x ../target/heathergate
