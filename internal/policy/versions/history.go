// Package versions decides which software version of a service a stream began at, from the list of targets over time.
package versions

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// maxListAge is the age of the list from which on it says nothing of the present.
	maxListAge = 3 * time.Second
	// maxRestartGap is the longest time without a list, around a restart of the process, that does not
	// interrupt the history. No target can start, serve under a version and end within it.
	maxRestartGap = 8 * time.Second
	// retention is how long versions are remembered that are not listed any more.
	retention = 10 * time.Minute
)

// Listed is a version of a service's software and how long ago the list last had it.
type Listed struct {
	Service, Version string
	Age              time.Duration
}

// History remembers which versions of each service's software the list of targets had. It is safe
// for concurrent use.
type History struct {
	Clock clockwork.Clock

	mu sync.Mutex
	// since is when the list began to be followed without a gap, and newest when it was last requested.
	since, newest time.Time
	lastListed    map[key]time.Time
	restored      bool // and no list was observed since
}

// key identifies a version of a service's software.
type key struct{ service, version string }

// Observe records a list that was requested from the platform at the given time.
func (h *History) Observe(list []rhubarbgate.Instance, requestedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !requestedAt.After(h.newest) {
		return
	}
	if h.lastListed == nil {
		h.lastListed = map[key]time.Time{}
	}
	maxGap := maxListAge
	if h.restored {
		maxGap, h.restored = maxRestartGap, false
	}
	if h.newest.IsZero() || requestedAt.Sub(h.newest) > maxGap {
		h.since = requestedAt
	}
	// What the list before had may have been there until now.
	for k, at := range h.lastListed {
		if at.Equal(h.newest) {
			h.lastListed[k] = requestedAt.Add(-1)
		}
	}
	h.newest = requestedAt
	for _, i := range list {
		h.lastListed[key{i.Service, i.Version}] = requestedAt
	}
	maps.DeleteFunc(h.lastListed, func(_ key, at time.Time) bool { return requestedAt.Sub(at) > retention })
}

// Known returns for how long the list has been followed without a gap, 0 if it is not followed now.
func (h *History) Known() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	if h.newest.IsZero() || now.Sub(h.newest) > maxListAge {
		return 0
	}
	return now.Sub(h.since)
}

// ObservedSince reports whether the newest list was requested at the given time or later.
func (h *History) ObservedSince(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.newest.IsZero() && !h.newest.Before(t)
}

// Versions returns the versions of a service's software and when they were last listed, in order.
func (h *History) Versions(service string) []Listed {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	var r []Listed
	for k, at := range h.lastListed {
		if k.service == service {
			r = append(r, Listed{k.service, k.version, now.Sub(at)})
		}
	}
	slices.SortFunc(r, func(a, b Listed) int { return int(a.Age - b.Age) })
	return r
}

// Only returns the only version that the service had within the window, or false if it had others
// too, or the history does not reach back so far.
func (h *History) Only(service string, window time.Duration) (string, bool) {
	if h.Known() < window {
		return "", false
	}
	return Only(h.Versions(service), window)
}

// Only returns the only version among those that were listed within the window.
func Only(listed []Listed, window time.Duration) (string, bool) {
	listed = slices.DeleteFunc(slices.Clone(listed), func(l Listed) bool { return l.Age > window })
	if len(listed) == 0 || slices.ContainsFunc(listed, func(l Listed) bool { return l.Version != listed[0].Version }) {
		return "", false
	}
	return listed[0].Version, true
}

// Saved is what a History keeps over a restart of the process.
type Saved struct {
	Since, Newest time.Time
	Listed        []SavedVersion
}

// SavedVersion is a version of a service's software and when the list last had it.
type SavedVersion struct {
	Service, Version string
	At               time.Time
}

// Save returns what to restore after a restart.
func (h *History) Save() Saved {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Saved{Since: h.since, Newest: h.newest}
	for k, at := range h.lastListed {
		s.Listed = append(s.Listed, SavedVersion{k.service, k.version, at})
	}
	slices.SortFunc(s.Listed, func(a, b SavedVersion) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return s
}

// Restore continues a saved history. It has no effect if the history is too old for that, or later
// than now because the time of day was set back.
func (h *History) Restore(s Saved) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	if s.Newest.IsZero() || s.Newest.After(now) || now.Sub(s.Newest) > maxRestartGap {
		return
	}
	h.since, h.newest, h.restored, h.lastListed = s.Since, s.Newest, true, map[key]time.Time{}
	for _, v := range s.Listed {
		h.lastListed[key{v.Service, v.Version}] = v.At
	}
}

// SameVersions reports whether the newest lists of two saved histories had the same versions.
func (s Saved) SameVersions(o Saved) bool {
	return slices.Equal(s.newest(), o.newest())
}

// newest returns the versions in the newest list, in order.
func (s Saved) newest() []key {
	var r []key
	for _, v := range s.Listed {
		if v.At.Equal(s.Newest) {
			r = append(r, key{v.Service, v.Version})
		}
	}
	return r
}
