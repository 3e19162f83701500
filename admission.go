package rhubarbgate

import "time"

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
