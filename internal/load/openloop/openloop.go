// Package openloop sends requests at their due times, however long the responses take, and measures latency from those times.
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
	// maxLatency is the largest latency that the histograms hold.
	maxLatency = 10 * time.Minute
	// significantDigits is the precision of the histograms, in decimal digits.
	significantDigits = 3
)

// Plan defines the load of one run. Its due times and prompts depend only on the fields
// and on the seed of Random.
type Plan struct {
	Address netip.AddrPort
	// Key is the caller's key; empty means that requests carry none.
	Key   string
	Path  string
	Model string
	// Rate is in requests per second. Arrivals are a Poisson process, or evenly spaced
	// if Even is set.
	Rate     float64
	Even     bool
	Duration time.Duration
	// BurstSize requests with the same due time are added at every interval BurstEvery;
	// 0 means no bursts.
	BurstEvery time.Duration
	BurstSize  int
	Stream     bool
	MaxTokens  int
	// PromptBytes is the minimum length of a prompt. Each prompt starts with one of
	// Prefixes shared prefixes of at least PrefixBytes, or with none if Prefixes is 0.
	PromptBytes int
	Prefixes    int
	PrefixBytes int
	// Timeout bounds each request.
	Timeout time.Duration
	Clock   clockwork.Clock
	Random  *rand.Rand
}

// Result is the measurement of a run. Latencies are of the responses with status 200.
type Result struct {
	Sent int
	OK   int
	// Statuses counts requests by response status. "connection" counts requests without
	// a response, "cut" those whose response body ended with an error.
	Statuses map[string]int
	// FirstToken is from the due time to the first bytes of the response body, Total
	// from the due time to its end, and Gap is the time between tokens.
	FirstToken, Total, Gap Quantiles
	// Seconds is the length of the run until the last response.
	Seconds float64
}

// Quantiles holds quantiles of a latency in milliseconds.
type Quantiles struct{ P50, P90, P95, P99, Max float64 }

// recorder collects the measurements of concurrent requests.
type recorder struct {
	mu                     sync.Mutex
	firstToken, total, gap *hdrhistogram.Histogram
	result                 Result
}

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// quantiles converts a histogram of microseconds.
func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	ms := func(percentile float64) float64 { return float64(histogram.ValueAtQuantile(percentile)) / 1000 }
	return Quantiles{P50: ms(50), P90: ms(90), P95: ms(95), P99: ms(99), Max: float64(histogram.Max()) / 1000}
}

// Run sends the plan's requests and waits for their responses. If ctx is done, it stops
// sending.
func (p *Plan) Run(ctx context.Context) *Result {
	r := &recorder{firstToken: newHistogram(), total: newHistogram(), gap: newHistogram()}
	r.result.Statuses = map[string]int{}
	client := &target.Client{Address: p.Address, KeepUnidentified: true}
	defer client.CloseIdle()
	var tasks conc.WaitGroup
	start := p.Clock.Now()
	for due := range p.arrivals(start) {
		if wait := due.Sub(p.Clock.Now()); wait > 0 {
			select {
			case <-ctx.Done():
			case <-p.Clock.After(wait):
			}
		}
		if ctx.Err() != nil {
			break
		}
		body := p.newBody()
		tasks.Go(func() { p.send(ctx, client, r, due, body) })
	}
	tasks.Wait()
	r.result.Seconds = p.Clock.Since(start).Seconds()
	r.result.FirstToken, r.result.Total, r.result.Gap = quantiles(r.firstToken), quantiles(r.total), quantiles(r.gap)
	return &r.result
}

// arrivals yields the due times of a run that starts at the given time, in order.
func (p *Plan) arrivals(start time.Time) func(yield func(time.Time) bool) {
	return func(yield func(time.Time) bool) {
		end := start.Add(p.Duration)
		next, nextBurst := start, start.Add(p.BurstEvery)
		for {
			if p.BurstEvery > 0 && nextBurst.Before(next) {
				for range p.BurstSize {
					if !yield(nextBurst) {
						return
					}
				}
				nextBurst = nextBurst.Add(p.BurstEvery)
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

// newBody returns the body of a request with a random prompt.
func (p *Plan) newBody() []byte {
	var prompt strings.Builder
	if p.Prefixes > 0 {
		fmt.Fprintf(&prompt, "prefix %d ", p.Random.IntN(p.Prefixes))
		for prompt.Len() < p.PrefixBytes {
			prompt.WriteString("shared ")
		}
	}
	fmt.Fprintf(&prompt, "%x ", p.Random.Uint64())
	for prompt.Len() < p.PromptBytes {
		prompt.WriteString("words ")
	}
	content, err := json.Marshal(prompt.String())
	if err != nil {
		panic(err)
	}
	req := map[string]any{"model": p.Model, "stream": p.Stream, "max_tokens": p.MaxTokens}
	if p.Path == openai.ChatPath {
		req["messages"] = []openai.Message{{Role: "user", Content: content}}
	} else {
		req["prompt"] = json.RawMessage(content)
	}
	encoded, err := json.Marshal(req)
	if err != nil {
		panic(err)
	}
	return encoded
}

// send sends one request and records its measurements. The requests are marked
// idempotent, so that they use idle connections.
func (p *Plan) send(ctx context.Context, client *target.Client, r *recorder, due time.Time, body []byte) {
	ctx, cancel := deadline.WithTimeout(ctx, p.Clock, p.Timeout)
	defer cancel()
	req := &target.Request{Method: "POST", Path: p.Path, Body: body, Idempotent: true, Headers: []target.Header{{Name: "Content-Type", Value: "application/json"}}}
	if p.Key != "" {
		req.Headers = append(req.Headers, target.Header{Name: "Authorization", Value: "Bearer " + p.Key})
	}
	a, err := client.Do(ctx, req)
	if err != nil {
		r.addFailure("connection")
		return
	}
	defer a.Close()
	m := &measured{plan: p, due: due}
	status := fmt.Sprint(a.Status)
	if err := m.read(a); err != nil {
		status = "cut"
	}
	r.addResponse(status, m, p.Clock.Since(due))
}

// measured holds the timing of one response.
type measured struct {
	plan       *Plan
	due        time.Time
	firstToken time.Duration
	lastReadAt time.Time
	gaps       []time.Duration
}

// read reads the response body to its end.
func (m *measured) read(a *target.Response) error {
	const bufferBytes = 32 << 10
	buffer := make([]byte, bufferBytes)
	for {
		n, err := a.Read(buffer)
		if n > 0 {
			m.recordTokens(bytes.Count(buffer[:n], []byte("data:")))
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// recordTokens records a read that returned the given number of tokens.
func (m *measured) recordTokens(tokens int) {
	now := m.plan.Clock.Now()
	if m.lastReadAt.IsZero() {
		m.firstToken = now.Sub(m.due)
	} else if tokens > 0 {
		m.gaps = append(m.gaps, now.Sub(m.lastReadAt))
	}
	m.lastReadAt = now
}

// addFailure records a request without a response.
func (r *recorder) addFailure(status string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.result.Statuses[status]++
}

// addResponse records a response; only those with status 200 count in the latencies.
func (r *recorder) addResponse(status string, m *measured, total time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.result.Statuses[status]++
	if status != "200" {
		return
	}
	r.result.OK++
	// Larger latencies are recorded as maxLatency, so RecordValue cannot fail.
	_ = r.firstToken.RecordValue(min(m.firstToken, maxLatency).Microseconds())
	_ = r.total.RecordValue(min(total, maxLatency).Microseconds())
	for _, g := range m.gaps {
		_ = r.gap.RecordValue(min(g, maxLatency).Microseconds())
	}
}
