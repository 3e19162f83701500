package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"crypto/ed25519"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate/internal/http/operator"
	"rhubarbgate.example/rhubarbgate/internal/standin/engine"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const (
	testCredential = "operator-credential"
	testKey        = "caller-key-0123456789"
	// eventuallyTimeout bounds waits for conditions that usually hold in seconds.
	eventuallyTimeout = 2 * time.Minute
	// logTailBytes is how many bytes from the end of each process's log a failed test
	// prints: a few seconds of log.
	logTailBytes = 64 << 10
)

// binary is the path of the program under test, built once by TestMain.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rhubarbgate-test")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "rhubarbgate")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is a set of rhubarbgate processes on loopback, by their names: control1,
// entry0, side0, standin0 and so on.
type fleet struct {
	t           *testing.T
	dir         string
	addresses   map[string]string
	arguments   map[string][]string
	mu          sync.Mutex
	processes   map[string]*exec.Cmd
	operatorKey ed25519.PrivateKey
	controls    int
	entries     int
	targets     int
	number      byte
}

func newFleet(t *testing.T, controls, entries, targets int) *fleet {
	f := &fleet{
		t: t, dir: t.TempDir(), addresses: map[string]string{}, arguments: map[string][]string{}, processes: map[string]*exec.Cmd{},
		controls: controls, entries: entries, targets: targets, number: byte(fleetCount.Add(1)),
	}
	public, operatorKey, err := ed25519.GenerateKey(nil)
	qt.Assert(t, err, qt.IsNil)
	f.operatorKey = operatorKey
	operators := fmt.Sprintf(`{"Threshold":1,"Keys":{"test":%q}}`, base64.StdEncoding.EncodeToString(public))
	qt.Assert(t, os.WriteFile(f.path("operators.json"), []byte(operators), 0o600), qt.IsNil)
	f.certificates()
	f.setArguments()
	t.Cleanup(f.stop)
	for name := range f.arguments {
		f.start(name)
	}
	f.configure()
	return f
}

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

// command runs a subcommand of the program until it exits.
func (f *fleet) command(args ...string) {
	out, err := exec.Command(binary, args...).CombinedOutput()
	qt.Assert(f.t, err, qt.IsNil, qt.Commentf("%s", out))
}

func (f *fleet) certificates() {
	f.command("certificate", "authority", "--dir", f.dir)
	for _, role := range []string{"entry", "side", "control"} {
		f.command("certificate", "issue", role, role, "--dir", f.dir)
	}
}

func (f *fleet) tls(role string) []string {
	return []string{"--certificate", f.path(role + ".crt"), "--key", f.path(role + ".key"), "--authority", f.path("authority.crt")}
}

// fleetCount is the number of fleets that this test process has started, and
// testPort is the port of all their processes. Each process has its own loopback
// address, so that no free port has to be reserved and released again.
var fleetCount atomic.Uint32

const testPort = 17100

// address returns the address of a process or of its listener for operators. The
// test process's ID and the fleet's number keep fleets apart.
func (f *fleet) address(name string) string {
	if a, ok := f.addresses[name]; ok {
		return a
	}
	f.addresses[name] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(100 + os.Getpid()%100), f.number, byte(len(f.addresses) + 1)}), testPort).String()
	return f.addresses[name]
}

// setArguments sets the command lines of all processes.
func (f *fleet) setArguments() {
	var members, controls []string
	for i := 1; i <= f.controls; i++ {
		a := f.address(fmt.Sprintf("control%d", i))
		members = append(members, fmt.Sprintf("%d=%s", i, a))
		controls = append(controls, a)
	}
	list := strings.Join(controls, ",")
	for i := 1; i <= f.controls; i++ {
		name := fmt.Sprintf("control%d", i)
		f.arguments[name] = append([]string{
			"control", "--id", fmt.Sprint(i), "--data", f.path(name), "--listen", f.address(name), "--operator", f.address("operator" + name),
			"--members", strings.Join(members, ","), "--operators", f.path("operators.json"),
		}, f.tls("control")...)
	}
	for i := range f.entries {
		name := fmt.Sprintf("entry%d", i)
		f.arguments[name] = append([]string{
			"entry", "--listen", f.address(name), "--control", list, "--availability-zone", "z", "--balancer-lag", "200ms",
		}, f.tls("entry")...)
	}
	for i := range f.targets {
		engine, side := fmt.Sprintf("standin%d", i), fmt.Sprintf("side%d", i)
		f.arguments[engine] = []string{"standin", "--listen", f.address(engine), "--step", "5ms", "--slots", "16"}
		f.arguments[side] = append([]string{
			"side", "--listen", f.address(side), "--target", f.address(engine), "--control", list, "--availability-zone", "z",
			"--target-name", fmt.Sprintf("t%d", i), "--slots", "16", "--entry-lag", "300ms",
		}, f.tls("side")...)
	}
}

func (f *fleet) start(name string) {
	c := exec.Command(binary, f.arguments[name]...)
	c.Env = append(os.Environ(), "RHUBARBGATE_CREDENTIAL="+testCredential)
	log, err := os.OpenFile(f.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	qt.Assert(f.t, err, qt.IsNil)
	c.Stderr = log
	c.Stdout = log
	qt.Assert(f.t, c.Start(), qt.IsNil)
	log.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = c
}

// signalAndWait sends a signal, waits until the process exits and returns its exit
// error.
func (f *fleet) signalAndWait(name string, s os.Signal) error {
	f.mu.Lock()
	c := f.processes[name]
	delete(f.processes, name)
	f.mu.Unlock()
	if c == nil {
		return nil
	}
	_ = c.Process.Signal(s)
	return c.Wait()
}

func (f *fleet) kill(name string) { _ = f.signalAndWait(name, syscall.SIGKILL) }

// stop kills all processes and logs the end of their logs if the test has failed.
func (f *fleet) stop() {
	for name := range f.arguments {
		f.kill(name)
	}
	if !f.t.Failed() {
		return
	}
	for name := range f.arguments {
		if b, err := os.ReadFile(f.path(name + ".log")); err == nil && len(b) > 0 {
			f.t.Logf("%s:\n%s", name, b[max(0, len(b)-logTailBytes):])
		}
	}
}

func (f *fleet) operator() *operator.Client {
	// If control hosts have certificates, their listener for operators uses TLS too.
	return &operator.Client{Base: "https://" + f.address("operatorcontrol1"), Credential: testCredential, Authority: f.path("authority.crt")}
}

// eventually retries check until it succeeds, or fails the test after
// eventuallyTimeout.
func (f *fleet) eventually(what string, check func() error) {
	f.t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// configure commits the configuration and waits until every entry serves it.
func (f *fleet) configure() {
	var targets []rhubarbgate.Target
	for i := range f.targets {
		var x rhubarbgate.Target
		j := fmt.Sprintf(`{"Name":"t%d","Address":%q,"AvailabilityZone":"z","Models":["small"],"Routes":["slips"],"Slots":16}`, i, f.address(fmt.Sprintf("side%d", i)))
		qt.Assert(f.t, json.Unmarshal([]byte(j), &x), qt.IsNil)
		targets = append(targets, x)
	}
	f.commit(rhubarbgate.Section{
		Workspaces: []rhubarbgate.Workspace{{Name: "mwangi", Rate: 1000, Burst: 1000}, {Name: "guild", Rate: 1000, Burst: 1000}},
		Keys:       []rhubarbgate.Key{{Digest: keyDigest(testKey), Workspace: "mwangi"}},
		Models:     []rhubarbgate.Model{{Name: "small"}},
		Routes:     []rhubarbgate.Route{{Name: "slips"}},
		Targets:    targets,
	}, rhubarbgate.Removal{})
	for i := range f.entries {
		f.eventually("entry ready", func() error {
			_, err := f.post(i, "/v1/completions", `{"model":"small","prompt":"ready","max_tokens":1}`, "")
			return err
		})
	}
}

func keyDigest(s string) string {
	d := sha256.Sum256([]byte(s))
	return hex.EncodeToString(d[:])
}

// commit commits a change that is based on the version in force.
func (f *fleet) commit(put rhubarbgate.Section, remove rhubarbgate.Removal) {
	f.t.Helper()
	f.eventually("commit", func() error {
		x, err := f.operator().Configuration()
		if err != nil {
			return err
		}
		b := &rhubarbgate.Bundle{Base: x.Version, Version: x.Version + 1, Put: put, Remove: remove}
		config.Sign(b, "test", f.operatorKey)
		_, err = f.operator().Commit(b)
		return err
	})
}

// post sends a caller's request to an entry and returns the response's body; a
// status other than 200 is a statusError.
func (f *fleet) post(entry int, path, body, idempotencyKey string) ([]byte, error) {
	return f.call("POST", entry, path, body, idempotencyKey)
}

func (f *fleet) get(entry int, path string) ([]byte, error) {
	return f.call("GET", entry, path, "", "")
}

func (f *fleet) call(method string, entry int, path, body, idempotencyKey string) ([]byte, error) {
	q, err := http.NewRequest(method, "http://"+f.address(fmt.Sprintf("entry%d", entry))+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer "+testKey)
	if idempotencyKey != "" {
		q.Header.Set("Idempotency-Key", idempotencyKey)
	}
	c := http.Client{Timeout: 30 * time.Second}
	r, err := c.Do(q)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err == nil && r.StatusCode != http.StatusOK {
		err = &statusError{status: r.StatusCode, verdict: r.Header.Get("Rhubarbgate-Verdict"), body: string(b)}
	}
	return b, err
}

// statusError is a response with a status other than 200.
type statusError struct {
	status  int
	verdict string
	body    string
}

func (e *statusError) Error() string { return fmt.Sprintf("%d %s %s", e.status, e.verdict, e.body) }

// submit uploads items, starts a batch and returns its ID. It sends each step twice
// through each entry, like a caller that received no response, and checks that
// only one batch is created.
func (f *fleet) submit(name string, lines []string) string {
	f.t.Helper()
	var file, batch struct{ ID string }
	for i := range 2 * f.entries {
		f.eventually("upload", func() error {
			b, err := f.post(i%f.entries, "/v1/files", strings.Join(lines, "\n"), name+"-file")
			if err != nil {
				return err
			}
			return json.Unmarshal(b, &file)
		})
	}
	batchIDs := map[string]bool{}
	for i := range 2 * f.entries {
		f.eventually("batch", func() error {
			b, err := f.post(i%f.entries, "/v1/batches", fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/completions","completion_window":"1h"}`, file.ID), name+"-batch")
			if err != nil {
				return err
			}
			return json.Unmarshal(b, &batch)
		})
		batchIDs[batch.ID] = true
	}
	qt.Assert(f.t, batchIDs, qt.HasLen, 1, qt.Commentf("a resent submission made a second batch"))
	return batch.ID
}

type batchStatus struct {
	Status        string         `json:"status"`
	RequestCounts map[string]int `json:"request_counts"`
}

// awaitBatch waits until a batch has ended.
func (f *fleet) awaitBatch(id string) batchStatus {
	f.t.Helper()
	var s batchStatus
	f.eventually("batch "+id, func() error {
		b, err := f.get(f.entries-1, "/v1/batches/"+id)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(b, &s); err != nil {
			return err
		}
		if s.Status == "in_progress" {
			return fmt.Errorf("in progress: %v", s.RequestCounts)
		}
		return nil
	})
	return s
}

// output returns the result lines of a batch by custom ID, and checks that no item
// has two.
func (f *fleet) output(id string) map[string]map[string]any {
	f.t.Helper()
	var b []byte
	f.eventually("output", func() error {
		var err error
		b, err = f.get(0, "/v1/files/output-"+id+"/content")
		return err
	})
	r := map[string]map[string]any{}
	for _, line := range bytes.Split(bytes.TrimSpace(b), []byte("\n")) {
		var x map[string]any
		qt.Assert(f.t, json.Unmarshal(line, &x), qt.IsNil, qt.Commentf("%s", line))
		customID := x["custom_id"].(string)
		qt.Assert(f.t, r[customID], qt.IsNil, qt.Commentf("item %s has two results", customID))
		r[customID] = x
	}
	return r
}

// runCounts returns how many times each idempotency key reached the stand-in
// engines.
func (f *fleet) runCounts() map[string]int {
	total := map[string]int{}
	for i := range f.targets {
		r, err := http.Get("http://" + f.address(fmt.Sprintf("standin%d", i)) + "/record")
		qt.Assert(f.t, err, qt.IsNil)
		var x engine.Record
		err = json.NewDecoder(r.Body).Decode(&x)
		r.Body.Close()
		qt.Assert(f.t, err, qt.IsNil)
		for k, n := range x.Items {
			total[k] += n
		}
	}
	return total
}
