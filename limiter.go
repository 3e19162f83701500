package rhubarbgate

import "time"

// Limiter enforces the rates of workspaces at one entry. It spends tokens that
// were granted to the entry in advance.
type Limiter interface {
	// Take spends n tokens of the workspace, or returns false and how long to
	// wait before a retry can succeed.
	Take(workspace string, n float64) (ok bool, wait time.Duration)
}
