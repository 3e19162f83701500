// Package ingress is the HTTP server of an entry that forwards requests directly to the platform's targets and takes batch jobs.
package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

// Exchange is one request of a caller and its response.
type Exchange struct {
	HTTP *fasthttp.RequestCtx
	// Context ends when the caller closes its connection or the exchange is finished.
	Context context.Context
	Cancel  context.CancelCauseFunc
	Call    rhubarbgate.Call
	// Config is the configuration that was current when the request arrived.
	Config  *config.Config
	Arrived time.Time
	// Deadline is set by routeFilter. For a forwarded request it is the earlier of the
	// caller's and the route's, or defaultTimeout after Arrived if the route has none.
	Deadline time.Time

	// Route is set by routeFilter; calls about batch jobs have none.
	Route rhubarbgate.Route
	// Workspace and KeyDigest are set by keyFilter. They are empty if no key is needed.
	Workspace string
	KeyDigest string
	// trial is set by quarantineFilter for a request that is sent although its prompt is blocked
	// for trial.
	trial bool

	// admitted is the request with which the admission policy was told at admittedAt that the request
	// began. Its Service is empty if it was not told so, or was told that the request ended.
	admitted   rhubarbgate.AdmissionRequest
	admittedAt time.Time

	content string // cache of contentPart

	// sending counts the attempts on other goroutines that may still read the request's body.
	sending sync.WaitGroup

	// stopWatch ends the watch on the caller's connection.
	stopWatch func()
}

// Handler writes the response of an exchange. An error that it returns becomes the
// response instead.
type Handler func(x *Exchange) error

// Filter is one step in the handling of a request.
type Filter interface {
	// Handle calls next, or returns an error or writes a response without calling it.
	Handle(x *Exchange, next Handler) error
}

// chain returns a Handler that runs the filters in their order, then final.
func chain(final Handler, filters ...Filter) Handler {
	h := final
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], h
		h = func(x *Exchange) error { return f.Handle(x, next) }
	}
	return h
}

// idempotent reports whether the request may run more than once, so that it can be
// retried after a target may have run it.
func (x *Exchange) idempotent() bool {
	return x.Route.Kind == rhubarbgate.Safe || x.Route.Resumable
}

// jobOwner returns the workspace whose batch jobs the caller may read and cancel, besides those of no
// workspace. It is empty, which stands for any, if no workspace is configured.
func (x *Exchange) jobOwner() string {
	if x.Workspace == "" && len(x.Config.Workspaces) > 0 {
		return jobs.NoWorkspace
	}
	return x.Workspace
}

// contentPart returns the ID of the part that stands for the request's content.
func (x *Exchange) contentPart() string {
	if x.content == "" {
		x.content = quarantine.RequestPart(x.Workspace, string(x.HTTP.Method()), string(x.HTTP.Host()), string(x.HTTP.RequestURI()), x.HTTP.Request.Body())
	}
	return x.content
}

// parts returns the parts that show whether targets end with the request: those of its prompt that
// other requests may have too, and the one that stands for its content.
func (x *Exchange) parts() []string {
	shared := x.Call.SharedParts()
	return append(shared[:len(shared):len(shared)], x.contentPart())
}

// fields returns the log fields that describe the exchange.
func (x *Exchange) fields(now time.Time) log.Fields {
	return log.Fields{
		"request": x.Call.RequestID, "route": x.Route.Name, "workspace": x.Workspace,
		"version": x.Config.Version, "elapsed": now.Sub(x.Arrived).String(),
	}
}

// notRun returns an error for a request that no target ran.
func notRun(c rhubarbgate.Code, format string, args ...any) *rhubarbgate.Error {
	return rhubarbgate.Errorf(c, rhubarbgate.NotRun, format, args...)
}
