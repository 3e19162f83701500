// Package holding decides which unfinished request gives up its memory when that of a process runs short.
package holding

import "time"

const (
	// minRate is the slowest progress of a body, in bytes a second, while memory is short. Callers on
	// slow links are above it: a body of 4 MiB at this rate takes longer than callers wait.
	minRate = 16 << 10
	// rateGrace is the time before the rate counts, as a connection is slow to begin with.
	rateGrace = 3 * time.Second
	// stallTime is the time without a byte after which a body gives way before newer ones.
	stallTime = 250 * time.Millisecond
)

// Body is a request that has not arrived completely, or a response that is not read completely.
type Body struct {
	// Since is when its first byte arrived, Progress when the last one did.
	Since, Progress time.Time
	Bytes           int64
}

// TooSlow reports whether the body makes less than the least progress.
func (b Body) TooSlow(now time.Time) bool {
	elapsed := now.Sub(b.Since)
	return elapsed > rateGrace && float64(b.Bytes) < minRate*elapsed.Seconds()
}

// GivesWayTo reports whether b gives up its memory before other does: those that stall before those
// that make progress, of these the newest, of the former the one that stalls for the longest.
func (b Body) GivesWayTo(other Body, now time.Time) bool {
	stalls, otherStalls := now.Sub(b.Progress) > stallTime, now.Sub(other.Progress) > stallTime
	switch {
	case stalls != otherStalls:
		return stalls
	case stalls:
		return b.Progress.Before(other.Progress)
	default:
		return b.Since.After(other.Since)
	}
}
