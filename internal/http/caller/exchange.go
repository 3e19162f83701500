// Package caller implements the HTTP API for callers: authentication, rate limits, routing, retries, and the files and batches endpoints.
package caller

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v2"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// Exchange is one request and what the filters have determined about it so far.
type Exchange struct {
	Fiber     *fiber.Ctx
	Context   context.Context
	RequestID string
	Arrived   time.Time
	// Deadline is Arrived plus the default timeout, or plus the timeout of the model or
	// route once it is known.
	Deadline time.Time
	// Config is the configuration in force when the request arrived. It applies to the
	// entire request.
	Config *config.Config

	// The keyFilter sets these three for a request with a key. Secret is the key
	// itself; only its digest leaves the process.
	Secret    []byte
	KeyDigest string
	Workspace string

	// The routeFilter sets these, except for Open. Path is the path at the target, with
	// the query in the case of a route. Either Model or Route is set.
	Method     string
	Path       string
	Headers    []side.Header
	Body       []byte
	Model      string
	Route      string
	Stream     bool
	Idempotent bool
	// Open means that the route needs no key. The keyFilter sets it.
	Open bool
	// PrefixHash is a hash of the beginning of the prompt; 0 means none.
	PrefixHash uint64

	// IdempotencyKey is the header Idempotency-Key of the request; empty means none.
	IdempotencyKey string
}

// Handler writes the response of an exchange. An error that it returns is sent to the
// caller as the response.
type Handler func(x *Exchange) error

// Filter is one step of request processing.
type Filter interface {
	// Handle either calls next or ends the request with a response or an error.
	Handle(x *Exchange, next Handler) error
}

// Chain returns a handler that runs the filters in order and then last.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], h
		h = func(x *Exchange) error { return f.Handle(x, next) }
	}
	return h
}

// remaining returns the time until the deadline.
func (x *Exchange) remaining(now time.Time) time.Duration { return x.Deadline.Sub(now) }

// notRun returns an error whose verdict is that the request did not run.
func notRun(c rhubarbgate.Code, format string, args ...any) *rhubarbgate.Error {
	return rhubarbgate.Errorf(c, rhubarbgate.NotRun, format, args...)
}
