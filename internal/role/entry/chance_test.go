package entry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// returnTime is how long after the last end of a target requests that such ends met by chance may be kept from targets:
// a batch item is due within 18 s, of which a run takes up to 3 s.
const returnTime = 15 * time.Second

// TestSoundRequestsReturnAfterCrashes guards against keeping a sound part of prompts, or a sound request that comes
// again, from all targets for minutes because targets ended with it by chance.
func TestSoundRequestsReturnAfterCrashes(t *testing.T) {
	tests := []struct {
		name, route string
		parts       []string
		// bodies are those of the requests at whose runs targets end, in turn, and then is the body afterwards.
		bodies []string
		then   string
	}{
		{"part of prompts", "stream", []string{"shared", "own"}, []string{"a", "b", "c"}, "sound"},
		{"part of prompts, four ends", "stream", []string{"shared", "own"}, []string{"a", "b", "c", "d"}, "sound"},
		{"request", "unsafe", nil, []string{"a", "a", "a"}, "a"},
		{"request, two attempts each time", "safe", nil, []string{"a", "a", "a", "a"}, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, func(x *platformtest.Target) {
				x.CrashPart, x.CrashDelay, x.CrashBodies, x.Downtime = "", 50*time.Millisecond, test.bodies, 700*time.Millisecond
				x.PlainPrefixes = []string{"/safe/", "/unsafe/"}
			})
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			sound := make(chan []sentRequest, 1)
			go func() { sound <- f.repeatedSoundRequests(ctx) }()
			n := 0
			send := func(body string) bool {
				n++
				return f.sendBody(n%entryCount, test.route, fmt.Sprintf("again-%d", n), test.parts, body)
			}
			for until := time.Now().Add(returnTime); len(f.crashes()) < len(test.bodies); {
				qt.Assert(t, time.Now().Before(until), qt.IsTrue, qt.Commentf("%d ends of targets", len(f.crashes())))
				send(test.bodies[min(len(f.crashes()), len(test.bodies)-1)])
				time.Sleep(300 * time.Millisecond)
			}
			for _, x := range f.targets {
				x.SetCrashBodies(nil)
			}
			last := f.crashes()
			from := last[len(last)-1]
			// The next request comes when the block is in force everywhere.
			time.Sleep(1500 * time.Millisecond)
			refused := 0
			for !send(test.then) {
				refused++
				qt.Assert(t, time.Since(from) < returnTime, qt.IsTrue, qt.Commentf("refused %d times in %v", refused, time.Since(from)))
				time.Sleep(250 * time.Millisecond)
			}
			t.Logf("%d ends; refused %d times, served %v after the last end", len(last), refused, time.Since(from).Round(time.Millisecond))
			stop()
			<-sound
		})
	}
}
