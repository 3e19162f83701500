#!/usr/bin/env bash
# Measures CPU time, memory and network bytes of each role as functions of the number of entries (15 requests per second
# each), of job groups and sides (idle), of requests per second and of tokens per second. Prints, for each role and measure,
# a least-squares line with its largest residual and the points.
set -euo pipefail
cd "$(dirname "$0")/.."
. measure/fleet.sh
. measure/jobs.sh
SECONDS_POINT=${SECONDS_POINT:-10}

# sample NAME DEBUG_PORT MAP: prints CPU milliseconds, resident MiB, and bytes sent and received of a process, from its expvar
# map; with DEBUG_PORT 0, the bytes are 0.
sample() {
  local pid=${PID[$1]} debug=$2 map=$3
  python3 - "$pid" "$debug" "$map" <<'PY'
import json, sys, urllib.request
pid, debug, name = sys.argv[1:]
f = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
rss = [l for l in open(f"/proc/{pid}/status") if l.startswith("VmRSS")][0].split()[1]
sent = received = 0
if debug != "0":
    v = json.load(urllib.request.urlopen(f"http://127.0.0.1:{debug}/debug/vars"))[name]
    sent, received = v["BytesSent"], v["BytesReceived"]
print((int(f[11]) + int(f[12])) * 10, int(rss) / 1024, sent, received)
PY
}

# point LABEL X COMMAND...: runs the command between two samples of one process of each role and appends them to $RESULTS.
point() {
  local label=$1 x=$2
  shift 2
  local names=("control1" "entry0" "side0") ports=("$((BASE_PORT + 651))" "$((BASE_PORT + 600))" "$((BASE_PORT + 700))") maps=(Control Entry Side)
  local before=() after=()
  for i in 0 1 2; do before+=("$(sample "${names[$i]}" "${ports[$i]}" "${maps[$i]}")"); done
  local t0 t1
  t0=$(date +%s.%N)
  "$@"
  t1=$(date +%s.%N)
  for i in 0 1 2; do after+=("$(sample "${names[$i]}" "${ports[$i]}" "${maps[$i]}")"); done
  for i in 0 1 2; do
    echo "$label ${names[$i]} $x $t0 $t1 ${before[$i]} ${after[$i]}" >>"$RESULTS"
  done
}

RESULTS=$(mktemp)
CONTROL_FLAGS="" ENTRY_FLAGS="--subset 0"
start_control() {
  start "control$1" control --id "$1" --data "$DIR/control$1" --listen "127.0.0.1:$(control_port "$1")" \
    --operator "127.0.0.1:$(operator_port "$1")" --members "$MEMBERS" --operators "$DIR/operators.json" $CONTROL_FLAGS \
    --debug "127.0.0.1:$((BASE_PORT + 650 + $1))"
}

# entry_load N: sends 15 requests per second to each of N entries, for a workspace each.
entry_load() {
  local pids=()
  for i in $(seq 0 $(($1 - 1))); do
    "$BIN" load --url "127.0.0.1:$(entry_port "$i")" --caller-key "$(caller_key "$i")" --rate 15 --duration "${SECONDS_POINT}s" --max-tokens 4 --seed "$i" >/dev/null &
    pids+=($!)
  done
  wait "${pids[@]}"
}
for n in 1 4 8; do
  (
    CONTROLS=1 TARGETS=2 ENTRIES=$n WORKSPACES=8 SLOTS=256 SIDE_FLAGS="--batch=false"
    start_fleet
    sleep 3
    point entries "$n" entry_load "$n"
  )
done
for n in 3 8 16; do
  (
    CONTROLS=3 TARGETS=1 SIDE_FLAGS="--batch=true" CONTROL_FLAGS="--job-groups $n"
    start_fleet
    sleep 3
    point groups "$n" sleep "$SECONDS_POINT"
  )
done
for n in 4 16 32; do
  (
    CONTROLS=1 TARGETS=$n SIDE_FLAGS="--batch=true"
    start_fleet
    sleep 3
    point sides "$n" sleep "$SECONDS_POINT"
  )
done
(
  CONTROLS=1 TARGETS=1 SLOTS=256 STANDIN_FLAGS="--step 10ms --step-per-stream 0s" SIDE_FLAGS="--batch=false"
  start_fleet
  for r in 20 60 120; do
    point requests "$r" "$BIN" load --url "127.0.0.1:$(entry_port 0)" --caller-key "$(caller_key 0)" --rate "$r" --duration "${SECONDS_POINT}s" --max-tokens 4 --even >/dev/null
  done
  for t in 16 48 96; do
    point tokens "$((t * 40))" "$BIN" load --url "127.0.0.1:$(entry_port 0)" --caller-key "$(caller_key 0)" --rate 40 --duration "${SECONDS_POINT}s" --max-tokens "$t" --even >/dev/null
  done
)
python3 - "$RESULTS" <<'PY'
import collections, sys
groups = collections.defaultdict(list)
for line in open(sys.argv[1]):
    label, role, *v = line.split()
    x, t0, t1, c0, m0, s0, r0, c1, m1, s1, r1 = map(float, v)
    d = t1 - t0
    groups[label, role].append((x, (c1 - c0) / d, m1, (s1 - s0) / d, (r1 - r0) / d))
for (label, role), pts in sorted(groups.items()):
    for k, unit in ((1, "ms CPU/s"), (2, "MiB"), (3, "B/s sent"), (4, "B/s received")):
        xs, ys = [p[0] for p in pts], [p[k] for p in pts]
        mx, my = sum(xs) / len(xs), sum(ys) / len(ys)
        den = sum((x - mx) ** 2 for x in xs)
        a = sum((x - mx) * (y - my) for x, y in zip(xs, ys)) / den
        b = my - a * mx
        res = max(abs(y - a * x - b) for x, y in zip(xs, ys))
        points = " ".join(f"{x:g}:{y:.2f}" for x, y in zip(xs, ys))
        print(f"{label:9} {role:9} {unit:13} slope {a:10.5f} intercept {b:9.3f} residual {res:7.3f} | {points}")
PY
