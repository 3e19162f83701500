package entry

import (
	"context"
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
)

const (
	// drainPoll is how often a leaving entry looks whether its requests have ended.
	drainPoll = 20 * time.Millisecond
	// shutdownTimeout bounds the closing of idle connections, which answer at once.
	shutdownTimeout = time.Second
)

// server is what a leaving entry needs of its HTTP server.
type server interface {
	// Leave makes the health check fail.
	Leave()
	// Active returns the number of requests under way.
	Active() int
	Shutdown(ctx context.Context) error
}

// drain lets the balancer notice for lag, and then waits at most grace for the
// requests under way.
func drain(s server, c clockwork.Clock, l log.Interface, lag, grace time.Duration) {
	s.Leave()
	l.Info("leaving")
	c.Sleep(lag)
	until := c.Now().Add(grace)
	for s.Active() > 0 && c.Now().Before(until) {
		c.Sleep(drainPoll)
	}
	ctx, cancel := deadline.WithTimeout(context.Background(), c, shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		l.WithError(err).Warn("connections were still open at the stop")
	}
}

// counter publishes a new counter.
func counter(m *expvar.Map, name string) *expvar.Int {
	v := new(expvar.Int)
	m.Set(name, v)
	return v
}

// derived returns a generator of its own, seeded by r.
func derived(r *rand.Rand, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(r.Uint64(), stream))
}
