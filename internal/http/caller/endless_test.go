package caller

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
)

// TestEndlessStream guards against a stream of events without end, of which each leaves something in the memory of the entry.
func TestEndlessStream(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := &relay{server: &Server{Clock: clock}, exchange: &Exchange{Stream: true}, latencyReported: true, startedAt: clock.Now()}
	events := bytes.Repeat(append([]byte("x"), eventDataField...), 1000)
	for range 100 {
		clock.Advance(time.Millisecond)
		r.recordArrival(&side.Frame{Kind: side.Data, Data: events})
	}
	qt.Assert(t, len(r.gaps) <= maxGaps, qt.IsTrue, qt.Commentf("%d gaps of %d events", len(r.gaps), 100*1000))
	qt.Assert(t, r.latency() > 0, qt.IsTrue)
}
