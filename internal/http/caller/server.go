package caller

import (
	"context"
	"expvar"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/recover"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/controller/targets"
	"rhubarbgate.example/rhubarbgate/internal/http/openai"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

const (
	// maxBodyBytes is the largest body of an online request.
	maxBodyBytes = 4 << 20
	// defaultTimeout applies to a request whose model or route sets no timeout.
	defaultTimeout = 60 * time.Second
	// readTimeout is how long a caller may take to send a request, including its body.
	readTimeout = 30 * time.Second
	// firstBodyBytes is the size of the buffer with which reading a body begins.
	firstBodyBytes = 4 << 10
	// memoryRetryAfter is the Retry-After while the memory for requests is in use: about the time after
	// which bodies that make no progress have given way.
	memoryRetryAfter = time.Second
	// idleTimeout is how long a connection without requests stays open.
	idleTimeout = 2 * time.Minute
)

// Server serves callers. Set the exported fields before Serve.
type Server struct {
	Source  configuration.Source
	Holder  *limit.Holder
	Targets *targets.Table
	Wire    *wire.Client
	Control *control.Client
	Picker  rhubarbgate.Picker
	Budget  rhubarbgate.RetryBudget
	Clock   clockwork.Clock
	Logger  log.Interface
	Counts  *Counters
	// Observe, unless it is nil, is called with the outcome of each attempt at a model,
	// except those whose side could not be reached.
	Observe func(Observation)
	// MaxAge is the age of the configuration above which it is stale. A stale entry
	// refuses requests with a key.
	MaxAge time.Duration
	// Name identifies this incarnation of the entry. It is a part of all IDs that the
	// server creates.
	Name string

	app        *fiber.App
	idSequence atomic.Uint64
	inFlight   atomic.Int64
	stopAt     atomic.Pointer[time.Time] // set while draining
}

// Observation is the outcome of one attempt at a model, for the service-level report.
type Observation struct {
	Workspace string
	// FirstToken is the time from the arrival of the request to the first data of the
	// response.
	FirstToken time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Failed means that the attempt ended with an error other than the cancellation of
	// the request. A response with status 500 or above is such an error.
	Failed bool
}

// Counters are the counters that an entry publishes through expvar. Refused counts error
// responses, and idempotency claims whose outcome could not be committed. TruncatedResponses
// counts responses that a side did not complete, MismatchedFrames frames of another request or
// attempt, and StalledCallers callers that stopped reading.
type Counters struct {
	Requests, Refused, Retries, Stale, Unauthorized, RateLimited, Overloaded, TruncatedResponses, MismatchedFrames, StalledCallers *expvar.Int
}

// NewCounters creates the counters and publishes them in m.
func NewCounters(m *expvar.Map) *Counters {
	newCounter := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	return &Counters{
		Requests: newCounter("Requests"), Refused: newCounter("Refused"), Retries: newCounter("Retries"), Stale: newCounter("Stale"),
		Unauthorized: newCounter("Unauthorized"), RateLimited: newCounter("RateLimited"), Overloaded: newCounter("Overloaded"),
		TruncatedResponses: newCounter("AnswersCut"), MismatchedFrames: newCounter("FramesOfOthers"), StalledCallers: newCounter("CallersStalled"),
	}
}

// Prepare registers the routes. Call it once, before Serve.
func (s *Server) Prepare() {
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		StreamRequestBody:     true,
		ReduceMemoryUsage:     true,
		BodyLimit:             maxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		ErrorHandler:          s.writeError,
		ReadBufferSize:        16 << 10,
	})
	s.app.Use(recover.New(recover.Config{EnableStackTrace: true}))
	keyed := []Filter{&keyFilter{server: s}, &rateFilter{server: s}}
	online := Chain(s.forward, &keyFilter{server: s}, &routeFilter{server: s}, &rateFilter{server: s}, &claimFilter{server: s})
	s.app.Get("/healthz", s.health)
	s.app.Post(openai.ChatPath, s.handle(online))
	s.app.Post(openai.CompletionPath, s.handle(online))
	s.app.All("/services/:route/*", s.handle(online))
	s.app.All("/services/:route", s.handle(online))
	s.app.Get("/v1/models", s.handle(Chain(s.listModels, keyed[0])))
	s.app.Post("/v1/files", s.handle(Chain(s.createFile, keyed...)))
	s.app.Get("/v1/files/:id", s.handle(Chain(s.getFile, keyed[0])))
	s.app.Get("/v1/files/:id/content", s.handle(Chain(s.fileContent, keyed[0])))
	s.app.Post("/v1/batches", s.handle(Chain(s.createBatch, keyed...)))
	s.app.Get("/v1/batches", s.handle(Chain(s.listBatches, keyed[0])))
	s.app.Get("/v1/batches/:id", s.handle(Chain(s.getBatch, keyed[0])))
	s.app.Post("/v1/batches/:id/cancel", s.handle(Chain(s.cancelBatch, keyed[0])))
}

// Serve serves callers on l until Shutdown.
func (s *Server) Serve(l net.Listener) error { return errors.Trace(s.app.Listener(l)) }

// StartDraining makes the health check fail, so that the load balancer stops sending callers to
// this entry. Requests that still arrive are served, each as the last one of its connection, or refused
// if they may not end before stopAt, when the entry cuts what is left.
func (s *Server) StartDraining(stopAt time.Time) { s.stopAt.Store(&stopAt) }

func (s *Server) draining() bool { return s.stopAt.Load() != nil }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Shutdown stops accepting connections and waits for the requests in flight until ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Trace(s.app.ShutdownWithContext(ctx))
}

// health responds to the load balancer's health check.
func (s *Server) health(c *fiber.Ctx) error {
	if s.draining() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("leaving\n")
	}
	if s.stale() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("configuration is stale\n")
	}
	return c.SendString("ok\n")
}

// stale reports whether the configuration was last confirmed more than MaxAge ago.
func (s *Server) stale() bool { return s.Clock.Since(s.Source.ConfirmedAt()) > s.MaxAge }

// handle adapts h to the HTTP server. A streamed response counts as in flight until its
// body is closed.
func (s *Server) handle(h Handler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		s.Counts.Requests.Add(1)
		s.inFlight.Add(1)
		now := s.Clock.Now()
		x := &Exchange{
			Fiber: c, RequestID: s.newID("req"), Arrived: now, Deadline: now.Add(defaultTimeout),
			Config: s.Source.Current(), Context: context.Background(),
			IdempotencyKey: string(c.Request().Header.Peek("Idempotency-Key")),
		}
		c.Set("X-Request-Id", x.RequestID)
		if s.draining() {
			c.Response().SetConnectionClose()
		}
		err := h(x)
		if !c.Context().Response.IsBodyStream() {
			s.inFlight.Add(-1)
		}
		return err
	}
}

// newID returns an ID that is unique across all processes and their incarnations.
func (s *Server) newID(prefix string) string {
	return prefix + "-" + s.Name + "-" + strconv.FormatUint(s.idSequence.Add(1), 36)
}

// writeError sends err as the response, in the format of the OpenAI API.
func (s *Server) writeError(c *fiber.Ctx, err error) error {
	var f *fiber.Error
	if errors.As(err, &f) {
		err = fiberError(f)
	}
	e := rhubarbgate.AsError(err)
	s.countRefusal(e)
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	c.Set(openai.VerdictHeader, e.Verdict.String())
	return c.Status(e.Code.Status()).JSON(openai.NewErrorBody(e))
}

// fiberError converts an error of the HTTP server, such as an unknown path.
func fiberError(e *fiber.Error) *rhubarbgate.Error {
	code := rhubarbgate.CodeInvalid
	switch e.Code {
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		code = rhubarbgate.CodeNotFound
	case fiber.StatusRequestEntityTooLarge:
		code = rhubarbgate.CodeTooLarge
	}
	return notRun(code, "%s", e.Message)
}

// countRefusal counts an error response in total and by its code.
func (s *Server) countRefusal(e *rhubarbgate.Error) {
	s.Counts.Refused.Add(1)
	switch e.Code {
	case rhubarbgate.CodeUnauthorized:
		s.Counts.Unauthorized.Add(1)
	case rhubarbgate.CodeRateLimited:
		s.Counts.RateLimited.Add(1)
	case rhubarbgate.CodeOverloaded:
		s.Counts.Overloaded.Add(1)
	case rhubarbgate.CodeStale:
		s.Counts.Stale.Add(1)
	}
}
