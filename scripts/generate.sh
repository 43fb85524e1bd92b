#!/usr/bin/env bash
# Regenerates the committed code of the message schemas. Requires the package flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums --gen-object-api --cpp-field-case-style lower --cpp-std c++17 \
    -o libs/fleet/include/heathergate/fleet/generated libs/fleet/schema/fleet.fbs
