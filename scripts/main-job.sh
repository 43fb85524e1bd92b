#!/usr/bin/env bash
# Installs packages, builds, and runs the main job: a fleet on loopback that serves a program of
# several turns with a tool call.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake --preset release -DHEATHERGATE_TESTS=OFF >/dev/null
cmake --build --preset release --target heathergate
HEATHERGATE=$PWD/build/release/heathergate
source scripts/fleet.sh

folder=$(mktemp -d)
trap 'fleet_kill_all; rm -rf "$folder"' EXIT
fleet_configure "$folder"
echo "== Starting 15 instances (3 with a disk), $FLEET_ENGINES engines, $FLEET_SERVICES services"
fleet_start
fleet_wait_ready

echo "== The operator sets a row and gives a key"
"$HEATHERGATE" table set weathervane --rate 50 --burst 20 --budget 100000
key=$("$HEATHERGATE" key give --customer weathervane | sed -n 's/.*"key": "\(.*\)".*/\1/p')

echo "== The caller asks which address to use"
address=$(curl -sf "http://$(fleet_caller_address 0)/v1/directory" \
    | grep -o '"address":"[^"]*"' | head -1 | cut -d'"' -f4)
echo "$address"

ask() { # PATH BODY [HEADER...]
    local path=$1 body=$2
    shift 2
    curl -sf -X POST "http://$address$path" -H "Authorization: Bearer $key" \
        -H 'Content-Type: application/json' "$@" -d "$body"
    echo
}

echo "== A program of three turns with a tool call"
ask /v1/programs '{"id": "cockerel", "budget": 5000}'
program=(-H 'X-Program-Id: cockerel')
ask /v1/chat/completions \
    '{"model": "quill", "messages": [{"role": "user", "content": "Quote a roof cockerel."}]}' \
    "${program[@]}" -H 'Idempotency-Key: turn-1'
ask /v1/services/registrar/leaf-orders '{"leaves": 25}' "${program[@]}" \
    -H 'Idempotency-Key: order-1'
echo "-- the same order sent again:"
ask /v1/services/registrar/leaf-orders '{"leaves": 25}' "${program[@]}" \
    -H 'Idempotency-Key: order-1'
ask /v1/chat/completions \
    '{"model": "quill", "messages": [{"role": "tool", "content": "25 leaves ordered"}]}' \
    "${program[@]}" -H 'Idempotency-Key: turn-2'
ask /v1/chat/completions \
    '{"model": "quill", "stream": true, "max_tokens": 8, "messages": [{"role": "user", "content": "Thanks, when?"}]}' \
    "${program[@]}" -H 'Idempotency-Key: turn-3'

echo "== The program's history"
"$HEATHERGATE" program show weathervane cockerel
echo "== The fleet"
"$HEATHERGATE" instances | grep -E '"(id|revision|failure_domain)"' | paste - - - | sed 's/  */ /g'
"$HEATHERGATE" table get --csv

echo "== Stopping"
fleet_stop
echo "== Done"
