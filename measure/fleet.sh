# Functions that start a small fleet of real processes on loopback. Source this file.
# Settings: CONTROLS, ENTRIES, TARGETS, WORKSPACES (numbers), RATE and BURST of each workspace, SLOTS of each target,
# CONTROL_FLAGS, ENTRY_FLAGS, SIDE_FLAGS, STANDIN_FLAGS, STANDIN_FLAGS_OF[i] for target i, BASE_PORT; BIN is the program,
# which is built if it is missing. If KEEP is set, the directory with data and logs stays.

: "${CONTROLS:=3}" "${ENTRIES:=1}" "${TARGETS:=2}" "${WORKSPACES:=1}" "${RATE:=5000}" "${BURST:=5000}" "${SLOTS:=32}"
: "${SIDE_FLAGS:=}" "${ENTRY_FLAGS:=}" "${STANDIN_FLAGS:=}" "${CONTROL_FLAGS:=}" "${BASE_PORT:=17000}"
DIR=$(mktemp -d)
export RHUBARBGATE_CREDENTIAL=measure
BIN=${BIN:-$DIR/rhubarbgate}
declare -A PID

# start NAME COMMAND...: runs a process in the background and records its PID.
start() {
  local name=$1
  shift
  "$BIN" "$@" >"$DIR/$name.out" 2>"$DIR/$name.log" &
  PID[$name]=$!
}

stop_fleet() {
  kill -KILL "${PID[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  [ -n "${KEEP:-}" ] || rm -rf "$DIR"
}

control_port() { echo $((BASE_PORT + $1)); }
operator_port() { echo $((BASE_PORT + 50 + $1)); }
entry_port() { echo $((BASE_PORT + 100 + $1)); }
side_port() { echo $((BASE_PORT + 200 + $1)); }
standin_port() { echo $((BASE_PORT + 400 + $1)); }
caller_key() { echo "caller-key-$1-0123456789"; }

start_control() {
  start "control$1" control --id "$1" --data "$DIR/control$1" --listen "127.0.0.1:$(control_port "$1")" \
    --operator "127.0.0.1:$(operator_port "$1")" --members "$MEMBERS" --operators "$DIR/operators.json" $CONTROL_FLAGS
}

start_entry() {
  start "entry$1" entry --listen "127.0.0.1:$(entry_port "$1")" --control "$CONTROL_LIST" \
    --availability-zone "zone$(($1 % 2))" --debug "127.0.0.1:$((BASE_PORT + 600 + $1))" $ENTRY_FLAGS
}

start_target() {
  start "standin$1" standin --listen "127.0.0.1:$(standin_port "$1")" --slots "$SLOTS" ${STANDIN_FLAGS} ${STANDIN_FLAGS_OF[$1]:-}
  start "side$1" side --listen "127.0.0.1:$(side_port "$1")" --target "127.0.0.1:$(standin_port "$1")" --control "$CONTROL_LIST" \
    --availability-zone "zone$(($1 % 2))" --target-name "t$1" --slots "$SLOTS" --debug "127.0.0.1:$((BASE_PORT + 700 + $1))" $SIDE_FLAGS
}
declare -A STANDIN_FLAGS_OF

write_bundle() {
  python3 - "$DIR/bundle.json" "$TARGETS" "$WORKSPACES" "$RATE" "$BURST" "$SLOTS" "$BASE_PORT" <<'PY'
import hashlib, json, sys
path, targets, workspaces, rate, burst, slots, base = sys.argv[1], *map(float, sys.argv[2:])
b = json.load(open(path))
b["Put"] = {
    "Workspaces": [{"Name": f"w{i}", "Rate": rate, "Burst": burst, "Weight": 1} for i in range(int(workspaces))],
    "Keys": [{"Digest": hashlib.sha256(f"caller-key-{i}-0123456789".encode()).hexdigest(), "Workspace": f"w{i}"} for i in range(int(workspaces))],
    "Models": [{"Name": "small", "Timeout": 0}],
    "Routes": [{"Name": "slips"}, {"Name": "notes", "Idempotent": True}],
    "Targets": [{"Name": f"t{i}", "Address": f"127.0.0.1:{int(base) + 200 + i}", "AvailabilityZone": f"zone{i % 2}",
                 "Models": ["small"], "Routes": ["slips", "notes"], "Slots": int(slots)} for i in range(int(targets))],
    "Objectives": [{"Name": "online", "Goal": 0.95, "FirstToken": 1300000000, "BetweenTokens": 68000000}],
}
json.dump(b, open(path, "w"))
PY
}

# start_fleet: builds the program, starts all processes, commits a first bundle and waits until all entries serve.
start_fleet() {
  [ -x "$BIN" ] || go build -o "$BIN" ./cmd/rhubarbgate
  trap stop_fleet EXIT
  MEMBERS=""
  CONTROL_LIST=""
  for i in $(seq "$CONTROLS"); do
    MEMBERS+="$i=127.0.0.1:$(control_port "$i"),"
    CONTROL_LIST+="127.0.0.1:$(control_port "$i"),"
  done
  MEMBERS=${MEMBERS%,} CONTROL_LIST=${CONTROL_LIST%,}
  local public
  public=$("$BIN" key operator --out "$DIR/operator.key" | cut -d' ' -f2)
  echo "{\"Threshold\": 1, \"Keys\": {\"measure\": \"$public\"}}" >"$DIR/operators.json"
  for i in $(seq "$CONTROLS"); do start_control "$i"; done
  for i in $(seq 0 $((TARGETS - 1))); do start_target "$i"; done
  for i in $(seq 0 $((ENTRIES - 1))); do start_entry "$i"; done
  export RHUBARBGATE_OPERATOR="http://127.0.0.1:$(operator_port 1)"
  for _ in $(seq 100); do
    "$BIN" bundle new "$DIR/bundle.json" 2>/dev/null && break
    sleep 0.1
  done
  write_bundle
  "$BIN" bundle sign "$DIR/bundle.json" --name measure --key "$DIR/operator.key"
  for _ in $(seq 100); do
    "$BIN" bundle commit "$DIR/bundle.json" >/dev/null 2>"$DIR/commit.err" && break
    sleep 0.1
  done
  for i in $(seq 0 $((ENTRIES - 1))); do
    for _ in $(seq 100); do
      curl -sf -o /dev/null -m 5 "http://127.0.0.1:$(entry_port "$i")/v1/completions" -H "Authorization: Bearer $(caller_key 0)" \
        -d '{"model":"small","prompt":"ready","max_tokens":1}' && break
      sleep 0.1
    done
  done
}
