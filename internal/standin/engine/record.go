package engine

import (
	"strings"
	"sync"

	"github.com/gofiber/fiber/v2"
)

// record holds what the engine received, for tests: how often each item with an
// idempotency key ran, and the headers and bodies of all requests.
type record struct {
	mu       sync.Mutex
	items    map[string]int
	received strings.Builder
}

// maxReceivedBytes bounds the recorded headers and bodies; later requests are not recorded.
const maxReceivedBytes = 8 << 20

// Record is the response of /record.
type Record struct {
	// Items counts runs by the value of the header Idempotency-Key.
	Items map[string]int
	// Hits and Misses count lookups of blocks in the prefix cache.
	Hits   int
	Misses int
	// Requests counts completions.
	Requests int64
}

// recordRequest is a middleware that records the headers and body of a request.
func (e *Engine) recordRequest(c *fiber.Ctx) error {
	r := &e.record
	r.mu.Lock()
	if r.received.Len() < maxReceivedBytes {
		r.received.Write(c.Request().Header.Header())
		r.received.Write(c.Body())
	}
	r.mu.Unlock()
	return c.Next()
}

// Received reports whether the text occurred in any recorded request.
func (e *Engine) Received(text string) bool {
	e.record.mu.Lock()
	defer e.record.mu.Unlock()
	return strings.Contains(e.record.received.String(), text)
}

// handleService responds as a plain service that is not a model, and counts its calls
// by idempotency key.
func (e *Engine) handleService(c *fiber.Ctx) error {
	key := strings.Clone(c.Get("Idempotency-Key"))
	e.record.mu.Lock()
	if key != "" {
		e.record.items[key]++
	}
	n := e.record.items[key]
	e.record.mu.Unlock()
	e.Clock.Sleep(e.StepBase)
	return c.JSON(fiber.Map{"path": c.Path(), "runs": n})
}

// handleRecord returns the Record.
func (e *Engine) handleRecord(c *fiber.Ctx) error {
	e.mu.Lock()
	hits, misses := e.cache.hits, e.cache.misses
	e.mu.Unlock()
	e.record.mu.Lock()
	defer e.record.mu.Unlock()
	return c.JSON(&Record{Items: e.record.items, Hits: hits, Misses: misses, Requests: e.requests.Load()})
}

// Runs returns how often the item with the given idempotency key ran.
func (e *Engine) Runs(key string) int {
	e.record.mu.Lock()
	defer e.record.mu.Unlock()
	return e.record.items[key]
}
