// Package cold keeps which targets are cold: they started a short time ago and take few requests until they are warm.
package cold

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// maxListLag bounds how old the state is that the platform's list shows when it is requested. It
// orders lists and responses; the list lags by 0.8 s.
const maxListLag = time.Second

// Tracker keeps what is known of each incarnation of a target, which its name identifies. The newest
// information counts, whether it is from the list or from a response. Set the exported fields before
// the first call. A nil Tracker knows no cold targets. It is safe for concurrent use.
type Tracker struct {
	Clock  clockwork.Clock
	Logger log.Interface

	mu       sync.Mutex
	services map[string]rhubarbgate.Service // those with cold targets
	listed   bool                           // a list was received
	targets  map[string]*target
	horizon  atomic.Int64 // when the last cold target will be warm, as Unix time in nanoseconds
}

// target is what is known of one incarnation.
type target struct {
	service string
	version string
	leaving bool
	// listed says that a list showed the target, and gone that the newest one does not any more.
	listed, gone bool
	// appeared is when the target was first seen, if that was during traffic and no cold time has been
	// stated since; it is cold for the time that its service sets.
	appeared time.Time
	// until is the end of the cold time as stated, zero if the target is stated to be warm or nothing was
	// stated, and at is the time as of which that is.
	until, at time.Time
	// divided says that until is known from the control hosts. A list without a cold time, which may lag,
	// does not end it.
	divided bool
}

// Target is a cold target.
type Target struct {
	Name    string
	Service string
	// PerSecond is the rate of requests that it takes from all processes together.
	PerSecond float64
	// Left is for how long it stays cold.
	Left time.Duration
	// Since is a time before which it did not start.
	Since time.Time
}

// SetServices replaces the settings of the services.
func (t *Tracker) SetServices(services map[string]rhubarbgate.Service) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services = nil
	for name, s := range services {
		if s.HasColdTargets() {
			if t.services == nil {
				t.services = map[string]rhubarbgate.Service{}
			}
			t.services[name] = s
		}
	}
	t.updateHorizon()
}

// Enabled reports whether any service has cold targets.
func (t *Tracker) Enabled() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.services) > 0
}

// ObserveList records a list that was requested from the platform at the given time; name returns the
// name of an instance's target. Targets that the first list shows are cold only if it says so. Further
// ones are cold for the time that their service sets, if the list states none.
func (t *Tracker) ObserveList(list []rhubarbgate.Instance, requestedAt time.Time, name func(rhubarbgate.Instance) string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.targets
	t.targets = make(map[string]*target, len(list))
	for _, x := range list {
		n := name(x)
		if repeated := t.targets[n]; repeated != nil {
			// Entries of other writers may repeat a target under another service.
			if _, known := t.services[repeated.service]; known {
				continue
			}
		}
		y := previous[n]
		appeared := t.listed && (y == nil || y.gone)
		if y == nil {
			y = &target{version: x.Version}
		}
		y.service, y.listed, y.gone = x.Service, true, false
		// The instance may restart under its ID, with other software or after it was leaving.
		restarted := y.version != "" && x.Version != "" && x.Version != y.version || y.leaving && !x.Leaving
		y.version, y.leaving = x.Version, x.Leaving
		if appeared || restarted {
			y.appeared, y.until, y.at = requestedAt, time.Time{}, time.Time{}
			t.log(n, y, "listed")
		}
		t.targets[n] = y
		isAssumed := !y.appeared.IsZero() || y.divided
		if asOf := requestedAt.Add(-maxListLag); asOf.After(y.at) && (x.ColdLeft > 0 || !isAssumed) {
			t.state(n, y, x.ColdLeft, requestedAt, asOf, "list")
		}
	}
	for n, y := range previous {
		// A target that is not listed yet, or is back in the next list, is still cold.
		if t.targets[n] == nil && t.until(y).After(t.Clock.Now()) {
			y.gone = y.listed
			t.targets[n] = y
		}
	}
	t.listed = true
	t.updateHorizon()
}

// ObserveStart records that a target started a short time ago, which the list does not show yet.
func (t *Tracker) ObserveStart(name, service string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.targets == nil {
		t.targets = map[string]*target{}
	}
	if t.targets[name] == nil {
		t.targets[name] = &target{service: service, appeared: t.Clock.Now()}
		t.log(name, t.targets[name], "started")
		t.updateHorizon()
	}
}

// ObserveResponse records for how long a response said that a target stays cold, as of the given time.
func (t *Tracker) ObserveResponse(name, service string, left time.Duration, at time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.targets == nil {
		t.targets = map[string]*target{}
	}
	y := t.targets[name]
	if y == nil {
		y = &target{service: service}
		t.targets[name] = y
	}
	if !at.After(y.at) {
		return
	}
	if left == 0 {
		y.appeared = time.Time{}
	}
	t.state(name, y, left, at, at, "response")
	t.updateHorizon()
}

// ObserveDivided records that the control hosts divide a target's rate because it is cold for the given
// time. It counts unless the target is known to be cold already.
func (t *Tracker) ObserveDivided(name, service string, left time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	y := t.targets[name]
	if y != nil && t.until(y).After(now) {
		return
	}
	if y == nil {
		if t.targets == nil {
			t.targets = map[string]*target{}
		}
		y = &target{service: service}
		t.targets[name] = y
	}
	// Any statement of the target itself is newer information.
	t.state(name, y, left, now, y.at, "division")
	y.divided = left > 0
	t.updateHorizon()
}

// ObserveWarm records that the control hosts know that a target is warm.
func (t *Tracker) ObserveWarm(name string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if y := t.targets[name]; y != nil && t.until(y).After(t.Clock.Now()) {
		y.appeared = time.Time{}
		t.state(name, y, 0, t.Clock.Now(), y.at, "division")
		t.updateHorizon()
	}
}

// state records that a target was stated to stay cold for the given time from a time on. The lock is held.
func (t *Tracker) state(name string, y *target, left time.Duration, from, asOf time.Time, source string) {
	before := t.until(y).After(t.Clock.Now())
	y.at = asOf
	y.until, y.divided = time.Time{}, false
	if left > 0 {
		y.until, y.appeared = from.Add(left), time.Time{}
	}
	if t.until(y).After(t.Clock.Now()) != before {
		t.log(name, y, source)
	}
}

// log logs whether a target is cold now. The lock is held.
func (t *Tracker) log(name string, y *target, source string) {
	if _, ok := t.services[y.service]; !ok {
		return
	}
	now := t.Clock.Now()
	f := log.Fields{"target": name, "service": y.service, "source": source}
	if !y.at.IsZero() {
		f["age"] = now.Sub(y.at).String()
	}
	left := t.until(y).Sub(now)
	if left <= 0 {
		t.Logger.WithFields(f).Info("target is warm")
		return
	}
	f["left"] = left.String()
	t.Logger.WithFields(f).Info("target is cold")
}

// until returns when a target is warm. The lock is held.
func (t *Tracker) until(y *target) time.Time {
	s, ok := t.services[y.service]
	switch {
	case !ok:
		return time.Time{}
	case !y.appeared.IsZero():
		return y.appeared.Add(s.ColdStart)
	}
	return y.until
}

// updateHorizon sets the horizon. The lock is held.
func (t *Tracker) updateHorizon() {
	horizon := int64(0)
	if len(t.services) > 0 {
		for _, y := range t.targets {
			if u := t.until(y); !u.IsZero() {
				horizon = max(horizon, u.UnixNano())
			}
		}
	}
	t.horizon.Store(horizon)
}

// any reports whether there is a cold target, without the lock: requests ask for each candidate.
func (t *Tracker) any(now time.Time) bool { return t != nil && now.UnixNano() < t.horizon.Load() }

// Cold returns a target if it is cold.
func (t *Tracker) Cold(name string) (Target, bool) {
	if t == nil {
		return Target{}, false
	}
	now := t.Clock.Now()
	if !t.any(now) {
		return Target{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	y := t.targets[name]
	if y == nil || !t.until(y).After(now) {
		return Target{}, false
	}
	return t.describe(name, y, now), true
}

// describe returns a cold target. The lock is held.
func (t *Tracker) describe(name string, y *target, now time.Time) Target {
	s, until := t.services[y.service], t.until(y)
	return Target{Name: name, Service: y.service, PerSecond: s.ColdPerSecond, Left: until.Sub(now), Since: until.Add(-s.ColdStart - maxListLag)}
}

// Targets returns the cold targets, ordered by name.
func (t *Tracker) Targets() []Target {
	if t == nil {
		return nil
	}
	now := t.Clock.Now()
	if !t.any(now) {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Target
	for name, y := range t.targets {
		if t.until(y).After(now) {
			list = append(list, t.describe(name, y, now))
		}
	}
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
