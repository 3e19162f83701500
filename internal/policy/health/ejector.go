// Package health ejects failing targets: it excludes them from the choice for a limited time.
package health

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// failuresToEject is the number of consecutive failures that ejects a target.
	failuresToEject = 3
	// baseEjectionTime is the length of the first ejection. Each further ejection without a
	// success in between takes twice as long.
	baseEjectionTime = time.Second
	// maxEjectionTime is the upper bound of the length of an ejection.
	maxEjectionTime = 30 * time.Second
	// maxEjectedShare is the share of the targets that may be ejected at the same time,
	// so that a fault common to all targets does not leave none.
	maxEjectedShare = 0.5
)

// Ejector counts consecutive failures of targets and ejects targets that fail repeatedly.
// It is safe for concurrent use.
type Ejector struct {
	Clock clockwork.Clock

	mu      sync.Mutex
	targets map[string]*targetState
}

// targetState is the failure history of one target.
type targetState struct {
	consecutiveFailures int
	ejections           int // since the last success
	ejectedUntil        time.Time
}

// state returns the state of the target, which it adds if missing. The caller holds e.mu.
func (e *Ejector) state(target string) *targetState {
	if e.targets == nil {
		e.targets = map[string]*targetState{}
	}
	s := e.targets[target]
	if s == nil {
		s = &targetState{}
		e.targets[target] = s
	}
	return s
}

// RecordSuccess records a successful response of the target. It ends an ejection and clears the
// target's failures.
func (e *Ejector) RecordSuccess(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state(target)
	s.consecutiveFailures, s.ejections = 0, 0
	s.ejectedUntil = time.Time{}
}

// RecordFailure records a failure of the target and reports whether this failure ejects it.
func (e *Ejector) RecordFailure(target string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	s := e.state(target)
	s.consecutiveFailures++
	if s.consecutiveFailures < failuresToEject || now.Before(s.ejectedUntil) {
		return false
	}
	// The bound of 10 on the shift prevents an overflow.
	d := min(maxEjectionTime, baseEjectionTime<<min(s.ejections, 10))
	s.ejectedUntil = now.Add(d)
	s.ejections++
	// One more failure after the ejection ejects the target again.
	s.consecutiveFailures = failuresToEject - 1
	return true
}

// Usable reports for each of the targets whether it may be chosen. If more than
// maxEjectedShare of them are ejected, those whose ejection ends first are usable too.
func (e *Ejector) Usable(targets []string) []bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	usable := make([]bool, len(targets))
	ejected := 0
	for i, t := range targets {
		s := e.targets[t]
		usable[i] = s == nil || !now.Before(s.ejectedUntil)
		if !usable[i] {
			ejected++
		}
	}
	for limit := int(math.Floor(float64(len(targets)) * maxEjectedShare)); ejected > limit; ejected-- {
		usable[e.earliest(targets, usable)] = true
	}
	return usable
}

// earliest returns the index of the unusable target whose ejection ends first.
func (e *Ejector) earliest(targets []string, usable []bool) int {
	best := -1
	for i, t := range targets {
		if !usable[i] && (best < 0 || e.targets[t].ejectedUntil.Before(e.targets[targets[best]].ejectedUntil)) {
			best = i
		}
	}
	return best
}

// Retain removes the state of all targets for which keep returns false.
func (e *Ejector) Retain(keep func(target string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for t := range e.targets {
		if !keep(t) {
			delete(e.targets, t)
		}
	}
}
