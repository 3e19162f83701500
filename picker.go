package rhubarbgate

import (
	"net/netip"
	"time"
)

// Candidate is a target that an entry may choose, with the entry's view of its
// load.
type Candidate struct {
	Name             string
	Address          netip.AddrPort
	AvailabilityZone string
	// Distance is 1 in the entry's availability zone and larger in farther ones.
	Distance int
	Slots    int
	// InFlight is the number of this entry's own requests in flight at the target.
	InFlight int
	// Reported is the number of requests at the target as of its last report. It
	// includes those queued for a slot unless Queued counts them.
	Reported int
	// Queued is the number of requests queued for a slot as of the same report, if
	// Reported does not include them.
	Queued int
	// HasReport says that Reported and Queued are from a recent report.
	HasReport bool
	// Wait is the target's estimate of how long a new request is queued.
	Wait time.Duration
	// Connected says that an open connection to the target can carry the request.
	Connected bool
	// Limited says that the target states a limit, of which this entry has a token left.
	Limited bool
	// Slowness is the time that work takes at the target now, relative to the usual time, as of its last
	// report; 0 means that it does not state it.
	Slowness float64
	// Cold says that the target started a short time ago and takes few requests, of which this entry
	// may send one.
	Cold bool
	// Latency is this entry's moving average of the target's latency: the time to the
	// first data of a response and, for streams, the gaps between tokens.
	Latency time.Duration
}

// PickRequest holds the properties of a request that a Picker may use.
type PickRequest struct {
	Workspace string
	Model     string
	// Prefix is a hash of the beginning of the prompt; 0 means none.
	Prefix uint64
}

// Picker chooses a target among candidates, any of which may serve the request.
type Picker interface {
	// Pick returns the index of the chosen candidate. The slice is not empty.
	Pick(r PickRequest, c []Candidate) int
}

// RankingPicker is a Picker that names several candidates.
type RankingPicker interface {
	Picker
	// Rank writes the indexes of the best candidates into best, beginning with one that Pick may choose,
	// and returns their number, at most len(best).
	Rank(r PickRequest, c []Candidate, best []int) int
}
