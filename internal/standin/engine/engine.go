// Package engine is a stand-in for a model engine that simulates the timing of continuous batching and a prefix cache.
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
	// defaultMaxTokens is the length of a response if the request sets no max_tokens.
	defaultMaxTokens = 16
	// prefillChunk is the maximum number of prompt tokens that one step processes, over
	// all streams.
	prefillChunk = 512
	// cacheBlockBytes is the granularity of the prefix cache.
	cacheBlockBytes = 64
)

// Engine serves requests in the format of the OpenAI API. It runs up to Slots streams
// as one batch; each step produces one token for each stream whose prompt has been
// processed. Set the exported fields before Serve.
type Engine struct {
	Clock clockwork.Clock
	// StepBase is the fixed part of the time of a step, and the time of a call to a
	// plain service.
	StepBase time.Duration
	// StepPerStream is added to the time of a step for each stream in the batch.
	StepPerStream time.Duration
	// PrefillPerToken is added to the time of a step for each prompt token that it
	// processes.
	PrefillPerToken time.Duration
	// Slots is how many streams run concurrently; others are queued in order of arrival.
	Slots int
	// CacheBlocks is how many blocks of prompt prefixes are cached; 0 disables the cache.
	CacheBlocks int
	// LoadLag is the age from which a load report is replaced by a new one; until then
	// /load repeats it.
	LoadLag time.Duration
	// HonourFence makes the engine refuse orders whose fencing number is below the
	// highest one received.
	HonourFence bool
	// Slowdown multiplies the time of each step; 0 counts as 1.
	Slowdown float64
	// FailEvery makes every n-th completion fail with status 500; 0 means none.
	FailEvery int64

	app          *fiber.App
	requests     atomic.Int64
	mu           sync.Mutex
	running      []*stream
	queued       []*stream
	stepping     bool // runSteps is running
	cache        prefixCache
	record       record
	lastLoad     Load
	lastLoadAt   time.Time
	highestFence uint64
	fenceOfModel map[string]uint64
}

// stream is one request in the engine.
type stream struct {
	prefillLeft int // prompt tokens still to process
	tokensLeft  int // tokens still to produce
	tokens      chan string
	cancelled   bool
	produced    int // tokens produced
}

// Load is the engine's load report: the numbers of running and queued streams.
type Load struct {
	Running int
	Waiting int
}

// Serve serves on l until Close.
func (e *Engine) Serve(l net.Listener) error {
	e.cache.maxBlocks = e.CacheBlocks
	e.fenceOfModel = map[string]uint64{}
	e.record.items = map[string]int{}
	e.app = fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 8 << 20})
	e.app.Use(e.recordRequest)
	e.app.Post(openai.ChatPath, e.handleCompletion)
	e.app.Post(openai.CompletionPath, e.handleCompletion)
	e.app.Get("/load", e.handleLoad)
	e.app.Get("/record", e.handleRecord)
	e.app.Post("/orders", e.handleOrder)
	e.app.All("/*", e.handleService)
	return errors.Trace(e.app.Listener(l))
}

// Close stops the engine at once.
func (e *Engine) Close() error { return errors.Trace(e.app.ShutdownWithTimeout(time.Millisecond)) }

// handleCompletion serves a completion or a chat completion, streamed or not.
func (e *Engine) handleCompletion(c *fiber.Ctx) error {
	n := e.requests.Add(1)
	if e.FailEvery > 0 && n%e.FailEvery == 0 {
		return c.Status(fiber.StatusInternalServerError).SendString("stand-in failure")
	}
	req, err := openai.ParseCompletion(c.Body())
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	prompt := promptText(req)
	if strings.Contains(prompt, "poison") {
		// Simulates an input that crashes the engine's worker.
		return c.Status(fiber.StatusInternalServerError).SendString("poison")
	}
	maxTokens := req.MaxTokens
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	s, cached := e.enqueue(prompt, maxTokens)
	id := fmt.Sprintf("cmpl-%d", n)
	chat := len(req.Messages) > 0
	usage := &openai.Usage{PromptTokens: len(prompt) / bytesPerToken, CompletionTokens: maxTokens, CachedTokens: cached}
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	resp := &response{id: id, model: req.Model, chat: chat, usage: usage}
	if req.Stream {
		c.Set(fiber.HeaderContentType, "text/event-stream")
		conn := c.Context().Conn()
		c.Context().SetBodyStreamWriter(func(w *bufio.Writer) { e.writeStream(w, conn, s, resp) })
		return nil
	}
	var text strings.Builder
	for token := range s.tokens {
		text.WriteString(token)
	}
	return c.JSON(resp.complete(text.String()))
}

// promptText returns the prompt, or the contents of all messages, as raw JSON.
func promptText(req *openai.CompletionRequest) string {
	var b strings.Builder
	b.Write(req.Prompt)
	for _, m := range req.Messages {
		b.Write(m.Content)
	}
	return b.String()
}

// writeStream writes the tokens of a stream as server-sent events.
func (e *Engine) writeStream(w *bufio.Writer, conn net.Conn, s *stream, resp *response) {
	stopWatching := e.watchClose(conn, s)
	defer e.cancel(s)
	defer stopWatching()
	for token := range s.tokens {
		if resp.writeEvent(w, token, false) != nil {
			return
		}
	}
	if resp.writeEvent(w, "", true) != nil {
		return
	}
	// A write error means that the connection is closed, so there is nothing left to do.
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// enqueue queues a stream, starts the steps if none are running, and returns how many
// prompt tokens were cached.
func (e *Engine) enqueue(prompt string, maxTokens int) (*stream, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := e.cache.lookup(prompt) / bytesPerToken
	s := &stream{prefillLeft: max(1, len(prompt)/bytesPerToken-cached), tokensLeft: maxTokens, tokens: make(chan string, maxTokens+1)}
	e.queued = append(e.queued, s)
	if !e.stepping {
		e.stepping = true
		go e.runSteps()
	}
	return s, cached
}

// watchClose cancels the stream as soon as the caller closes the connection: a failing
// write would show it only later. It reads from the connection, which is safe because
// callers send nothing before the response has ended. The returned function stops
// watching.
func (e *Engine) watchClose(conn net.Conn, s *stream) (stopWatching func()) {
	watchEnded := make(chan struct{})
	go func() {
		defer close(watchEnded)
		_, err := conn.Read(make([]byte, 1))
		var netErr net.Error
		if !errors.As(err, &netErr) || !netErr.Timeout() {
			e.cancel(s)
		}
	}()
	return func() {
		past := time.Unix(1, 0)
		// An error means that the connection is closed, which also ends the read.
		_ = conn.SetReadDeadline(past)
		<-watchEnded
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// cancel marks a stream; the next step removes it.
func (e *Engine) cancel(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.cancelled = true
}

// runSteps runs steps of the batch until no stream is running or queued.
func (e *Engine) runSteps() {
	for {
		stepTime, ok := e.planStep()
		if !ok {
			return
		}
		e.Clock.Sleep(stepTime)
		e.produceTokens()
	}
}

// planStep moves queued streams into free slots and returns how long the next step
// takes, or false if there is no stream.
func (e *Engine) planStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = removeCancelled(e.running)
	e.queued = removeCancelled(e.queued)
	for len(e.running) < e.Slots && len(e.queued) > 0 {
		e.running = append(e.running, e.queued[0])
		e.queued = e.queued[1:]
	}
	if len(e.running) == 0 {
		e.stepping = false
		return 0, false
	}
	prefill := 0
	for _, s := range e.running {
		n := min(s.prefillLeft, prefillChunk-prefill)
		s.prefillLeft -= n
		prefill += n
	}
	stepTime := e.StepBase + time.Duration(len(e.running))*e.StepPerStream + time.Duration(prefill)*e.PrefillPerToken
	if e.Slowdown > 0 {
		stepTime = time.Duration(float64(stepTime) * e.Slowdown)
	}
	return stepTime, true
}

// removeCancelled returns the streams that are not cancelled, and closes the tokens of
// the others.
func removeCancelled(list []*stream) []*stream {
	var kept []*stream
	for _, s := range list {
		if !s.cancelled {
			kept = append(kept, s)
		} else if s.tokensLeft > 0 {
			s.tokensLeft = 0
			close(s.tokens)
		}
	}
	return kept
}

// produceTokens produces one token for each stream whose prompt has been processed.
func (e *Engine) produceTokens() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var kept []*stream
	for _, s := range e.running {
		if s.prefillLeft == 0 && s.tokensLeft > 0 {
			s.produced++
			s.tokens <- fmt.Sprintf("w%d ", s.produced)
			s.tokensLeft--
			if s.tokensLeft == 0 {
				close(s.tokens)
			}
		}
		if s.tokensLeft > 0 {
			kept = append(kept, s)
		}
	}
	e.running = kept
}

// handleLoad returns the load report, which may be up to LoadLag old.
func (e *Engine) handleLoad(c *fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := e.Clock.Now(); now.Sub(e.lastLoadAt) >= e.LoadLag {
		e.lastLoad, e.lastLoadAt = Load{Running: len(e.running), Waiting: len(e.queued)}, now
	}
	return c.JSON(e.lastLoad)
}

// LoadModelOrder is the body of a request to load a model, with its fencing number.
type LoadModelOrder struct {
	Fence uint64
	Model string
}

// handleOrder records that a model is loaded, or refuses the order because of its
// fencing number.
func (e *Engine) handleOrder(c *fiber.Ctx) error {
	var order LoadModelOrder
	if err := json.Unmarshal(c.Body(), &order); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.HonourFence && order.Fence < e.highestFence {
		return c.Status(fiber.StatusConflict).SendString("old fencing number")
	}
	e.highestFence = max(e.highestFence, order.Fence)
	e.fenceOfModel[order.Model] = order.Fence
	return c.SendStatus(fiber.StatusNoContent)
}

// Run serves on l until ctx is done.
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
