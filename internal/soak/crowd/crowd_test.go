// Package crowd tests that the memory and the descriptors of each process stay bounded, whatever its callers send.
package crowd

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcwire"

	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// The processes get half of the memory of their machines (184, 280, 216 and 304 MB), in megabytes,
// and a tenth of their descriptors, of which a part is reserved. dev has no machine of its own; its
// limit is near that of the largest one.
const (
	entryMemory   = 92
	controlMemory = 140
	sideMemory    = 108
	storeMemory   = 152
	devMemory     = 200

	descriptorLimit    = 420
	usableDescriptors  = 400
	bodyBytes          = 4 << 20 // the largest body of a caller within the limits
	documentBytes      = 16 << 20
	acceptedDocument   = 6 << 20 // larger ones do not fit into a message between processes (8 MiB)
	crowdSize          = 60      // clients that send bodies to a port
	documentCrowd      = 20      // clients that send documents to the operators' port
	messageCrowd       = 40      // clients that send messages to a port between processes
	connectionCrowd    = 600
	unfinishedMessage  = 7 << 20
	startTimeout       = time.Minute
	answerTimeout      = time.Minute
	sendTimeout        = 30 * time.Second
	callerKey          = "key-one-a"
	callerPort         = 18080
	readyPort          = 18081
	operatorPort       = 18082
	debugPort          = 18083
	fleetPort          = 17060
	targetPort         = 18084
	descriptorSampling = 20 * time.Millisecond
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rhubarbgate-crowd")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "rhubarbgate")
	if out, err := exec.Command("go", "build", "-o", binary, "rhubarbgate.example/rhubarbgate/cmd/rhubarbgate").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is one process of the system under test.
type process struct {
	name    string
	address netip.Addr
	command *exec.Cmd
	exited  chan struct{}
	log     string

	mu   sync.Mutex
	most int // descriptors that were open at a time
}

func (p *process) port(n uint16) netip.AddrPort { return netip.AddrPortFrom(p.address, n) }

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peakMemory returns VmHWM in megabytes.
func (p *process) peakMemory() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return -1
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmHWM:" {
			n, _ := strconv.Atoi(f[1])
			return n >> 10
		}
	}
	return -1
}

// sampleDescriptors records how many descriptors are open until the process ends.
func (p *process) sampleDescriptors() {
	for p.alive() {
		if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)); err == nil {
			p.mu.Lock()
			p.most = max(p.most, len(list))
			p.mu.Unlock()
		}
		time.Sleep(descriptorSampling)
	}
}

// stand is a deployment with one control host, one store host, one target with its side, and the
// entries that tests start.
type stand struct {
	t        *testing.T
	dir      string
	hosts    byte
	list     platformtest.List
	target   *platformtest.Target
	control  *process
	store    *process
	side     *process
	client   *platformtest.Client
	versions uint64
	jobs     int
}

// address returns an unused loopback address. The ID of the test process keeps concurrent runs apart.
func (s *stand) address() netip.Addr {
	s.hosts++
	return netip.AddrFrom4([4]byte{127, byte(160 + os.Getpid()%90), byte(os.Getpid() / 90 % 250), s.hosts})
}

// start runs a process with the given limit of memory in megabytes and the descriptorLimit. The
// settings are variables, which a program that does not know them ignores.
func (s *stand) start(name string, memory int, address netip.Addr, args ...string) *process {
	p := &process{name: name, address: address, exited: make(chan struct{}), log: filepath.Join(s.dir, name+".log")}
	out, err := os.Create(p.log)
	qt.Assert(s.t, err, qt.IsNil)
	p.command = exec.Command("/bin/sh", append([]string{"-c", fmt.Sprintf("ulimit -n %d; exec \"$@\"", descriptorLimit), "sh", binary}, args...)...)
	p.command.Env = append(os.Environ(), "GOMAXPROCS=2", fmt.Sprintf("RHUBARBGATE_MEMORY_LIMIT=%d", memory))
	p.command.Stdout, p.command.Stderr = out, out
	qt.Assert(s.t, p.command.Start(), qt.IsNil)
	go func() {
		_ = p.command.Wait()
		out.Close()
		close(p.exited)
	}()
	go p.sampleDescriptors()
	s.t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
		if b, err := os.ReadFile(p.log); err == nil && s.t.Failed() {
			s.t.Logf("last lines of %s:\n%s", p.name, b[max(0, len(b)-2000):])
		}
	})
	return p
}

// newStand starts a deployment and configures it.
func newStand(t *testing.T) *stand {
	s := &stand{t: t, dir: t.TempDir(), client: platformtest.NewClient()}
	qt.Assert(t, s.list.Start(), qt.IsNil)
	t.Cleanup(s.list.Close)
	s.target = &platformtest.Target{
		Instance: "i-0", Service: platformtest.TargetService, Zone: "zone-0", Slots: 8, Events: 3, Pace: 10 * time.Millisecond,
		PlainPrefixes: []string{"/safe/", "/unsafe/"},
		Fault: func(id string, _ int) platformtest.Fault {
			if strings.HasPrefix(id, "hang-") {
				return platformtest.Hang
			}
			return platformtest.None
		},
	}
	host := s.address() // of the target and its side
	qt.Assert(t, s.target.StartAt(netip.AddrPortFrom(host, targetPort)), qt.IsNil)
	t.Cleanup(s.target.Close)
	s.list.Set([]*platformtest.Target{s.target})
	a := s.address()
	s.control = s.start("control", controlMemory, a, append(s.replica("control", a, a), "--operator", netip.AddrPortFrom(a, operatorPort).String(),
		"--target-list", s.list.Address().String(), "--bootstrap=true")...)
	b := s.address()
	s.store = s.start("store", storeMemory, b, s.replica("store", b, a)...)
	s.side = s.start("side", sideMemory, host,
		"side", "--target", s.target.Address().String(), "--target-name", "side-0", "--slots", "8", "--availability-zone", "zone-0",
		"--control", s.control.port(fleetPort).String(), "--fleet-port", strconv.Itoa(fleetPort), "--target-list", s.list.Address().String(), "--grace", "3s")
	s.eventually("a configuration is accepted", s.configure)
	return s
}

// replica returns the arguments that control hosts and store hosts have in common.
func (s *stand) replica(role string, a, seed netip.Addr) []string {
	return []string{
		role, "--data", filepath.Join(s.dir, role), "--listen", netip.AddrPortFrom(a, fleetPort).String(), "--seeds", netip.AddrPortFrom(seed, fleetPort).String(),
		"--fleet-port", strconv.Itoa(fleetPort), "--losses", "0", "--host-name", role, "--availability-zone", "zone-0", "--store-groups", "1",
	}
}

// entry starts an entry and waits until it serves.
func (s *stand) entry(name string) *process {
	a := s.address()
	p := s.start(name, entryMemory, a,
		"entry", "--listen", netip.AddrPortFrom(a, callerPort).String(), "--readiness", netip.AddrPortFrom(a, readyPort).String(),
		"--debug", netip.AddrPortFrom(a, debugPort).String(), "--availability-zone", "zone-0", "--control", s.control.port(fleetPort).String(),
		"--fleet-port", strconv.Itoa(fleetPort), "--target-list", s.list.Address().String(), "--balancer-lag", "1s", "--grace", "2s")
	s.eventually("the entry serves", func() bool { return s.request(p) && s.job(p) })
	return p
}

// eventually repeats a call until it succeeds.
func (s *stand) eventually(what string, call func() bool) {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if call() {
			return
		}
	}
	s.t.Fatalf("not in time: %s", what)
}

// configure has the control host commit the next version of the configuration.
func (s *stand) configure() bool {
	s.versions++
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r := s.client.Put(ctx, s.control.port(operatorPort), platformtest.Document(s.versions, map[string][]string{"one": {callerKey}}))
	return r.Err == nil && r.Status == http.StatusOK
}

// request sends an ordinary online request to an entry.
func (s *stand) request(p *process) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s.jobs++
	r := s.client.Send(ctx, p.port(callerPort), "safe", fmt.Sprintf("ordinary-%d", s.jobs), callerKey, 5*time.Second)
	return r.Err == nil && r.Status == http.StatusOK
}

// job submits a batch job of one item to an entry.
func (s *stand) job(p *process) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s.jobs++
	id := fmt.Sprintf("job-%d", s.jobs)
	r := s.client.Submit(ctx, p.port(callerPort), id, callerKey, []string{id + "-item"})
	return r.Err == nil && r.Status == http.StatusAccepted
}

// get returns a call that succeeds if the address answers a request with status 200.
func get(address netip.AddrPort, path string) func() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	return func() bool {
		r, err := client.Get("http://" + address.String() + path)
		if err != nil {
			return false
		}
		defer r.Body.Close()
		_, err = io.Copy(io.Discard, r.Body)
		return err == nil && r.StatusCode == http.StatusOK
	}
}

// client sends what one client of a crowd has to send. The connection stays open afterwards.
type client func(c net.Conn, n int)

// sendCrowd runs n clients at once, each on a connection of its own, and waits until all of them have
// sent what they have to. It returns the function that closes the connections.
func sendCrowd(address netip.AddrPort, n int, send client) (end func()) {
	var mu sync.Mutex
	var open []net.Conn
	var clients conc.WaitGroup
	for i := range n {
		clients.Go(func() {
			c, err := net.DialTimeout("tcp", address.String(), sendTimeout)
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			_ = c.SetDeadline(time.Now().Add(sendTimeout))
			send(c, i)
		})
	}
	clients.Wait()
	return func() {
		for _, c := range open {
			c.Close()
		}
	}
}

// endure sends a crowd to a process and checks that it lives, that its memory and descriptors stay
// under their bounds, and that an ordinary request is answered while the crowd is still connected.
func (s *stand) endure(t *testing.T, p *process, memory int, address netip.AddrPort, n int, send client, ordinary func() bool) {
	defer sendCrowd(address, n, send)()
	answered := false
	for until := time.Now().Add(answerTimeout); !answered && p.alive() && time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		answered = ordinary()
	}
	qt.Check(t, p.alive(), qt.IsTrue, qt.Commentf("%s ended", p.name))
	qt.Check(t, answered, qt.IsTrue, qt.Commentf("no ordinary request was answered"))
	peak := p.peakMemory()
	p.mu.Lock()
	most := p.most
	p.mu.Unlock()
	t.Logf("%s: peak of memory %d MB (limit %d), of descriptors %d (limit %d)", p.name, peak, memory, most, usableDescriptors)
	qt.Check(t, peak >= 0 && peak <= memory, qt.IsTrue, qt.Commentf("peak of memory %d MB", peak))
	qt.Check(t, most <= usableDescriptors, qt.IsTrue, qt.Commentf("%d descriptors", most))
}

// head returns the head of a request with these further lines.
func head(method, path, id string, lines ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nAuthorization: Bearer " + callerKey + "\r\nX-Request-Id: " + id +
		"\r\nX-Deadline-Ms: 5000\r\n" + strings.Join(append(lines, ""), "\r\n") + "\r\n"
}

const chunked = "Transfer-Encoding: chunked"

// write sends text, times times over, until it fails.
func write(c net.Conn, b []byte, times int) {
	for range times {
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

// chunk returns a chunk of n bytes.
func chunk(n int) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", n, bytes.Repeat([]byte("x"), n)) }

// The clients of crowds, which send a request to a path.

// largeChunks sends a whole body but its last chunk, in large chunks.
func largeChunks(method, path string, total int) client {
	return func(c net.Conn, n int) {
		write(c, []byte(head(method, path, fmt.Sprintf("crowd-%d", n), chunked)), 1)
		write(c, chunk(64<<10), total/(64<<10))
	}
}

// tinyChunks sends a body in chunks of one byte, without its end.
func tinyChunks(method, path string, total int) client {
	return func(c net.Conn, n int) {
		write(c, []byte(head(method, path, fmt.Sprintf("crowd-%d", n), chunked)), 1)
		write(c, bytes.Repeat(chunk(1), 4<<10), total/(4<<10))
	}
}

// announced sends all but the last byte of a body with a length.
func announced(method, path string, total int) client {
	return func(c net.Conn, n int) {
		write(c, []byte(head(method, path, fmt.Sprintf("crowd-%d", n), fmt.Sprintf("Content-Length: %d", total))), 1)
		write(c, bytes.Repeat([]byte("x"), total-1), 1)
	}
}

// farAnnounced announces a body far over the limit and sends it until it is refused.
func farAnnounced(method, path string) client {
	return func(c net.Conn, n int) {
		write(c, []byte(head(method, path, fmt.Sprintf("crowd-%d", n), "Content-Length: 1000000000")), 1)
		write(c, bytes.Repeat([]byte("x"), 64<<10), 512)
	}
}

// whole sends a complete body of bytes that differ between the clients.
func whole(method, path, id string, total int) client {
	return func(c net.Conn, n int) {
		write(c, []byte(head(method, path, fmt.Sprintf("%s-%d", id, n), fmt.Sprintf("Content-Length: %d", total))), 1)
		write(c, bytes.Repeat([]byte{byte('a' + n%26)}, total), 1)
	}
}

// batchJob submits the same whole batch job, whose items fill a body.
func batchJob(c net.Conn, _ int) {
	var b strings.Builder
	body := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("x"), 15_000))
	for i := range 190 {
		fmt.Fprintf(&b, `,{"id":"i%d","path":"/batch/i%d","body":%q}`, i, i, body)
	}
	text := `{"items":[` + b.String()[1:] + "]}"
	write(c, []byte(head("POST", "/batch/large", "large", fmt.Sprintf("Content-Length: %d", len(text)))+text), 1)
}

// endlessExtension sends a chunk whose extension does not end, endlessTrailer a trailer.
func endlessExtension(c net.Conn, n int) {
	write(c, []byte(head("POST", "/safe/x", fmt.Sprintf("crowd-%d", n), chunked)+"5;x="), 1)
	write(c, bytes.Repeat([]byte("x"), 64<<10), 128)
}

func endlessTrailer(c net.Conn, n int) {
	write(c, []byte(head("POST", "/safe/x", fmt.Sprintf("crowd-%d", n), chunked, "Trailer: X-A")+"1\r\nx\r\n0\r\nX-A: "), 1)
	write(c, bytes.Repeat([]byte("x"), 64<<10), 128)
}

// endlessHead sends a head that does not end, partHead stops within one.
func endlessHead(c net.Conn, _ int) {
	write(c, []byte("POST /safe/x HTTP/1.1\r\nHost: a\r\n"), 1)
	write(c, []byte("X-Line: "+strings.Repeat("x", 1000)+"\r\n"), 4096)
}

func partHead(c net.Conn, _ int) {
	write(c, []byte("POST /safe/x HTTP/1.1\r\nHost: a\r\nX-Line: "+strings.Repeat("x", 12_000)), 1)
}

func silent(net.Conn, int) {}

// pipelined sends many requests without reading a response.
func pipelined(c net.Conn, n int) {
	var b strings.Builder
	for i := range 200 {
		body := strings.Repeat("x", 32<<10)
		b.WriteString(head("POST", "/safe/x", fmt.Sprintf("pipelined-%d-%d", n, i), fmt.Sprintf("Content-Length: %d", len(body))) + body)
	}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	write(c, []byte(b.String()), 1)
}

// unread asks for a response and does not read it.
func unread(method, path string) client {
	return func(c net.Conn, n int) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		write(c, []byte(head(method, path, fmt.Sprintf("unread-%d", n))), 1)
		time.Sleep(time.Second)
	}
}

// unfinishedFrame sends all but the end of a message between processes, which announces its length.
func unfinishedFrame(c net.Conn, _ int) {
	b := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage, Done: true, Data: make([]byte, unfinishedMessage)})
	write(c, b[:len(b)-1], 1)
}

// unfinishedFrames sends a message between processes in many frames, without the last one.
func unfinishedFrames(c net.Conn, _ int) {
	for range unfinishedMessage >> 16 {
		write(c, drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage, Data: make([]byte, 1<<16)}), 1)
	}
}

// TestUnfinishedBodiesAtEntry guards against an entry that runs out of memory because of bodies that
// are large or do not end, and against one that no longer answers others beside them.
func TestUnfinishedBodiesAtEntry(t *testing.T) {
	s := newStand(t)
	for _, x := range []struct {
		name string
		send client
	}{
		{"large chunks", largeChunks("POST", "/safe/x", bodyBytes-(64<<10))},
		{"tiny chunks", tinyChunks("POST", "/safe/x", 1<<20+4<<10)},
		{"announced", announced("POST", "/safe/x", bodyBytes)},
		{"far over the limit in chunks", largeChunks("POST", "/safe/x", 16*bodyBytes)},
		{"far over the limit announced", farAnnounced("POST", "/safe/x")},
		{"endless extension", endlessExtension},
		{"endless trailer", endlessTrailer},
		{"endless head", endlessHead},
		{"part of a head", partHead},
		{"pipelined", pipelined},
		{"body of a read", largeChunks("GET", "/-/lots/none", bodyBytes-(64<<10))},
		{"batch job without its end", announced("POST", "/batch/x", bodyBytes)},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := s.entry("entry-" + strings.ReplaceAll(x.name, " ", "-"))
			s.endure(t, p, entryMemory, p.port(callerPort), crowdSize, x.send, func() bool { return s.request(p) })
		})
	}
}

// TestCrowdOfWholeRequestsAtEntry guards against an entry that runs out of memory because of complete
// requests, which it keeps until a target has answered, because of batch jobs, whose decoding copies
// them, and because of responses that nobody reads.
func TestCrowdOfWholeRequestsAtEntry(t *testing.T) {
	s := newStand(t)
	s.target.BodyBytes = 8 << 20
	for _, x := range []struct {
		name string
		send client
	}{
		{"kept for a target that hangs", whole("POST", "/safe/x", "hang", bodyBytes)},
		{"batch jobs", batchJob},
		{"unread responses", unread("POST", "/safe/x")},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := s.entry("entry-" + strings.ReplaceAll(x.name, " ", "-"))
			s.endure(t, p, entryMemory, p.port(callerPort), crowdSize, x.send, func() bool { return s.request(p) })
			qt.Check(t, s.store.alive(), qt.IsTrue)
		})
	}
}

// TestMemoryOfReadinessAndMetrics guards against an entry that runs out of memory because of bodies at
// the ports that serve no callers.
func TestMemoryOfReadinessAndMetrics(t *testing.T) {
	s := newStand(t)
	for _, x := range []struct {
		name string
		port uint16
		path string
	}{
		{"readiness", readyPort, "/"},
		{"metrics", debugPort, "/debug/vars"},
	} {
		for _, body := range []struct {
			name string
			send client
		}{
			{"large chunks", largeChunks("POST", x.path, bodyBytes-(64<<10))},
			{"announced", announced("POST", x.path, bodyBytes-(64<<10))},
		} {
			t.Run(x.name+" "+body.name, func(t *testing.T) {
				p := s.entry("entry-" + x.name + strings.ReplaceAll(body.name, " ", "-"))
				s.endure(t, p, entryMemory, p.port(x.port), crowdSize, body.send, get(p.port(x.port), x.path))
			})
		}
	}
}

// TestUnfinishedDocumentsAtControlHost guards against a control host that runs out of memory because of
// bodies at the operators' port.
func TestUnfinishedDocumentsAtControlHost(t *testing.T) {
	for _, x := range []struct {
		name string
		send client
	}{
		{"endless chunks", largeChunks("PUT", "/-/configuration", 2*documentBytes)},
		{"tiny chunks", tinyChunks("PUT", "/-/configuration", 1<<20+4<<10)},
		{"announced", announced("PUT", "/-/configuration", documentBytes)},
		{"far over the limit announced", farAnnounced("PUT", "/-/configuration")},
		{"whole", whole("PUT", "/-/configuration", "whole", documentBytes)},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newStand(t)
			s.endure(t, s.control, controlMemory, s.control.port(operatorPort), documentCrowd, x.send, s.configure)
		})
	}
}

// continuity asks a side about its target, as entries do.
func (s *stand) continuity() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c := wire.NewClient(nil)
	defer c.Close()
	_, err := wire.Call[side.ContinuityReply](ctx, c, s.side.port(fleetPort), side.MethodContinuity, &side.Continuity{Target: s.target.Address()})
	return err == nil
}

// TestUnfinishedMessagesBetweenProcesses guards against processes that run out of memory because of
// messages at their ports for each other.
func TestUnfinishedMessagesBetweenProcesses(t *testing.T) {
	for _, x := range []struct {
		name   string
		memory int
		of     func(s *stand) *process
	}{
		{"control", controlMemory, func(s *stand) *process { return s.control }},
		{"store", storeMemory, func(s *stand) *process { return s.store }},
		{"side", sideMemory, func(s *stand) *process { return s.side }},
	} {
		for _, message := range []struct {
			name string
			send client
		}{{"one frame", unfinishedFrame}, {"many frames", unfinishedFrames}} {
			t.Run(x.name+" "+message.name, func(t *testing.T) {
				s := newStand(t)
				e := s.entry("entry")
				p := x.of(s)
				s.endure(t, p, x.memory, p.port(fleetPort), messageCrowd, message.send, func() bool { return s.ordinary(p, e) })
			})
		}
	}
}

// ordinary makes a call that needs the port of a process for the others.
func (s *stand) ordinary(p, entry *process) bool {
	switch p {
	case s.control:
		return s.configure()
	case s.store:
		return s.job(entry)
	default:
		return s.continuity()
	}
}

// TestCrowdOfConnections guards against processes that run out of descriptors, or end because they
// have none to accept a connection, at each of their ports.
func TestCrowdOfConnections(t *testing.T) {
	for _, x := range []struct {
		name string
		port uint16
		of   func(s *stand, entry *process) *process
	}{
		{"callers", callerPort, func(_ *stand, entry *process) *process { return entry }},
		{"readiness", readyPort, func(_ *stand, entry *process) *process { return entry }},
		{"metrics", debugPort, func(_ *stand, entry *process) *process { return entry }},
		{"operators", operatorPort, func(s *stand, _ *process) *process { return s.control }},
		{"control", fleetPort, func(s *stand, _ *process) *process { return s.control }},
		{"store", fleetPort, func(s *stand, _ *process) *process { return s.store }},
		{"side", fleetPort, func(s *stand, _ *process) *process { return s.side }},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newStand(t)
			e := s.entry("entry")
			p := x.of(s, e)
			memory, ordinary := entryMemory, func() bool { return s.request(e) }
			switch p {
			case s.control:
				memory = controlMemory
			case s.store:
				memory = storeMemory
			case s.side:
				memory = sideMemory
			}
			switch x.port {
			case readyPort:
				ordinary = get(e.port(readyPort), "/")
			case debugPort:
				ordinary = get(e.port(debugPort), "/debug/vars")
			case operatorPort:
				ordinary = s.configure
			case fleetPort:
				ordinary = func() bool { return s.ordinary(p, e) }
			}
			s.endure(t, p, memory, p.port(x.port), connectionCrowd, silent, ordinary)
		})
	}
}

// TestMemoryOfOwnAPI guards against the product's own API running out of memory or descriptors.
func TestMemoryOfOwnAPI(t *testing.T) {
	line := `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"small","messages":[{"role":"user","content":"` + strings.Repeat("x", 1<<20-200) + `"}]}}`
	upload := func(c net.Conn, n int) {
		write(c, []byte(head("POST", "/v1/files", fmt.Sprintf("crowd-%d", n), chunked)), 1)
		write(c, fmt.Appendf(nil, "%x\r\n%s\r\n", len(line)-1, line[:len(line)-1]), 1)
	}
	for _, x := range []struct {
		name string
		n    int
		send client
	}{
		{"chunked", crowdSize, largeChunks("POST", "/v1/chat/completions", bodyBytes-(64<<10))},
		{"announced", crowdSize, announced("POST", "/v1/chat/completions", bodyBytes)},
		{"files", 3 * crowdSize, upload},
		{"batches", crowdSize, largeChunks("POST", "/v1/batches", bodyBytes-(64<<10))},
		{"silent", connectionCrowd, silent},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := &stand{t: t, dir: t.TempDir()}
			a := s.address()
			p := s.start("dev", devMemory, a, "dev", "--listen", netip.AddrPortFrom(a, callerPort).String(), "--operator", netip.AddrPortFrom(a, operatorPort).String(), "--caller-key", callerKey)
			ready := get(p.port(callerPort), "/healthz")
			s.eventually("dev serves", ready)
			s.endure(t, p, devMemory, p.port(callerPort), x.n, x.send, ready)
		})
	}
}

// TestLargestRequestsWithinMemory guards against refusing a single request that keeps to the limits:
// a body of 4 MiB with a length or in chunks, a batch job of that size, a head of 16 KiB, and a large configuration.
func TestLargestRequestsWithinMemory(t *testing.T) {
	s := newStand(t)
	p := s.entry("entry")
	exchange := func(request []byte) string {
		c, err := net.Dial("tcp", p.port(callerPort).String())
		qt.Assert(t, err, qt.IsNil)
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(sendTimeout))
		write(c, request, 1)
		b := make([]byte, len("HTTP/1.1 200"))
		_, err = io.ReadFull(c, b)
		qt.Check(t, err, qt.IsNil)
		return string(b)
	}
	body := bytes.Repeat([]byte("x"), bodyBytes)
	withLength := append([]byte(head("POST", "/safe/x", "length", fmt.Sprintf("Content-Length: %d", len(body)))), body...)
	qt.Check(t, exchange(withLength), qt.Equals, "HTTP/1.1 200")
	inChunks := append([]byte(head("POST", "/safe/x", "chunks", chunked)), bytes.Repeat(chunk(64<<10), bodyBytes/(64<<10))...)
	qt.Check(t, exchange(append(inChunks, "0\r\n\r\n"...)), qt.Equals, "HTTP/1.1 200")
	padding := 16<<10 - len(head("POST", "/safe/x", "head", "Content-Length: 0", "X-Padding: "))
	qt.Check(t, exchange([]byte(head("POST", "/safe/x", "head", "Content-Length: 0", "X-Padding: "+strings.Repeat("x", padding)))), qt.Equals, "HTTP/1.1 200")
	items := fmt.Sprintf(`{"items":[{"id":"i","path":"/batch/i","body":%q}]}`, base64.StdEncoding.EncodeToString(body[:3<<20-300]))
	qt.Check(t, exchange([]byte(head("POST", "/batch/one", "one", fmt.Sprintf("Content-Length: %d", len(items)))+items)), qt.Equals, "HTTP/1.1 202")
	s.versions++
	document := platformtest.Document(s.versions, map[string][]string{"one": {callerKey}})
	document = append(document, bytes.Repeat([]byte(" "), acceptedDocument-len(document))...)
	r := s.client.Put(context.Background(), s.control.port(operatorPort), document)
	qt.Check(t, r.Err, qt.IsNil)
	qt.Check(t, r.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.Body))
	qt.Check(t, p.peakMemory() <= entryMemory, qt.IsTrue, qt.Commentf("%d MB", p.peakMemory()))
	qt.Check(t, s.control.peakMemory() <= controlMemory, qt.IsTrue, qt.Commentf("%d MB", s.control.peakMemory()))
}
