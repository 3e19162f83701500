// Package caller serves the callers' HTTP interface: a chain of filters from the key to the relayed answer.
package caller

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v2"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// Exchange is one request on its way through the filters.
type Exchange struct {
	Fiber     *fiber.Ctx
	Context   context.Context
	RequestID string
	Arrived   time.Time
	Deadline  time.Time
	Config    *config.Config

	// Set by identify.
	Secret    []byte
	KeyDigest string
	Workspace string

	// Set by route.
	Method     string
	Path       string
	Headers    []side.Header
	Body       []byte
	Model      string
	Route      string
	Stream     bool
	Idempotent bool
	Open       bool
	Prefix     uint64

	// IdempotencyKey is the caller's, if any.
	IdempotencyKey string
}

// Handler handles an exchange. An error is reported to the caller.
type Handler func(x *Exchange) error

// Filter is one step of the chain. It calls next, or answers by itself.
type Filter interface {
	Handle(x *Exchange, next Handler) error
}

// Chain composes filters around a last handler; the first filter runs first.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], h
		h = func(x *Exchange) error { return f.Handle(x, next) }
	}
	return h
}

// remaining is the time until the deadline.
func (x *Exchange) remaining(now time.Time) time.Duration { return x.Deadline.Sub(now) }

func notRun(c rhubarbgate.Code, format string, args ...any) *rhubarbgate.Error {
	return rhubarbgate.Errorf(c, rhubarbgate.NotRun, format, args...)
}
