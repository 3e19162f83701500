#!/usr/bin/env bash
# Measures the control plane, also under failures: the time until a bundle is in force on all daemons, until a withdrawn key
# is refused, the gap in committed writes after a leader is killed, and the time until an entry that cannot reach the control
# hosts refuses requests.
set -euo pipefail
cd "$(dirname "$0")/.."
. measure/fleet.sh
CONTROLS=3 ENTRIES=2 TARGETS=3 WORKSPACES=2 SIDE_FLAGS="--entry-lag 200ms"
start_fleet
export DIR BIN BASE_PORT CONTROLS ENTRIES TARGETS
PIDS=""
for i in 1 2 3; do PIDS+="${PID[control$i]} "; done
export PIDS MEMBERS
python3 - <<'PY'
import concurrent.futures, hashlib, json, os, signal, subprocess, threading, time, urllib.request

D, B, base = os.environ["DIR"], os.environ["BIN"], int(os.environ["BASE_PORT"])
controls, entries, targets = (int(os.environ[k]) for k in ("CONTROLS", "ENTRIES", "TARGETS"))
pids = dict(zip((1, 2, 3), map(int, os.environ["PIDS"].split())))
env = dict(os.environ)

def run(*args):
    return subprocess.run([B, *args], capture_output=True, text=True, env=env)

def post(entry, path, body, key, headers={}):
    q = urllib.request.Request(f"http://127.0.0.1:{base+100+entry}{path}", data=body.encode(), headers={"Authorization": "Bearer " + key, **headers})
    try:
        with urllib.request.urlopen(q, timeout=10) as r:
            return r.status, dict(r.headers)
    except urllib.error.HTTPError as e:
        return e.code, dict(e.headers)
    except Exception:
        return 0, {}

def leader(group="1"):
    for i in range(1, controls + 1):
        env["RHUBARBGATE_OPERATOR"] = f"http://127.0.0.1:{base+50+i}"
        for line in run("status").stdout.splitlines():
            f = line.split()
            if len(f) > 3 and f[1] == group and f[2] == "Leader":
                return int(f[0])

def commit(put={}, remove={}):
    path = f"{D}/change.json"
    if os.path.exists(path):
        os.remove(path)
    run("bundle", "new", path)
    b = json.load(open(path))
    b["Put"], b["Remove"] = put, remove
    json.dump(b, open(path, "w"))
    run("bundle", "sign", path, "--name", "measure", "--key", f"{D}/operator.key")
    t = time.monotonic()
    r = run("bundle", "commit", path)
    assert r.returncode == 0, r.stderr
    return b["Version"], t, time.monotonic()

def version(port, name):
    return json.load(urllib.request.urlopen(f"http://127.0.0.1:{port}/debug/vars"))[name]["ConfigVersion"]

def report(name, xs, unit="s"):
    xs = sorted(xs)
    print(f"{name}: n {len(xs)}, median {xs[len(xs)//2]:.3f} {unit}, worst {xs[-1]:.3f} {unit}", flush=True)

# The time from the commit of a bundle until all daemons have applied it.
daemons = [(base + 600 + i, "Entry") for i in range(entries)] + [(base + 700 + i, "Side") for i in range(targets)]
times = []
for i in range(100):
    v, t0, t1 = commit({"Workspaces": [{"Name": "w1", "Rate": 1000 + i, "Burst": 1000}]})
    while any(version(p, n) < v for p, n in daemons):
        time.sleep(0.002)
    times.append(time.monotonic() - t1)
report("bundle in force on all daemons after the commit's answer", times)

# The time until a withdrawn key is refused.
times = []
for i in range(10):
    key = f"short-lived-{i}"
    digest = hashlib.sha256(key.encode()).hexdigest()
    commit({"Keys": [{"Digest": digest, "Workspace": "w0"}]})
    last, stop = [0.0], threading.Event()
    def hammer(e):
        while not stop.is_set():
            t = time.monotonic()
            if post(e, "/v1/completions", '{"model":"small","prompt":"x","max_tokens":1}', key)[0] == 200:
                last[0] = max(last[0], t)
    threads = [threading.Thread(target=hammer, args=(e,)) for e in range(entries) for _ in range(2)]
    [t.start() for t in threads]
    time.sleep(1)
    _, t0, t1 = commit(remove={"Keys": [digest]})
    time.sleep(2.5)
    stop.set()
    [t.join() for t in threads]
    times.append(max(0, last[0] - t0))
report("last request admitted with a withdrawn key, sent after the commit was sent", times)

# The gap between committed writes after the leader is killed.
times = []
for i in range(6):
    l = leader()
    stop, done = threading.Event(), []
    def write(n):
        k = 0
        while not stop.is_set():
            k += 1
            if post(n % entries, "/services/slips/x", "{}", "caller-key-0-0123456789", {"Idempotency-Key": f"{i}-{n}-{k}"})[0] == 200:
                done.append(time.monotonic())
    threads = [threading.Thread(target=write, args=(n,)) for n in range(4)]
    [t.start() for t in threads]
    time.sleep(1)
    os.kill(pids[l], signal.SIGKILL)
    t0 = time.monotonic()
    time.sleep(4)
    stop.set()
    [t.join() for t in threads]
    times.append(min(x for x in done if x > t0 + 0.05) - t0 if any(x > t0 + 0.05 for x in done) else 99)
    after = sorted(x for x in done if x > t0)
    gaps = [b - a for a, b in zip([t0] + after, after)]
    times[-1] = max(gaps)
    p = subprocess.Popen([B, "control", "--id", str(l), "--data", f"{D}/control{l}", "--listen", f"127.0.0.1:{base+l}", "--operator", f"127.0.0.1:{base+50+l}",
                          "--members", env["MEMBERS"], "--operators", f"{D}/operators.json"], env=env, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    pids[l] = p.pid
    time.sleep(2)
report("longest gap between committed writes after the leader's SIGKILL", times)

# An entry without control hosts: all of them are frozen, so connections stay open and nothing replies.
for pid in pids.values():
    os.kill(pid, signal.SIGSTOP)
t0, last, refused = time.monotonic(), 0, None
while time.monotonic() - t0 < 8:
    s, h = post(0, "/v1/completions", '{"model":"small","prompt":"x","max_tokens":1}', "caller-key-0-0123456789")
    if s == 200:
        last = time.monotonic() - t0
    elif refused is None:
        refused = (s, h.get("Rhubarbgate-Verdict"))
for pid in pids.values():
    os.kill(pid, signal.SIGCONT)
print(f"entry without control hosts: last request served {last:.2f} s after the cut, then {refused}")
t0 = time.monotonic()
while post(0, "/v1/completions", '{"model":"small","prompt":"x","max_tokens":1}', "caller-key-0-0123456789")[0] != 200:
    time.sleep(0.02)
print(f"served again {time.monotonic()-t0:.2f} s after the cut ended")
for pid in pids.values():
    os.kill(pid, signal.SIGKILL)
PY
