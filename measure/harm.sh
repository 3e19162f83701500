#!/usr/bin/env bash
# Measures how much saturating batch work raises online latency, and the batch throughput meanwhile: online alone, batch
# alone, both together, and both with the first-come baseline, one after the other with the same seed.
set -euo pipefail
cd "$(dirname "$0")/.."
. measure/fleet.sh
. measure/jobs.sh
TARGETS=2 ENTRIES=1
: "${LOAD_RATE:=25}" "${DURATION:=30s}" "${TOKENS:=40}" "${ITEM_TOKENS:=60}"
start_fleet
BURSTS=(--burst-every 3s --burst-size 16)
online() {
  "$BIN" load --url "127.0.0.1:$(entry_port 0)" --caller-key "$(caller_key 0)" --rate "$LOAD_RATE" --duration "$DURATION" \
    --max-tokens "$TOKENS" --seed 3 "${BURSTS[@]}" >"$DIR/$1.json"
}
SECONDS_RUN=${DURATION%s}
online alone
job=$(submit_job 20000 "$ITEM_TOKENS" 12h)
sleep 5
a=$(job_done "$job"); sleep "$SECONDS_RUN"; b=$(job_done "$job")
batch_alone=$((b - a))
a=$(job_done "$job"); online both; b=$(job_done "$job")
both=$((b - a))
preempted=0
for i in 0 1; do preempted=$((preempted + $(counter $((BASE_PORT + 700 + i)) Side Preemptions))); done
for i in 0 1; do echo "slowest yield of side $i: $(counter $((BASE_PORT + 700 + i)) Side SlowestYieldMicroseconds) us"; done
for i in 0 1; do kill -KILL "${PID[side$i]}"; done
SIDE_FLAGS="--first-come"
for i in 0 1; do
  start "side$i" side --listen "127.0.0.1:$(side_port "$i")" --target "127.0.0.1:$(standin_port "$i")" --control "$CONTROL_LIST" \
    --availability-zone "zone$i" --target-name "t$i" --slots "$SLOTS" $SIDE_FLAGS
done
sleep 8
a=$(job_done "$job"); online firstcome; b=$(job_done "$job")
python3 - "$DIR" "$batch_alone" "$both" "$((b - a))" "$preempted" "$SLOTS" <<'PY'
import json, sys
d, alone_items, both_items, fc_items, preempted, slots = sys.argv[1], *map(int, sys.argv[2:])
r = {n: json.load(open(f"{d}/{n}.json"))["Run"] for n in ("alone", "both", "firstcome")}
base = r["alone"]
# Share of the slots of both targets that online work alone used on average, estimated from its median time.
use = base["OK"] * base["Total"]["P50"] / 1000 / base["Seconds"] / (2 * slots)
for n, items in (("alone", 0), ("both", both_items), ("firstcome", fc_items)):
    x = r[n]
    print(f'{n:10} ok {x["OK"]}/{x["Sent"]} first token p50 {x["FirstToken"]["P50"]:.1f} p99 {x["FirstToken"]["P99"]:.1f} '
          f'(x{x["FirstToken"]["P99"]/base["FirstToken"]["P99"]:.3f}) gap p50 {x["Gap"]["P50"]:.1f} p99 {x["Gap"]["P99"]:.1f} '
          f'(x{x["Gap"]["P99"]/base["Gap"]["P99"]:.3f}) items {items} '
          f'({items/(alone_items*(1-use)):.3f} of what online leaves)')
print(f"batch alone {alone_items} items; online uses {use:.3f} of the slots; preemptions {preempted}")
PY
