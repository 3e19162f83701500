// Package side defines the RPC messages between entries and the side process in front of each target.
package side

import (
	"net/netip"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=FrameKind -output=framekind_string.go

// Names of the RPC methods.
const (
	MethodRun        = "/side/Run"
	MethodReport     = "/side/Report"
	MethodContinuity = "/side/Continuity"
)

// Continuity asks a side for how long the address of its target has been in use without a pause.
type Continuity struct{ Target netip.AddrPort }

// ContinuityReply answers a Continuity. InUse is 0 if the side does not know, or if its target is at
// another address.
type ContinuityReply struct{ InUse time.Duration }

// Header is one HTTP header of a request or response.
type Header = rhubarbgate.Header

// Request is one attempt at an online request. It carries no credential: the side looks
// up KeyDigest in its own configuration before it starts the work, so that a withdrawn
// key is refused.
type Request struct {
	RequestID string
	Attempt   int
	Workspace string
	// KeyDigest is the digest of the caller's API key, empty on routes that need none.
	KeyDigest string
	Model     string
	Route     string
	Method    string
	Path      string
	Headers   []Header
	Body      []byte
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
	// ConfigVersion is the configuration version with which the entry admitted the
	// request.
	ConfigVersion uint64
}

// FrameKind is the kind of a Frame.
type FrameKind uint8

const (
	// Head is the first frame of a response: status and headers.
	Head FrameKind = iota
	// Data is a part of the response body.
	Data
	// End is the last frame: the response is complete, or Err reports why it is not.
	End
)

// Frame is a part of a response. A stream that ends without an End is truncated.
type Frame struct {
	RequestID string
	Attempt   int
	Kind      FrameKind
	Status    int      `msgpack:",omitempty"`
	Headers   []Header `msgpack:",omitempty"`
	// Data holds complete server-sent events if the response is an event stream.
	Data []byte             `msgpack:",omitempty"`
	Err  *rhubarbgate.Error `msgpack:",omitempty"`
	// Report is set on an End frame, so that entries that use a side receive its load
	// without waiting for the next periodic report.
	Report *Report `msgpack:",omitempty"`
}

// Watch requests a stream of reports: one immediately, then one per Interval.
type Watch struct{ Interval time.Duration }

// Report is the load of one side. Running and Queued count online requests, Batch the
// batch items that run.
type Report struct {
	Target  string
	Running int `msgpack:",omitempty"`
	Queued  int `msgpack:",omitempty"`
	Batch   int `msgpack:",omitempty"`
	Slots   int
	// Wait is how long a new online request would be queued.
	Wait    time.Duration `msgpack:",omitempty"`
	Leaving bool          `msgpack:",omitempty"`
	// EngineDown says that the side cannot reach its target.
	EngineDown bool `msgpack:",omitempty"`
}
