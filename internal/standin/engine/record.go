package engine

import (
	"strings"
	"sync"

	"github.com/gofiber/fiber/v2"
)

// record keeps what the engine saw, for tests: how often each marked item ran,
// and every header and body that passed.
type record struct {
	mu    sync.Mutex
	items map[string]int
	seen  strings.Builder
}

// maxSeen bounds the recorded bytes.
const maxSeen = 8 << 20

// Record is what the stand-in tells of its past.
type Record struct {
	// Items counts runs by the value of the header Idempotency-Key.
	Items  map[string]int
	Hits   int
	Misses int
	// Requests counts completions.
	Requests int64
}

func (e *Engine) note(c *fiber.Ctx) error {
	r := &e.record
	r.mu.Lock()
	if r.seen.Len() < maxSeen {
		r.seen.Write(c.Request().Header.Header())
		r.seen.Write(c.Body())
	}
	r.mu.Unlock()
	return c.Next()
}

// Saw reports whether the text occurred in any request.
func (e *Engine) Saw(text string) bool {
	e.record.mu.Lock()
	defer e.record.mu.Unlock()
	return strings.Contains(e.record.seen.String(), text)
}

// service answers as a plain service whose calls count by idempotency key.
func (e *Engine) service(c *fiber.Ctx) error {
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

func (e *Engine) getRecord(c *fiber.Ctx) error {
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
