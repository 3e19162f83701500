// Package openloop sends requests at their due times, however long the answers take, and measures from those times.
package openloop

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/internal/http/openai"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
)

const (
	// longest is the largest latency that the histograms hold.
	longest = 10 * time.Minute
	// digits is the precision of the histograms.
	digits = 3
)

// Plan is the load of one run.
type Plan struct {
	Address netip.AddrPort
	Key     string
	Path    string
	Model   string
	// Rate is in requests a second; arrivals are Poisson, or even if Even is set.
	Rate     float64
	Even     bool
	Duration time.Duration
	// BurstEvery and BurstSize add bursts of simultaneous requests.
	BurstEvery time.Duration
	BurstSize  int
	Stream     bool
	MaxTokens  int
	// PromptBytes is the length of the prompt; Prefixes is how many shared heads
	// there are, 0 for none; PrefixBytes is their length.
	PromptBytes int
	Prefixes    int
	PrefixBytes int
	Timeout     time.Duration
	Clock       clockwork.Clock
	Random      *rand.Rand
}

// Result is what a run measured.
type Result struct {
	Sent     int
	OK       int
	Statuses map[string]int
	// FirstToken, Total and Gap are in milliseconds.
	FirstToken, Total, Gap Quantiles
	Seconds                float64
}

// Quantiles of a latency in milliseconds.
type Quantiles struct{ P50, P90, P95, P99, Max float64 }

// recorder gathers the measurements of concurrent requests.
type recorder struct {
	mu                sync.Mutex
	first, total, gap *hdrhistogram.Histogram
	result            Result
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest.Microseconds(), digits)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P90: ms(90), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}

// Run sends the plan's requests and waits for their answers.
func (p *Plan) Run(ctx context.Context) *Result {
	r := &recorder{first: newHistogram(), total: newHistogram(), gap: newHistogram()}
	r.result.Statuses = map[string]int{}
	c := &target.Client{Address: p.Address}
	defer c.CloseIdle()
	var tasks conc.WaitGroup
	began := p.Clock.Now()
	for due := range p.arrivals(began) {
		if wait := due.Sub(p.Clock.Now()); wait > 0 {
			select {
			case <-ctx.Done():
			case <-p.Clock.After(wait):
			}
		}
		if ctx.Err() != nil {
			break
		}
		body := p.body()
		tasks.Go(func() { p.request(ctx, c, r, due, body) })
	}
	tasks.Wait()
	r.result.Seconds = p.Clock.Since(began).Seconds()
	r.result.FirstToken, r.result.Total, r.result.Gap = quantiles(r.first), quantiles(r.total), quantiles(r.gap)
	return &r.result
}

// arrivals yields the due times in order.
func (p *Plan) arrivals(began time.Time) func(yield func(time.Time) bool) {
	return func(yield func(time.Time) bool) {
		end := began.Add(p.Duration)
		next, burst := began, began.Add(p.BurstEvery)
		for {
			if p.BurstEvery > 0 && burst.Before(next) {
				for range p.BurstSize {
					if !yield(burst) {
						return
					}
				}
				burst = burst.Add(p.BurstEvery)
				continue
			}
			if !next.Before(end) || !yield(next) {
				return
			}
			gap := 1 / p.Rate
			if !p.Even {
				gap = p.Random.ExpFloat64() / p.Rate
			}
			next = next.Add(time.Duration(gap * float64(time.Second)))
		}
	}
}

func (p *Plan) body() []byte {
	var b strings.Builder
	if p.Prefixes > 0 {
		fmt.Fprintf(&b, "prefix %d ", p.Random.IntN(p.Prefixes))
		for b.Len() < p.PrefixBytes {
			b.WriteString("shared ")
		}
	}
	fmt.Fprintf(&b, "%x ", p.Random.Uint64())
	for b.Len() < p.PromptBytes {
		b.WriteString("words ")
	}
	content, err := json.Marshal(b.String())
	if err != nil {
		panic(err)
	}
	q := map[string]any{"model": p.Model, "stream": p.Stream, "max_tokens": p.MaxTokens}
	if p.Path == openai.ChatPath {
		q["messages"] = []openai.Message{{Role: "user", Content: content}}
	} else {
		q["prompt"] = json.RawMessage(content)
	}
	j, err := json.Marshal(q)
	if err != nil {
		panic(err)
	}
	return j
}

func (p *Plan) request(ctx context.Context, c *target.Client, r *recorder, due time.Time, body []byte) {
	ctx, cancel := deadline.WithTimeout(ctx, p.Clock, p.Timeout)
	defer cancel()
	q := &target.Request{Method: "POST", Path: p.Path, Body: body, Idempotent: true, Headers: []target.Header{{Name: "Content-Type", Value: "application/json"}}}
	if p.Key != "" {
		q.Headers = append(q.Headers, target.Header{Name: "Authorization", Value: "Bearer " + p.Key})
	}
	a, err := c.Do(ctx, q)
	if err != nil {
		r.fail("connection")
		return
	}
	defer a.Close()
	m := &measured{plan: p, due: due}
	status := fmt.Sprint(a.Status)
	if err := m.read(a); err != nil {
		status = "cut"
	}
	r.add(status, m, p.Clock.Since(due))
}

// measured is the timing of one answer.
type measured struct {
	plan  *Plan
	due   time.Time
	first time.Duration
	last  time.Time
	gaps  []time.Duration
}

func (m *measured) read(a *target.Response) error {
	const bufferBytes = 32 << 10
	b := make([]byte, bufferBytes)
	for {
		n, err := a.Read(b)
		if n > 0 {
			m.note(bytes.Count(b[:n], []byte("data:")))
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (m *measured) note(tokens int) {
	now := m.plan.Clock.Now()
	if m.last.IsZero() {
		m.first = now.Sub(m.due)
	} else if tokens > 0 {
		m.gaps = append(m.gaps, now.Sub(m.last))
	}
	m.last = now
}

func (r *recorder) fail(status string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.result.Statuses[status]++
}

func (r *recorder) add(status string, m *measured, total time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.result.Statuses[status]++
	if status != "200" {
		return
	}
	r.result.OK++
	// A value beyond the histogram's range is clamped to its end.
	_ = r.first.RecordValue(min(m.first, longest).Microseconds())
	_ = r.total.RecordValue(min(total, longest).Microseconds())
	for _, g := range m.gaps {
		_ = r.gap.RecordValue(min(g, longest).Microseconds())
	}
}
