package rhubarbgate

import (
	"context"
	"net/netip"
	"time"
)

//go:generate go tool -modfile=tools/go.mod stringer -type=CallKind -output=callkind_string.go

// CallKind classifies a caller's HTTP call by its operation.
type CallKind uint8

const (
	// Forward calls go to a target or, on batch-job routes, submit a job.
	Forward CallKind = iota
	// ReadResults calls read the results of a batch job.
	ReadResults
	// ReadItem calls read the input of an item.
	ReadItem
	// CancelJob calls cancel a batch job.
	CancelJob
)

// Call is a caller's HTTP call.
type Call struct {
	Kind CallKind
	// RequestID is the ID that the caller gave this attempt.
	RequestID string
	// Timeout is how long the caller waits; 0 means that the call does not say.
	Timeout time.Duration
	// Resumes is the ID of the caller's earlier attempt that received the first event of the stream
	// that this call continues; empty if the call does not say.
	Resumes string
	// Job and Item are set on calls about batch jobs.
	Job  string
	Item string
	// After is the position of the first result to read.
	After int
	// PromptParts are the IDs of the prompt's parts, in order. Requests share parts, except
	// the last one, which belongs to the request or its session.
	PromptParts []string
}

// SharedParts returns the parts of the prompt that other requests may have too.
func (c *Call) SharedParts() []string { return c.PromptParts[:max(0, len(c.PromptParts)-1)] }

// TargetCall holds the values that a request to a target carries in headers set
// by the system.
type TargetCall struct {
	// Request is the request's ID if the caller's headers do not carry one.
	Request string
	// Instance is the ID of the target instance that must serve the request.
	Instance  string
	Workspace string
	// Timeout is the time left until the deadline; 0 means no deadline.
	Timeout time.Duration
}

// TargetResponse holds what the head of a target's response says.
type TargetResponse struct {
	// RequestID is the ID of the request that the response belongs to.
	RequestID string
	// Instance is the ID of the responding instance, if the response names it.
	Instance string
	// NotRun is the target's promise that it did not and will not run the request.
	NotRun bool
	// ReadAsNotRun says that callers take the response's status for that promise, whether or
	// not the target gives it.
	ReadAsNotRun bool
	// OtherInstance says that the target refused the request because it is for another instance.
	OtherInstance bool
	// Leaving is the target's announcement that it is about to stop.
	Leaving bool
	// Limit is the rate of requests a second that the target takes from all processes
	// together; it is valid only if HasLimit is set.
	Limit    float64
	HasLimit bool
	// ColdLeft is for how long the target stays cold, 0 if it is warm; it is valid only if HasCold is set.
	ColdLeft time.Duration
	HasCold  bool
	// Load is the target's load; it is valid only if HasLoad is set.
	Load    TargetLoad
	HasLoad bool
}

// TargetLoad is the number of running requests, of waiting requests and of slots
// at a target.
type TargetLoad struct {
	Running, Waiting, Slots int
	// Slowness is the time that work takes at the target now, relative to the usual time; 0 means
	// that the target does not state it.
	Slowness float64
}

// Dialect translates between the platform's HTTP conventions and the types of
// this package. It makes no policy decisions.
type Dialect interface {
	// DecodeCall parses a caller's request line and headers; its error is an *Error.
	DecodeCall(method, uri string, header func(name string) string) (Call, error)
	// IDHeader names the header that carries a request's ID, in requests and in responses.
	IDHeader() string
	// Forwards reports whether the caller's header is passed to the target unchanged.
	Forwards(name string) bool
	// TargetHeaders returns the headers that the system sets on a request to a target.
	TargetHeaders(c TargetCall) []Header
	// DecodeResponse parses the head of a target's response.
	DecodeResponse(status int, header func(name string) string) TargetResponse
	// EncodeError returns the response that reports an error to a caller.
	EncodeError(e *Error) (status int, headers []Header, body []byte)
	// DecodeJob parses a submitted batch job; its error is an *Error.
	DecodeJob(body []byte) ([]JobItem, error)
	// EncodeResults encodes a page of results as a response body.
	EncodeResults(p *ResultPage) ([]byte, error)
}

// JobItem is one request of a submitted batch job.
type JobItem struct {
	ID      string
	Path    string
	Headers []Header
	Body    []byte
}

// ResultPage is a page of a submitted job's results.
type ResultPage struct {
	// Total is the number of the job's items.
	Total int
	// Next is the position after the last result of the page.
	Next    int
	Results []JobResult
}

// JobResult is the final result of one item.
type JobResult struct {
	ID string
	// Done items succeeded and have an Output; the others ended without one.
	Done   bool
	Output []byte
}

// Instance is one run of a target process, as the platform's list shows it. A
// restarted target is a new instance.
type Instance struct {
	ID               string
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Slots            int
	Leaving          bool
	// Version is that of the instance's software, empty if the list does not name it. Instances of
	// several versions may serve side by side; they have no order.
	Version string `msgpack:",omitempty"`
	// ColdLeft is for how long the instance stays cold, as of when the list was requested.
	ColdLeft time.Duration `msgpack:",omitempty"`
}

// Directory reads the platform's list of targets.
type Directory interface {
	// List returns all instances that are usable or leaving, and the number of
	// list entries that could not be parsed.
	List(ctx context.Context) (list []Instance, unreadable int, err error)
}

// HealthProbe reads what a target states at the health path of its service.
type HealthProbe interface {
	Health(ctx context.Context, path string) (TargetResponse, error)
}

// EngineProbe reads the load that a target's inference engine reports.
type EngineProbe interface {
	Load(ctx context.Context) (TargetLoad, error)
}
