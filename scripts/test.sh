#!/usr/bin/env bash
# Installs packages, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake --preset release -DHEATHERGATE_TESTS=ON >/dev/null
cmake --build --preset release
ctest --preset release
HEATHERGATE=$PWD/build/release/heathergate scripts/process-test.sh
python3 -B scripts/uncontrolled-clients-test.py build/release/heathergate
python3 -B scripts/planned-stop-test.py build/release/heathergate
build/release/heathergate-soak --seed 1 --seconds 10
build/release/heathergate-soak --seeds-from soak/regressions.txt --seconds 10
