package limit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// TestUniform guards against a limit below one a second that refuses everything, and against workspaces that share a
// bucket.
func TestUniform(t *testing.T) {
	tests := []struct {
		perSecond float64
		burst     int
		wait      time.Duration // until the next token
	}{{0.5, 1, 2 * time.Second}, {1, 1, time.Second}, {500, 500, 2 * time.Millisecond}}
	for _, test := range tests {
		clock := clockwork.NewFakeClock()
		l := Uniform(clock, test.perSecond)
		take := func(workspace string) bool {
			ok, _ := l.Take(workspace, 1)
			return ok
		}
		for range test.burst {
			qt.Assert(t, take("a"), qt.IsTrue)
		}
		qt.Assert(t, take("a"), qt.IsFalse)
		qt.Assert(t, take("b"), qt.IsTrue)
		clock.Advance(test.wait)
		qt.Assert(t, take("a"), qt.IsTrue)
	}
}
