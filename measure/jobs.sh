# Functions that submit batch jobs and read their progress. Source this file after fleet.sh.

# submit_job ITEMS MAX_TOKENS WINDOW [WORKSPACE]: submits a job of ITEMS items and prints its ID.
submit_job() {
  python3 - "$1" "$2" >"$DIR/items.jsonl" <<'PY'
import json, sys
for i in range(int(sys.argv[1])):
    print(json.dumps({"custom_id": f"i{i}", "method": "POST", "url": "/v1/completions",
                      "body": {"model": "small", "prompt": f"note {i} " + "words " * 40, "max_tokens": int(sys.argv[2])}}))
PY
  local url="http://127.0.0.1:$(entry_port 0)" key file
  key="Authorization: Bearer $(caller_key "${4:-0}")"
  file=$(curl -sf "$url/v1/files" -H "$key" -H "Content-Type: application/jsonl" --data-binary "@$DIR/items.jsonl" | python3 -c 'import json,sys; print(json.load(sys.stdin)["id"])')
  curl -sf "$url/v1/batches" -H "$key" -d "{\"input_file_id\":\"$file\",\"endpoint\":\"/v1/completions\",\"completion_window\":\"$3\"}" |
    python3 -c 'import json,sys; print(json.load(sys.stdin)["id"])'
}

# job_done ID [WORKSPACE]: prints how many items of the job are completed.
job_done() {
  curl -sf "http://127.0.0.1:$(entry_port 0)/v1/batches/$1" -H "Authorization: Bearer $(caller_key "${2:-0}")" |
    python3 -c 'import json,sys; print(json.load(sys.stdin)["request_counts"]["completed"])'
}

# counter DEBUG_PORT MAP NAME: prints a counter of a process's expvar map, 0 if it is missing.
counter() {
  curl -sf "http://127.0.0.1:$1/debug/vars" | python3 -c "import json,sys; print(json.load(sys.stdin)['$2'].get('$3', 0))"
}
