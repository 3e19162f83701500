// Package targets keeps the state of each target as one entry observes it: reported load, latency, health and distance.
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
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/policy/health"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const (
	// minReportInterval is the time between two load reports of a side in the same
	// availability zone.
	minReportInterval = 200 * time.Millisecond
	// maxReportsPerSecond bounds the reports that an entry receives from all sides
	// together: above 8 targets the interval grows with their number.
	maxReportsPerSecond = 40
	// intervalPerDistance multiplies the interval for each step of Distance above 1.
	intervalPerDistance = 2
	// A side without a report for the longer of minReportTimeout and maxMissedReports
	// of its own intervals is a candidate only if no other is left.
	minReportTimeout = 1500 * time.Millisecond
	maxMissedReports = 3
	// reconnectInterval is the wait before a report stream is opened again.
	reconnectInterval = 200 * time.Millisecond
	// latencyDecay is the time constant with which the latency of an idle target
	// decays to 0, so that a target that was slow is tried again.
	latencyDecay = 15 * time.Second
	// latencySampleWeight is the weight of a new sample in the moving average.
	latencySampleWeight = 0.2
)

// Table holds the targets that the entry uses out of the current configuration. Set
// the exported fields and call Start before the other methods.
type Table struct {
	Wire   *wire.Client
	Clock  clockwork.Clock
	Logger log.Interface
	// AvailabilityZone is that of the entry.
	AvailabilityZone string
	// Name is the entry's name; it makes the subsets of different entries differ.
	Name string
	// Subset is the highest number of targets of one model or route that the entry
	// uses; 0 means all.
	Subset int
	// Ejections counts the ejections of targets after failures.
	Ejections *expvar.Int

	evacuated atomic.Pointer[evacuation.Set]

	ejector health.Ejector
	mu      sync.RWMutex
	targets map[string]*targetState
	leaving map[netip.Addr]bool // from the platform's list of hosts
	tasks   conc.WaitGroup
	ctx     context.Context
}

// targetState is one target with its state as this entry observes it.
type targetState struct {
	target          atomic.Pointer[rhubarbgate.Target]
	inFlight        atomic.Int64
	latency         atomic.Uint64 // bits of a float64 in seconds
	latencyUnixNano atomic.Int64  // time of the last latency sample
	report          atomic.Pointer[receivedReport]
	interval        atomic.Int64 // of reports
	cancel          context.CancelFunc
}

// receivedReport is a load report and when it arrived.
type receivedReport struct {
	side.Report
	at time.Time
}

// Run waits until ctx ends and all report streams are closed. ctx is that of Start.
func (t *Table) Run(ctx context.Context) {
	<-ctx.Done()
	t.tasks.Wait()
}

// Start prepares the table. Call Update for each configuration; reports of its
// targets are received until ctx ends.
func (t *Table) Start(ctx context.Context) {
	t.ctx = ctx
	t.ejector.Clock = t.Clock
	t.targets = map[string]*targetState{}
}

// Update applies a new configuration. A target with a new address starts without
// load and latency.
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
	t.ejector.Retain(func(name string) bool { return t.targets[name] != nil })
}

// add adds a target and opens its report stream. The lock is held.
func (t *Table) add(name string, x rhubarbgate.Target) {
	ctx, cancel := context.WithCancel(t.ctx)
	s := &targetState{cancel: cancel}
	s.target.Store(&x)
	t.targets[name] = s
	t.tasks.Go(func() { t.followReports(ctx, s, x.Address) })
}

// followReports keeps a report stream to a target open until ctx ends.
func (t *Table) followReports(ctx context.Context, s *targetState, a netip.AddrPort) {
	for ctx.Err() == nil {
		t.readReports(ctx, s, a)
		select {
		case <-ctx.Done():
		case <-t.Clock.After(reconnectInterval):
		}
	}
}

// readReports opens a report stream and stores its reports until it fails.
func (t *Table) readReports(ctx context.Context, s *targetState, a netip.AddrPort) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	interval := t.interval(s.target.Load())
	s.interval.Store(int64(interval))
	// Close a stream without reports, so that a new connection is opened.
	watchdog := t.Clock.AfterFunc(2*s.reportTimeout(), cancel)
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
		watchdog.Reset(2 * s.reportTimeout())
		s.report.Store(&receivedReport{Report: *x, at: t.Clock.Now()})
	}
}

// interval returns the time between two reports that the entry requests of a side:
// longer for each step of distance and with the number of targets in the table.
func (t *Table) interval(x *rhubarbgate.Target) time.Duration {
	t.mu.RLock()
	n := len(t.targets)
	t.mu.RUnlock()
	d := max(minReportInterval, time.Duration(n)*time.Second/maxReportsPerSecond)
	for range Distance(t.AvailabilityZone, x.AvailabilityZone) - 1 {
		d *= intervalPerDistance
	}
	return d
}

// reportTimeout returns the time without a report after which other targets are preferred.
func (s *targetState) reportTimeout() time.Duration {
	return max(minReportTimeout, maxMissedReports*time.Duration(s.interval.Load()))
}

// RecordReport stores a report that a target sent with a response, if the table holds
// the target.
func (t *Table) RecordReport(name string, r *side.Report) {
	if s := t.state(name); s != nil && r != nil {
		s.report.Store(&receivedReport{Report: *r, at: t.Clock.Now()})
	}
}

// Candidates returns the targets that may serve a model, or a route if one is given.
// It leaves out leaving targets, those in evacuated zones and those named in tried. Targets without a recent
// report and those whose engine is down are used only if no other is left; ejected
// ones only if too many are ejected.
func (t *Table) Candidates(model, route string, tried map[string]bool) []rhubarbgate.Candidate {
	now := t.Clock.Now()
	evacuated := t.Evacuation()
	var reporting, notReporting []rhubarbgate.Candidate
	t.mu.RLock()
	for name, s := range t.targets {
		x := s.target.Load()
		r := s.report.Load()
		if tried[name] || x.Leaving || evacuated.Has(x.AvailabilityZone) || t.leaving[x.Address.Addr()] || (r != nil && r.Leaving) || !serves(x, model, route) {
			continue
		}
		c := t.candidate(x, s, r)
		if r == nil || r.EngineDown || now.Sub(r.at) > s.reportTimeout() {
			notReporting = append(notReporting, c)
		} else {
			reporting = append(reporting, c)
		}
	}
	t.mu.RUnlock()
	if len(reporting) == 0 {
		reporting = notReporting
	}
	return t.healthy(reporting)
}

// SetEvacuation replaces the evacuated zones, which were known to be the newest at the given time.
func (t *Table) SetEvacuation(s evacuation.Set, at time.Time) {
	last := t.Evacuation()
	t.evacuated.Store(&s)
	t.Logger.WithFields(log.Fields{
		"version": s.Version, "zones": s.String(), "earlier": last.String(), "age": t.Clock.Since(at).String(),
	}).Info("evacuated zones changed")
}

// Evacuation returns the evacuated zones.
func (t *Table) Evacuation() evacuation.Set {
	if s := t.evacuated.Load(); s != nil {
		return *s
	}
	return evacuation.Set{}
}

// HasEvacuated reports whether a target that serves the model, or the route if one is given, is in an
// evacuated zone.
func (t *Table) HasEvacuated(model, route string) bool {
	evacuated := t.Evacuation()
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, s := range t.targets {
		if x := s.target.Load(); evacuated.Has(x.AvailabilityZone) && serves(x, model, route) {
			return true
		}
	}
	return false
}

// HasReport reports whether a target of the model has reported its load.
func (t *Table) HasReport(model string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, s := range t.targets {
		if s.report.Load() != nil && serves(s.target.Load(), model, "") {
			return true
		}
	}
	return false
}

// healthy returns the candidates that the ejector allows.
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

// serves reports whether a target serves the route or, if that is empty, the model.
func serves(x *rhubarbgate.Target, model, route string) bool {
	list, wanted := x.Models, model
	if route != "" {
		list, wanted = x.Routes, route
	}
	for _, s := range list {
		if s == wanted {
			return true
		}
	}
	return false
}

// candidate describes a target to the policy that chooses one.
func (t *Table) candidate(x *rhubarbgate.Target, s *targetState, r *receivedReport) rhubarbgate.Candidate {
	inflight := int(s.inFlight.Load())
	c := rhubarbgate.Candidate{
		Name: x.Name, Address: x.Address, AvailabilityZone: x.AvailabilityZone,
		Distance: Distance(t.AvailabilityZone, x.AvailabilityZone),
		Slots:    x.Slots,
		InFlight: inflight,
		Latency:  s.decayedLatency(t.Clock.Now(), inflight),
	}
	if r != nil {
		c.Reported = r.Running + r.Queued
		c.Wait = r.Wait
	}
	return c
}

// Distance returns 1 for the same availability zone, 3 for availability zones of
// different regions and 2 otherwise. The region is the part before a slash; an
// availability zone without a slash counts as in the same region as any other.
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

// Begin counts a request as in flight at the target.
func (t *Table) Begin(name string) {
	if s := t.state(name); s != nil {
		s.inFlight.Add(1)
	}
}

// Finish ends a request that Begin counted. A failed request counts against the
// health of the target and may eject it. A successful one ends an ejection and adds its
// latency to the average; a latency of 0 adds none, as after a call of Note.
func (t *Table) Finish(name string, latency time.Duration, failed bool) {
	s := t.state(name)
	if s == nil {
		return
	}
	s.inFlight.Add(-1)
	if failed {
		if t.ejector.RecordFailure(name) {
			t.Ejections.Add(1)
			t.Logger.WithField("target", name).Warn("target ejected after failures")
		}
		return
	}
	t.ejector.RecordSuccess(name)
	if latency > 0 {
		s.addLatency(latency, t.Clock.Now())
	}
}

// state returns the state of a target, or nil if the table does not hold it.
func (t *Table) state(name string) *targetState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.targets[name]
}

// decayedLatency returns the average latency. Without a request in flight it decays
// by latencyDecay, so that the target gets a request again.
func (s *targetState) decayedLatency(now time.Time, inflight int) time.Duration {
	decay := 1.0
	if inflight == 0 {
		age := now.Sub(time.Unix(0, s.latencyUnixNano.Load()))
		decay = math.Exp(-age.Seconds() / latencyDecay.Seconds())
	}
	return time.Duration(math.Float64frombits(s.latency.Load()) * decay * float64(time.Second))
}

// RecordLatency adds a latency sample of the target while its request is still in flight.
func (t *Table) RecordLatency(name string, latency time.Duration) {
	if s := t.state(name); s != nil {
		s.addLatency(latency, t.Clock.Now())
	}
}

// addLatency adds a sample to the moving average. Of concurrent calls, one may lose
// its sample.
func (s *targetState) addLatency(d time.Duration, now time.Time) {
	s.latencyUnixNano.Store(now.UnixNano())
	old := math.Float64frombits(s.latency.Load())
	x := d.Seconds()
	if old > 0 {
		x = old + latencySampleWeight*(x-old)
	}
	s.latency.Store(math.Float64bits(x))
}
