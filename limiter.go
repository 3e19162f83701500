package rhubarbgate

import "time"

// Limiter spends the prepaid tokens of workspaces on one entry.
type Limiter interface {
	// Take spends n tokens of the workspace, or returns false and how long to
	// wait before it is worth asking again.
	Take(workspace string, n float64) (ok bool, wait time.Duration)
}
