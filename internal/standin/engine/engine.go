// Package engine is a small stand-in of a model engine, with the timing of continuous batching and a prefix cache.
package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/http/openai"
)

const (
	// bytesPerToken is how many bytes of a prompt count as one token.
	bytesPerToken = 4
	// defaultMaxTokens is the length of an answer that names none.
	defaultMaxTokens = 16
	// prefillChunk is the most prompt tokens that one step takes in.
	prefillChunk = 512
	// blockBytes is the granularity of the prefix cache.
	blockBytes = 64
)

// Engine answers OpenAI-shaped requests. Each step yields one token a stream.
type Engine struct {
	Clock clockwork.Clock
	// StepBase is the time of a step with one stream.
	StepBase time.Duration
	// StepPerStream is added for each stream in the batch.
	StepPerStream time.Duration
	// PrefillPerToken is added for each prompt token taken in.
	PrefillPerToken time.Duration
	// Slots is how many streams run at once; others wait in arrival order.
	Slots int
	// CacheBlocks is how many blocks of prompt prefixes are kept.
	CacheBlocks int
	// LoadLag is how old a load report may be.
	LoadLag time.Duration
	// HonourFence refuses orders with an old fencing number.
	HonourFence bool
	// Slowdown multiplies all times; 0 counts as 1.
	Slowdown float64
	// FailEvery makes every n-th request fail with status 500; 0 means none.
	FailEvery int64

	app      *fiber.App
	requests atomic.Int64
	mu       sync.Mutex
	running  []*stream
	waiting  []*stream
	stepping bool
	cache    prefixCache
	record   record
	reported Load
	reportAt time.Time
	fence    uint64
	loaded   map[string]uint64
}

// stream is one request in the engine.
type stream struct {
	prefill int // prompt tokens still to take in
	left    int // tokens still to produce
	tokens  chan string
	gone    bool
	n       int
}

// Load is the engine's load report.
type Load struct {
	Running int
	Waiting int
}

// Serve answers on l until Close.
func (e *Engine) Serve(l net.Listener) error {
	e.cache.limit = e.CacheBlocks
	e.loaded = map[string]uint64{}
	e.record.items = map[string]int{}
	e.app = fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 8 << 20})
	e.app.Use(e.note)
	e.app.Post(openai.ChatPath, e.complete)
	e.app.Post(openai.CompletionPath, e.complete)
	e.app.Get("/load", e.load)
	e.app.Get("/record", e.getRecord)
	e.app.Post("/orders", e.order)
	e.app.All("/*", e.service)
	return errors.Trace(e.app.Listener(l))
}

// Close stops the engine at once.
func (e *Engine) Close() error { return errors.Trace(e.app.ShutdownWithTimeout(time.Millisecond)) }

func (e *Engine) complete(c *fiber.Ctx) error {
	n := e.requests.Add(1)
	if e.FailEvery > 0 && n%e.FailEvery == 0 {
		return c.Status(fiber.StatusInternalServerError).SendString("stand-in failure")
	}
	q, err := openai.ParseCompletion(c.Body())
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	prompt := promptText(q)
	if strings.Contains(prompt, "poison") {
		// Stands for an input that kills the worker.
		return c.Status(fiber.StatusInternalServerError).SendString("poison")
	}
	limit := q.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	s, cached := e.admit(prompt, limit)
	id := fmt.Sprintf("cmpl-%d", n)
	chat := len(q.Messages) > 0
	usage := &openai.Usage{PromptTokens: len(prompt) / bytesPerToken, CompletionTokens: limit, CachedTokens: cached}
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	a := &answer{id: id, model: q.Model, chat: chat, usage: usage}
	if q.Stream {
		c.Set(fiber.HeaderContentType, "text/event-stream")
		conn := c.Context().Conn()
		c.Context().SetBodyStreamWriter(func(w *bufio.Writer) { e.stream(w, conn, s, a) })
		return nil
	}
	var text strings.Builder
	for t := range s.tokens {
		text.WriteString(t)
	}
	return c.JSON(a.whole(text.String()))
}

func promptText(q *openai.CompletionRequest) string {
	var b strings.Builder
	b.Write(q.Prompt)
	for _, m := range q.Messages {
		b.Write(m.Content)
	}
	return b.String()
}

func (e *Engine) stream(w *bufio.Writer, conn net.Conn, s *stream, a *answer) {
	stop := e.watchClose(conn, s)
	defer e.leave(s)
	defer stop()
	for t := range s.tokens {
		if a.event(w, t, false) != nil {
			return
		}
	}
	if a.event(w, "", true) != nil {
		return
	}
	// A failed write ends the connection; there is nobody else to tell.
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// admit queues a stream and returns how many prompt tokens were cached.
func (e *Engine) admit(prompt string, limit int) (*stream, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := e.cache.lookup(prompt) / bytesPerToken
	s := &stream{prefill: max(1, len(prompt)/bytesPerToken-cached), left: limit, tokens: make(chan string, limit+1)}
	e.waiting = append(e.waiting, s)
	if !e.stepping {
		e.stepping = true
		go e.steps()
	}
	return s, cached
}

// watchClose ends the stream as soon as the caller closes the connection, not
// only when a write fails. A caller sends nothing before the answer has ended.
func (e *Engine) watchClose(conn net.Conn, s *stream) (stop func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, err := conn.Read(make([]byte, 1))
		var t net.Error
		if !errors.As(err, &t) || !t.Timeout() {
			e.leave(s)
		}
	}()
	return func() {
		past := time.Unix(1, 0)
		// An error means that the connection is closed, which ends the read too.
		_ = conn.SetReadDeadline(past)
		<-ended
		_ = conn.SetReadDeadline(time.Time{})
	}
}

func (e *Engine) leave(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.gone = true
}

// steps runs the batch until no stream is left.
func (e *Engine) steps() {
	for {
		d, ok := e.plan()
		if !ok {
			return
		}
		e.Clock.Sleep(d)
		e.produce()
	}
}

// plan fills the batch and returns how long its next step takes.
func (e *Engine) plan() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = dropGone(e.running)
	e.waiting = dropGone(e.waiting)
	for len(e.running) < e.Slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		e.stepping = false
		return 0, false
	}
	prefill := 0
	for _, s := range e.running {
		n := min(s.prefill, prefillChunk-prefill)
		s.prefill -= n
		prefill += n
	}
	d := e.StepBase + time.Duration(len(e.running))*e.StepPerStream + time.Duration(prefill)*e.PrefillPerToken
	if e.Slowdown > 0 {
		d = time.Duration(float64(d) * e.Slowdown)
	}
	return d, true
}

func dropGone(list []*stream) []*stream {
	var kept []*stream
	for _, s := range list {
		if !s.gone {
			kept = append(kept, s)
		} else if s.left > 0 {
			s.left = 0
			close(s.tokens)
		}
	}
	return kept
}

// produce gives each stream that has taken in its prompt one token.
func (e *Engine) produce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var kept []*stream
	for _, s := range e.running {
		if s.prefill == 0 && s.left > 0 {
			s.n++
			s.tokens <- fmt.Sprintf("w%d ", s.n)
			s.left--
			if s.left == 0 {
				close(s.tokens)
			}
		}
		if s.left > 0 {
			kept = append(kept, s)
		}
	}
	e.running = kept
}

func (e *Engine) load(c *fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := e.Clock.Now(); now.Sub(e.reportAt) >= e.LoadLag {
		e.reported, e.reportAt = Load{Running: len(e.running), Waiting: len(e.waiting)}, now
	}
	return c.JSON(e.reported)
}

// Order asks the engine to load a model.
type Order struct {
	Fence uint64
	Model string
}

func (e *Engine) order(c *fiber.Ctx) error {
	var o Order
	if err := json.Unmarshal(c.Body(), &o); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.HonourFence && o.Fence < e.fence {
		return c.Status(fiber.StatusConflict).SendString("old fencing number")
	}
	e.fence = max(e.fence, o.Fence)
	e.loaded[o.Model] = o.Fence
	return c.SendStatus(fiber.StatusNoContent)
}

// Run serves on l until ctx ends.
func (e *Engine) Run(ctx context.Context, l net.Listener) error {
	served := make(chan error, 1)
	go func() { served <- e.Serve(l) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		return e.Close()
	}
}
