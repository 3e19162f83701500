package rhubarbgate

import "time"

// Hedger decides when a request that may be repeated is sent a second time, to another target,
// because its answer is later than usual. It is safe for concurrent use.
type Hedger interface {
	// Delay counts a request of the service that may be repeated, and returns after which time
	// without an answer a copy may be sent; false means never.
	Delay(service string) (time.Duration, bool)
	// Allow reports whether a copy may be sent now to a request that has remaining time left, and
	// takes it from the budget. The reason says why not.
	Allow(service string, remaining time.Duration) (ok bool, reason string)
	// Observe records how long a target took to answer an attempt: to the first event of a stream,
	// or to the whole answer.
	Observe(service string, latency time.Duration)
	// Finish records whether a copy that was allowed answered before the first attempt.
	Finish(service string, won bool)
}
