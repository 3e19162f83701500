// Package health takes failing targets out of the choice for a while.
package health

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// failuresToEject is how many failures in a row eject a target.
	failuresToEject = 3
	// firstEjection is how long a target is left out the first time.
	firstEjection = time.Second
	// longestEjection bounds the doubling of that time.
	longestEjection = 30 * time.Second
	// maxEjectedShare is the part of the targets that may be left out at once, so
	// that a fault common to all of them does not leave none.
	maxEjectedShare = 0.5
)

// Ejector tracks failures of targets.
type Ejector struct {
	Clock clockwork.Clock

	mu      sync.Mutex
	targets map[string]*record
}

type record struct {
	failures int
	times    int // ejections in a row
	until    time.Time
}

func (e *Ejector) record(target string) *record {
	if e.targets == nil {
		e.targets = map[string]*record{}
	}
	r := e.targets[target]
	if r == nil {
		r = &record{}
		e.targets[target] = r
	}
	return r
}

// Succeed records a good answer of the target.
func (e *Ejector) Succeed(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record(target)
	r.failures, r.times = 0, 0
	r.until = time.Time{}
}

// Fail records a failure of the target and reports whether it was ejected now.
func (e *Ejector) Fail(target string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	r := e.record(target)
	r.failures++
	if r.failures < failuresToEject || now.Before(r.until) {
		return false
	}
	d := min(longestEjection, firstEjection<<min(r.times, 10))
	r.until = now.Add(d)
	r.times++
	// One failure after the return ejects again; a success clears all.
	r.failures = failuresToEject - 1
	return true
}

// Usable returns which of the targets may be chosen. If too many are ejected,
// those whose ejection ends first are let in again.
func (e *Ejector) Usable(targets []string) []bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	usable := make([]bool, len(targets))
	ejected := 0
	for i, t := range targets {
		r := e.targets[t]
		usable[i] = r == nil || !now.Before(r.until)
		if !usable[i] {
			ejected++
		}
	}
	for limit := int(math.Floor(float64(len(targets)) * maxEjectedShare)); ejected > limit; ejected-- {
		usable[e.earliest(targets, usable)] = true
	}
	return usable
}

func (e *Ejector) earliest(targets []string, usable []bool) int {
	best := -1
	for i, t := range targets {
		if !usable[i] && (best < 0 || e.targets[t].until.Before(e.targets[targets[best]].until)) {
			best = i
		}
	}
	return best
}

// Keep forgets all targets that keep refuses.
func (e *Ejector) Keep(keep func(target string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for t := range e.targets {
		if !keep(t) {
			delete(e.targets, t)
		}
	}
}
