package rhubarbgate

import (
	"net/netip"
	"time"
)

// Candidate is a target as one entry sees it when it chooses.
type Candidate struct {
	Name             string
	Address          netip.AddrPort
	AvailabilityZone string
	// Distance is 1 in the entry's availability zone and grows with distance.
	Distance int
	Slots    int
	// Inflight counts this entry's own requests at the target.
	Inflight int
	// Reported counts requests at the target as of its last report.
	Reported int
	// Queued counts those that waited for a slot then.
	Queued int
	// Wait is the target's own estimate of the time that a new request queues.
	Wait time.Duration
	// Latency is this entry's moving average of the time to the first byte.
	Latency time.Duration
}

// PickRequest is what a Picker knows of a request.
type PickRequest struct {
	Workspace string
	Model     string
	// Prefix hashes the head of the prompt; 0 means none.
	Prefix uint64
}

// Picker chooses a target among candidates that may all serve the request.
type Picker interface {
	// Pick returns the index of the chosen candidate. The slice is not empty.
	Pick(r PickRequest, c []Candidate) int
}
