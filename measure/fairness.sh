#!/usr/bin/env bash
# Measures how many requests within the rate are refused, and the share served for the worst-served workspace: 8 workspaces
# on 4 entries, one of which sends 5 times its rate. Runs once undisturbed and once with a kill of the leader that owns
# most rates.
set -euo pipefail
cd "$(dirname "$0")/.."
. measure/fleet.sh
CONTROLS=3 ENTRIES=4 TARGETS=4 WORKSPACES=8 RATE=20 BURST=20 SLOTS=64 SIDE_FLAGS="--batch=false" STANDIN_FLAGS="--step 5ms"
: "${DURATION:=20s}"
start_fleet

# run NAME [HOST]: runs one load per workspace, each on two entries, and kills the control host HOST after 8 s.
run() {
  local pids=() w e rate
  for w in $(seq 0 7); do
    for e in 0 1; do
      rate=8
      [ "$w" = 0 ] && rate=50
      "$BIN" load --url "127.0.0.1:$(entry_port $(((w + 2 * e) % 4)))" --caller-key "$(caller_key "$w")" --rate "$rate" --duration "$DURATION" \
        --max-tokens 4 --seed "$((10 + w * 2 + e))" >"$DIR/$1-$w-$e.json" &
      pids+=($!)
    done
  done
  [ -z "${2:-}" ] || { sleep 8; kill -KILL "${PID[control$2]}"; }
  wait "${pids[@]}"
  python3 - "$DIR" "$1" <<'PY'
import json, sys
d, name = sys.argv[1:]
sent = refused = 0
worst, statuses = 9, {}
for w in range(8):
    xs = [json.load(open(f"{d}/{name}-{w}-{e}.json"))["Run"] for e in (0, 1)]
    s, ok = sum(x["Sent"] for x in xs), sum(x["OK"] for x in xs)
    if w == 0:
        seconds = max(x["Seconds"] for x in xs)
        print(f"{name}: the workspace at 5 times its rate got {ok} of {s}; rate and burst allow {20 + 20 * seconds:.0f}")
        continue
    sent, refused = sent + s, refused + s - ok
    worst = min(worst, ok / s)
    for x in xs:
        for k, n in x["Statuses"].items():
            statuses[k] = statuses.get(k, 0) + n
print(f"{name}: the seven others at 0.8 of their rate: {refused} of {sent} refused ({100 * refused / sent:.3f}%), worst-served got {worst:.4f} of what it sent, {statuses}", flush=True)
PY
}

run steady
leader=$("$BIN" status | awk '$2 == 1 && $3 == "Leader" {print $1}')
run owner-change "$leader"
