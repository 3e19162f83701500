package entry_test

import (
	"cmp"
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/role/entry"
	"rhubarbgate.example/rhubarbgate/internal/role/replica"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/platform"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

const (
	controlCount, entryCount, targetCount = 3, 3, 8
	callerKey                             = "key"
	callerTimeout                         = 4 * time.Second
	// noticeTime is how long after the fifth crash the fleet may still send requests with
	// the part that causes the crashes.
	noticeTime = 3 * time.Second
	crashPart  = "bad"
)

// fleet is a fleet in this process: control hosts, entries and emulated targets.
type fleet struct {
	t       *testing.T
	client  *platformtest.Client
	entries []netip.AddrPort
	targets []*platformtest.Target
	seeds   []netip.AddrPort // addresses of the control hosts
	// directory reads the list of targets.
	directory *platform.Directory
	running   sync.WaitGroup
	// balancerLag and grace are those of the entries; grace is 1 s if it is 0.
	balancerLag, grace time.Duration
	// sidePort is that of the sides, 0 if there are none.
	sidePort uint16
	// stopEntries stops all entries.
	stopEntries context.CancelFunc
}

// startFleet starts a fleet that runs until the test ends, and returns it once all entries serve.
// change changes each target before it starts.
func startFleet(t *testing.T, change func(x *platformtest.Target)) *fleet {
	return startFleetOf(t, targetCount, change)
}

// startFleetOf is like startFleet, with the given number of targets.
func startFleetOf(t *testing.T, targetCount int, change func(x *platformtest.Target)) *fleet {
	f := &fleet{t: t, client: platformtest.NewClient()}
	var list platformtest.List
	for i := range targetCount {
		x := &platformtest.Target{
			Instance: fmt.Sprintf("i-%d", i), Service: platformtest.TargetService, Zone: "z", Slots: 8, Events: 12, Pace: 10 * time.Millisecond,
			CrashPart: crashPart, Downtime: 700 * time.Millisecond,
		}
		change(x)
		qt.Assert(t, x.Start(), qt.IsNil)
		t.Cleanup(x.Close)
		f.targets = append(f.targets, x)
	}
	list.Set(f.targets)
	qt.Assert(t, list.Start(), qt.IsNil)
	t.Cleanup(list.Close)
	// Folders are removed after later cleanups, when no host writes to them any more.
	dir := t.TempDir()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		f.stopEntries()
		stop()
		f.running.Wait()
	})
	var listeners []net.Listener
	for range controlCount {
		l := f.listen()
		listeners = append(listeners, l)
		f.seeds = append(f.seeds, l.Addr().(*net.TCPAddr).AddrPort())
	}
	clock, logger := clockwork.NewRealClock(), &log.Logger{Handler: discard.New()}
	f.directory = &platform.Directory{Client: &target.Client{Address: list.Address()}}
	for i, l := range listeners {
		h := &replica.Host{
			Data: filepath.Join(dir, fmt.Sprint(i)), Listen: f.seeds[i], Seeds: f.seeds, Listener: l, Name: fmt.Sprint(i), AvailabilityZone: "z",
			ToleratedLosses: 1, JobGroups: 1, StoreGroups: 1, Directory: f.directory,
			Clock: clock, Random: rand.New(rand.NewPCG(uint64(i), 1)), Logger: logger, Metrics: new(expvar.Map).Init(),
		}
		qt.Assert(t, h.Open(), qt.IsNil)
		f.running.Go(func() { _ = h.Run(ctx) })
	}
	f.startEntries()
	f.configure(ctx, &control.Client{Wire: wire.NewClient(nil), Hosts: f.seeds, Clock: clock})
	f.awaitServing()
	return f
}

// startEntries starts the entries.
func (f *fleet) startEntries() {
	ctx, stop := context.WithCancel(context.Background())
	f.stopEntries, f.entries = stop, nil
	for i := range entryCount {
		d := &entry.Direct{
			Listener: f.listen(), Readiness: f.listen(), AvailabilityZone: "z", Control: f.seeds, Dialect: platform.Dialect{}, Directory: f.directory,
			Wire: wire.NewClient(nil), Clock: clockwork.NewRealClock(), Random: rand.New(rand.NewPCG(uint64(i), 2)), Logger: &log.Logger{Handler: discard.New()},
			Metrics: new(expvar.Map).Init(), MaxAge: 3 * time.Second, SidePort: f.sidePort,
			BalancerLag: f.balancerLag, Grace: cmp.Or(f.grace, time.Second),
		}
		f.entries = append(f.entries, d.Listener.Addr().(*net.TCPAddr).AddrPort())
		f.running.Go(func() { _ = d.Run(ctx) })
	}
}

// restartEntries replaces all entries by new ones, which know nothing of the requests before.
func (f *fleet) restartEntries() {
	f.stopEntries()
	f.startEntries()
	f.awaitServing()
}

// listen listens on a free loopback port.
func (f *fleet) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(f.t, err, qt.IsNil)
	return l
}

// configure commits a configuration.
func (f *fleet) configure(ctx context.Context, c *control.Client) {
	b, err := platform.DecodeConfiguration(platformtest.Document(1, map[string][]string{"w": {callerKey}}))
	qt.Assert(f.t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	r, err := c.Commit(ctx, &control.Commit{Bundle: *b})
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, r.Result.Err == nil, qt.IsTrue, qt.Commentf("%v", r.Result.Err))
}

// awaitServing waits until every entry serves a request.
func (f *fleet) awaitServing() {
	until := time.Now().Add(20 * time.Second)
	for i := range f.entries {
		for n := 0; !f.send(i, "safe", fmt.Sprintf("warm-%d-%d", i, n), nil); n++ {
			qt.Assert(f.t, time.Now().Before(until), qt.IsTrue, qt.Commentf("entry %d does not serve", i))
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// send sends a request to an entry and reports whether it was served.
func (f *fleet) send(entry int, route, id string, parts []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	r := f.client.SendPrompt(ctx, f.entries[entry], route, id, callerKey, callerTimeout, parts)
	return r.Err == nil && r.Status == 200
}

// crashes returns when targets crashed, in order.
func (f *fleet) crashes() []time.Time {
	var all []time.Time
	for _, x := range f.targets {
		all = append(all, x.Crashes()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// sentRequest is a request with a sound prompt.
type sentRequest struct {
	at     time.Time
	served bool
}

// soundCallers sends requests whose prompts share their first part with those that crash
// targets, until ctx ends, and returns them.
func (f *fleet) soundCallers(ctx context.Context) []sentRequest {
	var mu sync.Mutex
	var sent []sentRequest
	var callers sync.WaitGroup
	for c := range 12 {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(c), 3))
			for n := 0; ctx.Err() == nil; n++ {
				at := time.Now()
				route := []string{"stream", "resume"}[random.IntN(2)]
				parts := []string{"common", fmt.Sprintf("subject-%d", random.IntN(40)), fmt.Sprintf("own-%d-%d", c, n)}
				served := f.send(random.IntN(entryCount), route, fmt.Sprintf("sound-%d-%d", c, n), parts)
				mu.Lock()
				sent = append(sent, sentRequest{at, served})
				mu.Unlock()
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return sent
}

// servedShare returns the share of the requests sent from start until end that were served.
func servedShare(sent []sentRequest, start, end time.Time) float64 {
	n, served := 0, 0
	for _, r := range sent {
		if r.at.Before(start) || !r.at.Before(end) {
			continue
		}
		n++
		if r.served {
			served++
		}
	}
	return float64(served) / float64(max(n, 1))
}

// crashingCaller sends requests that crash targets.
type crashingCaller struct {
	// routes are those of the requests, in turn.
	routes []string
	// interval is the time from one request to the next.
	interval time.Duration
}

// TestPromptPartThatCrashesTargets guards against requests with one common part in their prompts
// ending one target after the other, and against refusing sound requests instead.
func TestPromptPartThatCrashesTargets(t *testing.T) {
	tests := []struct {
		name   string
		change func(x *platformtest.Target)
		bad    crashingCaller
	}{
		{"before the response", func(*platformtest.Target) {}, crashingCaller{[]string{"stream", "resume"}, 120 * time.Millisecond}},
		{"before the response, repeated by the entry", func(x *platformtest.Target) { x.CrashDelay = 80 * time.Millisecond }, crashingCaller{[]string{"resume"}, 120 * time.Millisecond}},
		// The event reaches the caller before the connection is closed.
		{"after an event, without a sign that more is missing", func(x *platformtest.Target) {
			x.Unframed, x.CrashEvents, x.CrashDelay = true, 1, 10*time.Millisecond
		}, crashingCaller{[]string{"stream", "resume"}, 120 * time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			startFleet(t, test.change).crashTargets(test.bad)
		})
	}
}

// TestPromptPartThatCrashesAllTargetsAtOnce guards against waiting for targets to end at different
// moments, while requests with one part in their prompts end all of them as soon as they are back.
func TestPromptPartThatCrashesAllTargetsAtOnce(t *testing.T) {
	startFleet(t, func(x *platformtest.Target) {
		x.CrashDelay, x.Downtime = 80*time.Millisecond, 2500*time.Millisecond
	}).crashTargets(crashingCaller{[]string{"resume"}, 30 * time.Millisecond})
}

// crashTargets sends sound requests and those that crash targets, and checks what reaches targets.
func (f *fleet) crashTargets(caller crashingCaller) {
	t := f.t
	start := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	sound := make(chan []sentRequest, 1)
	go func() { sound <- f.soundCallers(ctx) }()
	time.Sleep(1500 * time.Millisecond)

	firstBad := time.Now()
	var bad sync.WaitGroup
	for n := 0; ; n++ {
		c := f.crashes()
		if len(c) >= 5 && time.Since(c[4]) > 3*noticeTime || time.Since(firstBad) > 8*noticeTime {
			break
		}
		bad.Go(func() {
			f.send(n%entryCount, caller.routes[n/entryCount%len(caller.routes)], fmt.Sprintf("bad-%d", n), []string{"common", crashPart, fmt.Sprintf("bad-own-%d", n)})
		})
		time.Sleep(caller.interval)
	}
	bad.Wait()
	stop()
	sent := <-sound

	crashes := f.crashes()
	known := firstBad.Add(noticeTime)
	if len(crashes) >= 5 {
		known = crashes[4].Add(noticeTime)
	}
	late := 0
	for _, x := range f.targets {
		for _, r := range x.CrashingRuns() {
			if r.At.After(known) {
				late++
			}
		}
	}
	qt.Check(t, late <= 3, qt.IsTrue, qt.Commentf("%d requests with the part reached targets later than %v after the fifth crash; %d crashes", late, noticeTime, len(crashes)))
	before, after := servedShare(sent, start, firstBad), servedShare(sent, known.Add(noticeTime), time.Now())
	qt.Check(t, after >= before/2, qt.IsTrue, qt.Commentf("of the sound requests %.2f were served before the crashes, %.2f afterwards", before, after))
	t.Logf("%d crashes, %d late; served %.2f before, %.2f after", len(crashes), late, before, after)
}
