package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// TestRequestsLateInTheGrace guards against requests that a stopping entry takes, passes on and then cuts without an answer, because
// they last longer than the rest of its grace. Each is refused and not run, or answered before the entry stops.
func TestRequestsLateInTheGrace(t *testing.T) {
	const (
		streamTime = 1200 * time.Millisecond
		wait       = 2 * time.Second // of most callers
		shortWait  = 400 * time.Millisecond
		lag, grace = 500 * time.Millisecond, time.Second
	)
	f := startFleetOf(t, 4, func(x *platformtest.Target) { x.CrashPart, x.Events, x.Pace = "", 12, streamTime/12 })
	f.stopEntries()
	f.balancerLag, f.grace = lag, grace
	f.startEntries()
	f.awaitServing()
	stopped := time.Now()
	f.stopEntries()
	var mu sync.Mutex
	counts := map[string]int{}
	var callers sync.WaitGroup
	for n := 0; time.Since(stopped) < lag; n++ {
		callers.Go(func() {
			timeout := []time.Duration{wait, shortWait}[n%2]
			route, id := []string{"stream", "unsafe", "resume"}[n%3], fmt.Sprintf("late-%d", n)
			call, cancel := context.WithTimeout(context.Background(), 2*callerTimeout)
			defer cancel()
			r := f.client.Send(call, f.entries[n%len(f.entries)], route, id, callerKey, timeout)
			late := time.Since(stopped) > grace
			ran := f.versionOf(id) != ""
			mu.Lock()
			defer mu.Unlock()
			counts[fmt.Sprintf("%v: %d, late %v", timeout, r.Status, late)]++
			// The process ends after the grace, which would cut the response.
			qt.Check(t, ran && late, qt.IsFalse, qt.Commentf("%s ran, and its response ended %v after the stop", id, time.Since(stopped)))
			qt.Check(t, ran && r.PromisesNotRun(), qt.IsFalse, qt.Commentf("%s was refused and ran", id))
			if timeout == wait && r.Status != http.StatusServiceUnavailable {
				qt.Check(t, r.Err, qt.IsNil)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	callers.Wait()
	t.Log(counts)
	qt.Assert(t, counts[fmt.Sprintf("%v: 503, late false", wait)] > 0, qt.IsTrue)
}
