// Command stand runs small deployments of the project's own programs on loopback addresses, with
// stand-ins for the platform, its servers, clients and operator, for the cases under review/.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Ports are the same on all hosts, as on the platform.
const (
	fleetPort    = 7660
	debugPort    = 7675
	callerPort   = 8405
	readyPort    = 8406
	operatorPort = 8407
	listPort     = 8408
	serverPort   = 8363
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// program is one process of the fleet.
type program struct {
	name string
	ip   string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
}

// fleet is a small deployment.
type fleet struct {
	dir      string
	binary   string
	net      string // the first three numbers of all addresses
	rec      *record
	programs []*program
	controls []*program
	stores   []*program
	entries  []*program
	sides    []*program
	servers  []*server
	list     *http.Server
	hostNo   int
	mu       sync.Mutex // protects servers, the times at which they are listed, and odd
	odd      []any      // entries of the list by another writer
}

// newFleet reserves addresses and a folder.
func newFleet(recordPath string) (*fleet, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, rec: &record{file: file, start: time.Now()}}
	if f.binary, err = filepath.Abs("target/rhubarbgate"); err != nil {
		return nil, err
	}
	if _, err := os.Stat(f.binary); err != nil {
		return nil, err
	}
	for i := range 200 {
		f.net = fmt.Sprintf("127.%d.%d", 60+i%100, (os.Getpid()+i)%250)
		if f.netIsFree() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network")
}

// netIsFree reports whether no process listens at the addresses to be used.
func (f *fleet) netIsFree() bool {
	for host := 1; host < 40; host++ {
		for _, port := range []int{fleetPort, callerPort, readyPort, operatorPort, listPort, serverPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", f.net, host, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (f *fleet) nextIP() string {
	f.hostNo++
	return fmt.Sprintf("%s.%d", f.net, f.hostNo)
}

// zone returns the zone of the i-th host of a class.
func zone(i int) string { return "nbi-" + string(rune('a'+i%4)) }

// shape is the size of a deployment.
type shape struct{ controls, stores, entries, sides, plain int }

// start starts the stand-ins and all processes with the commands of the deploy file.
func (f *fleet) start(s shape) error {
	listIP := f.nextIP()
	var seeds []string
	for i := range s.controls {
		ip := f.nextIP()
		f.controls = append(f.controls, &program{name: fmt.Sprintf("core-%s-%d", zone(i), i+1), ip: ip})
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, operatorPort))
	}
	seedList := strings.Join(seeds, ",")
	list := fmt.Sprintf("%s:%d", listIP, listPort)
	fleetP, debug := strconv.Itoa(fleetPort), func(ip string) string { return fmt.Sprintf("%s:%d", ip, debugPort) }
	for i, p := range f.controls {
		p.args = []string{
			"control", "--target-list", list, "--data", filepath.Join(f.dir, p.name), "--listen", fmt.Sprintf("%s:%d", p.ip, fleetPort),
			"--operator", fmt.Sprintf("%s:%d", p.ip, operatorPort), "--seeds", seedList, "--fleet-port", fleetP, "--bootstrap=true", "--losses", "1",
			"--host-name", p.name, "--availability-zone", zone(i), "--debug", debug(p.ip),
		}
	}
	for i := range s.stores {
		p := &program{name: fmt.Sprintf("storage-%s-%d", zone(i), i+1), ip: f.nextIP()}
		p.args = []string{
			"store", "--data", filepath.Join(f.dir, p.name), "--listen", fmt.Sprintf("%s:%d", p.ip, fleetPort), "--seeds", seedList, "--fleet-port", fleetP,
			"--losses", "1", "--host-name", p.name, "--availability-zone", zone(i), "--retention", "10m", "--debug", debug(p.ip),
		}
		f.stores = append(f.stores, p)
	}
	for i := range s.entries {
		p := &program{name: fmt.Sprintf("edge-%s-%d", zone(i), i+1), ip: f.nextIP()}
		p.args = []string{
			"entry", "--listen", fmt.Sprintf("%s:%d", p.ip, callerPort), "--readiness", fmt.Sprintf("%s:%d", p.ip, readyPort), "--availability-zone", zone(i),
			"--control", seedList, "--fleet-port", fleetP, "--target-list", list, "--balancer-lag", "2500ms", "--grace", "6500ms", "--debug", debug(p.ip),
		}
		f.entries = append(f.entries, p)
	}
	for i := range s.sides {
		p := &program{name: fmt.Sprintf("side-%s-%d", zone(i), i+1), ip: f.nextIP()}
		x := newServer(f.rec, fmt.Sprintf("i-side%d", i), "lm-bay", zone(i), p.ip)
		f.servers = append(f.servers, x)
		p.args = []string{
			"side", "--target", x.address(), "--target-name", p.name, "--slots", "8", "--availability-zone", zone(i), "--control", seedList,
			"--fleet-port", fleetP, "--target-list", list, "--grace", "3s", "--entry-lag", "0s", "--debug", debug(p.ip),
		}
		f.sides = append(f.sides, p)
	}
	for i := range s.plain {
		f.servers = append(f.servers, newServer(f.rec, fmt.Sprintf("i-app%d", i), "ledger-app", zone(i), f.nextIP()))
	}
	for _, x := range f.servers {
		if err := x.listen(); err != nil {
			return err
		}
	}
	l, err := net.Listen("tcp", list)
	if err != nil {
		return err
	}
	f.list = &http.Server{Handler: http.HandlerFunc(f.serveList)}
	go func() { _ = f.list.Serve(l) }()
	for _, group := range [][]*program{f.controls, f.stores, f.entries, f.sides} {
		for _, p := range group {
			f.programs = append(f.programs, p)
			if err := f.launch(p); err != nil {
				return err
			}
		}
	}
	return nil
}

// launch starts a process; its output goes to a file in the folder.
func (f *fleet) launch(p *program) error {
	out, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(f.binary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		out.Close()
		return err
	}
	p.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		err := c.Wait()
		out.Close()
		f.rec.printf("process %s ended: %v", p.name, err)
		close(done)
	}(p.cmd, p.done)
	return nil
}

// stop ends all processes and stand-ins and removes the folder.
func (f *fleet) stop() {
	for _, p := range f.programs {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
		}
	}
	for _, p := range f.programs {
		if p.done != nil {
			<-p.done
		}
	}
	for _, x := range f.servers {
		x.close()
	}
	if f.list != nil {
		_ = f.list.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
	_ = f.rec.file.Close()
}

// listed returns copies of the servers, with the times at which the list shows them.
func (f *fleet) listed() []listedServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var r []listedServer
	for _, x := range f.servers {
		r = append(r, listedServer{x, x.listedFrom, x.listedUntil})
	}
	return r
}

// listedServer is a server and when the list shows it.
type listedServer struct {
	*server
	listedFrom, listedUntil time.Time
}

// serveList is the platform's list of servers.
func (f *fleet) serveList(w http.ResponseWriter, _ *http.Request) {
	type entry struct {
		Service  string  `json:"service"`
		Address  string  `json:"address"`
		Zone     string  `json:"zone"`
		Version  string  `json:"version"`
		Slots    int     `json:"slots"`
		State    string  `json:"state"`
		ColdLeft float64 `json:"cold_left_ms"`
		ID       string  `json:"id"`
	}
	list := []any{}
	now := time.Now()
	for _, x := range f.listed() {
		if !now.Before(x.listedFrom) && (x.listedUntil.IsZero() || now.Before(x.listedUntil)) {
			list = append(list, entry{x.service, x.address(), x.zone, "v1", x.slots, "ready", 0, x.id})
		}
	}
	f.mu.Lock()
	list = append(list, f.odd...)
	f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": list, "next_token": nil})
}

// Key and host of the tenant and of the routes.
const (
	tenantKey  = "2b9wu3fexd9dnn2ctnfz"
	tenantName = "huka270"
	otherKey   = "s989anu6wsjnbanfqasn"
	otherName  = "vute113"
	routeHost  = "ficu95.example"
	batchPath  = "/pule252/"
	safePath   = "/pufi791/"
	streamPath = "/lohu930/"
)

// configuration returns the operator's document.
func configuration(version int) []byte {
	route := func(name, path, kind, service string, timeout, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": routeHost, "path_prefix": path, "kind": kind, "timeout_ms": timeout, "aim_ms": 500, "priority": 0, "service": service,
			"max_attempts": attempts, "anonymous": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("r-lots", batchPath, "batch_job", "lm-bay", 15000, 3, map[string]any{"run_target_ms": 18000, "retention_s": 60}),
			route("r-notes", streamPath, "streaming", "lm-bay", 5000, 1, map[string]any{"resumable": false, "sticky": true, "gap_target_ms": 400}),
			route("r-cards", safePath, "safe", "ledger-app", 1500, 2, nil),
		},
		"services": []any{
			map[string]any{"name": "lm-bay", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 8}},
			map[string]any{"name": "lm-desk", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 8}},
			map[string]any{"name": "ledger-app", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": tenantName, "api_keys": []string{tenantKey}, "priority": 1, "rate_per_s": 61, "burst": 61},
			map[string]any{"name": otherName, "api_keys": []string{otherKey}, "priority": 1, "rate_per_s": 61, "burst": 61},
		},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// configure sends the configuration until it is acknowledged, and waits until all entries are ready.
func (f *fleet) configure() error {
	until := time.Now().Add(20 * time.Second)
	for i := 0; ; i++ {
		if time.Now().After(until) {
			return fmt.Errorf("the configuration was not acknowledged")
		}
		status, _, err := call(http.MethodPut, fmt.Sprintf("http://%s:%d/-/configuration", f.controls[i%len(f.controls)].ip, operatorPort), nil, configuration(1), time.Second)
		if err == nil && status == http.StatusOK {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.rec.printf("configuration 1 acknowledged")
	for _, p := range f.entries {
		for {
			status, _, err := call(http.MethodGet, fmt.Sprintf("http://%s:%d/-/ready", p.ip, readyPort), nil, nil, time.Second)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.rec.printf("all entries are ready")
	return nil
}

// call sends one request on a new connection and returns the status and the body of the answer.
func call(method, url string, headers map[string]string, body []byte, timeout time.Duration) (int, []byte, error) {
	c := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range headers {
		if k == "Host" {
			r.Host = v
			continue
		}
		r.Header.Set(k, v)
	}
	x, err := c.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer x.Body.Close()
	b, err := io.ReadAll(x.Body)
	return x.StatusCode, b, err
}
