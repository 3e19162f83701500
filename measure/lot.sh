#!/usr/bin/env bash
# Measures a job of 220,000 items: the time to accept it, the peak memory of the processes, and what the engines still run
# 2 s after it is cancelled.
set -euo pipefail
cd "$(dirname "$0")/.."
. measure/fleet.sh
. measure/jobs.sh
CONTROLS=3 ENTRIES=1 TARGETS=2
: "${ITEMS:=220000}"
start_fleet
peak() { awk '/VmHWM/ {printf "%.0f", $2 / 1024}' "/proc/${PID[$1]}/status"; }
echo "before: entry $(peak entry0) MiB, control $(peak control1) $(peak control2) $(peak control3) MiB"
t0=$(date +%s.%N)
job=$(submit_job "$ITEMS" 4 12h)
t1=$(date +%s.%N)
echo "accepted $ITEMS items ($(stat -c %s "$DIR/items.jsonl") bytes) in $(echo "$t1 - $t0" | bc 2>/dev/null || python3 -c "print(round($t1 - $t0, 2))") s, making of the file included"
echo "peak: entry $(peak entry0) MiB, control $(peak control1) $(peak control2) $(peak control3) MiB"
sleep 10
echo "done after 10 s: $(job_done "$job")"
curl -sf -X POST "http://127.0.0.1:$(entry_port 0)/v1/batches/$job/cancel" -H "Authorization: Bearer $(caller_key 0)" >/dev/null
sleep 2
a=$(for i in 0 1; do curl -sf "http://127.0.0.1:$(standin_port $i)/load"; done)
echo "engines 2 s after the cancel: $a"
