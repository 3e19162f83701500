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

func chatLines(n int) []string {
	var r []string
	for i := range n {
		r = append(r, fmt.Sprintf(`{"custom_id":"c%d","method":"POST","url":"/v1/completions","body":{"model":"small","prompt":"note %d","max_tokens":20}}`, i, i))
	}
	return r
}

func slipLines(n int) []string {
	var r []string
	for i := range n {
		r = append(r, fmt.Sprintf(`{"custom_id":"s%d","method":"POST","url":"/services/slips/new","body":{"slip":%d}}`, i, i))
	}
	return r
}

// slipCaller sends non-idempotent requests and resends those without an answer.
type slipCaller struct {
	f     *fleet
	stop  chan struct{}
	done  sync.WaitGroup
	mu    sync.Mutex
	whole map[string]bool
	keys  int
}

func startSlips(f *fleet, callers int) *slipCaller {
	s := &slipCaller{f: f, stop: make(chan struct{}), whole: map[string]bool{}}
	for i := range callers {
		s.done.Go(func() { s.run(i) })
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
		s.keys++
		s.mu.Unlock()
		for try := range 4 {
			_, err := s.f.post((id+try)%s.f.entries, "/services/slips/new", `{"slip":1}`, key)
			if err == nil {
				s.mu.Lock()
				s.whole[key] = true
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

func (s *slipCaller) finish() {
	close(s.stop)
	s.done.Wait()
}

// TestKilledInTurn kills processes of every role, also two in a row, while jobs
// run and callers resend: nothing is lost and nothing is doubled.
func TestKilledInTurn(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 3, 2, 3)
	slips := startSlips(f, 4)
	chat := f.submit("chat", chatLines(600))
	invoices := f.submit("invoices", slipLines(200))
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
	s := f.awaitBatch(chat)
	c.Assert(s.RequestCounts["completed"], qt.Equals, 600, qt.Commentf("%v", s))
	c.Assert(f.output(chat), qt.HasLen, 600)
	s = f.awaitBatch(invoices)
	c.Assert(s.RequestCounts["completed"]+s.RequestCounts["failed"], qt.Equals, 200, qt.Commentf("%v", s))
	slips.finish()
	checkRuns(c, f, invoices, slips)
	t.Logf("invoices: %v; slips sent %d, answered %d", s.RequestCounts, slips.keys, len(slips.whole))
}

func checkRuns(c *qt.C, f *fleet, invoices string, slips *slipCaller) {
	runs := f.runs()
	for key, n := range runs {
		c.Check(n <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", key, n))
	}
	for key := range slips.whole {
		c.Check(runs[key], qt.Equals, 1, qt.Commentf("%s was answered", key))
	}
	out := f.output(invoices)
	c.Assert(out, qt.HasLen, 200)
	for i := range 200 {
		x := out[fmt.Sprintf("s%d", i)]
		if x["error"] == nil {
			c.Check(runs[fmt.Sprintf("%s-%d", invoices, i)], qt.Equals, 1)
			continue
		}
		verdict := x["error"].(map[string]any)["verdict"]
		c.Check(verdict, qt.Equals, "MayHaveRun")
	}
}

// healthy asks an entry's health check.
func (f *fleet) healthy(entry int) bool {
	r, err := http.Get("http://" + f.address(fmt.Sprintf("entry%d", entry)) + "/healthz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// TestGracefulStop sends SIGTERM to processes of every role under load: no
// request is cut, and each exits with status 0.
func TestGracefulStop(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 3, 2, 3)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var failures []string
	answered := 0
	for i := range 8 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				// As a balancer does, callers go where the health check passes.
				entry := i % 2
				if !f.healthy(entry) {
					entry = 1
				}
				_, err := f.post(entry, "/v1/completions", fmt.Sprintf(`{"model":"small","prompt":"p%d","max_tokens":30}`, i), "")
				mu.Lock()
				if err != nil {
					failures = append(failures, err.Error())
				} else {
					answered++
				}
				mu.Unlock()
			}
		})
	}
	for _, name := range []string{"side0", "control1", "entry0", "side1", "control2"} {
		err := f.end(name, syscall.SIGTERM)
		c.Check(err, qt.IsNil, qt.Commentf("%s", name))
		f.start(name)
		time.Sleep(2 * time.Second)
	}
	close(stop)
	callers.Wait()
	c.Assert(failures, qt.HasLen, 0)
	c.Assert(answered > 100, qt.IsTrue)
}
