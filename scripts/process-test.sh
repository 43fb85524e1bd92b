#!/usr/bin/env bash
# Tests real processes under kill -9, SIGSTOP, a full restart and a lost disk. The checks verify
# outcomes only: waits have a limit, but no check depends on their duration.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${HEATHERGATE:=$PWD/build/release/heathergate}"
export HEATHERGATE
FLEET_PORT=${FLEET_PORT:-23000} FLEET_PER_DOMAIN=2 FLEET_ENGINES=3 FLEET_SERVICES=2
source scripts/fleet.sh

folder=$(mktemp -d)
trap 'fleet_kill_all; rm -rf "$folder"' EXIT
passed=0 failed=0 senders=()

check() { # DESCRIPTION EXPECTED ACTUAL
    if [ "$2" == "$3" ]; then
        passed=$((passed + 1))
        echo "ok: $1"
    else
        failed=$((failed + 1))
        echo "FAILED: $1: expected '$2', got '$3'"
    fi
}

eventually() { # DESCRIPTION COMMAND...: retries the command up to 150 times until it succeeds
    local description=$1 tries
    shift
    for ((tries = 0; tries < 150; tries++)); do
        if "$@" >/dev/null 2>&1; then
            check "$description" yes yes
            return
        fi
        sleep 0.2
    done
    check "$description" yes no
}

entry() { echo "http://$(fleet_caller_address "$(fleet_index "$1" 2)")"; }

leader_of_control() {
    "$HEATHERGATE" replica show 0 | sed -n 's/.*"leader": "\([^"~]*\).*/\1/p'
}

call() { # DOMAIN PATH BODY [CURL-ARGUMENTS...]
    local url
    url=$(entry "$1")$2
    local body=$3
    shift 3
    curl -s --max-time 60 -X POST "$url" -H "Authorization: Bearer $key" -d "$body" "$@" || true
}

rate_at() { # DOMAIN CUSTOMER
    curl -s "$(entry "$1")/operator/v1/table" -H "Authorization: Bearer $HEATHERGATE_OPERATOR_KEY" \
        | grep -o "\"customer\":\"$2\"[^}]*" | grep -o '"rate":[0-9]*' | cut -d: -f2
}

runs_of_services() { # prints the maximum number of executions of an idempotency key
    local i
    for i in 51 52; do
        curl -s "http://$(fleet_upstream_address "$i")/statistics" \
            | grep -o '"runs":{[^}]*}' | grep -o ':[0-9]*' | tr -d ':'
    done | sort -n | tail -1
}

fleet_configure "$folder"
HEATHERGATE_ADDRESS=$(entry 1)
fleet_start
fleet_wait_ready
"$HEATHERGATE" table set pines --rate 500 --burst 100 --budget 1000000 >/dev/null
key=$("$HEATHERGATE" key give --customer pines | sed -n 's/.*"key": "\(.*\)".*/\1/p')
call 0 /v1/programs '{"id": "p"}' >/dev/null

echo "== kill -9 of the control leader in the middle of edits"
"$HEATHERGATE" table set edited --rate 0 --burst 1 >/dev/null
accepted=0
victim=$(leader_of_control)
for i in $(seq 1 30); do
    [ "$i" -eq 10 ] && fleet_signal KILL "$victim"
    revision=$(curl -s "$HEATHERGATE_ADDRESS/operator/v1/table" \
        -H "Authorization: Bearer $HEATHERGATE_OPERATOR_KEY" \
        | grep -o '"customer":"edited"[^}]*' | grep -o '"revision":[0-9]*' | cut -d: -f2)
    if "$HEATHERGATE" table set edited --revision "$revision" --rate "$i" \
        --edit-id "edit-$i" >/dev/null 2>&1; then
        accepted=$i
    fi
done
eventually "an edit is accepted after the leader's death" test "$accepted" -gt 10
check "the last accepted edit is in force" "$accepted" "$(rate_at 1 edited)"
wait "${FLEET_PIDS[$victim]}" 2>/dev/null || true
fleet_start_instance "$victim"
fleet_wait_ready

echo "== SIGSTOP of the control leader for longer than its lease"
victim=$(leader_of_control)
fleet_signal STOP "$victim"
revision=$(curl -s "$HEATHERGATE_ADDRESS/operator/v1/table" \
    -H "Authorization: Bearer $HEATHERGATE_OPERATOR_KEY" \
    | grep -o '"customer":"edited"[^}]*' | grep -o '"revision":[0-9]*' | cut -d: -f2)
eventually "an edit is accepted while the old leader is frozen" \
    "$HEATHERGATE" table set edited --revision "$revision" --rate 777 --edit-id frozen
fleet_signal CONT "$victim"
fleet_wait_ready
check "the edit stays after the old leader has returned" 777 "$(rate_at 0 edited)"

echo "== An entry instance dies while a call that may not be repeated is running"
for i in $(seq 1 20); do
    call 2 /v1/services/registrar/charge "{\"amount\": $i}" -H 'X-Program-Id: p' \
        -H "Idempotency-Key: pay-$i" >/dev/null &
    senders+=($!)
done
sleep 0.05
fleet_signal KILL bantama-2
wait "${senders[@]}" 2>/dev/null || true
for i in $(seq 1 20); do
    answer=$(call 0 /v1/services/registrar/charge "{\"amount\": $i}" -H 'X-Program-Id: p' \
        -H "Idempotency-Key: pay-$i")
    grep -qE '"receipt"|"code":505' <<<"$answer" || echo "unexpected answer for pay-$i: $answer"
done
check "no key ran more than once" 1 "$(runs_of_services)"
wait "${FLEET_PIDS[bantama-2]}" 2>/dev/null || true
fleet_start_instance bantama-2
fleet_wait_ready

echo "== A withdrawn key stops everywhere"
other=$("$HEATHERGATE" key give --customer pines)
other_key=$(sed -n 's/.*"key": "\(.*\)".*/\1/p' <<<"$other")
other_id=$(sed -n 's/.*"id": "\(.*\)".*/\1/p' <<<"$other")
for d in 0 1 2; do
    status=$(curl -s -o /dev/null -w '%{http_code}' "$(entry $d)/v1/programs/none" \
        -H "Authorization: Bearer $other_key")
    check "the new key works in ${FLEET_DOMAINS[$d]}" 404 "$status"
done
"$HEATHERGATE" key withdraw "$other_id" >/dev/null
for d in 0 1 2; do
    status=$(curl -s -o /dev/null -w '%{http_code}' "$(entry $d)/v1/programs/none" \
        -H "Authorization: Bearer $other_key")
    check "the withdrawn key is refused in ${FLEET_DOMAINS[$d]}" 401 "$status"
done

echo "== A graceful stop cuts nothing"
call 1 /v1/chat/completions '{"model": "quill", "stream": true, "max_tokens": 64,
    "messages": [{"role": "user", "content": "a long answer"}]}' -N >"$folder/stream" &
streamer=$!
sleep 0.05
fleet_signal TERM suame-2
wait "$streamer"
check "the stream ended whole" "data: [DONE]" "$(grep DONE "$folder/stream")"
wait "${FLEET_PIDS[suame-2]}"
check "the instance ended with status" 0 $?
fleet_start_instance suame-2
fleet_wait_ready

echo "== A full restart loses nothing"
call 0 /v1/chat/completions '{"model": "quill", "max_tokens": 4,
    "messages": [{"role": "user", "content": "remember me"}]}' -H 'X-Program-Id: p' >/dev/null
before=$("$HEATHERGATE" program show pines p | grep -c content)
for name in adum-1 suame-1 bantama-1 adum-2 suame-2 bantama-2; do
    fleet_signal KILL "$name"
    wait "${FLEET_PIDS[$name]}" 2>/dev/null || true
done
for name in adum-1 suame-1 bantama-1 adum-2 suame-2 bantama-2; do
    fleet_start_instance "$name"
done
fleet_wait_ready
check "the history is whole" "$before" "$("$HEATHERGATE" program show pines p | grep -c content)"
check "the table is whole" 777 "$(rate_at 2 edited)"

echo "== A lost disk is replaced, and then another instance is lost"
fleet_signal KILL suame-1
wait "${FLEET_PIDS[suame-1]}" 2>/dev/null || true
rm -rf "$folder/data-suame-1"
fleet_start_instance suame-1
eventually "the wiped instance opens as a new replica" \
    grep -q 'as replica suame-1~' "$folder/suame-1.log"
replica=$(grep -o 'as replica suame-1~[0-9a-f]*' "$folder/suame-1.log" | tail -1 | cut -d' ' -f3)
eventually "the replacement is accepted" "$HEATHERGATE" replica replace suame-1 "$replica"
voters_are_new() {
    local group
    for group in 0 1 2 3 4; do
        "$HEATHERGATE" replica show "$group" | grep -A4 voters | grep -q "\"$replica\"" || return 1
        "$HEATHERGATE" replica show "$group" | grep -A4 voters | grep -q '"suame-1"' && return 1
    done
    return 0
}
eventually "the new replica votes in every group" voters_are_new
fleet_signal KILL adum-1
wait "${FLEET_PIDS[adum-1]}" 2>/dev/null || true
eventually "the history is still whole" bash -c \
    "[ \$('$HEATHERGATE' program show pines p | grep -c content) -eq $before ]"
fleet_start_instance adum-1

echo "== A request that kills engines is stopped after two"
for i in 1 2 3; do
    fleet_signal TERM "quill-$i"
    wait "${FLEET_PIDS[quill-$i]}" 2>/dev/null || true
    fleet_start_upstream "quill-$i" "$i" "${FLEET_DOMAINS[$((i % 3))]}" --model quill \
        --die-on POISON
done
fleet_wait_ready
poison='{"model": "quill", "messages": [{"role": "user", "content": "POISON"}]}'
first=$(call 0 /v1/chat/completions "$poison" | grep -o '"code":[0-9]*' | head -1)
check "the request is refused as poison" '"code":304' "$first"
second=$(call 1 /v1/chat/completions "$poison" -H 'User-Agent: other' | grep -o '"ran":"[a-z]*"')
check "its resend is not run" '"ran":"no"' "$second"
alive=0
for i in 1 2 3; do
    kill -0 "${FLEET_PIDS[quill-$i]}" 2>/dev/null && alive=$((alive + 1))
done
check "engines left alive" 1 "$alive"

fleet_kill_all
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
