package ingress

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/policy/retry"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// hedger allows a copy after a fixed time, unless a reason is set.
type hedger struct {
	delay  time.Duration
	reason string

	mu       sync.Mutex
	observed []time.Duration
	finished []bool
}

func (h *hedger) Delay(string) (time.Duration, bool) { return h.delay, true }

func (h *hedger) Allow(string, time.Duration) (bool, string) { return h.reason == "", h.reason }

func (h *hedger) Observe(_ string, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observed = append(h.observed, latency)
}

func (h *hedger) Finish(_ string, won bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finished = append(h.finished, won)
}

// hedgedEntry is an entry with targets on hosts of their own, of which it prefers the first.
func hedgedEntry(t *testing.T, h rhubarbgate.Hedger, targets ...*platformtest.Target) *testEntry {
	for i, x := range targets {
		x.Instance, x.Service, x.Zone, x.Slots = fmt.Sprintf("i-%d", i), "lm", "z", 8
		x.PlainPrefixes = []string{"/safe/"}
		qt.Assert(t, x.StartAt(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 0)), qt.IsNil)
		t.Cleanup(x.Close)
	}
	e := newEntry(t, targets...)
	e.server.Picker, e.server.Hedger = firstPicker{}, h
	return e
}

// always returns a Target.Fault that is f for each request.
func always(f platformtest.Fault) func(string, int) platformtest.Fault {
	return func(string, int) platformtest.Fault { return f }
}

// awaitIdle waits until no request is in flight at the entry, at its table and at the targets.
func (e *testEntry) awaitIdle() {
	var busy string
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		busy = ""
		if n := e.server.InFlight(); n > 0 {
			busy = fmt.Sprintf("%d requests at the entry", n)
		}
		_, candidates := e.server.Targets.Candidates("lm", true, nil)
		for _, c := range candidates {
			if c.InFlight != 0 {
				busy += fmt.Sprintf(" %d in the table at %s", c.InFlight, c.Name)
			}
		}
		for _, x := range e.targets {
			var report struct{ Running, Waiting int }
			r, err := http.Get("http://" + x.Address().String() + platformtest.ReportPath)
			qt.Assert(e.t, err, qt.IsNil)
			qt.Assert(e.t, json.NewDecoder(r.Body).Decode(&report), qt.IsNil)
			r.Body.Close()
			if report.Running+report.Waiting > 0 {
				busy += fmt.Sprintf(" %d at %s", report.Running+report.Waiting, x.Instance)
			}
		}
		if busy == "" {
			return
		}
	}
	e.t.Fatal("still in flight: ", busy)
}

// hedgeTestDelay is after which time the copies of these tests are sent.
const hedgeTestDelay = 15 * time.Millisecond

// TestHedges guards against a late answer although another target is fast, an answer of no or of both
// targets, a losing attempt that goes on or counts as a failure, more runs than the route allows, and a
// retry beside a copy in flight.
func TestHedges(t *testing.T) {
	const slow, slower = 120 * time.Millisecond, 360 * time.Millisecond
	none, hang, cut, drop := platformtest.None, platformtest.Hang, platformtest.CutStream, platformtest.DropConnection
	type side struct {
		fault  platformtest.Fault
		pace   time.Duration
		status int // of platformtest.Fail; 0 means 500
	}
	tests := []struct {
		name, route   string
		targets       []side
		status        int
		answer        int // index of the target whose answer reaches the caller
		runs          string
		sent, retries int64
		won           bool
	}{
		{"second is faster", "safe", []side{{hang, 0, 0}, {none, 0, 0}, {none, 0, 0}}, 200, 1, "i-0 i-1", 1, 0, true},
		{"second is faster, stream", "resume", []side{{hang, 0, 0}, {none, 0, 0}, {none, 0, 0}}, 200, 1, "i-0 i-1", 1, 0, true},
		{"first event is late", "resume", []side{{none, slower, 0}, {none, 0, 0}, {none, 0, 0}}, 200, 1, "i-0 i-1", 1, 0, true},
		{"first is faster", "safe", []side{{none, slow, 0}, {hang, 0, 0}, {none, 0, 0}}, 200, 0, "i-0 i-1", 1, 0, false},
		{"first is faster, stream", "resume", []side{{none, slow, 0}, {hang, 0, 0}, {none, 0, 0}}, 200, 0, "i-0 i-1", 1, 0, false},
		{"copy breaks", "safe", []side{{none, slow, 0}, {drop, 0, 0}, {none, 0, 0}}, 200, 0, "i-0 i-1", 1, 0, false},
		{"copy breaks, stream", "resume", []side{{none, slow, 0}, {drop, 0, 0}, {none, 0, 0}}, 200, 0, "i-0 i-1", 1, 0, false},
		{"copy ends without event", "resume", []side{{none, slow, 0}, {platformtest.NoEvents, 0, 0}, {none, 0, 0}}, 200, 0, "i-0 i-1", 1, 0, false},
		{"copy gets an error status", "safe", []side{{none, slow, 0}, {platformtest.Fail, 0, 0}, {none, 0, 0}}, 200, 0, "i-0 i-1", 1, 0, false},
		{"copy gets status 429 without a promise", "safe", []side{{none, slow, 0}, {platformtest.Fail, 0, 429}, {none, 0, 0}}, 200, 0, "i-0 i-1", 1, 0, false},
		{"copy is refused", "safe", []side{{none, slow, 0}, {platformtest.Shed, 0, 0}, {none, 0, 0}}, 200, 0, "i-0", 1, 0, false},
		{"first breaks while the copy runs", "safe", []side{{cut, slow, 0}, {none, slower, 0}, {none, 0, 0}}, 200, 1, "i-0 i-1", 1, 0, true},
		{"both break", "safe", []side{{cut, slow, 0}, {cut, slower, 0}, {none, 0, 0}}, 502, -1, "i-0 i-1", 1, 0, false},
		{"first breaks before the copy is due", "resume", []side{{drop, 0, 0}, {none, 0, 0}, {none, 0, 0}}, 200, 1, "i-0 i-1", 0, 1, false},
		{"refused copy leaves the retry", "safe", []side{{cut, slow, 0}, {platformtest.Shed, 0, 0}, {none, 0, 0}}, 200, 2, "i-0 i-2", 1, 1, false},
		{"attempts used up", "safe", []side{{drop, 0, 0}, {none, slow, 0}, {none, 0, 0}}, 200, 1, "i-0 i-1", 0, 1, false},
		{"attempts left after a failure", "resume", []side{{drop, 0, 0}, {hang, 0, 0}, {none, 0, 0}}, 200, 2, "i-0 i-1 i-2", 1, 1, true},
		{"not repeatable", "unsafe", []side{{none, slow, 0}, {none, 0, 0}}, 200, 0, "i-0", 0, 0, false},
		{"stream not resumable", "stream", []side{{none, slow, 0}, {none, 0, 0}}, 200, 0, "i-0", 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var targets []*platformtest.Target
			for i, x := range test.targets {
				// The body shows whose answer it is.
				targets = append(targets, &platformtest.Target{Events: 2 + i, BodyBytes: 10 + i, Pace: x.pace, Fault: always(x.fault), FailStatus: x.status})
			}
			h := &hedger{delay: hedgeTestDelay}
			e := hedgedEntry(t, h, targets...)
			status, body, err := e.send(context.Background(), test.route, "r", secret)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, status, qt.Equals, test.status, qt.Commentf("%s", body))
			if test.answer >= 0 && (test.route == "safe") {
				qt.Assert(t, body, qt.Equals, strings.Repeat("x", 10+test.answer))
			} else if test.answer >= 0 {
				qt.Assert(t, body, qt.Equals, streamText("r", 2+test.answer))
			}
			e.awaitIdle()
			var runs []string
			for _, r := range e.runs("r") {
				runs = append(runs, r.Instance)
			}
			qt.Assert(t, strings.Join(runs, " "), qt.Equals, test.runs)
			qt.Assert(t, e.server.Counts.HedgesSent.Value(), qt.Equals, test.sent)
			qt.Assert(t, e.server.Counts.Retries.Value(), qt.Equals, test.retries)
			qt.Assert(t, e.server.Counts.HedgesWon.Value() == 1, qt.Equals, test.won)
			h.mu.Lock()
			defer h.mu.Unlock()
			qt.Assert(t, h.finished, qt.HasLen, int(test.sent))
			for _, won := range h.finished {
				qt.Assert(t, won, qt.Equals, test.won)
			}
		})
	}
}

// TestHedgesRefused guards against a copy that the budgets, the room, the hosts or the state of the entry
// do not allow, and against anything but a sole attempt without a Hedger.
func TestHedgesRefused(t *testing.T) {
	full, free := rhubarbgate.TargetOffer{Slots: 8, Online: 8}, rhubarbgate.TargetOffer{Slots: 8, Online: 1}
	tests := []struct {
		name    string
		cause   string // empty if the copy is sent, or is not considered
		prepare func(t *testing.T, e *testEntry, h *hedger)
		sent    bool
	}{
		{"allowed", "", func(*testing.T, *testEntry, *hedger) {}, true},
		{"off", "", func(_ *testing.T, e *testEntry, _ *hedger) { e.server.Hedger = nil }, false},
		{"hedge budget", "budget is spent", func(_ *testing.T, _ *testEntry, h *hedger) { h.reason = "budget is spent" }, false},
		{"retry budget", refusedRetryBudget, func(_ *testing.T, e *testEntry, _ *hedger) {
			e.server.Budget = &retry.Budget{Ratio: 0.1, MaxBalance: 0.5}
		}, false},
		{"draining", refusedDraining, func(_ *testing.T, e *testEntry, _ *hedger) {
			e.server.StartDraining(time.Now().Add(time.Hour))
		}, false},
		{"no other target is idle", refusedNoRoom, func(_ *testing.T, e *testEntry, _ *hedger) {
			list, _ := e.server.Targets.Candidates("lm", true, nil)
			e.server.Targets.Begin(list[1])
		}, false},
		{"queue at the other target", refusedNoRoom, func(_ *testing.T, e *testEntry, _ *hedger) {
			list, _ := e.server.Targets.Candidates("lm", true, nil)
			e.server.Targets.RecordLoad(list[1], rhubarbgate.TargetLoad{Running: 8, Waiting: 1, Slots: 8})
		}, false},
		{"sides offer no free slot", refusedNoRoom, func(t *testing.T, e *testEntry, _ *hedger) {
			s := contend(t, e)
			s.offers[e.targets[0].Address()], s.offers[e.targets[1].Address()] = free, full
			e.server.Reservations.ObserveLoad("lm", rhubarbgate.TargetLoad{Waiting: 1, Slots: 8})
		}, false},
		{"side offers a free slot", "", func(t *testing.T, e *testEntry, _ *hedger) {
			s := contend(t, e)
			s.offers[e.targets[0].Address()] = rhubarbgate.TargetOffer{Slots: 8}
			s.offers[e.targets[1].Address()] = rhubarbgate.TargetOffer{Slots: 8, Online: 6}
			e.server.Reservations.ObserveLoad("lm", rhubarbgate.TargetLoad{Waiting: 1, Slots: 8})
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := &hedger{delay: hedgeTestDelay}
			e := hedgedEntry(t, h, &platformtest.Target{Pace: 100 * time.Millisecond}, &platformtest.Target{Pace: 100 * time.Millisecond})
			test.prepare(t, e, h)
			status, _, err := e.send(context.Background(), "safe", "r", secret)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, status, qt.Equals, 200)
			qt.Assert(t, len(e.runs("r")) == 2, qt.Equals, test.sent)
			qt.Assert(t, e.server.Counts.HedgesSent.Value() == 1, qt.Equals, test.sent)
			if test.cause == "" {
				qt.Assert(t, e.server.Counts.HedgesRefused.String(), qt.Equals, "{}")
				return
			}
			n, _ := e.server.Counts.HedgesRefused.Get(test.cause).(*expvar.Int)
			qt.Assert(t, n, qt.IsNotNil, qt.Commentf("%s", e.server.Counts.HedgesRefused))
			qt.Assert(t, n.Value(), qt.Equals, int64(1))
		})
	}
}

// TestNoCopyOnTheSameHost guards against a copy to another target of the same host, which is slow for the
// same reason.
func TestNoCopyOnTheSameHost(t *testing.T) {
	e := newEntry(t, &platformtest.Target{Pace: 100 * time.Millisecond}, &platformtest.Target{Pace: 100 * time.Millisecond})
	e.server.Hedger = &hedger{delay: hedgeTestDelay}
	status, _, err := e.send(context.Background(), "safe", "r", secret)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, 200)
	qt.Assert(t, e.runs("r"), qt.HasLen, 1)
	qt.Assert(t, e.server.Counts.HedgesRefused.Get(refusedNoHost), qt.IsNotNil)
}

// TestHedgesOfManyRequests guards against an answer that is mixed of two targets or reaches another request, when
// both targets answer at the same time or the loser does so late, and against ejected losers.
func TestHedgesOfManyRequests(t *testing.T) {
	for _, route := range []string{"safe", "resume"} {
		t.Run(route, func(t *testing.T) {
			// The first answers when the copy does, or after it.
			e := hedgedEntry(t, &hedger{delay: 5 * time.Millisecond},
				&platformtest.Target{Events: 3, Pace: 10 * time.Millisecond}, &platformtest.Target{Events: 3, Pace: 5 * time.Millisecond})
			e.server.Budget = retry.Unlimited{}
			for i := range 60 {
				id := fmt.Sprintf("r%d", i)
				status, body, err := e.send(context.Background(), route, id, secret)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, status, qt.Equals, 200)
				want := "answer to " + id
				if route == "resume" {
					want = streamText(id, 3)
				}
				qt.Assert(t, body, qt.Equals, want)
			}
			e.awaitIdle()
			qt.Assert(t, e.server.Counts.HedgesSent.Value() > 0, qt.IsTrue)
			qt.Assert(t, e.server.Targets.Ejections.Value(), qt.Equals, int64(0))
			qt.Assert(t, e.server.Counts.TruncatedResponses.Value(), qt.Equals, int64(0))
		})
	}
}

// TestCallerLeavesHedgedRequest guards against attempts that go on without a caller.
func TestCallerLeavesHedgedRequest(t *testing.T) {
	for _, route := range []string{"safe", "resume"} {
		h := &hedger{delay: hedgeTestDelay}
		e := hedgedEntry(t, h, &platformtest.Target{Events: 3, Fault: always(platformtest.Hang)}, &platformtest.Target{Events: 3, Fault: always(platformtest.Hang)})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _, _ = e.send(ctx, route, "r", secret)
		}()
		for len(e.runs("r")) < 2 {
			time.Sleep(time.Millisecond)
		}
		cancel()
		<-done
		e.awaitIdle()
		qt.Assert(t, e.runs("r"), qt.HasLen, 2)
		qt.Assert(t, e.server.Counts.HedgesWon.Value(), qt.Equals, int64(0))
		qt.Assert(t, e.server.Targets.Ejections.Value(), qt.Equals, int64(0))
	}
}
