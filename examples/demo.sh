#!/bin/sh
# Runs the demo: stand-ins, three entry hosts in three data centres and a
# steward as background processes on 127.0.0.1, then the example workload,
# during which seeb is taken out and in again. Run by "make demo".
#
# Exit status 0 when no request was lost and no booking landed twice.
set -eu

cd "$(dirname "$0")/.."
logs=.demo
example=${1:-demo}
rm -rf "$logs"
mkdir -p "$logs"
pids=""
shared_key=$(python -c 'import secrets; print(secrets.token_hex(32))')
platform=http://127.0.0.1:17000
export SYCAMORESPOKE_SETTINGS="$logs/operator.yaml"

stop_all() {
    # The last started ends first, so that entry hosts drain before stand-ins go.
    for pid in $pids; do
        kill "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    pids=""
}
trap stop_all EXIT
trap 'exit 130' INT TERM

start() {
    name=$1
    shift
    "$@" >"$logs/$name.log" 2>&1 &
    pids="$! $pids"
}

fail() {
    echo "demo: $1; see $logs/" >&2
    exit 1
}

# Waits until a URL answers with 2xx, at most 20 s.
wait_for() {
    python - "$1" <<'PYTHON' || fail "$1 does not answer"
import sys
import time

import urllib3

for _ in range(200):
    try:
        if urllib3.request("GET", sys.argv[1], retries=False, timeout=1).status < 300:
            sys.exit(0)
    except urllib3.exceptions.HTTPError:
        pass
    time.sleep(0.1)
sys.exit(1)
PYTHON
}

write_entry_settings() {
    cat >"$logs/$1-entry-1.yaml" <<YAML
name: $1-entry-1
data_centre: $1
listen: 127.0.0.1:1750$2
operators_listen: 127.0.0.1:1751$2
peer_listen: 127.0.0.1:1752$2
platform: $platform
shared_key: "$shared_key"
YAML
}

write_settings() {
    write_entry_settings seeb 1
    write_entry_settings ruwi 2
    write_entry_settings qurum 3
    cat >"$logs/steward.yaml" <<YAML
name: seeb-entry-1
data_centre: seeb
operators_listen: 127.0.0.1:17531
peer_listen: 127.0.0.1:17541
platform: $platform
shared_key: "$shared_key"
YAML
    cat >"$logs/operator.yaml" <<YAML
platform: $platform
shared_key: "$shared_key"
author: demo
YAML
}

start_engine() {
    start "$1" sycamorespoke-standin engine --listen "127.0.0.1:$2" --model "$3" \
        --token-s 0.02 --cache-blocks 30 --report-lag-s 0.2 \
        --weights http://127.0.0.1:17301 "$4"
}

start_standins() {
    start platform sycamorespoke-standin platform --listen 127.0.0.1:17000 \
        --hosts "examples/$example-hosts.json"
    start weights sycamorespoke-standin weights --listen 127.0.0.1:17301
    start_engine seeb-scribe-1 17101 scribe --checks-fencing
    start_engine ruwi-scribe-1 17102 scribe --checks-fencing
    start_engine qurum-scribe-1 17103 scribe --checks-fencing
    start_engine ruwi-tagger-1 17104 tagger --ignores-fencing
    start_engine qurum-tagger-1 17105 tagger --ignores-fencing
    start seeb-bibdesk-1 sycamorespoke-standin service --listen 127.0.0.1:17201
    start qurum-bibdesk-1 sycamorespoke-standin service --listen 127.0.0.1:17202
    start ledger-cache sycamorespoke-standin store --listen 127.0.0.1:17401
    start tag-cache sycamorespoke-standin store --listen 127.0.0.1:17402
}

# Takes seeb out and in again while the workload runs.
move_seeb() {
    trap 'kill "$sleep_pid" 2>/dev/null; exit 143' TERM
    pause 12
    sycamorespoke data-centre out seeb
    pause 8
    sycamorespoke data-centre in seeb
}

# A sleep that the trap can end.
pause() {
    sleep "$1" &
    sleep_pid=$!
    wait "$sleep_pid"
}

echo "Starting stand-ins and entry hosts; their logs are in $logs/"
write_settings
start_standins
wait_for "$platform/v1/hosts"
for port in 17101 17102 17103 17104 17105 17201 17202 17301 17401 17402; do
    wait_for "http://127.0.0.1:$port/counts"
done
for data_centre in seeb ruwi qurum; do
    start "$data_centre-entry-1" \
        sycamorespoke-entry --settings "$logs/$data_centre-entry-1.yaml"
done
start steward sycamorespoke-steward --settings "$logs/steward.yaml"
for port in 17501 17502 17503; do
    wait_for "http://127.0.0.1:$port/healthz"
done

sycamorespoke rules apply "examples/$example.rules"
for port in 17501 17502 17503; do
    wait_for "http://127.0.0.1:$port/readyz"
done

start data-centre move_seeb
status=0
sycamorespoke-load run "examples/$example-workload.yaml" \
    127.0.0.1:17501 127.0.0.1:17502 127.0.0.1:17503 \
    --counts http://127.0.0.1:17201/counts --counts http://127.0.0.1:17202/counts \
    --stores http://127.0.0.1:17401/counts --stores http://127.0.0.1:17402/counts \
    --report "$logs/report.json" || status=$?
cat "$logs/data-centre.log"
exit "$status"
