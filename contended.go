package rhubarbgate

import "time"

// Features are the optional parts that a deployment enables.
type Features struct {
	// ContendedCapacity says that demand may exceed the slots of all targets together, so that
	// entries ask the sides of targets for free slots.
	ContendedCapacity bool
}

// TargetOffer is what the side of a target replied to an entry that asks whether the target has a free slot.
type TargetOffer struct {
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Online is the number of running requests that are not the side's own batch items, and Queued
	// that of those that wait for a slot.
	Online, Queued int
	// Reserved is the number of reservations that no load report of the target covers yet.
	Reserved int
	// Batch is the number of batch items that the side runs at the target.
	Batch int
	// Slowness is the time that work takes at the target now, relative to the usual time; 0 means
	// that the target does not state it.
	Slowness float64
	// Age is the age of the load report that the offer is based on.
	Age time.Duration
}

// Admission decides whether a request for contended capacity is sent. It is safe for concurrent use.
type Admission interface {
	Admit(r AdmissionRequest) AdmissionDecision
}

// AdmissionRequest is a request that is about to be sent to a target for the first time.
type AdmissionRequest struct {
	Service, Workspace string
	// Rank is the request's place in the order of importance; 0 is the highest.
	Rank int
	// Weight is the workspace's share.
	Weight float64
	// Objective is the route's latency objective, and Remaining the time until the deadline.
	Objective, Remaining time.Duration
	// Wait is how long the request is expected to wait for a slot. It is valid only if Known is
	// set, which says that at least one side answered.
	Wait  time.Duration
	Known bool
	// Free says that an asked target has a free slot.
	Free bool
	// Busy is the share of the slots of the asked targets that is taken.
	Busy float64
}

// AdmissionDecision is the answer to an AdmissionRequest.
type AdmissionDecision struct {
	Send bool
	// RetryAfter is when a request that is not sent may find room, and Reason why it is not sent.
	RetryAfter time.Duration
	Reason     string
}

// AdmissionFeedback is implemented by an Admission that learns from what becomes of requests. The
// request is the one that Admit was called with.
type AdmissionFeedback interface {
	// Begin records that a request is sent for the first time, and End that it is over,
	// whatever its outcome. Each Begin is followed by one End; elapsed counts from Begin.
	Begin(r AdmissionRequest)
	End(r AdmissionRequest, elapsed time.Duration)
	// FirstEvent records the first event of a stream, or the head of another response.
	// Elapsed counts from the sending to the target that responds.
	FirstEvent(r AdmissionRequest, elapsed time.Duration)
}
