// Package discovery keeps the platform's list of targets and the state of each target as one entry observes it: requests in flight, reported load and health.
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
	"golang.org/x/sync/singleflight"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/targets"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/net/socket"
	"rhubarbgate.example/rhubarbgate/internal/policy/cold"
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/policy/health"
	"rhubarbgate.example/rhubarbgate/internal/policy/versions"
)

const (
	// maxListAge is the age of the list above which a process requests it from the
	// platform itself, because no control host has sent a newer one. A leaving target
	// must stop getting requests within seconds.
	maxListAge = 2600 * time.Millisecond
	// listRetryInterval is the time between two requests for the list.
	listRetryInterval = 700 * time.Millisecond
	// firstListWait is how long a process that starts waits for a control host to send
	// the list before it requests it from the platform. A process without configuration
	// needs no list, and hosts that start together would all request it.
	firstListWait = time.Second
	// listTimeout bounds one request for the list.
	listTimeout = 1500 * time.Millisecond
	// dialTimeout bounds the opening of a connection: far above the round trip between
	// availability zones and far below the latency objectives.
	dialTimeout = 250 * time.Millisecond
	// maxIdleNonIdempotent is how long a connection may have been idle to carry a
	// request that may not be repeated.
	maxIdleNonIdempotent = 3 * time.Second
	// maxIdle is how long a connection may have been idle to carry any request.
	maxIdle = 10 * time.Second
	// loadReportTTL is how long a target's report of its own load is used.
	loadReportTTL = 400 * time.Millisecond
)

// Table holds the listed targets. Set the exported fields before calling a method.
type Table struct {
	// Directory reads the list from the platform.
	Directory rhubarbgate.Directory
	Clock     clockwork.Clock
	Logger    log.Interface
	// AvailabilityZone is that of this process.
	AvailabilityZone string
	// Dialer opens connections to targets; nil means one with a timeout of 250 ms.
	Dialer *net.Dialer
	// Continuity, if set, returns since when the targets at an address have been of one service, or
	// false if that is not known; see Adopt.
	Continuity func(ctx context.Context, address netip.AddrPort) (since time.Time, known bool)
	// IDHeader is the header with the ID of a request, in requests and responses.
	IDHeader string
	// Strays, if set, counts responses that targets sent out of turn.
	Strays *expvar.Int
	// NamesService, if set, reports whether the configuration names a service; see Find.
	NamesService func(service string) bool
	// Versions, if set, follows the versions in the list.
	Versions *versions.History
	// Cold, if set, follows which listed targets are cold.
	Cold *cold.Tracker
	// Failures counts failed requests for the list, Unreadable the list's entries
	// that were skipped, Opened new connections to targets, and Ejections targets
	// that were ejected.
	Failures, Unreadable, Opened, Ejections *expvar.Int
	// Adopted and Unconfirmed, if set, count new instances at the addresses of targets that were
	// used ahead of the list, and those that were not because their service was not known.
	Adopted, Unconfirmed *expvar.Int

	ejector         health.Ejector
	confirming      singleflight.Group // calls of Continuity, by instance and address
	checkingEnd     singleflight.Group // connection attempts of HasEnded, by name of the target
	evacuated       atomic.Pointer[evacuation.Set]
	once            sync.Once
	mu              sync.RWMutex
	targets         map[targetKey]*Target
	added           int       // targets so far
	listRequestedAt time.Time // zero while there is no list
	adoptions       map[netip.AddrPort]adoption
	adoptionPauses  map[netip.AddrPort]time.Time // when Adopt may ask again
}

// targetKey identifies a target. The identifier alone does not, because an instance
// may keep it when it restarts at another address, and an entry of the list for another
// service may repeat both.
type targetKey struct {
	id      string
	address netip.AddrPort
	service string
}

// keyOf returns the key of the target of an instance.
func keyOf(i rhubarbgate.Instance) targetKey { return targetKey{i.ID, i.Address, i.Service} }

// Target is one listed instance with its state as this process observes it.
type Target struct {
	Instance rhubarbgate.Instance
	Client   *target.Client

	name    string
	number  int         // of the target in the order in which they were added
	leaving atomic.Bool // as the list shows it
	// announcedLeaving is set by a response of the target. It holds for the rest of the
	// instance's life, whatever the list shows: the list lags, and may be out of reach.
	announcedLeaving atomic.Bool

	// version is that of the instance's software. It is not known while the target is unlisted, as an
	// adopted instance may be of another version than the earlier one, nor after the target was down
	// at downAt, as it may have restarted under its ID.
	version  atomic.Pointer[string]
	unlisted atomic.Bool
	downAt   atomic.Pointer[time.Time]

	inFlight atomic.Int64
	load     atomic.Pointer[loadReport]
	// refusedAt is when the target's port last refused a connection, nil after a response.
	refusedAt atomic.Pointer[time.Time]
	// ranAt is when the last request was sent that the target is known to have run, nil if there is none.
	ranAt atomic.Pointer[time.Time]
	// replacedAt is when another instance last responded at the target's address, nil if none did.
	replacedAt atomic.Pointer[time.Time]
}

// loadReport is a load that a target reported and when it arrived.
type loadReport struct {
	rhubarbgate.TargetLoad
	at time.Time
}

// initialize sets the internal fields on the first call.
func (t *Table) initialize() {
	t.once.Do(func() {
		t.targets = map[targetKey]*Target{}
		t.adoptions, t.adoptionPauses = map[netip.AddrPort]adoption{}, map[netip.AddrPort]time.Time{}
		t.ejector.Clock = t.Clock
	})
}

// Run requests the list until ctx ends whenever Update has not received one for
// maxListAge, or for firstListWait after the start.
func (t *Table) Run(ctx context.Context) {
	t.initialize()
	startedAt := t.Clock.Now()
	for ctx.Err() == nil {
		wait := t.untilRefresh(startedAt)
		if wait <= 0 {
			t.Refresh(ctx)
			wait = listRetryInterval
		}
		select {
		case <-ctx.Done():
		case <-t.Clock.After(wait):
		}
	}
}

// untilRefresh returns when to request the list if Update receives none until then.
func (t *Table) untilRefresh(startedAt time.Time) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.listRequestedAt.IsZero() {
		return firstListWait - t.Clock.Since(startedAt)
	}
	return maxListAge - t.Clock.Since(t.listRequestedAt)
}

// Refresh requests the list from the platform once. A failure keeps the current
// list and is logged if the number of failures is a power of two.
func (t *Table) Refresh(ctx context.Context) {
	t.initialize()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	requestedAt := t.Clock.Now()
	list, unreadable, err := t.Directory.List(ctx)
	if err != nil {
		t.Failures.Add(1)
		if n := t.Failures.Value(); n&(n-1) == 0 {
			t.Logger.WithError(err).WithField("failures", n).Warn("cannot read the platform's list of targets")
		}
		return
	}
	t.Unreadable.Add(int64(unreadable))
	t.Update(list, requestedAt)
}

// Ready reports whether a list was received.
func (t *Table) Ready() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return !t.listRequestedAt.IsZero()
}

// Update replaces the list by one that was requested from the platform at the given
// time, unless the current list was requested then or later. Targets that the new
// list lacks are removed.
func (t *Table) Update(list []rhubarbgate.Instance, requestedAt time.Time) {
	t.initialize()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !requestedAt.After(t.listRequestedAt) {
		return
	}
	t.listRequestedAt = requestedAt
	if t.Versions != nil {
		t.Versions.Observe(list, requestedAt)
	}
	list = withoutRepetitions(t.withAdoptions(list))
	t.Cold.ObserveList(list, requestedAt, TargetName)
	present := map[targetKey]bool{}
	for _, x := range list {
		k := keyOf(x)
		present[k] = true
		current := t.targets[k]
		if current != nil && current.unlisted.Load() && !t.isAdopted(x) {
			current.version.Store(&x.Version)
			current.unlisted.Store(false)
		}
		if current != nil && !current.unlisted.Load() && *current.version.Load() != x.Version {
			// The instance restarted under its ID with other software.
			current.Client.CloseIdle()
			current = nil
		}
		if current == nil {
			current = t.add(k, x)
		}
		if down := current.downAt.Load(); down != nil && requestedAt.Sub(*down) >= restartListLag {
			current.downAt.CompareAndSwap(down, nil)
		}
		wasLeaving := current.leaving.Swap(x.Leaving)
		if wasLeaving && !x.Leaving && current.announcedLeaving.Load() {
			// The instance restarted under its ID.
			current.Client.CloseIdle()
			t.add(k, x)
		}
		if wasLeaving != x.Leaving {
			t.Logger.WithFields(log.Fields{"target": x.ID, "address": x.Address.String(), "leaving": x.Leaving}).Info("target started or stopped leaving")
		}
	}
	for k, x := range t.targets {
		if !present[k] {
			delete(t.targets, k)
			x.Client.CloseIdle()
			t.Logger.WithField("target", k.id).WithField("address", k.address.String()).Info("target removed from the list")
		}
	}
	t.ejector.Retain(func(name string) bool {
		return slices.ContainsFunc(list, func(x rhubarbgate.Instance) bool { return name == TargetName(x) })
	})
}

// withoutRepetitions returns the list with one entry for each target: the first, leaving
// if any of them is.
func withoutRepetitions(list []rhubarbgate.Instance) []rhubarbgate.Instance {
	first := make(map[targetKey]int, len(list))
	r := make([]rhubarbgate.Instance, 0, len(list))
	for _, x := range list {
		if i, repeated := first[keyOf(x)]; repeated {
			r[i].Leaving = r[i].Leaving || x.Leaving
			continue
		}
		first[keyOf(x)] = len(r)
		r = append(r, x)
	}
	return r
}

// isLeaving reports whether the target may get no more requests.
func (x *Target) isLeaving() bool { return x.leaving.Load() || x.announcedLeaving.Load() }

// RecordLeaving records that a response of the target announced that it leaves. The
// target gets no more requests, and its idle connections are closed.
func (t *Table) RecordLeaving(x *Target) {
	if x.announcedLeaving.Swap(true) {
		return
	}
	x.Client.CloseIdle()
	t.Logger.WithFields(log.Fields{"target": x.Instance.ID, "address": x.Instance.Address.String()}).Info("target announced that it leaves")
}

// Version returns the version of the target's software, or false until a list shows the instance that
// was read long enough after it started.
func (x *Target) Version() (string, bool) {
	return *x.version.Load(), !x.unlisted.Load() && x.downAt.Load() == nil
}

// Name identifies the target among all, as one instance at one address.
func (x *Target) Name() string { return x.name }

// RecordLeavingAt is RecordLeaving for the listed instance with the given ID and address.
func (t *Table) RecordLeavingAt(id string, address netip.AddrPort) {
	var leaving []*Target
	t.mu.RLock()
	for k, x := range t.targets {
		if k.id == id && k.address == address {
			leaving = append(leaving, x)
		}
	}
	t.mu.RUnlock()
	for _, x := range leaving {
		t.RecordLeaving(x)
	}
}

// TargetName returns the name of the target of an instance, see Target.Name.
func TargetName(x rhubarbgate.Instance) string { return x.ID + "@" + x.Address.String() }

// add adds a target. The lock is held.
func (t *Table) add(k targetKey, x rhubarbgate.Instance) *Target {
	t.added++
	added := &Target{Instance: x, name: TargetName(x), number: t.added, Client: &target.Client{
		Address: x.Address, Dialer: cmp.Or(t.Dialer, socket.Dialer(dialTimeout)), NonIdempotentMaxIdle: maxIdleNonIdempotent, MaxIdle: maxIdle,
		Clock: t.Clock, CloseDelimited: true, Opened: t.Opened, IDHeader: t.IDHeader,
		OnStray: func(s target.Stray) { t.RecordStray(x, s) },
	}}
	added.version.Store(&x.Version)
	added.Client.OnRefused = func() { added.recordRefused(t.Clock.Now()) }
	added.Client.OnResponse = added.recordResponse
	t.targets[k] = added
	t.Logger.WithFields(log.Fields{"target": x.ID, "address": x.Address.String(), "service": x.Service, "zone": x.AvailabilityZone, "version": x.Version}).Info("target listed")
	return added
}

// RecordStray records a response out of turn of the target of an instance.
func (t *Table) RecordStray(i rhubarbgate.Instance, s target.Stray) {
	if t.Strays != nil {
		t.Strays.Add(1)
	}
	t.Logger.WithFields(log.Fields{
		"target": i.ID, "address": i.Address.String(), "request": s.Request, "answered": s.Answered, "status": s.Status, "earlierRequests": s.EarlierRequests,
	}).Warn("target sent a response out of turn")
}

// Target returns the listed target of an instance, or nil.
func (t *Table) Target(i rhubarbgate.Instance) *Target {
	t.initialize()
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.targets[keyOf(i)]
}

// TargetOf returns the target of the service's instance with this ID, or nil.
func (t *Table) TargetOf(service, id string) *Target {
	t.initialize()
	t.mu.RLock()
	defer t.mu.RUnlock()
	for k, x := range t.targets {
		if k.id == id && k.service == service {
			return x
		}
	}
	return nil
}

// Find returns the instance at an address, if it is listed. If the list has several there, it is
// one of a service that the configuration names, that is not leaving, and that was listed first.
func (t *Table) Find(address netip.AddrPort) (rhubarbgate.Instance, bool) {
	t.initialize()
	var listed []*Target
	t.mu.RLock()
	for _, x := range t.targets {
		if x.Instance.Address == address {
			listed = append(listed, x)
		}
	}
	t.mu.RUnlock()
	if len(listed) == 0 {
		return rhubarbgate.Instance{}, false
	}
	// NamesService takes the lock under which the owner of the configuration calls Update.
	found := listed[0]
	for _, x := range listed[1:] {
		if t.isPreferred(x, found) {
			found = x
		}
	}
	instance := found.Instance
	instance.Leaving = found.isLeaving()
	instance.Version = *found.version.Load()
	return instance, true
}

// isPreferred reports whether Find returns x rather than y.
func (t *Table) isPreferred(x, y *Target) bool {
	if t.NamesService != nil && x.Instance.Service != y.Instance.Service {
		if a, b := t.NamesService(x.Instance.Service), t.NamesService(y.Instance.Service); a != b {
			return a
		}
	}
	if a, b := x.isLeaving(), y.isLeaving(); a != b {
		return b
	}
	return x.number < y.number
}

// Candidates returns the targets of a service that may run a request, and for each
// what the choice between them needs. It leaves out leaving targets, those in evacuated zones, those whose
// address another instance has, those in tried, and ejected ones unless too many are ejected. Targets that are down are left out as long as
// there are others, but one attempt of a request may try one of them again after a while.
func (t *Table) Candidates(service string, idempotent bool, tried []*Target) ([]*Target, []rhubarbgate.Candidate) {
	t.initialize()
	now := t.Clock.Now()
	evacuated := t.Evacuation()
	var list, down []*Target
	t.mu.RLock()
	for _, x := range t.targets {
		if x.Instance.Service != service || evacuated.Has(x.Instance.AvailabilityZone) || x.isLeaving() || x.isReplaced(now) || slices.Contains(tried, x) {
			continue
		}
		if isDown, refused := x.isDown(now); isDown && (len(tried) > 0 || refused < downRetryInterval) {
			down = append(down, x)
		} else {
			list = append(list, x)
		}
	}
	t.mu.RUnlock()
	if len(list) == 0 {
		list = down
	}
	slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.name, b.name) })
	names := make([]string, len(list))
	for i, x := range list {
		names[i] = x.name
	}
	usable := t.ejector.Usable(names)
	var usableTargets []*Target
	var candidates []rhubarbgate.Candidate
	for i, x := range list {
		if usable[i] {
			usableTargets = append(usableTargets, x)
			candidates = append(candidates, t.candidate(x, now, idempotent))
		}
	}
	return usableTargets, candidates
}

// candidate describes a target to the policy that chooses one.
func (t *Table) candidate(x *Target, now time.Time, idempotent bool) rhubarbgate.Candidate {
	c := rhubarbgate.Candidate{
		Name: x.name, Address: x.Instance.Address, AvailabilityZone: x.Instance.AvailabilityZone,
		Distance: targets.Distance(t.AvailabilityZone, x.Instance.AvailabilityZone),
		Slots:    x.Instance.Slots, InFlight: int(x.inFlight.Load()),
		Connected: x.Client.HasIdle(idempotent),
	}
	if r := x.load.Load(); r != nil && now.Sub(r.at) < loadReportTTL {
		c.Reported, c.Queued, c.Slowness, c.HasReport = r.Running, r.Waiting, r.Slowness, true
	}
	return c
}

// Begin counts a request as in flight at the target.
func (t *Table) Begin(x *Target) { x.inFlight.Add(1) }

// Finish ends a request that Begin counted. A failed request counts against the
// health of the target and may eject it.
func (t *Table) Finish(x *Target, failed bool) {
	x.inFlight.Add(-1)
	if !failed {
		t.ejector.RecordSuccess(x.name)
		return
	}
	if t.ejector.RecordFailure(x.name) {
		t.Ejections.Add(1)
		t.Logger.WithField("target", x.Instance.ID).Warn("target ejected after failures")
	}
}

// RecordLoad records the load that a response of the target reported.
func (t *Table) RecordLoad(x *Target, l rhubarbgate.TargetLoad) {
	x.load.Store(&loadReport{l, t.Clock.Now()})
}
