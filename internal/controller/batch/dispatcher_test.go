package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/policy/order"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

// newDispatcher returns the dispatcher of a leader whose group holds one job with the
// given number of items.
func newDispatcher(t *testing.T, items int) (*Dispatcher, *jobs.Machine, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	m := jobs.New(&disk.Spill{Dir: t.TempDir()})
	s := &jobs.Submit{ID: "j", Workspace: "w", Window: 18 * time.Second, Retention: time.Minute, Attempts: 3}
	for range items {
		s.Items = append(s.Items, jobs.ItemInput{ID: string(rune('a' + len(s.Items))), Needs: "r", Idempotent: true, Line: []byte("x")})
	}
	r := m.Apply(&jobs.Command{At: clock.Now(), Submit: s})
	qt.Assert(t, r.Err == nil, qt.IsTrue, qt.Commentf("%v", r.Err))
	d := &Dispatcher{
		Clock: clock, Machine: m, Order: &order.Deadline{Random: rand.New(rand.NewPCG(1, 1))},
		Weight: func(string) float64 { return 1 }, ItemRate: func(string) (limit.Rate, bool) { return limit.Rate{}, false },
	}
	d.Begin()
	return d, m, clock
}

// lease leases up to n items to an incarnation of a side, as the leader does, and
// returns how many were granted.
func lease(d *Dispatcher, m *jobs.Machine, side, incarnation string, n int) int {
	if orphaned := d.RegisterSide(side, incarnation); len(orphaned) > 0 {
		m.Apply(&jobs.Command{At: d.Clock.Now(), Expire: &jobs.Expire{Items: orphaned}})
	}
	refs := d.Pick([]string{"r"}, n)
	r := m.Apply(&jobs.Command{At: d.Clock.Now(), Lease: &jobs.Lease{Side: LeaseHolder(side, incarnation), Items: refs}})
	d.RecordGranted(refs, r.Granted)
	return len(r.Granted)
}

// TestRestartedSideFreesItsLeases guards against items that stay leased for LeaseTTL
// after their process was killed. The restarted side has a new incarnation: the items
// of its earlier ones are leased again at once, also by a leader that did not grant
// those leases, but not the items of another side whose name begins the same.
func TestRestartedSideFreesItsLeases(t *testing.T) {
	d, m, _ := newDispatcher(t, 6)
	qt.Assert(t, lease(d, m, "one", "1", 3), qt.Equals, 3)
	qt.Assert(t, lease(d, m, "one-b", "1", 2), qt.Equals, 2)
	d.Begin() // as a new leader does
	qt.Assert(t, lease(d, m, "two", "1", 6), qt.Equals, 1)
	qt.Assert(t, lease(d, m, "one", "2", 6), qt.Equals, 3)
	qt.Assert(t, lease(d, m, "one", "2", 6), qt.Equals, 0)
	qt.Assert(t, d.RegisterSide("one", "2"), qt.HasLen, 0)
}

// TestUnaskedJobsAreFound guards against items that wait for a side that never asks for them, with no word of it.
func TestUnaskedJobsAreFound(t *testing.T) {
	const wait = 30 * time.Second
	d, m, clock := newDispatcher(t, 2)
	found := func() int {
		n := len(d.TakeUnasked(wait))
		qt.Assert(t, n == 0 || d.UnaskedCount() == n, qt.IsTrue)
		return n
	}
	clock.Advance(wait)
	qt.Assert(t, found(), qt.Equals, 0)
	clock.Advance(time.Second)
	qt.Assert(t, found(), qt.Equals, 1)
	qt.Assert(t, found(), qt.Equals, 0) // once
	qt.Assert(t, d.UnaskedCount(), qt.Equals, 1)
	qt.Assert(t, lease(d, m, "side", "1", 1), qt.Equals, 1)
	qt.Assert(t, found(), qt.Equals, 0)
	qt.Assert(t, d.UnaskedCount(), qt.Equals, 0)
	clock.Advance(wait)
	d.Pick([]string{"other"}, 1)
	qt.Assert(t, found(), qt.Equals, 1)
	d.Pick([]string{"r"}, 0)
	qt.Assert(t, found(), qt.Equals, 0)
	qt.Assert(t, d.UnaskedCount(), qt.Equals, 0)
}

// TestLeasesFitIntoOneMessage guards against a reply with more bytes of items than a message may have, whose items
// no side can read and that are leased again together for ever.
func TestLeasesFitIntoOneMessage(t *testing.T) {
	tests := []struct {
		name            string
		line, progress  int // bytes
		items, perReply int
	}{
		{"small", 100, 0, 20, 8},
		{"as large as a job may be", 3_100_000, 0, 4, 1},
		{"two fit", wire.BatchBytes / 2, 0, 5, 2},
		{"two fit with their partial output", wire.BatchBytes / 4, wire.BatchBytes / 4, 5, 2},
		{"larger than a batch", wire.BatchBytes + 1, 0, 3, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			m := jobs.New(&disk.Spill{Dir: t.TempDir()})
			for i := range test.items {
				id := fmt.Sprintf("j-%02d", i)
				s := &jobs.Submit{ID: id, Window: time.Second, Retention: time.Hour, Attempts: 3, Items: []jobs.ItemInput{{ID: "i", Needs: "r", Idempotent: true, Line: make([]byte, test.line)}}}
				qt.Assert(t, m.Apply(&jobs.Command{At: clock.Now(), Submit: s}).Err == nil, qt.IsTrue)
				ref := jobs.ItemRef{Job: id, Attempt: 1}
				m.Apply(&jobs.Command{At: clock.Now(), Lease: &jobs.Lease{Side: "s", Items: []jobs.ItemRef{ref}}})
				m.Apply(&jobs.Command{At: clock.Now(), Return: &jobs.Return{Items: []jobs.ItemRef{ref}, Progress: [][]byte{make([]byte, test.progress)}}})
			}
			d := &Dispatcher{
				Clock: clock, Machine: m, Order: &order.Deadline{Random: rand.New(rand.NewPCG(1, 1))},
				Weight: func(string) float64 { return 1 }, ItemRate: func(string) (limit.Rate, bool) { return limit.Rate{}, false },
			}
			d.Begin()
			for left := test.items; left > 0; {
				granted := lease(d, m, "side", "1", 8)
				qt.Assert(t, granted, qt.Equals, min(test.perReply, left))
				left -= granted
			}
		})
	}
}
