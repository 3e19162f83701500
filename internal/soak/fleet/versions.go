package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// versionBound is the time after the acknowledgement of a version from which each entry has it in force, and
	// versionDisturbance how long after a disturbance of an entry or a control host that is not checked.
	versionBound       = 2 * time.Second
	versionDisturbance = 3 * time.Second
	// maxProbePause bounds the time between two probes, which go to one entry after the other.
	maxProbePause = 200 * time.Millisecond
	// maxVersionPause bounds the time between two changes of the configuration besides those that injectors make.
	maxVersionPause = 2 * time.Second
	// markerPrefix begins the names of markers: routes that a version adds, and that later ones keep.
	markerPrefix = "version-"
)

// marker returns the route that a version adds.
func marker(version uint64) string { return fmt.Sprintf("%s%d", markerPrefix, version) }

// isRepeatable reports whether requests of a route may run more than once.
func isRepeatable(route string) bool {
	return route == "safe" || route == "resume" || strings.HasPrefix(route, markerPrefix)
}

// isPlain reports whether the response to a request of a route is one text rather than events.
func isPlain(route string) bool {
	return route == "safe" || route == "unsafe" || strings.HasPrefix(route, markerPrefix)
}

// acknowledgement is a version of the configuration and when it was acknowledged.
type acknowledgement struct {
	version uint64
	at      time.Time
}

// newestBefore returns the newest version that was acknowledged before the given time, 0 if there is none.
func (h *history) newestBefore(at time.Time) (newest acknowledgement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.acknowledged {
		if a.at.Before(at) && a.version > newest.version {
			newest = a
		}
	}
	return newest
}

// raiseVersions commits versions, each of which adds a route, until ctx is done.
func (s *Soak) raiseVersions(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		s.Clock.Sleep(time.Duration(random.Int64N(int64(maxVersionPause))))
		s.configuring.Lock()
		s.configure(ctx, s.version.Add(1+random.Uint64N(3)), s.Clock.Now().Add(convergenceTimeout))
		s.configuring.Unlock()
	}
}

// probeVersions asks the entries for the route of a version that must be in force, until ctx is done.
func (s *Soak) probeVersions(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		s.Clock.Sleep(time.Duration(random.Int64N(int64(maxProbePause))))
		sentAt := s.Clock.Now()
		a := s.history.newestBefore(sentAt.Add(-versionBound))
		if a.version == 0 {
			continue
		}
		entry := s.entries[n%len(s.entries)]
		req := s.send(ctx, n%len(s.entries), marker(a.version), fmt.Sprintf("probe-%d", n), "one", "key-one-a", callerTimeout)
		if req.response.Err != nil || req.response.Status != 404 {
			continue
		}
		if !s.disturbed(append([]*process{entry}, s.controlHosts...), sentAt.Add(-versionDisturbance), s.Clock.Now()) {
			s.history.addViolation("version %d is not in force at %s, %v after its acknowledgement", a.version, entry.name, sentAt.Sub(a.at))
		}
	}
}
