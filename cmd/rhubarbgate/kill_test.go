package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// completionLines returns n batch items for completions, which may run again.
func completionLines(n int) []string {
	var r []string
	for i := range n {
		r = append(r, fmt.Sprintf(`{"custom_id":"c%d","method":"POST","url":"/v1/completions","body":{"model":"small","prompt":"note %d","max_tokens":20}}`, i, i))
	}
	return r
}

// slipItemLines returns n batch items for the route "slips", which must not run
// twice.
func slipItemLines(n int) []string {
	var r []string
	for i := range n {
		r = append(r, fmt.Sprintf(`{"custom_id":"s%d","method":"POST","url":"/services/slips/new","body":{"slip":%d}}`, i, i))
	}
	return r
}

// slipCaller runs callers of the route "slips", whose requests must not run twice.
// They send a request up to four times with the same idempotency key: again after a
// failure, also without any response, unless the verdict is MayHaveRun.
type slipCaller struct {
	f         *fleet
	stop      chan struct{}
	running   sync.WaitGroup
	mu        sync.Mutex
	completed map[string]bool
	sent      int
}

// startSlips starts the callers.
func startSlips(f *fleet, callers int) *slipCaller {
	s := &slipCaller{f: f, stop: make(chan struct{}), completed: map[string]bool{}}
	for i := range callers {
		s.running.Go(func() { s.run(i) })
	}
	return s
}

func (s *slipCaller) run(id int) {
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		default:
		}
		key := fmt.Sprintf("slip-%d-%d", id, n)
		s.mu.Lock()
		s.sent++
		s.mu.Unlock()
		for attempt := range 4 {
			_, err := s.f.post((id+attempt)%s.f.entries, "/services/slips/new", `{"slip":1}`, key)
			if err == nil {
				s.mu.Lock()
				s.completed[key] = true
				s.mu.Unlock()
				break
			}
			var e *statusError
			if errors.As(err, &e) && e.verdict == "MayHaveRun" {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// finish stops the callers and waits for them.
func (s *slipCaller) finish() {
	close(s.stop)
	s.running.Wait()
}

// TestKilledInTurn kills processes of every role, some of them in pairs, while jobs
// run and callers retry. It guards against lost and repeated work: every item needs
// exactly one result, and no request of the route "slips" may run twice.
func TestKilledInTurn(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 3, 2, 3)
	slips := startSlips(f, 4)
	completionJob := f.submit("chat", completionLines(600))
	slipJob := f.submit("invoices", slipItemLines(200))
	for _, names := range [][]string{{"control1"}, {"side0"}, {"entry0"}, {"control2", "side1"}, {"control3"}, {"side2", "side0"}} {
		for _, name := range names {
			f.kill(name)
		}
		time.Sleep(700 * time.Millisecond)
		for _, name := range names {
			f.start(name)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	s := f.awaitBatch(completionJob)
	c.Assert(s.RequestCounts["completed"], qt.Equals, 600, qt.Commentf("%v", s))
	c.Assert(f.output(completionJob), qt.HasLen, 600)
	s = f.awaitBatch(slipJob)
	c.Assert(s.RequestCounts["completed"]+s.RequestCounts["failed"], qt.Equals, 200, qt.Commentf("%v", s))
	slips.finish()
	checkRuns(c, f, slipJob, slips)
	t.Logf("invoices: %v; slips sent %d, completed %d", s.RequestCounts, slips.sent, len(slips.completed))
}

// checkRuns checks that nothing ran twice, that everything that completed ran once,
// and that every failed item has the verdict MayHaveRun.
func checkRuns(c *qt.C, f *fleet, slipJob string, slips *slipCaller) {
	runCounts := f.runCounts()
	for key, n := range runCounts {
		c.Check(n <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", key, n))
	}
	for key := range slips.completed {
		c.Check(runCounts[key], qt.Equals, 1, qt.Commentf("%s has a complete response", key))
	}
	out := f.output(slipJob)
	c.Assert(out, qt.HasLen, 200)
	for i := range 200 {
		x := out[fmt.Sprintf("s%d", i)]
		if x["error"] == nil {
			c.Check(runCounts[fmt.Sprintf("%s-%d", slipJob, i)], qt.Equals, 1)
			continue
		}
		verdict := x["error"].(map[string]any)["verdict"]
		c.Check(verdict, qt.Equals, "MayHaveRun")
	}
}

// healthy returns whether an entry's health check passes.
func (f *fleet) healthy(entry int) bool {
	r, err := http.Get("http://" + f.address(fmt.Sprintf("entry%d", entry)) + "/healthz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// TestGracefulStop sends SIGTERM to processes of every role while callers send
// requests. It guards against requests that fail because a process exits before it
// has drained: none may fail, and each process must exit with status 0.
func TestGracefulStop(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 3, 2, 3)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var failures []string
	completed := 0
	for i := range 8 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				// Like a balancer, callers use an entry whose health check passes.
				entry := i % 2
				if !f.healthy(entry) {
					entry = 1
				}
				_, err := f.post(entry, "/v1/completions", fmt.Sprintf(`{"model":"small","prompt":"p%d","max_tokens":30}`, i), "")
				mu.Lock()
				if err != nil {
					failures = append(failures, err.Error())
				} else {
					completed++
				}
				mu.Unlock()
			}
		})
	}
	for _, name := range []string{"side0", "control1", "entry0", "side1", "control2"} {
		err := f.signalAndWait(name, syscall.SIGTERM)
		c.Check(err, qt.IsNil, qt.Commentf("%s", name))
		f.start(name)
		time.Sleep(2 * time.Second)
	}
	close(stop)
	callers.Wait()
	c.Assert(failures, qt.HasLen, 0)
	c.Assert(completed > 100, qt.IsTrue)
}
