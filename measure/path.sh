#!/usr/bin/env bash
# Measures the latency that the path through entry and side adds: a second stand-in engine gets the same load directly, at
# the same time.
set -euo pipefail
cd "$(dirname "$0")/.."
. measure/fleet.sh
SIDE_FLAGS="--batch=false" TARGETS=1
start_fleet
start direct standin --listen "127.0.0.1:$((BASE_PORT + 499))"
sleep 0.5
"$BIN" load --url "127.0.0.1:$(entry_port 0)" --caller-key "$(caller_key 0)" --baseline "127.0.0.1:$((BASE_PORT + 499))" \
  --rate "${LOAD_RATE:-20}" --duration "${DURATION:-30s}" --seed 1 --max-tokens 16
