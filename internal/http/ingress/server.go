package ingress

import (
	"cmp"
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/controller/crashes"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/controller/reserve"
	"rhubarbgate.example/rhubarbgate/internal/controller/streams"
	"rhubarbgate.example/rhubarbgate/internal/controller/targetlimits"
	"rhubarbgate.example/rhubarbgate/internal/net/account"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

const (
	// MaxBodyBytes and maxHeaderBytes bound a request. The configuration can set a lower
	// limit for the body.
	MaxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
	// readTimeout bounds how long a caller may take to send a request.
	readTimeout = 20 * time.Second
	// idleTimeout is how long a caller's connection may be unused.
	idleTimeout = 60 * time.Second
	// memoryRetryAfter is the Retry-After while the memory for requests is in use: about the time after
	// which bodies that make no progress have given way.
	memoryRetryAfter = time.Second
	// maxLoggedError bounds the text of a malformed request's error, which has the head in it.
	maxLoggedError = 200
	// MaxReadinessBody bounds the body of a readiness check, which needs none.
	MaxReadinessBody = 4 << 10
	// stopMargin is the time that the last response has to be sent before a draining entry stops.
	stopMargin = 50 * time.Millisecond
	// defaultStallTimeout is the default of Server.StallTimeout.
	defaultStallTimeout = 30 * time.Second
)

// Server is the HTTP server for callers. Set the exported fields, call Prepare, then Serve.
type Server struct {
	Dialect rhubarbgate.Dialect
	Source  configuration.Source
	// Holder spends this entry's rate-limit grants.
	Holder  *limit.Holder
	Targets *discovery.Table
	// Crashes, if set, records responses and those that targets break off, and blocks prompts
	// with which targets end.
	Crashes *crashes.Recorder
	// Limits, if set, keeps the limits that targets state.
	Limits *targetlimits.Keeper
	// Streams, if set, remembers which software version began a stream.
	Streams *streams.Keeper
	// JobReads, if set, limits the reads of batch jobs of each workspace at this entry. They cost no target, so
	// that the rate of the workspace does not apply to them.
	JobReads rhubarbgate.Limiter
	// Reservations, if set, asks the sides of targets for free slots.
	Reservations *reserve.Client
	// Admission, if set, decides whether requests for contended capacity are sent. It may implement
	// rhubarbgate.AdmissionFeedback.
	Admission rhubarbgate.Admission
	// Stores calls the store hosts, which keep the batch jobs.
	Stores *control.Client
	Picker rhubarbgate.Picker
	// Budget limits retries of requests that may have run.
	Budget rhubarbgate.RetryBudget
	// Hedger, if set, decides when a request that may be repeated is sent to a second target.
	Hedger rhubarbgate.Hedger
	Clock  clockwork.Clock
	Random *rand.Rand
	Logger log.Interface
	Counts *Counters
	// MaxAge is how long ago the configuration may have been confirmed. Past it, the entry
	// is not ready and refuses requests that need a key.
	MaxAge time.Duration
	// StallTimeout is how long a caller may take no bytes of its response; 0 means 30 s.
	StallTimeout time.Duration

	http      *fasthttp.Server
	readiness *fasthttp.Server
	// handleRequest handles calls that go to targets and submissions, handleJobCall those that read or
	// end a batch job.
	handleRequest, handleJobCall Handler
	inFlight                     atomic.Int64
	stopAt                       atomic.Pointer[time.Time]     // set while draining
	startedAt                    time.Time                     // when Prepare was called
	feedback                     rhubarbgate.AdmissionFeedback // nil if Admission does not take it
	randomMu                     sync.Mutex
}

// Counters are the expvar counters of a Server: requests received and refused, retries,
// streams resumed at another target, responses that were truncated, requests that targets
// refused, callers that disconnected, requests whose handling panicked, requests whose prompts
// are blocked, and responses that were withheld because their status would promise that nothing ran, and streams that callers
// take up, those of them that were refused because of their software version, requests that the admission policy refused, requests
// that were refused because all targets are in evacuated zones, reads of batch jobs beyond JobReads, and copies of late requests that were sent, that
// answered first, and that were not sent, by cause.
type Counters struct {
	Requests, Refused, Retries, Resumed, TruncatedResponses, TargetRefusals, DisconnectedCallers, Panics, Quarantined, UnstatedPromises, TakenUp, VersionsGone, NotAdmitted,
	Evacuated, JobReadsRefused, HedgesSent, HedgesWon *expvar.Int
	HedgesRefused *expvar.Map
}

// NewCounters creates the counters and publishes them in m.
func NewCounters(m *expvar.Map) *Counters {
	counter := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	refused := new(expvar.Map)
	m.Set("HedgesRefused", refused)
	return &Counters{
		HedgesSent: counter("HedgesSent"), HedgesWon: counter("HedgesWon"), HedgesRefused: refused,
		Requests: counter("Requests"), Refused: counter("Refused"), Retries: counter("Retries"), Resumed: counter("Resumed"), TruncatedResponses: counter("AnswersCut"),
		TargetRefusals: counter("TargetsRefused"), DisconnectedCallers: counter("CallersLeft"),
		Panics: counter("Panics"), Quarantined: counter("RequestsQuarantined"),
		UnstatedPromises: counter("UnstatedPromises"), TakenUp: counter("StreamsTakenUp"), VersionsGone: counter("StreamsRefusedByVersion"),
		NotAdmitted: counter("RequestsNotAdmitted"), Evacuated: counter("RequestsRefusedByEvacuation"), JobReadsRefused: counter("JobReadsRefused"),
	}
}

// Prepare builds the filter chain and the HTTP servers. Call it once, before Serve.
func (s *Server) Prepare() {
	s.startedAt = s.Clock.Now()
	s.feedback, _ = s.Admission.(rhubarbgate.AdmissionFeedback)
	route, key := &routeFilter{server: s}, &keyFilter{server: s}
	s.handleRequest = chain(s.serve, route, key, &quarantineFilter{server: s}, &rateFilter{server: s})
	// No limit on work at targets applies to calls that cost no target.
	s.handleJobCall = chain(s.serveJobCall, route, key, &readFilter{server: s})
	s.http = &fasthttp.Server{
		Handler: s.serveHTTP, Name: "rhubarbgate", NoDefaultServerHeader: true, NoDefaultContentType: true, NoDefaultDate: true,
		ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: MaxBodyBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		DisablePreParseMultipartForm: true, DisableHeaderNamesNormalizing: false,
		CloseOnShutdown: true, Logger: discardLogger{}, ErrorHandler: s.handleReadError, ReduceMemoryUsage: true,
	}
	s.readiness = &fasthttp.Server{Handler: s.checkReadiness, MaxRequestBodySize: MaxReadinessBody, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, NoDefaultServerHeader: true, Logger: discardLogger{}, ReduceMemoryUsage: true}
}

// discardLogger drops the log lines of the HTTP library. Malformed requests are logged by
// handleReadError, and callers that disconnect are counted.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve accepts callers' connections on l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	return errors.Trace(s.http.Serve(&stallListener{Listener: l, clock: s.Clock, timeout: cmp.Or(s.StallTimeout, defaultStallTimeout)}))
}

// ServeReadiness serves the load balancer's readiness checks on l until Shutdown.
func (s *Server) ServeReadiness(l net.Listener) error { return errors.Trace(s.readiness.Serve(l)) }

// StartDraining makes the readiness check fail, so that the load balancer sends callers to other
// entries. Requests that still arrive are served, each as the last one of its connection, or refused
// if they may not end before stopAt, when the entry cuts what is left.
func (s *Server) StartDraining(stopAt time.Time) { s.stopAt.Store(&stopAt) }

func (s *Server) draining() bool { return s.stopAt.Load() != nil }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Shutdown stops accepting connections and waits for requests in flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	if e := s.readiness.ShutdownWithContext(ctx); err == nil {
		err = e
	}
	return errors.Trace(err)
}

// checkReadiness responds with 503 if the entry is leaving, has no configuration or a
// stale one, or has no list of targets.
func (s *Server) checkReadiness(c *fasthttp.RequestCtx) {
	if s.draining() || s.Source.Current().Version == 0 || s.configStale() || !s.Targets.Ready() {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// configAge returns how long ago the configuration was confirmed.
func (s *Server) configAge() time.Duration {
	return s.Clock.Since(s.Source.ConfirmedAt()).Round(time.Millisecond)
}

func (s *Server) configStale() bool { return s.configAge() > s.MaxAge }

// serveHTTP serves one request.
func (s *Server) serveHTTP(c *fasthttp.RequestCtx) {
	s.Counts.Requests.Add(1)
	s.inFlight.Add(1)
	x := &Exchange{HTTP: c, Arrived: s.Clock.Now(), Config: s.Source.Current()}
	x.Context, x.Cancel = context.WithCancelCause(context.Background())
	x.stopWatch = s.watchCaller(c.Conn(), x.Cancel)
	if s.draining() {
		c.SetConnectionClose()
	}
	defer s.recoverExchange(x)
	call, err := s.Dialect.DecodeCall(string(c.Method()), string(c.RequestURI()), func(name string) string {
		return string(c.Request.Header.Peek(name))
	})
	x.Call = call
	switch {
	case err != nil:
	case call.Kind == rhubarbgate.Forward:
		err = s.handleRequest(x)
	default:
		err = s.handleJobCall(x)
	}
	if err != nil {
		s.refuse(x, rhubarbgate.AsError(err))
	}
	if !c.Response.IsBodyStream() {
		s.finish(x)
	}
}

// recoverExchange responds with an internal error if the handling of the exchange panicked,
// so that one request cannot end the process. Nothing is known of what ran.
func (s *Server) recoverExchange(x *Exchange) {
	p := recover()
	if p == nil {
		return
	}
	s.logPanic(x, p)
	s.refuse(x, rhubarbgate.Errorf(rhubarbgate.CodeInternal, rhubarbgate.MayHaveRun, "internal error"))
	s.finish(x)
}

// logPanic logs a panic with its stack.
func (s *Server) logPanic(x *Exchange, value any) {
	s.Counts.Panics.Add(1)
	f := x.fields(s.Clock.Now())
	f["stack"] = string(debug.Stack())
	s.Logger.WithFields(f).Error(fmt.Sprintf("panic: %v", value))
}

// finish releases the resources of the exchange. Call it once, after the response.
func (s *Server) finish(x *Exchange) {
	s.recordEnded(x)
	x.stopWatch()
	x.Cancel(context.Canceled)
	// The HTTP library reuses the request's body.
	x.sending.Wait()
	s.inFlight.Add(-1)
}

// refuse logs the error and makes it the response.
func (s *Server) refuse(x *Exchange, e *rhubarbgate.Error) {
	s.Counts.Refused.Add(1)
	status, headers, body := s.Dialect.EncodeError(e)
	f := x.fields(s.Clock.Now())
	f["code"], f["verdict"], f["status"], f["age"] = e.Code.String(), e.Verdict.String(), status, s.configAge().String()
	f["retryAfter"] = e.RetryAfter.String()
	s.Logger.WithFields(f).Info("refused: " + e.Message)
	x.HTTP.Response.Reset()
	if s.draining() {
		x.HTTP.SetConnectionClose()
	}
	x.HTTP.SetStatusCode(status)
	for _, h := range headers {
		x.HTTP.Response.Header.Set(h.Name, h.Value)
	}
	x.HTTP.Response.SetBodyRaw(body)
}

// handleReadError responds to a request that is malformed or too large to be read.
func (s *Server) handleReadError(c *fasthttp.RequestCtx, err error) {
	code := rhubarbgate.CodeInvalid
	var smallBuffer *fasthttp.ErrSmallBuffer
	status := 0
	switch {
	case errors.As(err, &smallBuffer):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code = rhubarbgate.CodeTooLarge
	}
	message, logged := err.Error(), true
	e := notRun(code, "reading the request: %s", message[:min(len(message), maxLoggedError)])
	if x := account.From(c.Conn()); x != nil && x.Refused() != account.None {
		e = notRun(rhubarbgate.CodeOverloaded, "%v", account.ErrRefused).WithRetryAfter(memoryRetryAfter)
		status, logged = 0, false // the account logs refusals by cause
	}
	refusalStatus, headers, body := s.Dialect.EncodeError(e)
	if status == 0 {
		status = refusalStatus
	}
	s.Counts.Refused.Add(1)
	if logged {
		s.Logger.WithField("status", status).Info("refused: " + e.Message)
	}
	c.SetStatusCode(status)
	for _, h := range headers {
		c.Response.Header.Set(h.Name, h.Value)
	}
	c.Response.SetBodyRaw(body)
	c.SetConnectionClose()
}
