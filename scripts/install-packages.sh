#!/usr/bin/env bash
# Installs the Debian packages that are required to build, test and run the project.
set -euo pipefail
packages=(
    g++ cmake ninja-build pkg-config clang-format clang-tidy curl python3
    libace-dev libflatbuffers-dev libhttp-parser-dev libmicrohttpd-dev libcurl4-gnutls-dev
    libboost-log-dev libboost-program-options-dev libboost-test-dev
    libexpected-dev libtomlplusplus-dev nlohmann-json3-dev libxxhash-dev
    librapidcheck-dev libgnutls28-dev libzstd-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' \
        || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq --no-install-recommends \
    "${missing[@]}" >/dev/null
