// Package discovery follows the platform's list of targets and keeps what an entry knows of each: its own requests, load and health.
package discovery

import (
	"cmp"
	"context"
	"expvar"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/targets"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/net/socket"
	"rhubarbgate.example/rhubarbgate/internal/policy/health"
)

const (
	// staleList is the age of the list above which a process reads it by itself,
	// because the control hosts do not tell it; staleCheck is how often it looks.
	// A leaving target has to be out of the choice within seconds.
	staleList  = 2200 * time.Millisecond
	staleCheck = 700 * time.Millisecond
	// listTimeout bounds one reading of the list.
	listTimeout = 1500 * time.Millisecond
	// dialTimeout is far above the round trip between availability zones
	// and far below the latency objectives.
	dialTimeout = 250 * time.Millisecond
	// freshIdle is how long a connection may have been idle to carry a request
	// that may not be repeated.
	freshIdle = 3 * time.Second
	// maxIdle is how long a connection may have been idle at all.
	maxIdle = 10 * time.Second
	// reportMemory is how long a target's own report of its load counts.
	reportMemory = 400 * time.Millisecond
)

// Table follows the list. Set the exported fields before Run.
type Table struct {
	Directory        rhubarbgate.Directory
	Clock            clockwork.Clock
	Logger           log.Interface
	AvailabilityZone string
	// Dialer opens connections to targets; nil means one with a timeout of 250 ms.
	Dialer *net.Dialer
	// Failures counts readings that failed, Unreadable entries that were passed
	// over, Opened new connections to targets, Ejections targets taken out.
	Failures, Unreadable, Opened, Ejections *expvar.Int

	ejector health.Ejector
	once    sync.Once
	mu      sync.RWMutex
	targets map[key]*Target
	at      time.Time // when the list was asked for; zero means never
}

// key names a target: an instance keeps its identifier over a restart at times.
type key struct {
	id      string
	address netip.AddrPort
}

// Target is one instance as this process sees it.
type Target struct {
	Instance rhubarbgate.Instance
	Client   *target.Client

	name     string
	leaving  atomic.Bool
	inflight atomic.Int64
	load     atomic.Pointer[reported]
}

type reported struct {
	rhubarbgate.TargetLoad
	at time.Time
}

func (t *Table) prepare() {
	t.once.Do(func() {
		t.targets = map[key]*Target{}
		t.ejector.Clock = t.Clock
	})
}

// Run reads the list whenever nobody else has told a fresh one, until ctx ends.
func (t *Table) Run(ctx context.Context) {
	t.prepare()
	for ctx.Err() == nil {
		if t.age() > staleList {
			t.Refresh(ctx)
		}
		select {
		case <-ctx.Done():
		case <-t.Clock.After(staleCheck):
		}
	}
}

// age is how long ago the list was asked for.
func (t *Table) age() time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.Clock.Since(t.at)
}

// Refresh reads the list once.
func (t *Table) Refresh(ctx context.Context) {
	t.prepare()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := t.Clock.Now()
	list, unreadable, err := t.Directory.List(ctx)
	if err != nil {
		t.Failures.Add(1)
		if n := t.Failures.Value(); n&(n-1) == 0 {
			t.Logger.WithError(err).WithField("failures", n).Warn("reading the platform's list of targets")
		}
		return
	}
	t.Unreadable.Add(int64(unreadable))
	t.Update(list, asked)
}

// Ready reports whether there is a list.
func (t *Table) Ready() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return !t.at.IsZero()
}

// Update takes a list that was asked for at a time, unless a newer one is there.
// Targets that it lacks are gone.
func (t *Table) Update(list []rhubarbgate.Instance, at time.Time) {
	t.prepare()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !at.After(t.at) {
		return
	}
	t.at = at
	listed := map[key]bool{}
	for _, x := range list {
		k := key{x.ID, x.Address}
		listed[k] = true
		old := t.targets[k]
		if old == nil || old.Instance.Service != x.Service {
			old = t.add(k, x)
		}
		if old.leaving.Swap(x.Leaving) != x.Leaving {
			t.Logger.WithFields(log.Fields{"target": x.ID, "address": x.Address.String(), "leaving": x.Leaving}).Info("target changed its state")
		}
	}
	for k, x := range t.targets {
		if !listed[k] {
			delete(t.targets, k)
			x.Client.CloseIdle()
			t.Logger.WithField("target", k.id).WithField("address", k.address.String()).Info("target is gone from the list")
		}
	}
	t.ejector.Keep(func(name string) bool {
		return slices.ContainsFunc(list, func(x rhubarbgate.Instance) bool { return name == targetName(x) })
	})
}

func targetName(x rhubarbgate.Instance) string { return x.ID + "@" + x.Address.String() }

func (t *Table) add(k key, x rhubarbgate.Instance) *Target {
	n := &Target{Instance: x, name: targetName(x), Client: &target.Client{
		Address: x.Address, Dialer: cmp.Or(t.Dialer, socket.Dialer(dialTimeout)), NonIdempotentMaxIdle: freshIdle, MaxIdle: maxIdle,
		Clock: t.Clock, CloseDelimited: true, Opened: t.Opened,
	}}
	t.targets[k] = n
	t.Logger.WithFields(log.Fields{"target": x.ID, "address": x.Address.String(), "service": x.Service, "zone": x.AvailabilityZone}).Info("target listed")
	return n
}

// Find returns the instance at an address, if it is listed.
func (t *Table) Find(a netip.AddrPort) (rhubarbgate.Instance, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, x := range t.targets {
		if x.Instance.Address == a {
			i := x.Instance
			i.Leaving = x.leaving.Load()
			return i, true
		}
	}
	return rhubarbgate.Instance{}, false
}

// Candidates returns the targets of a service that may take a request, leaving
// out those that were tried. Ejected ones are left out unless most are.
func (t *Table) Candidates(service string, tried []*Target) ([]*Target, []rhubarbgate.Candidate) {
	now := t.Clock.Now()
	var list []*Target
	t.mu.RLock()
	for _, x := range t.targets {
		if x.Instance.Service == service && !x.leaving.Load() && !slices.Contains(tried, x) {
			list = append(list, x)
		}
	}
	t.mu.RUnlock()
	slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.name, b.name) })
	names := make([]string, len(list))
	for i, x := range list {
		names[i] = x.name
	}
	usable := t.ejector.Usable(names)
	var kept []*Target
	var candidates []rhubarbgate.Candidate
	for i, x := range list {
		if usable[i] {
			kept = append(kept, x)
			candidates = append(candidates, t.candidate(x, now))
		}
	}
	return kept, candidates
}

func (t *Table) candidate(x *Target, now time.Time) rhubarbgate.Candidate {
	c := rhubarbgate.Candidate{
		Name: x.name, Address: x.Instance.Address, AvailabilityZone: x.Instance.AvailabilityZone,
		Distance: targets.Distance(t.AvailabilityZone, x.Instance.AvailabilityZone),
		Slots:    x.Instance.Slots, Inflight: int(x.inflight.Load()),
	}
	if r := x.load.Load(); r != nil && now.Sub(r.at) < reportMemory {
		c.Reported, c.Queued = r.Running, r.Waiting
	}
	return c
}

// Begin counts a request at the target.
func (t *Table) Begin(x *Target) { x.inflight.Add(1) }

// Finish ends a request at the target. Failed requests count against its health.
func (t *Table) Finish(x *Target, failed bool) {
	x.inflight.Add(-1)
	if !failed {
		t.ejector.Succeed(x.name)
		return
	}
	if t.ejector.Fail(x.name) {
		t.Ejections.Add(1)
		t.Logger.WithField("target", x.Instance.ID).Warn("target ejected after failures")
	}
}

// Loaded notes the load that an answer of the target told.
func (t *Table) Loaded(x *Target, l rhubarbgate.TargetLoad) {
	x.load.Store(&reported{l, t.Clock.Now()})
}
