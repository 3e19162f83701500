package ingress

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

const (
	// maxBodyBytes and maxHeaderBytes bound a request until the configuration
	// says otherwise.
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
	// readTimeout bounds how long a caller may take to send a request.
	readTimeout = 20 * time.Second
	// idleTimeout is how long a caller's connection may be unused.
	idleTimeout = 60 * time.Second
	// writeTimeout bounds how long a caller may take to read an answer.
	writeTimeout = 2 * time.Minute
)

// Server answers callers. Set the exported fields before Serve.
type Server struct {
	Dialect rhubarbgate.Dialect
	Source  configuration.Source
	Holder  *limit.Holder
	Targets *discovery.Table
	// Stores calls the store hosts.
	Stores *control.Client
	Picker rhubarbgate.Picker
	Budget rhubarbgate.RetryBudget
	Clock  clockwork.Clock
	Random *rand.Rand
	Logger log.Interface
	Counts *Counters
	MaxAge time.Duration

	http      *fasthttp.Server
	readiness *fasthttp.Server
	handle    Handler
	active    atomic.Int64
	leaving   atomic.Bool
	randomMu  sync.Mutex
}

// Counters are the expvar counts of an entry.
type Counters struct {
	Requests, Refused, Retries, Resumed, Cut, Foreign, NotRun, CallersLeft *expvar.Int
}

// NewCounters adds the counters to m.
func NewCounters(m *expvar.Map) *Counters {
	n := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	return &Counters{
		Requests: n("Requests"), Refused: n("Refused"), Retries: n("Retries"), Resumed: n("Resumed"), Cut: n("AnswersCut"),
		Foreign: n("AnswersOfOthers"), NotRun: n("TargetsRefused"), CallersLeft: n("CallersLeft"),
	}
}

// Prepare builds the chain; call it once before Serve.
func (s *Server) Prepare() {
	s.handle = chain(s.serve, &resolve{server: s}, &identify{server: s}, &admit{server: s})
	s.http = &fasthttp.Server{
		Handler: s.call, Name: "rhubarbgate", NoDefaultServerHeader: true, NoDefaultContentType: true, NoDefaultDate: true,
		ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: maxBodyBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		WriteTimeout: writeTimeout, DisablePreParseMultipartForm: true, DisableHeaderNamesNormalizing: false,
		CloseOnShutdown: true, Logger: quiet{}, ErrorHandler: s.malformed, ReduceMemoryUsage: true,
	}
	s.readiness = &fasthttp.Server{Handler: s.ready, NoDefaultServerHeader: true, Logger: quiet{}, ReduceMemoryUsage: true}
}

// quiet drops the HTTP library's own lines: what matters of them is counted.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Serve answers callers on l until Shutdown.
func (s *Server) Serve(l net.Listener) error { return errors.Trace(s.http.Serve(l)) }

// ServeReadiness answers the balancer's checks on l until Shutdown.
func (s *Server) ServeReadiness(l net.Listener) error { return errors.Trace(s.readiness.Serve(l)) }

// Leave makes the readiness check fail, so that the balancer sends callers elsewhere.
func (s *Server) Leave() { s.leaving.Store(true) }

// Active returns how many calls are under way.
func (s *Server) Active() int { return int(s.active.Load()) }

// Shutdown stops accepting connections and waits for calls until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	if e := s.readiness.ShutdownWithContext(ctx); err == nil {
		err = e
	}
	return errors.Trace(err)
}

func (s *Server) ready(c *fasthttp.RequestCtx) {
	if s.leaving.Load() || s.Source.Current().Version == 0 || s.stale() || !s.Targets.Ready() {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (s *Server) age() time.Duration {
	return s.Clock.Since(s.Source.ConfirmedAt()).Round(time.Millisecond)
}

func (s *Server) stale() bool { return s.age() > s.MaxAge }

// call serves one HTTP call.
func (s *Server) call(c *fasthttp.RequestCtx) {
	s.Counts.Requests.Add(1)
	s.active.Add(1)
	x := &Exchange{HTTP: c, Arrived: s.Clock.Now(), Config: s.Source.Current()}
	x.Context, x.Cancel = context.WithCancelCause(context.Background())
	x.stopWatch = s.watchCaller(c.Conn(), x.Cancel)
	if s.leaving.Load() {
		c.SetConnectionClose()
	}
	call, err := s.Dialect.DecodeCall(string(c.Method()), string(c.RequestURI()), func(name string) string {
		return string(c.Request.Header.Peek(name))
	})
	x.Call = call
	if err == nil {
		err = s.handle(x)
	}
	if err != nil {
		s.refuse(x, rhubarbgate.AsError(err))
	}
	if !c.Response.IsBodyStream() {
		s.end(x)
	}
}

// end releases what the exchange holds, once.
func (s *Server) end(x *Exchange) {
	x.stopWatch()
	x.Cancel(context.Canceled)
	s.active.Add(-1)
}

// refuse tells the caller of an error.
func (s *Server) refuse(x *Exchange, e *rhubarbgate.Error) {
	s.Counts.Refused.Add(1)
	status, headers, body := s.Dialect.Refusal(e)
	f := x.fields(s.Clock.Now())
	f["code"], f["verdict"], f["status"], f["age"] = e.Code.String(), e.Verdict.String(), status, s.age().String()
	f["retryAfter"] = e.RetryAfter.String()
	s.Logger.WithFields(f).Info("refused: " + e.Message)
	x.HTTP.Response.Reset()
	if s.leaving.Load() {
		x.HTTP.SetConnectionClose()
	}
	x.HTTP.SetStatusCode(status)
	for _, h := range headers {
		x.HTTP.Response.Header.Set(h.Name, h.Value)
	}
	x.HTTP.Response.SetBodyRaw(body)
}

// malformed answers a call that cannot be read.
func (s *Server) malformed(c *fasthttp.RequestCtx, err error) {
	code := rhubarbgate.CodeInvalid
	var small *fasthttp.ErrSmallBuffer
	status := 0
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code = rhubarbgate.CodeTooLarge
	}
	e := notRun(code, "reading the request: %v", err)
	got, headers, body := s.Dialect.Refusal(e)
	if status == 0 {
		status = got
	}
	s.Counts.Refused.Add(1)
	s.Logger.WithField("status", status).Info("refused: " + e.Message)
	c.SetStatusCode(status)
	for _, h := range headers {
		c.Response.Header.Set(h.Name, h.Value)
	}
	c.Response.SetBodyRaw(body)
	c.SetConnectionClose()
}
