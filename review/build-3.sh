#!/usr/bin/env bash
# Builds what the cases 11 to 15 start beside the program of the deploy file. Their stand-ins are
# scripts in Python that use its standard library only, so that nothing is compiled: this checks that
# the interpreter runs and reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - fleet3.py 1[1-5]/case.py <<'CHECK'
import ast
import sys

assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
CHECK
test -x ../target/heathergate || echo "target/heathergate is missing: build as the deploy file says"
