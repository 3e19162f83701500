package limit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// benchOwner returns an owner whose rate and TTL are never reached in a benchmark.
func benchOwner() *Owner {
	c := clockwork.NewRealClock()
	o := &Owner{Clock: c, TTL: time.Hour, Drift: 0.01, Rates: func(string) (Rate, bool) { return Rate{PerSecond: 1e6, Burst: 1e6}, true }}
	o.Begin(Predecessor{Begun: c.Now()})
	return o
}

// BenchmarkSettle measures an exchange of one token request with a report for one
// grant, by the number of the workspace's outstanding grants.
func BenchmarkSettle(b *testing.B) {
	for _, n := range []int{1, 10, 100, 400} {
		b.Run(fmt.Sprintf("grants=%d", n), func(b *testing.B) {
			o := benchOwner()
			var last Grant
			for range n {
				last = o.Exchange("h", []TokenRequest{{Workspace: "w", Want: 1}})[0]
			}
			for b.Loop() {
				last = o.Exchange("h", []TokenRequest{{Workspace: "w", Want: 1, Reports: []Report{{Grant: last.ID, Spent: 1, Final: true}}}})[0]
			}
		})
	}
}

// BenchmarkAsks measures one call of TokenRequests, by the number of workspaces in
// memory, of which 200 are active. It also reports the memory of one workspace.
func BenchmarkAsks(b *testing.B) {
	for _, n := range []int{1000, 4000, 14000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			clock := clockwork.NewFakeClock()
			h := &Holder{Clock: clock}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range n {
				w := fmt.Sprintf("workspace-%d", i)
				h.Take(w, 1)
				h.ApplyGrants(clock.Now(), nil, []Grant{{Workspace: w, ID: uint64(i), Tokens: 2, TTL: ttl, PerSecond: 10}})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			returnAllGrants(h, clock)
			for i := range 200 {
				h.Take(fmt.Sprintf("workspace-%d", i), 1)
			}
			for b.Loop() {
				requests := h.TokenRequests(func(string) bool { return true })
				h.RecordExchangeFailure(requests)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/workspace")
		})
	}
}

// returnAllGrants makes the holder return all grants and become idle.
func returnAllGrants(h *Holder, clock *clockwork.FakeClock) {
	for range 3 {
		clock.Advance(2 * idleAfter)
		requests := h.TokenRequests(func(string) bool { return true })
		h.ApplyGrants(clock.Now(), requests, nil)
	}
}

// BenchmarkTake measures spending one token of an available grant.
func BenchmarkTake(b *testing.B) {
	clock := clockwork.NewRealClock()
	h := &Holder{Clock: clock}
	h.ApplyGrants(clock.Now(), nil, []Grant{{Workspace: "w", ID: 1, Tokens: 1e12, TTL: 1 << 50}})
	for b.Loop() {
		if ok, _ := h.Take("w", 1); !ok {
			b.Fatal("no token")
		}
	}
}
