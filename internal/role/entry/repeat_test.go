package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// repeatedCaller sends one request again and again, with another ID each time.
type repeatedCaller struct {
	route, body string
	parts       []string
	interval    time.Duration
}

// TestRequestThatCrashesTargets guards against a request that crashes targets and comes again under
// other IDs ending one target after the other, and against refusing requests that were in flight beside it.
func TestRequestThatCrashesTargets(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name     string
		targets  int
		downtime time.Duration
		events   int // before the crash
		bad      []repeatedCaller
	}{
		{"without a prompt, few targets", 4, 2500 * ms, 0, []repeatedCaller{{"safe", "bad-1", nil, 100 * ms}}},
		{"two at once, few targets", 4, 1500 * ms, 0, []repeatedCaller{{"safe", "bad-1", nil, 100 * ms}, {"safe", "bad-2", nil, 130 * ms}}},
		{"not repeatable", 6, 1500 * ms, 0, []repeatedCaller{{"unsafe", "bad-1", nil, 150 * ms}}},
		{"with a prompt, resumable and not", 8, 1500 * ms, 0, []repeatedCaller{{"resume", "bad-1", []string{"common", "own"}, 200 * ms}, {"stream", "bad-2", []string{"common", "other"}, 200 * ms}}},
		{"five at once", 4, 2500 * ms, 0, []repeatedCaller{{"safe", "bad-1", nil, 200 * ms}, {"safe", "bad-2", nil, 230 * ms}, {"unsafe", "bad-3", nil, 270 * ms}, {"safe", "bad-4", nil, 310 * ms}, {"resume", "bad-5", nil, 350 * ms}}},
		{"five at once, many targets", 12, 2500 * ms, 0, []repeatedCaller{{"safe", "bad-1", nil, 200 * ms}, {"safe", "bad-2", nil, 230 * ms}, {"unsafe", "bad-3", nil, 270 * ms}, {"safe", "bad-4", nil, 310 * ms}, {"resume", "bad-5", nil, 350 * ms}}},
		{"seldom", 4, 500 * ms, 0, []repeatedCaller{{"safe", "bad-1", nil, 2500 * ms}}},
		{"seldom, after some events", 8, 500 * ms, 2, []repeatedCaller{{"resume", "bad-1", []string{"common", "own"}, 3500 * ms}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startFleetOf(t, test.targets, func(x *platformtest.Target) {
				x.CrashPart, x.CrashDelay, x.Downtime, x.CrashEvents = "", 80*ms, test.downtime, test.events
				x.PlainPrefixes = []string{"/safe/", "/unsafe/"}
				for _, b := range test.bad {
					x.CrashBodies = append(x.CrashBodies, b.body)
				}
			})
			f.repeatRequests(test.bad)
		})
	}
}

// settledTime is how long after the first request that crashes targets the others have to be served at the latest.
const settledTime = 5 * noticeTime

// maxLateRequests is how many requests may reach targets later than noticeTime after the third
// crash, of those that crash targets.
const maxLateRequests = 3

// repeatRequests sends sound requests and those that crash targets, and checks what reaches targets.
func (f *fleet) repeatRequests(bad []repeatedCaller) {
	t := f.t
	start := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	sound := make(chan []sentRequest, 1)
	go func() { sound <- f.repeatedSoundRequests(ctx) }()
	time.Sleep(1500 * time.Millisecond)

	firstBad := time.Now()
	var callers sync.WaitGroup
	for k, b := range bad {
		callers.Go(func() {
			for n := 0; time.Since(firstBad) < 7*noticeTime; n++ {
				callers.Go(func() {
					f.sendBody((n+k)%entryCount, b.route, fmt.Sprintf("%s-%d", b.body, n), b.parts, b.body)
				})
				time.Sleep(b.interval)
			}
		})
	}
	callers.Wait()
	stop()
	sent := <-sound

	known := firstBad
	for _, b := range bad {
		var arrivals, crashes []platformtest.Arrival
		for _, x := range f.targets {
			for _, r := range x.CrashingRuns() {
				if r.Body != b.body {
					continue
				}
				arrivals = append(arrivals, r)
				if r.Crashed {
					crashes = append(crashes, r)
				}
			}
		}
		slices.SortFunc(crashes, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
		if len(crashes) == 0 {
			t.Logf("%s: no crashes", b.body)
			continue
		}
		// Each request may end three targets, at any time.
		bound := crashes[min(2, len(crashes)-1)].At.Add(noticeTime)
		if bound.After(known) {
			known = bound
		}
		if len(crashes) < 3 {
			t.Logf("%s: %d crashes", b.body, len(crashes))
			continue
		}
		late := 0
		for _, r := range arrivals {
			if r.At.After(bound) {
				late++
			}
		}
		qt.Check(t, late <= maxLateRequests, qt.IsTrue, qt.Commentf("%s: %d reached targets later than %v after the third crash; %d crashes", b.body, late, noticeTime, len(crashes)))
		t.Logf("%s: %d crashes, %d late", b.body, len(crashes), late)
	}
	from := known.Add(noticeTime)
	if latest := firstBad.Add(settledTime); from.After(latest) {
		from = latest // trials of blocks end targets later too, and sound requests are served beside them
	}
	before, after := servedShare(sent, start, firstBad), servedShare(sent, from, time.Now())
	qt.Check(t, after >= 0.9*before, qt.IsTrue, qt.Commentf("of the sound requests %.2f were served before the crashes, %.2f afterwards", before, after))
	t.Logf("served %.2f before, %.2f after", before, after)
}

// repeatedSoundRequests sends sound requests until ctx ends and returns them. Some of them come
// again and again, and all have the path of those that crash targets.
func (f *fleet) repeatedSoundRequests(ctx context.Context) []sentRequest {
	var mu sync.Mutex
	var sent []sentRequest
	var callers sync.WaitGroup
	for c := range 8 {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(c), 4))
			for n := 0; ctx.Err() == nil; n++ {
				at := time.Now()
				id := fmt.Sprintf("sound-%d-%d", c, n)
				body := id
				if random.IntN(2) == 0 {
					body = fmt.Sprintf("often-%d", random.IntN(4))
				}
				route := []string{"safe", "resume"}[random.IntN(2)]
				served := f.sendBody(random.IntN(entryCount), route, id, []string{"common", body}, body)
				mu.Lock()
				sent = append(sent, sentRequest{at, served})
				mu.Unlock()
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return sent
}

// sendBody is like send, for a request with the given body.
func (f *fleet) sendBody(entry int, route, id string, parts []string, body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	r := f.client.SendBody(ctx, f.entries[entry], route, id, callerKey, callerTimeout, parts, body)
	return r.Err == nil && r.Status == 200
}

// TestLiftedBlock guards against a block that outlives what an operator knows better: a release whose
// targets survive the request.
func TestLiftedBlock(t *testing.T) {
	const body = "bad"
	f := startFleetOf(t, 4, func(x *platformtest.Target) {
		x.CrashPart, x.Downtime, x.CrashBodies = "", 300*time.Millisecond, []string{body}
	})
	operator := &control.Client{Wire: wire.NewClient(nil), Hosts: f.seeds, Clock: clockwork.NewRealClock()}
	ctx, cancel := context.WithTimeout(context.Background(), 4*noticeTime)
	defer cancel()
	n := 0
	send := func() bool {
		n++
		f.sendBody(n%entryCount, "safe", fmt.Sprintf("sound-%d", n), nil, fmt.Sprintf("sound-%d", n))
		return f.sendBody(n%entryCount, "safe", fmt.Sprintf("repeated-%d", n), nil, body)
	}
	var blocked []quarantine.Block
	for len(blocked) == 0 || blocked[0].Trial {
		qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("the request is not blocked"))
		send()
		r, err := operator.Lift(ctx, nil)
		qt.Assert(t, err, qt.IsNil)
		blocked = r.Quarantine.Blocks
		time.Sleep(100 * time.Millisecond)
	}
	for _, x := range f.targets {
		x.SetCrashBodies(nil)
	}
	qt.Assert(t, send(), qt.IsFalse)
	r, err := operator.Lift(ctx, []string{blocked[0].Part.ID})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Lifted, qt.HasLen, 1)
	qt.Assert(t, r.Quarantine.Blocks, qt.HasLen, 0)
	for !send() {
		qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("the request is not served"))
		time.Sleep(100 * time.Millisecond)
	}
}
