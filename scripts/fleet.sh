#!/usr/bin/env bash
# Starts and stops a fleet on the loopback interface. To be sourced by other scripts.
#
#   fleet_configure FOLDER   writes the settings of 15 instances in three failure domains
#   fleet_start              starts the instances, 8 simulated engines and 3 simulated services
#   fleet_stop               stops all processes gracefully
#
# Environment: HEATHERGATE (path of the binary), FLEET_PORT (first port, default 21000).
set -euo pipefail

FLEET_PORT=${FLEET_PORT:-21000}
FLEET_DOMAINS=(adum suame bantama)
FLEET_PER_DOMAIN=${FLEET_PER_DOMAIN:-5}
FLEET_ENGINES=${FLEET_ENGINES:-8}
FLEET_SERVICES=${FLEET_SERVICES:-3}
FLEET_HASH_SECRET=loopback-hash-secret
FLEET_UPSTREAM_TOKEN=loopback-upstream-token
declare -A FLEET_PIDS=()

# Prints 16 random bytes in hexadecimal, used as the fleet secret.
fleet_random() { od -An -N16 -tx1 /dev/urandom | tr -d ' \n'; }

fleet_index() { # DOMAIN-NUMBER NUMBER: prints the zero-based position of an instance
    echo $(($1 * FLEET_PER_DOMAIN + $2 - 1))
}

fleet_caller_address() { echo "127.0.0.1:$((FLEET_PORT + $1))"; }
fleet_peer_address() { echo "127.0.0.1:$((FLEET_PORT + 100 + $1))"; }
fleet_upstream_address() { echo "127.0.0.1:$((FLEET_PORT + 200 + $1))"; }

fleet_settings() { # DOMAIN-NUMBER NUMBER SECRET KEY-HASH
    local domain=${FLEET_DOMAINS[$1]} position
    position=$(fleet_index "$1" "$2")
    cat <<T
[instance]
id = "$domain-$2"
failure_domain = "$domain"
caller_address = "$(fleet_caller_address "$position")"
peer_address = "$(fleet_peer_address "$position")"

[fleet]
cluster = "loopback"
secrets = ["$3"]
shards = 4
T
    local d
    for d in 0 1 2; do
        printf '[[fleet.disk_instances]]\nid = "%s-1"\npeer_address = "%s"\n' \
            "${FLEET_DOMAINS[$d]}" "$(fleet_peer_address "$(fleet_index "$d" 1)")"
    done
    if [ "$2" -eq 1 ]; then
        printf '\n[storage]\nfolder = "%s/data-%s-1"\n' "$FLEET_FOLDER" "$domain"
    fi
    cat <<T

[keys]
hash_secret = "$FLEET_HASH_SECRET"
operator_key_hash = "$4"
upstream_token = "$FLEET_UPSTREAM_TOKEN"

[[open_routes]]
path = "/open/hours"
service = "registrar"
T
}

fleet_configure() { # FOLDER
    FLEET_FOLDER=$1
    mkdir -p "$FLEET_FOLDER"
    local secret keys d n
    secret=$(fleet_random)
    keys=$("$HEATHERGATE" key new --hash-secret "$FLEET_HASH_SECRET")
    HEATHERGATE_OPERATOR_KEY=$(awk '/^key/{print $2}' <<<"$keys")
    HEATHERGATE_ADDRESS=http://$(fleet_caller_address 1)
    export HEATHERGATE_OPERATOR_KEY HEATHERGATE_ADDRESS
    for d in 0 1 2; do
        for ((n = 1; n <= FLEET_PER_DOMAIN; n++)); do
            fleet_settings "$d" "$n" "$secret" "$(awk '/^hash/{print $2}' <<<"$keys")" \
                >"$FLEET_FOLDER/${FLEET_DOMAINS[$d]}-$n.toml"
        done
        "$HEATHERGATE" init "$FLEET_FOLDER/${FLEET_DOMAINS[$d]}-1.toml"
    done
}

fleet_run() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >>"$FLEET_FOLDER/$name.log" 2>&1 &
    FLEET_PIDS[$name]=$!
}

fleet_start_instance() { # NAME
    fleet_run "$1" "$HEATHERGATE" serve "$FLEET_FOLDER/$1.toml"
}

fleet_start_upstream() { # NAME NUMBER DOMAIN ARGUMENTS...
    local name=$1 number=$2 domain=$3 announce=() d
    shift 3
    for d in 0 1 2; do
        announce+=(--announce "$(fleet_caller_address "$(fleet_index "$d" 2)")")
    done
    fleet_run "$name" "$HEATHERGATE" fake-upstream --id "$name" \
        --address "$(fleet_upstream_address "$number")" --failure-domain "$domain" \
        --token "$FLEET_UPSTREAM_TOKEN" "${announce[@]}" "$@"
}

fleet_start() {
    local d n i
    for d in 0 1 2; do
        for ((n = 1; n <= FLEET_PER_DOMAIN; n++)); do
            fleet_start_instance "${FLEET_DOMAINS[$d]}-$n"
        done
    done
    for ((i = 1; i <= FLEET_ENGINES; i++)); do
        fleet_start_upstream "quill-$i" "$i" "${FLEET_DOMAINS[$((i % 3))]}" --model quill
    done
    for ((i = 1; i <= FLEET_SERVICES; i++)); do
        fleet_start_upstream "registrar-$i" "$((50 + i))" "${FLEET_DOMAINS[$((i % 3))]}" \
            --service registrar
    done
}

fleet_wait_ready() { # polls up to 150 times until all instances are ready and all upstreams listed
    local tries d n ready
    for ((tries = 0; tries < 150; tries++)); do
        ready=0
        for d in 0 1 2; do
            for ((n = 1; n <= FLEET_PER_DOMAIN; n++)); do
                curl -sf -o /dev/null "http://$(fleet_caller_address "$(fleet_index "$d" "$n")")/ready" \
                    && ready=$((ready + 1))
            done
        done
        if [ "$ready" -eq $((3 * FLEET_PER_DOMAIN)) ]; then
            [ "$("$HEATHERGATE" upstream list | grep -c '"incarnation"')" \
                -eq $((FLEET_ENGINES + FLEET_SERVICES)) ] && return 0
        fi
        sleep 0.2
    done
    echo "the fleet did not become ready" >&2
    return 1
}

fleet_signal() { # SIGNAL NAME
    kill "-$1" "${FLEET_PIDS[$2]}"
}

fleet_stop() {
    local name
    # Entry instances stop first, because the disk instances record their departure.
    for name in "${!FLEET_PIDS[@]}"; do
        [[ $name == *-1 && $name != quill-* && $name != registrar-* ]] && continue
        kill -TERM "${FLEET_PIDS[$name]}" 2>/dev/null || true
    done
    for name in "${!FLEET_PIDS[@]}"; do
        [[ $name == *-1 && $name != quill-* && $name != registrar-* ]] && continue
        wait "${FLEET_PIDS[$name]}" || echo "$name ended with status $?" >&2
        unset "FLEET_PIDS[$name]"
    done
    for name in "${!FLEET_PIDS[@]}"; do
        kill -TERM "${FLEET_PIDS[$name]}" 2>/dev/null || true
    done
    for name in "${!FLEET_PIDS[@]}"; do
        wait "${FLEET_PIDS[$name]}" || echo "$name ended with status $?" >&2
        unset "FLEET_PIDS[$name]"
    done
}

fleet_kill_all() {
    local name
    for name in "${!FLEET_PIDS[@]}"; do
        kill -KILL "${FLEET_PIDS[$name]}" 2>/dev/null || true
    done
}
