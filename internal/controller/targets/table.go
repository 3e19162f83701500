// Package targets keeps what an entry knows of the sides: their load, health and distance.
package targets

import (
	"context"
	"expvar"
	"math"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/policy/health"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const (
	// reportInterval is how often a near side reports its load.
	reportInterval = 200 * time.Millisecond
	// reportsPerSecond bounds the reports that an entry takes from all sides.
	reportsPerSecond = 40
	// thinning is the factor of the interval for each step of distance.
	thinning = 2
	// silentAfter is how long a side may be silent before others are preferred;
	// silentReports is the same in its own intervals.
	silentAfter   = 1500 * time.Millisecond
	silentReports = 3
	// reconnectPause is the wait before a report stream is opened again.
	reconnectPause = 200 * time.Millisecond
	// latencyMemory is the time constant with which the latency of a target that
	// is not used is forgotten, so that it is tried again.
	latencyMemory = 15 * time.Second
	// latencySmoothing is the weight of a new latency sample.
	latencySmoothing = 0.2
)

// Table follows the targets of the configuration in force.
type Table struct {
	Wire   *wire.Client
	Clock  clockwork.Clock
	Logger log.Interface
	// AvailabilityZone is the entry's own.
	AvailabilityZone string
	// Name is the entry's; it spreads the subsets of different entries.
	Name string
	// Subset bounds the targets of one model or route that the entry uses.
	Subset int
	// Ejections counts targets taken out for failures.
	Ejections *expvar.Int

	ejector health.Ejector
	mu      sync.RWMutex
	targets map[string]*state
	leaving map[netip.Addr]bool // by the platform's host list
	tasks   conc.WaitGroup
	ctx     context.Context
}

// state is one target as this entry sees it.
type state struct {
	target   atomic.Pointer[rhubarbgate.Target]
	inflight atomic.Int64
	latency  atomic.Uint64 // bits of a float64 in seconds
	noted    atomic.Int64  // Unix nanoseconds of the last latency
	report   atomic.Pointer[received]
	interval atomic.Int64 // of reports
	cancel   context.CancelFunc
}

type received struct {
	side.Report
	at time.Time
}

// Run follows reports until ctx ends. Call Update for each configuration.
func (t *Table) Run(ctx context.Context) {
	<-ctx.Done()
	t.tasks.Wait()
}

// Start prepares the table; reports are followed until ctx ends.
func (t *Table) Start(ctx context.Context) {
	t.ctx = ctx
	t.ejector.Clock = t.Clock
	t.targets = map[string]*state{}
}

// Update takes a new configuration.
func (t *Table) Update(c *config.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	chosen := subset(c, t.AvailabilityZone, t.Name, t.Subset)
	for name, s := range t.targets {
		x, ok := chosen[name]
		if !ok || x.Address != s.target.Load().Address {
			s.cancel()
			delete(t.targets, name)
		}
	}
	for name, x := range chosen {
		if s, ok := t.targets[name]; ok {
			s.target.Store(&x)
			continue
		}
		t.add(name, x)
	}
	t.ejector.Keep(func(name string) bool { return t.targets[name] != nil })
}

func (t *Table) add(name string, x rhubarbgate.Target) {
	ctx, cancel := context.WithCancel(t.ctx)
	s := &state{cancel: cancel}
	s.target.Store(&x)
	t.targets[name] = s
	t.tasks.Go(func() { t.follow(ctx, s, x.Address) })
}

// follow keeps a report stream open.
func (t *Table) follow(ctx context.Context, s *state, a netip.AddrPort) {
	for ctx.Err() == nil {
		t.session(ctx, s, a)
		select {
		case <-ctx.Done():
		case <-t.Clock.After(reconnectPause):
		}
	}
}

func (t *Table) session(ctx context.Context, s *state, a netip.AddrPort) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	interval := t.interval(s.target.Load())
	s.interval.Store(int64(interval))
	// A silent connection is given up, so that a new one can be tried.
	watchdog := t.Clock.AfterFunc(2*s.silence(), cancel)
	defer watchdog.Stop()
	r, err := wire.OpenServerStream[side.Report](ctx, t.Wire, a, side.MethodReport, &side.Watch{Interval: interval})
	if err != nil {
		return
	}
	defer r.Close()
	for {
		x, err := r.Next()
		if err != nil {
			return
		}
		watchdog.Reset(2 * s.silence())
		s.report.Store(&received{Report: *x, at: t.Clock.Now()})
	}
}

// interval is how often a side is to report: less often the farther it is and
// the more sides this entry follows.
func (t *Table) interval(x *rhubarbgate.Target) time.Duration {
	t.mu.RLock()
	n := len(t.targets)
	t.mu.RUnlock()
	d := max(reportInterval, time.Duration(n)*time.Second/reportsPerSecond)
	for range Distance(t.AvailabilityZone, x.AvailabilityZone) - 1 {
		d *= thinning
	}
	return d
}

// silence is how long the side may be silent.
func (s *state) silence() time.Duration {
	return max(silentAfter, silentReports*time.Duration(s.interval.Load()))
}

// Reported takes a report that came with an answer.
func (t *Table) Reported(name string, r *side.Report) {
	if s := t.state(name); s != nil && r != nil {
		s.report.Store(&received{Report: *r, at: t.Clock.Now()})
	}
}

// Candidates returns the targets that may serve a model or route, leaving out
// those named in tried. Silent and ejected targets are left out unless nothing
// else remains.
func (t *Table) Candidates(model, route string, tried map[string]bool) []rhubarbgate.Candidate {
	now := t.Clock.Now()
	var good, silent []rhubarbgate.Candidate
	t.mu.RLock()
	for name, s := range t.targets {
		x := s.target.Load()
		r := s.report.Load()
		if tried[name] || x.Leaving || t.leaving[x.Address.Addr()] || (r != nil && r.Leaving) || !serves(x, model, route) {
			continue
		}
		c := t.candidate(x, s, r)
		if r == nil || r.EngineDown || now.Sub(r.at) > s.silence() {
			silent = append(silent, c)
		} else {
			good = append(good, c)
		}
	}
	t.mu.RUnlock()
	if len(good) == 0 {
		good = silent
	}
	return t.healthy(good)
}

// Heard reports whether a target of the model has reported its load.
func (t *Table) Heard(model string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, s := range t.targets {
		if s.report.Load() != nil && serves(s.target.Load(), model, "") {
			return true
		}
	}
	return false
}

func (t *Table) healthy(c []rhubarbgate.Candidate) []rhubarbgate.Candidate {
	names := make([]string, len(c))
	for i := range c {
		names[i] = c[i].Name
	}
	usable := t.ejector.Usable(names)
	var r []rhubarbgate.Candidate
	for i := range c {
		if usable[i] {
			r = append(r, c[i])
		}
	}
	return r
}

func serves(x *rhubarbgate.Target, model, route string) bool {
	list, want := x.Models, model
	if route != "" {
		list, want = x.Routes, route
	}
	for _, s := range list {
		if s == want {
			return true
		}
	}
	return false
}

func (t *Table) candidate(x *rhubarbgate.Target, s *state, r *received) rhubarbgate.Candidate {
	inflight := int(s.inflight.Load())
	c := rhubarbgate.Candidate{
		Name: x.Name, Address: x.Address, AvailabilityZone: x.AvailabilityZone,
		Distance: Distance(t.AvailabilityZone, x.AvailabilityZone),
		Slots:    x.Slots,
		Inflight: inflight,
		Latency:  s.remembered(t.Clock.Now(), inflight),
	}
	if r != nil {
		c.Reported = r.Running + r.Queued
		c.Wait = r.Wait
	}
	return c
}

// Distance classifies how far two availability zones are apart: 1 for the same,
// 2 for the same region (the part before a slash), 3 otherwise.
func Distance(a, b string) int {
	if a == b {
		return 1
	}
	regionA, _, okA := strings.Cut(a, "/")
	regionB, _, okB := strings.Cut(b, "/")
	if okA && okB && regionA != regionB {
		return 3
	}
	return 2
}

// Begin counts a request at the target.
func (t *Table) Begin(name string) {
	if s := t.state(name); s != nil {
		s.inflight.Add(1)
	}
}

// Finish ends a request at the target. Failed requests count against its health.
func (t *Table) Finish(name string, latency time.Duration, failed bool) {
	s := t.state(name)
	if s == nil {
		return
	}
	s.inflight.Add(-1)
	if failed {
		if t.ejector.Fail(name) {
			t.Ejections.Add(1)
			t.Logger.WithField("target", name).Warn("target ejected after failures")
		}
		return
	}
	t.ejector.Succeed(name)
	if latency > 0 {
		s.note(latency, t.Clock.Now())
	}
}

func (t *Table) state(name string) *state {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.targets[name]
}

// remembered is the latency as last measured. While nothing is under way it is
// forgotten bit by bit, so that one request tries the target again.
func (s *state) remembered(now time.Time, inflight int) time.Duration {
	keep := 1.0
	if inflight == 0 {
		age := now.Sub(time.Unix(0, s.noted.Load()))
		keep = math.Exp(-age.Seconds() / latencyMemory.Seconds())
	}
	return time.Duration(math.Float64frombits(s.latency.Load()) * keep * float64(time.Second))
}

// Note adds a latency of the target before the request ends.
func (t *Table) Note(name string, latency time.Duration) {
	if s := t.state(name); s != nil {
		s.note(latency, t.Clock.Now())
	}
}

// note adds a latency sample to the moving average. A lost race loses a sample.
func (s *state) note(d time.Duration, now time.Time) {
	s.noted.Store(now.UnixNano())
	old := math.Float64frombits(s.latency.Load())
	x := d.Seconds()
	if old > 0 {
		x = old + latencySmoothing*(x-old)
	}
	s.latency.Store(math.Float64bits(x))
}
