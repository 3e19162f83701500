package rhubarbgate

import (
	"context"
	"net/netip"
	"time"
)

//go:generate go tool -modfile=tools/go.mod stringer -type=CallKind -output=callkind_string.go

// CallKind says what a caller's HTTP call asks for.
type CallKind uint8

const (
	// Forward calls go to a target or, on routes of batch jobs, submit one.
	Forward CallKind = iota
	// ReadResults calls read the results of a batch job.
	ReadResults
	// ReadItem calls read the input of an item.
	ReadItem
	// CancelJob calls end a batch job.
	CancelJob
)

// Call is a caller's HTTP call.
type Call struct {
	Kind CallKind
	// RequestID is the caller's name for this attempt.
	RequestID string
	// Timeout is how long the caller waits; 0 means not told.
	Timeout time.Duration
	// Job and Item are set on calls about batch jobs.
	Job  string
	Item string
	// After is the position of the first result to read.
	After int
}

// TargetCall is what the system tells a target about a request.
type TargetCall struct {
	// Request names the request, if its caller's headers do not.
	Request   string
	Instance  string
	Workspace string
	// Timeout is what is left until the deadline; 0 sets none.
	Timeout time.Duration
}

// TargetAnswer is what the head of a target's answer says.
type TargetAnswer struct {
	// RequestID names the request that the answer belongs to.
	RequestID string
	// NotRun answers promise that the target did not and will not run the request.
	NotRun bool
	// Load is the target's load, if Loaded is set.
	Load   TargetLoad
	Loaded bool
}

// TargetLoad counts the requests of a target.
type TargetLoad struct{ Running, Waiting, Slots int }

// Dialect translates between the HTTP that callers and targets speak and the
// product's types. It decides nothing.
type Dialect interface {
	// DecodeCall reads a call; its error is an *Error.
	DecodeCall(method, uri string, header func(name string) string) (Call, error)
	// Forwards reports whether a target gets the caller's header as it is.
	Forwards(name string) bool
	// TargetHeaders returns the headers that the system sets.
	TargetHeaders(c TargetCall) []Header
	// DecodeAnswer reads the head of a target's answer.
	DecodeAnswer(status int, header func(name string) string) TargetAnswer
	// Refusal returns how an error is told to a caller.
	Refusal(e *Error) (status int, headers []Header, body []byte)
	// DecodeJob reads a submitted batch job; its error is an *Error.
	DecodeJob(body []byte) ([]JobItem, error)
	// EncodeResults writes a page of results.
	EncodeResults(p *ResultPage) ([]byte, error)
}

// JobItem is one request of a submitted batch job.
type JobItem struct {
	ID      string
	Path    string
	Headers []Header
	Body    []byte
}

// ResultPage is a part of a submitted job's results.
type ResultPage struct {
	// Total is the number of the job's items.
	Total int
	// Next is the position behind the last result of the page.
	Next    int
	Results []JobResult
}

// JobResult is the end of one item.
type JobResult struct {
	ID string
	// Done results have an Output, others were given up.
	Done   bool
	Output []byte
}

// Instance is one start of a target, as the platform's list shows it.
type Instance struct {
	ID               string
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Slots            int
	Leaving          bool
}

// Directory reads the platform's list of targets.
type Directory interface {
	// List returns all instances that can be used or are leaving, and how many
	// entries could not be read.
	List(ctx context.Context) (list []Instance, unreadable int, err error)
}

// EngineProbe asks an engine for its load.
type EngineProbe interface {
	Load(ctx context.Context) (TargetLoad, error)
}
