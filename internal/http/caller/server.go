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
	// maxBodyBytes bounds the body of an online request.
	maxBodyBytes = 4 << 20
	// defaultTimeout bounds a request whose model or route sets no timeout.
	defaultTimeout = 60 * time.Second
	// readTimeout bounds how long a caller may take to send a request's head.
	readTimeout = 30 * time.Second
	// idleTimeout is how long a caller's connection may be unused.
	idleTimeout = 2 * time.Minute
)

// Server answers callers. Set the exported fields before Serve.
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
	// Observe is told the latencies of answered online requests.
	Observe func(Observation)
	// MaxAge is the age of the configuration beyond which keyed work is refused.
	MaxAge time.Duration
	// Name is the entry's incarnation; it prefixes request IDs.
	Name string

	app     *fiber.App
	sequel  atomic.Uint64
	active  atomic.Int64
	leaving atomic.Bool
}

// Observation is what the service-level report needs of one request.
type Observation struct {
	Workspace  string
	FirstToken time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Failed requests got no whole answer for a reason within the system.
	Failed bool
}

// Counters are the expvar counts of an entry.
type Counters struct {
	Requests, Refused, Retries, Stale, Unauthorized, RateLimited, Overloaded, Cut, Foreign, Stalled *expvar.Int
}

// NewCounters adds the counters to m.
func NewCounters(m *expvar.Map) *Counters {
	n := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	return &Counters{
		Requests: n("Requests"), Refused: n("Refused"), Retries: n("Retries"), Stale: n("Stale"),
		Unauthorized: n("Unauthorized"), RateLimited: n("RateLimited"), Overloaded: n("Overloaded"),
		Cut: n("AnswersCut"), Foreign: n("FramesOfOthers"), Stalled: n("CallersStalled"),
	}
}

// Prepare builds the routes; call it once before Serve.
func (s *Server) Prepare() {
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		StreamRequestBody:     true,
		BodyLimit:             maxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		ErrorHandler:          s.report,
		ReadBufferSize:        16 << 10,
	})
	keyed := []Filter{&identify{server: s}, &admit{server: s}}
	online := Chain(s.forward, &identify{server: s}, &route{server: s}, &admit{server: s}, &claim{server: s})
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

// Serve answers callers on l until Shutdown.
func (s *Server) Serve(l net.Listener) error { return errors.Trace(s.app.Listener(l)) }

// Leave makes the health check fail, so that the balancer sends callers elsewhere.
func (s *Server) Leave() { s.leaving.Store(true) }

// Active returns how many requests are under way.
func (s *Server) Active() int { return int(s.active.Load()) }

// Shutdown stops accepting connections and waits for requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Trace(s.app.ShutdownWithContext(ctx))
}

func (s *Server) health(c *fiber.Ctx) error {
	if s.leaving.Load() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("leaving\n")
	}
	if s.stale() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("configuration is stale\n")
	}
	return c.SendString("ok\n")
}

func (s *Server) stale() bool { return s.Clock.Since(s.Source.ConfirmedAt()) > s.MaxAge }

func (s *Server) handle(h Handler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		s.Counts.Requests.Add(1)
		s.active.Add(1)
		now := s.Clock.Now()
		x := &Exchange{
			Fiber: c, RequestID: s.newID("req"), Arrived: now, Deadline: now.Add(defaultTimeout),
			Config: s.Source.Current(), Context: context.Background(),
			IdempotencyKey: string(c.Request().Header.Peek("Idempotency-Key")),
		}
		c.Set("X-Request-Id", x.RequestID)
		err := h(x)
		if !c.Context().Response.IsBodyStream() {
			s.active.Add(-1)
		}
		return err
	}
}

// newID returns an identifier that no other process or incarnation makes.
func (s *Server) newID(prefix string) string {
	return prefix + "-" + s.Name + "-" + strconv.FormatUint(s.sequel.Add(1), 36)
}

// report turns an error into an answer in the OpenAI shape.
func (s *Server) report(c *fiber.Ctx, err error) error {
	var f *fiber.Error
	if errors.As(err, &f) {
		err = fromFiber(f)
	}
	e := rhubarbgate.AsError(err)
	s.count(e)
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	c.Set(openai.VerdictHeader, e.Verdict.String())
	return c.Status(e.Code.Status()).JSON(openai.NewErrorBody(e))
}

func fromFiber(f *fiber.Error) *rhubarbgate.Error {
	code := rhubarbgate.CodeInvalid
	switch f.Code {
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		code = rhubarbgate.CodeNotFound
	case fiber.StatusRequestEntityTooLarge:
		code = rhubarbgate.CodeTooLarge
	}
	return notRun(code, "%s", f.Message)
}

func (s *Server) count(e *rhubarbgate.Error) {
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
