// Package ingress serves callers whose requests go straight to the targets of the platform's list, and their batch jobs.
package ingress

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// Exchange is one call on its way through the filters.
type Exchange struct {
	HTTP    *fasthttp.RequestCtx
	Context context.Context
	Cancel  context.CancelCauseFunc
	Call    rhubarbgate.Call
	Config  *config.Config
	Arrived time.Time
	// Deadline is the earlier one of the caller's and the route's.
	Deadline time.Time

	// Set by resolve.
	Route rhubarbgate.Route
	// Set by identify.
	Workspace string
	KeyDigest string

	stopWatch func()
}

// Handler handles an exchange. An error is told to the caller.
type Handler func(x *Exchange) error

// Filter is one step of the chain. It calls next, or answers by itself.
type Filter interface {
	Handle(x *Exchange, next Handler) error
}

// chain composes filters around a last handler; the first filter runs first.
func chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], h
		h = func(x *Exchange) error { return f.Handle(x, next) }
	}
	return h
}

// repeatable reports whether the request may run more than once.
func (x *Exchange) repeatable() bool {
	return x.Route.Kind == rhubarbgate.Safe || x.Route.Resumable
}

// fields describe the exchange in a log line.
func (x *Exchange) fields(now time.Time) log.Fields {
	return log.Fields{
		"request": x.Call.RequestID, "route": x.Route.Name, "workspace": x.Workspace,
		"version": x.Config.Version, "elapsed": now.Sub(x.Arrived).String(),
	}
}

func notRun(c rhubarbgate.Code, format string, args ...any) *rhubarbgate.Error {
	return rhubarbgate.Errorf(c, rhubarbgate.NotRun, format, args...)
}
