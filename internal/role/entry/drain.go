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
	// drainPollInterval is how often a draining entry checks whether its requests have
	// ended.
	drainPollInterval = 20 * time.Millisecond
	// shutdownTimeout bounds the closing of connections, which is immediate for idle
	// ones.
	shutdownTimeout = time.Second
)

// server is the part of an entry's HTTP server that drain needs.
type server interface {
	// StartDraining makes the health check fail.
	StartDraining()
	// InFlight returns the number of requests in flight.
	InFlight() int
	// Shutdown closes the server's connections.
	Shutdown(ctx context.Context) error
}

// drain makes the health check fail and keeps serving for balancerLag, until the
// balancer sends no more requests. It then waits for the requests in flight, at most
// grace, and closes the connections.
func drain(s server, c clockwork.Clock, l log.Interface, balancerLag, grace time.Duration) {
	s.StartDraining()
	l.Info("leaving")
	c.Sleep(balancerLag)
	until := c.Now().Add(grace)
	for s.InFlight() > 0 && c.Now().Before(until) {
		c.Sleep(drainPollInterval)
	}
	ctx, cancel := deadline.WithTimeout(context.Background(), c, shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		l.WithError(err).Warn("shutting down the HTTP server failed; connections may still be open")
	}
}

// newCounter creates a counter and publishes it in m.
func newCounter(m *expvar.Map, name string) *expvar.Int {
	v := new(expvar.Int)
	m.Set(name, v)
	return v
}

// derivedRandom returns an independent generator, seeded from r.
func derivedRandom(r *rand.Rand, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(r.Uint64(), stream))
}
