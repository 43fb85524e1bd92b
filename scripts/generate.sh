#!/usr/bin/env bash
# Regenerates the committed code of the message schemas. Requires the package flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
generate() { # LIBRARY: generates the code of the schema of libs/LIBRARY
    flatc --cpp --scoped-enums --gen-object-api --cpp-field-case-style lower --cpp-std c++17 \
        -o "libs/$1/include/heathergate/$1/generated" "libs/$1/schema/$1.fbs"
}

generate fleet
generate history
