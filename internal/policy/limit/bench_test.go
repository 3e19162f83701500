package limit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func benchOwner() *Owner {
	c := clockwork.NewRealClock()
	o := &Owner{Clock: c, TTL: time.Hour, Drift: 0.01, Rates: func(string) (Rate, bool) { return Rate{PerSecond: 1e6, Burst: 1e6}, true }}
	o.Begin(Predecessor{Begun: c.Now()})
	return o
}

// BenchmarkSettle is one ask with a report and its grant, by outstanding grants
// of the workspace.
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

// BenchmarkAsks is one look for what to ask, by workspaces that the entry knows;
// 200 of them are in use.
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
				h.Deliver(clock.Now(), nil, []Grant{{Workspace: w, ID: uint64(i), Tokens: 2, TTL: ttl, PerSecond: 10}})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			settleAll(h, clock)
			for i := range 200 {
				h.Take(fmt.Sprintf("workspace-%d", i), 1)
			}
			for b.Loop() {
				asks := h.TokenRequests(func(string) bool { return true })
				h.Failed(asks)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/workspace")
		})
	}
}

// settleAll lets all grants go back to the owner.
func settleAll(h *Holder, clock *clockwork.FakeClock) {
	for range 3 {
		clock.Advance(2 * idleAfter)
		asks := h.TokenRequests(func(string) bool { return true })
		h.Deliver(clock.Now(), asks, nil)
	}
}

// BenchmarkTake is one spent token.
func BenchmarkTake(b *testing.B) {
	clock := clockwork.NewRealClock()
	h := &Holder{Clock: clock}
	h.Deliver(clock.Now(), nil, []Grant{{Workspace: "w", ID: 1, Tokens: 1e12, TTL: 1 << 50}})
	for b.Loop() {
		if ok, _ := h.Take("w", 1); !ok {
			b.Fatal("no token")
		}
	}
}
