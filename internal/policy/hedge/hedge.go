// Package hedge decides when a request is sent a second time because its answer is later than usual.
package hedge

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// usualPercentile is the percentile of the latencies after which an answer is late. One request
	// in 20 is later, so that a share of a few percent reaches most of the slow answers.
	usualPercentile = 95
	// spanTime is the time that one histogram covers. Latencies of one to two spans count, so that
	// those of half a minute do.
	spanTime = 15 * time.Second
	// minLatencies is the number of latencies below which no percentile is known.
	minLatencies = 40
	// minDelay is the shortest time before a copy. Copies after less would repeat requests whose
	// answers are under way between availability zones.
	minDelay = 5 * time.Millisecond
	// maxBalance is the largest number of copies in the budget of one service: those of a burst of
	// slow answers, such as when one target turns slow.
	maxBalance = 8
	// resultsToJudge is the number of copies after which their use is judged, and minWonShare the
	// share of them that must have won. If fewer win, all targets are slow, and copies add to
	// the load that makes them slow.
	resultsToJudge = 8
	minWonShare    = 0.25
	// pauseTime is how long no copies are sent after too few have won.
	pauseTime = 2 * time.Second
	// resolution is the unit of the latencies in a histogram, and maxLatency the longest that is told
	// from longer ones: above the timeouts of online requests.
	resolution        = 100 * time.Microsecond
	maxLatency        = 30 * time.Second
	significantDigits = 2
)

// Reasons why no copy is sent.
const (
	ReasonBudget   = "budget is spent"
	ReasonPaused   = "recent copies did not help"
	ReasonDeadline = "deadline comes before a usual answer"
)

// Policy implements rhubarbgate.Hedger. Copies of a service are at most Share of its requests that may be
// repeated, and maxBalance more. Set the exported fields before the first call.
type Policy struct {
	Clock clockwork.Clock
	// Share is the number of copies that one request adds to the budget; 0 allows none.
	Share float64

	mu       sync.Mutex
	services map[string]*service
}

var _ rhubarbgate.Hedger = (*Policy)(nil)

// service is what is known of the requests of one service.
type service struct {
	// current and previous hold the latencies of this span and of the one before.
	current, previous *hdrhistogram.Histogram
	spanEnds          time.Time
	// delay and median are percentiles as of the last time that they were computed, which was for
	// counted latencies.
	delay, median time.Duration
	known         bool
	uncounted     int // latencies since
	balance       float64
	copies, won   int // since the last judgement
	pausedUntil   time.Time
}

// refreshInterval is the number of latencies after which the percentiles are computed again. A scan of a
// histogram takes some microseconds.
const refreshInterval = 20

// service returns the state of a service. The lock is held.
func (p *Policy) service(name string) *service {
	s := p.services[name]
	if s == nil {
		if p.services == nil {
			p.services = map[string]*service{}
		}
		s = &service{current: newHistogram(), previous: newHistogram(), spanEnds: p.Clock.Now().Add(spanTime)}
		p.services[name] = s
	}
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/resolution), significantDigits)
}

// Delay implements rhubarbgate.Hedger.
func (p *Policy) Delay(name string) (time.Duration, bool) {
	if p.Share <= 0 {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(name)
	s.balance = min(maxBalance, s.balance+p.Share)
	s.expire(p.Clock.Now())
	return s.delay, s.known
}

// Allow implements rhubarbgate.Hedger.
func (p *Policy) Allow(name string, remaining time.Duration) (bool, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(name)
	switch {
	case p.Clock.Now().Before(s.pausedUntil):
		return false, ReasonPaused
	case s.median >= remaining:
		return false, ReasonDeadline
	case s.balance < 1:
		return false, ReasonBudget
	}
	s.balance--
	return true, ""
}

// Observe implements rhubarbgate.Hedger.
func (p *Policy) Observe(name string, latency time.Duration) {
	if p.Share <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(name)
	s.expire(p.Clock.Now())
	// The value is within the histogram's range, so it cannot be refused.
	_ = s.current.RecordValue(int64(min(max(latency, resolution), maxLatency) / resolution))
	if s.uncounted++; s.uncounted >= refreshInterval {
		s.refresh()
	}
}

// Finish implements rhubarbgate.Hedger.
func (p *Policy) Finish(name string, won bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(name)
	s.copies++
	if won {
		s.won++
	}
	if s.copies < resultsToJudge {
		return
	}
	if float64(s.won) < minWonShare*float64(s.copies) {
		s.pausedUntil = p.Clock.Now().Add(pauseTime)
	}
	s.copies, s.won = 0, 0
}

// expire begins a new span if the current one has ended. The lock is held.
func (s *service) expire(now time.Time) {
	if now.Before(s.spanEnds) {
		return
	}
	s.current, s.previous = s.previous, s.current
	s.current.Reset()
	if !now.Before(s.spanEnds.Add(spanTime)) {
		s.previous.Reset()
	}
	s.spanEnds = now.Add(spanTime)
	s.refresh()
}

// refresh computes the percentiles of the latencies of both spans. The lock is held.
func (s *service) refresh() {
	s.uncounted = 0
	n := s.current.TotalCount() + s.previous.TotalCount()
	if s.known = n >= minLatencies; !s.known {
		return
	}
	all := s.current
	if s.previous.TotalCount() > 0 {
		all = hdrhistogram.Import(s.current.Export())
		all.Merge(s.previous)
	}
	s.delay = max(minDelay, time.Duration(all.ValueAtQuantile(usualPercentile))*resolution)
	s.median = time.Duration(all.ValueAtQuantile(50)) * resolution
}
