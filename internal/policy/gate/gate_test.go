package gate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/testkit/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// TestRandomWork offers and finishes online and batch work at random and lets
// deadlines pass. The gate asserts its own invariants; the test checks that each
// piece of work starts or is refused at most once, that only running batch work is
// preempted, and that batch work is never queued.
func TestRandomWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		g := &Priority{Clock: clock, Slots: rapid.IntRange(1, 6).Draw(t, "slots"), BetweenTokens: 50 * time.Millisecond, BatchStartInterval: 10 * time.Millisecond}
		state := map[uint64]string{}
		class := map[uint64]rhubarbgate.Class{}
		apply := func(d rhubarbgate.Decision) {
			for _, id := range d.Start {
				transition(t, state, id, "waiting", "running")
			}
			for _, id := range d.Refuse {
				transition(t, state, id, "waiting", "refused")
			}
			for _, id := range d.Preempt {
				if class[id] != rhubarbgate.Batch {
					t.Fatalf("online work %d was preempted", id)
				}
				transition(t, state, id, "running", "preempted")
			}
		}
		for id := uint64(1); id < uint64(rapid.IntRange(2, 80).Draw(t, "works")); id++ {
			clock.Advance(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
			w := rhubarbgate.Work{ID: id, Workspace: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"), Deadline: clock.Now().Add(200 * time.Millisecond)}
			if rapid.Bool().Draw(t, "batch") {
				w.Class = rhubarbgate.Batch
			}
			state[id], class[id] = "waiting", w.Class
			apply(g.Offer(w))
			apply(g.Tick())
			g.Observe(0, time.Duration(rapid.IntRange(1, 100).Draw(t, "gap"))*time.Millisecond)
			done := uint64(rapid.IntRange(1, int(id)).Draw(t, "done"))
			if state[done] == "running" {
				state[done] = "done"
				apply(g.Done(done))
			}
		}
		for id, s := range state {
			if s == "waiting" && class[id] == rhubarbgate.Batch {
				t.Fatalf("batch work %d is queued", id)
			}
		}
	})
}

// transition changes the state of the work with this ID and fails unless it was from.
func transition(t *rapid.T, state map[uint64]string, id uint64, from, to string) {
	if state[id] != from {
		t.Fatalf("work %d goes from %s to %s", id, state[id], to)
	}
	state[id] = to
}

// TestQueuedWorkspacesShareByWeight checks that a workspace with a long queue gets no
// more slots than its weight allows while other workspaces have queued requests.
func TestQueuedWorkspacesShareByWeight(t *testing.T) {
	c := qt.New(t)
	g := &Priority{Clock: clockwork.NewFakeClock(), Slots: 1}
	id := uint64(0)
	offer := func(workspace string, weight float64, n int) {
		for range n {
			id++
			g.Offer(rhubarbgate.Work{ID: id, Workspace: workspace, Weight: weight})
		}
	}
	offer("crowd", 1, 60) // the first runs, the others are queued
	offer("small", 1, 10)
	offer("heavy", 2, 30)
	started := map[string]int{}
	running := uint64(1)
	for range 24 {
		d := g.Done(running)
		running = d.Start[0]
		switch {
		case running <= 60:
			started["crowd"]++
		case running <= 70:
			started["small"]++
		default:
			started["heavy"]++
		}
	}
	c.Assert(started, qt.DeepEquals, map[string]int{"crowd": 6, "small": 6, "heavy": 12})
}

// TestBatchIsPreemptedAtOnce checks that an online request on a full target starts in
// the same decision that preempts the newest batch item.
func TestBatchIsPreemptedAtOnce(t *testing.T) {
	c := qt.New(t)
	g := &Priority{Clock: clockwork.NewFakeClock(), Slots: 4}
	for id := uint64(1); id <= 4; id++ {
		c.Assert(g.Offer(rhubarbgate.Work{ID: id, Class: rhubarbgate.Batch}).Start, qt.HasLen, 1)
	}
	d := g.Offer(rhubarbgate.Work{ID: 5})
	c.Assert(d.Start, qt.DeepEquals, []uint64{5})
	c.Assert(d.Preempt, qt.DeepEquals, []uint64{4})
}
