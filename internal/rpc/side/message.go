// Package side is the protocol between entries and the side process in front of each target.
package side

import (
	"time"

	"rhubarbgate.example/rhubarbgate"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=FrameKind -output=framekind_string.go

// Names of the methods.
const (
	MethodRun    = "/side/Run"
	MethodReport = "/side/Report"
)

// Header is one HTTP header that travels with a request or answer.
type Header = rhubarbgate.Header

// Request is one attempt at an online request. It carries no credential: the
// side looks the digest of the caller's key up again before it starts the work.
type Request struct {
	RequestID string
	Attempt   int
	Workspace string
	// KeyDigest is empty on routes that are open to all.
	KeyDigest string
	Model     string
	Route     string
	Method    string
	Path      string
	Headers   []Header
	Body      []byte
	// Timeout is what is left until the caller's deadline.
	Timeout time.Duration
	// ConfigVersion is the version by which the entry admitted the request.
	ConfigVersion uint64
}

// FrameKind is the kind of a Frame.
type FrameKind uint8

const (
	// Head opens an answer with its status and headers.
	Head FrameKind = iota
	// Data is a part of the body.
	Data
	// End closes an answer that is whole, or reports why there is none.
	End
)

// Frame is a part of an answer. A stream that ends without an End was cut.
type Frame struct {
	RequestID string
	Attempt   int
	Kind      FrameKind
	Status    int      `msgpack:",omitempty"`
	Headers   []Header `msgpack:",omitempty"`
	// Data holds whole server-sent events if the answer is a stream of them.
	Data []byte             `msgpack:",omitempty"`
	Err  *rhubarbgate.Error `msgpack:",omitempty"`
	// Report comes with an End, so that entries that use a side hear of its load.
	Report *Report `msgpack:",omitempty"`
}

// Watch asks for reports at an interval.
type Watch struct{ Interval time.Duration }

// Report is the load of one side.
type Report struct {
	Target  string
	Running int `msgpack:",omitempty"`
	Queued  int `msgpack:",omitempty"`
	Batch   int `msgpack:",omitempty"`
	Slots   int
	// Wait is how long a new online request would queue.
	Wait    time.Duration `msgpack:",omitempty"`
	Leaving bool          `msgpack:",omitempty"`
	// EngineDown says that the side cannot reach its target.
	EngineDown bool `msgpack:",omitempty"`
}
