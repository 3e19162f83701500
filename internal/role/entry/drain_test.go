package entry

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// fakeServer records when it is shut down. Its request in flight never ends.
type fakeServer struct {
	clock                      clockwork.Clock
	stopAt, shutDownAt, doneAt time.Time
}

func (f *fakeServer) StartDraining(stopAt time.Time) { f.stopAt = stopAt }

func (f *fakeServer) InFlight() int { return 1 }

func (f *fakeServer) Shutdown(ctx context.Context) error {
	f.shutDownAt = f.clock.Now()
	<-ctx.Done()
	f.doneAt = f.clock.Now()
	return ctx.Err()
}

// TestDrainTakesNoRequestsAfterBalancerLag guards against requests that are taken late in
// the grace on connections that were open before, and cut when it ends: long streams must
// not keep idle connections open.
func TestDrainTakesNoRequestsAfterBalancerLag(t *testing.T) {
	const balancerLag, grace = 2 * time.Second, 5 * time.Second
	clock := clockwork.NewFakeClock()
	start := clock.Now()
	s := &fakeServer{clock: clock}
	done := make(chan struct{})
	go func() {
		defer close(done)
		drain(s, clock, &log.Logger{Handler: discard.New()}, balancerLag, grace)
	}()
	for _, d := range []time.Duration{balancerLag, grace} {
		qt.Assert(t, clock.BlockUntilContext(t.Context(), 1), qt.IsNil)
		clock.Advance(d)
	}
	<-done
	qt.Assert(t, s.stopAt, qt.Equals, s.doneAt)
	qt.Assert(t, s.shutDownAt.Sub(start), qt.Equals, balancerLag)
	qt.Assert(t, s.doneAt.Sub(start), qt.Equals, balancerLag+grace)
}
