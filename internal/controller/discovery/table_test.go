package discovery

import (
	"context"
	"expvar"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// countingDirectory returns a list of one instance and records when it was read.
type countingDirectory struct {
	clock clockwork.Clock

	mu    sync.Mutex
	reads []time.Time
}

func (d *countingDirectory) List(context.Context) ([]rhubarbgate.Instance, int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reads = append(d.reads, d.clock.Now())
	return listOfOne(), 0, nil
}

func (d *countingDirectory) readTimes(since time.Time) []time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var r []time.Duration
	for _, at := range d.reads {
		r = append(r, at.Sub(since))
	}
	return r
}

func listOfOne() []rhubarbgate.Instance {
	return []rhubarbgate.Instance{{ID: "i", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 1}}
}

// TestListIsReadOnlyWithoutControlHosts guards against hundreds of processes that read the
// platform's list although control hosts send it, or that all read it when they start
// together, and against a process that works on with an old list when none send it.
func TestListIsReadOnlyWithoutControlHosts(t *testing.T) {
	const step = 100 * time.Millisecond
	tests := []struct {
		name string
		// firstUpdate and updateInterval are when the control hosts send the list, whose
		// age is then updateAge; 0 means never.
		firstUpdate, updateInterval, updateAge time.Duration
		want                                   []time.Duration
	}{
		{"control hosts send the list", 300 * time.Millisecond, time.Second, 1100 * time.Millisecond, nil},
		{"no control host is reached", 0, 0, 0, []time.Duration{time.Second, 3600 * time.Millisecond, 6200 * time.Millisecond, 8800 * time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			start := clock.Now()
			d := &countingDirectory{clock: clock}
			table := &Table{
				Directory: d, Clock: clock, Logger: &log.Logger{Handler: discard.New()},
				Failures: new(expvar.Int), Unreadable: new(expvar.Int), Opened: new(expvar.Int), Ejections: new(expvar.Int),
			}
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				table.Run(ctx)
			}()
			for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += step {
				qt.Assert(t, clock.BlockUntilContext(t.Context(), 1), qt.IsNil)
				if test.firstUpdate > 0 && elapsed >= test.firstUpdate && (elapsed-test.firstUpdate)%test.updateInterval == 0 {
					table.Update(listOfOne(), clock.Now().Add(-test.updateAge))
				}
				clock.Advance(step)
			}
			qt.Assert(t, clock.BlockUntilContext(t.Context(), 1), qt.IsNil)
			stop()
			<-done
			got := d.readTimes(start)
			qt.Assert(t, got, qt.HasLen, len(test.want), qt.Commentf("%v", got))
			for i := range got {
				late := got[i] - test.want[i]
				// A read is noticed at the next step.
				qt.Assert(t, late >= 0 && late <= time.Duration(i+1)*step, qt.IsTrue, qt.Commentf("%v", got))
			}
		})
	}
}

// TestTableWithoutAList guards against a panic at a request that arrives before any list.
func TestTableWithoutAList(t *testing.T) {
	table := &Table{Clock: clockwork.NewFakeClock()}
	list, candidates := table.Candidates("s", true, nil)
	qt.Assert(t, list, qt.HasLen, 0)
	qt.Assert(t, candidates, qt.HasLen, 0)
}

// TestEntriesForOneAddress guards against a target that another entry of the list displaces, which
// repeats its ID and address for another service, or its address with another ID, and against one
// that starts and stops leaving with each list because two entries disagree.
func TestEntriesForOneAddress(t *testing.T) {
	sound := listOfOne()[0]
	tests := []struct {
		name    string
		change  func(x *rhubarbgate.Instance)
		leaving bool
	}{
		{"other service", func(x *rhubarbgate.Instance) { x.Service = "other" }, false},
		{"other service, leaving", func(x *rhubarbgate.Instance) { x.Service, x.Leaving = "other", true }, false},
		{"other ID", func(x *rhubarbgate.Instance) { x.ID, x.Service = "other", "other" }, false},
		{"other zone", func(x *rhubarbgate.Instance) { x.AvailabilityZone = "other" }, false},
		{"the same", func(*rhubarbgate.Instance) {}, false},
		{"leaving", func(x *rhubarbgate.Instance) { x.Leaving = true }, true},
	}
	for _, test := range tests {
		for _, first := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, first %v", test.name, first), func(t *testing.T) {
				lines := memory.New()
				clock := clockwork.NewFakeClock()
				table := &Table{Clock: clock, Logger: &log.Logger{Handler: lines, Level: log.InfoLevel}}
				table.Update([]rhubarbgate.Instance{sound}, clock.Now())
				held := table.Target(sound)
				other := sound
				test.change(&other)
				list := []rhubarbgate.Instance{sound, other}
				if first {
					slices.Reverse(list)
				}
				logged := 0
				for i := range 5 {
					clock.Advance(time.Second)
					table.Update(slices.Clone(list), clock.Now())
					qt.Assert(t, table.Target(sound), qt.Equals, held)
					if i == 0 {
						logged = len(lines.Entries)
					}
				}
				for range 20 {
					found, ok := table.Find(sound.Address)
					qt.Assert(t, ok, qt.IsTrue)
					qt.Assert(t, []any{found.ID, found.Service, found.Leaving}, qt.DeepEquals, []any{sound.ID, sound.Service, test.leaving})
				}
				candidates, _ := table.Candidates(sound.Service, true, nil)
				qt.Assert(t, len(candidates) == 1 && candidates[0] == held, qt.Equals, !test.leaving)
				qt.Assert(t, lines.Entries, qt.HasLen, logged)
			})
		}
	}
}

// TestFindInFirstList guards against a side that takes its target for one of a service that no
// route has, because the first list that it gets has such an entry with the same address.
func TestFindInFirstList(t *testing.T) {
	sound := listOfOne()[0]
	sound.Leaving = true
	odd := sound
	odd.Service, odd.Leaving = "other", false
	clock := clockwork.NewFakeClock()
	table := &Table{Clock: clock, Logger: &log.Logger{Handler: discard.New()}, NamesService: func(s string) bool { return s == sound.Service }}
	table.Update([]rhubarbgate.Instance{odd, sound}, clock.Now())
	for range 20 {
		found, ok := table.Find(sound.Address)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, found, qt.Equals, sound)
	}
}
