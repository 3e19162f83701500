package quarantine

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// TestRequestBlocks guards against a request that ends targets and is never blocked, and against
// blocking one that was only in flight when targets ended.
func TestRequestBlocks(t *testing.T) {
	const second, ms = time.Second, time.Millisecond
	bad, sound := RequestPart("w", "POST", "h", "/p", []byte("bad")), RequestPart("w", "POST", "h", "/p", []byte("sound"))
	twoEnds := []event{{0, ended("t1", bad, sound)}, {80 * ms, ended("t2", bad, sound)}}
	others := event{second, answered(AnyPart)}
	tests := []struct {
		name   string
		events []event
		// trials are the requests that are sent as trials at 1.5 s, 2 s and so on; those that are
		// not granted are listed in refused.
		trials, refused []string
		after           []event
		blocked, tried  []string
	}{
		{"one end", []event{{0, ended("t1", bad)}}, nil, nil, nil, nil, nil},
		{"two ends", []event{{0, ended("t1", bad)}, {80 * ms, ended("t2", bad)}}, nil, nil, nil, nil, []string{bad}},
		{"trial ends its target", append(twoEnds, others), []string{bad}, nil, []event{{1600 * ms, ended("t3", bad)}}, []string{bad}, []string{sound}},
		{"trial ends its target, together with another suspect", append(twoEnds, others), []string{bad}, nil, []event{{1600 * ms, ended("t3", bad, sound)}}, nil, []string{bad, sound}},
		{"trial ends its target, together with others", append(twoEnds, others), []string{bad}, nil, []event{{1600 * ms, ended("t3", bad, "request:other", "a")}}, []string{bad}, []string{sound}},
		{"trial ends its target, nothing was answered", twoEnds, []string{bad}, nil, []event{{1600 * ms, ended("t3", bad)}}, nil, []string{bad, sound}},
		{"two trials end their targets, nothing was answered", twoEnds, []string{bad, "", "", bad}, nil, []event{{1600 * ms, ended("t3", bad)}, {3100 * ms, ended("t4", bad)}}, []string{bad}, []string{sound}},
		{"answered trial", append(twoEnds, others), []string{sound}, nil, []event{{1600 * ms, answered(sound)}}, nil, []string{bad}},
		{"further ends without a trial", append(twoEnds, event{90 * ms, ended("t3", bad)}, event{95 * ms, ended("t4", bad)}, others), nil, nil, nil, nil, []string{bad, sound}},
		{"answered shortly before", []event{{0, endedAfter(second, "t1", bad)}, {80 * ms, ended("t2", bad)}}, nil, nil, nil, nil, nil},
		{"one trial of a service at a time", append(twoEnds, others), []string{bad, sound}, []string{sound}, nil, nil, []string{bad, sound}},
		{"two that end targets", append(twoEnds, event{90 * ms, ended("t3", "request:other")}, event{95 * ms, ended("t4", "request:other")}, others), []string{bad, "request:other"}, nil,
			[]event{{1600 * ms, ended("t5", bad)}, {2100 * ms, ended("t6", "request:other")}}, []string{bad, "request:other"}, []string{sound}},
		{"trial is too early", []event{{1400 * ms, ended("t1", bad)}, {1450 * ms, ended("t2", bad)}}, []string{bad}, []string{bad}, nil, nil, []string{bad}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			start := clock.Now()
			table := &Table{Clock: clock}
			add := func(events []event, until time.Duration) []event {
				for len(events) > 0 && events[0].at <= until {
					clock.Advance(events[0].at - clock.Since(start))
					table.Add(&events[0].report)
					events = events[1:]
				}
				clock.Advance(until - clock.Since(start))
				return events
			}
			add(test.events, 1500*ms)
			after := test.after
			for i, id := range test.trials {
				after = add(after, 1500*ms+time.Duration(i)*500*ms)
				if id == "" {
					continue
				}
				refused := slices.Contains(test.refused, id)
				qt.Check(t, table.GrantTrial([]Part{{"lm", id}}), qt.Equals, !refused, qt.Commentf("trial %d", i))
			}
			add(after, 4*second)
			var blocked, tried []string
			for _, b := range table.Blocks() {
				qt.Check(t, b.Left > 0 && b.Left <= BlockTime, qt.IsTrue)
				qt.Check(t, b.With, qt.HasLen, 0)
				if b.Trial {
					tried = append(tried, b.Part.ID)
				} else {
					blocked = append(blocked, b.Part.ID)
				}
			}
			qt.Check(t, blocked, qt.ContentEquals, test.blocked)
			qt.Check(t, tried, qt.ContentEquals, test.tried)
		})
	}
}

// TestBlockForTrialOutlivesItsLeader guards against a request that ends targets going out without a
// trial, because a new leader released its block before it had heard of all ends.
func TestBlockForTrialOutlivesItsLeader(t *testing.T) {
	bad := RequestPart("w", "POST", "h", "/p", []byte("bad"))
	known := Report{Blocks: []Block{{Part: Part{"lm", bad}, Trial: true, Left: time.Minute}}}
	oneEnd := ended("t1", bad)
	oneEnd.Blocks = known.Blocks
	blocked := Report{Blocks: []Block{{Part: Part{"lm", bad}, Left: time.Minute}}}
	tests := []struct {
		name    string
		events  []event
		at      time.Duration
		blocks  []bool // whether they are for trial
		granted bool   // whether a trial is
	}{
		{"no end reported yet", []event{{0, known}}, time.Second, []bool{true}, false},
		{"one end reported", []event{{0, oneEnd}}, time.Second, []bool{true}, false},
		{"all ends reported", []event{{0, oneEnd}, {10 * time.Millisecond, ended("t2", bad)}}, time.Second, []bool{true}, true},
		{"ends were forgotten", []event{{0, known}}, adoptedTrialTime, nil, false},
		{"blocked by another process's report", []event{{0, oneEnd}, {10 * time.Millisecond, ended("t2", bad)}, {20 * time.Millisecond, blocked}}, time.Second, []bool{false}, false},
		{"answered", []event{{0, known}, {500 * time.Millisecond, answered(bad)}}, time.Second, nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			start := clock.Now()
			table := &Table{Clock: clock}
			for _, e := range test.events {
				clock.Advance(e.at - clock.Since(start))
				qt.Check(t, table.Add(&e.report), qt.HasLen, 0)
			}
			clock.Advance(test.at - clock.Since(start))
			var blocks []bool
			for _, b := range table.Blocks() {
				blocks = append(blocks, b.Trial)
			}
			qt.Check(t, blocks, qt.DeepEquals, test.blocks)
			qt.Check(t, table.GrantTrial(Parts("lm", []string{bad})), qt.Equals, test.granted)
		})
	}
}

// TestLift guards against a wrong block that an operator cannot end, and against one that is lifted
// for good although targets end again.
func TestLift(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := &Table{Clock: clock}
	bad := RequestPart("w", "GET", "h", "/p", nil)
	adopted := Report{Blocks: []Block{{Part: Part{"lm", "adopted"}, Left: time.Minute}}}
	table.Add(&adopted)
	endTwice := func() {
		for range 2 {
			clock.Advance(100 * time.Millisecond)
			r := ended(clock.Now().String(), bad)
			table.Add(&r)
		}
	}
	endTwice()
	qt.Assert(t, table.Blocks(), qt.HasLen, 2)
	qt.Assert(t, table.Lift([]string{bad, "adopted", "unknown"}), qt.DeepEquals, []Part{{"lm", "adopted"}, {"lm", bad}})
	qt.Assert(t, table.Blocks(), qt.HasLen, 0)
	endTwice()
	qt.Assert(t, table.Blocks(), qt.HasLen, 1)
}
