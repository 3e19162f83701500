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

// server is the part of an entry's HTTP server that drain needs.
type server interface {
	// StartDraining makes the health check fail, ends each connection with the
	// response to its next request, and refuses requests that may not end before stopAt.
	StartDraining(stopAt time.Time)
	// Shutdown closes the listeners and idle connections at once, and waits for the
	// requests in flight until ctx ends.
	Shutdown(ctx context.Context) error
}

// drain makes the health check fail and keeps serving for balancerLag, until the
// balancer opens no more connections. Then it takes no more requests: it closes the
// listener and idle connections, and waits for the requests in flight, at most grace. All of
// them end within it, because those that may not are refused.
func drain(s server, c clockwork.Clock, l log.Interface, balancerLag, grace time.Duration) {
	s.StartDraining(c.Now().Add(balancerLag + grace))
	l.WithField("within", (balancerLag + grace).String()).Info("leaving")
	c.Sleep(balancerLag)
	ctx, cancel := deadline.WithTimeout(context.Background(), c, grace)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		l.WithError(err).Warn("stopping with requests in flight; their connections are closed")
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
