package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// blockedTable returns a Table in which a part, or a request, is blocked after the given ends of targets, the last
// of which was just now, and others were answered.
func blockedTable(t *testing.T, part Part, ends int) (*Table, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	table := &Table{Clock: clock}
	for i := range ends {
		clock.Advance(maxTrialWait)
		others := answered(AnyPart, "other")
		table.Add(&others)
		if part.IsRequest() && i >= MinRequestEnds {
			qt.Assert(t, table.GrantTrial([]Part{part}), qt.IsTrue)
		}
		clock.Advance(sameMoment)
		r := ended(fmt.Sprint("t", i), part.ID)
		table.Add(&r)
	}
	others := answered(AnyPart, "other")
	table.Add(&others)
	return table, clock
}

// blockOf returns the block of a part that is not for trial, or nil.
func blockOf(table *Table, part Part) *Block {
	for _, b := range table.Blocks() {
		if b.Part == part && !b.Trial {
			return &b
		}
	}
	return nil
}

// TestBlockEndsWithAnAnsweredTrial guards against keeping a sound part or request from all targets for minutes
// because ends of targets met it by chance: nothing that is not sent can be answered.
func TestBlockEndsWithAnAnsweredTrial(t *testing.T) {
	request := RequestPart("w", "POST", "h", "/p", []byte("sound"))
	tests := []struct {
		name, id string
		ends     int
		within   time.Duration // of the last end
	}{
		{"part", "sound", 3, firstTrialWait}, {"part, one end more", "sound", 4, 2 * firstTrialWait}, {"part, many ends", "sound", 9, maxTrialWait},
		{"request", request, 3, firstTrialWait}, {"request, one end more", request, 4, 2 * firstTrialWait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			part := Part{"lm", test.id}
			table, clock := blockedTable(t, part, test.ends)
			clock.Advance(objectionPeriod)
			b := blockOf(table, part)
			qt.Assert(t, b, qt.IsNotNil)
			qt.Assert(t, b.TrialIn, qt.Equals, test.within-objectionPeriod)
			clock.Advance(b.TrialIn - 1)
			qt.Assert(t, table.GrantTrial([]Part{part}), qt.IsFalse, qt.Commentf("too early"))
			clock.Advance(1)
			qt.Assert(t, table.GrantTrial([]Part{part}), qt.IsTrue)
			qt.Assert(t, table.GrantTrial([]Part{part}), qt.IsFalse, qt.Commentf("a second one"))
			r := answered(test.id)
			clock.Advance(time.Second)
			table.Add(&r)
			qt.Assert(t, table.Blocks(), qt.HasLen, 0)
		})
	}
}

// TestBlockedPartsTakeTurns guards against trials of many blocked parts that end several targets at the same time, and
// against one that is never tried beside others.
func TestBlockedPartsTakeTurns(t *testing.T) {
	table, clock := blockedTable(t, Part{"lm", "a"}, 3)
	for i := range 3 {
		clock.Advance(sameMoment)
		r := ended(fmt.Sprint("b", i), "b")
		table.Add(&r)
	}
	others := answered(AnyPart, "other")
	table.Add(&others)
	clock.Advance(maxTrialWait)
	a, b := []Part{{"lm", "a"}}, []Part{{"lm", "b"}}
	qt.Assert(t, table.GrantTrial(a), qt.IsTrue)
	qt.Assert(t, table.GrantTrial(b), qt.IsFalse)
	clock.Advance(blockTrialGap)
	qt.Assert(t, table.GrantTrial(b), qt.IsTrue)
	r := answered("b")
	clock.Advance(time.Second)
	table.Add(&r)
	clock.Advance(maxTrialWait)
	qt.Assert(t, table.GrantTrial(a), qt.IsTrue)
}

// TestUndecidedRequestsComeFirst guards against sound requests that wait for their trial behind those of requests that
// are blocked.
func TestUndecidedRequestsComeFirst(t *testing.T) {
	bad, sound := Part{"lm", RequestPart("w", "POST", "h", "/p", []byte("bad"))}, Part{"lm", RequestPart("w", "POST", "h", "/p", []byte("sound"))}
	table, clock := blockedTable(t, bad, 3)
	clock.Advance(firstTrialWait)
	for i := range MinRequestEnds {
		r := ended(fmt.Sprint("s", i), sound.ID)
		clock.Advance(sameMoment)
		table.Add(&r)
	}
	clock.Advance(TrialInterval)
	qt.Assert(t, table.GrantTrial([]Part{bad}), qt.IsFalse)
	qt.Assert(t, table.GrantTrial([]Part{sound}), qt.IsTrue)
	clock.Advance(TrialInterval)
	r := answered(sound.ID)
	table.Add(&r)
	qt.Assert(t, table.GrantTrial([]Part{bad}), qt.IsTrue)
}

// TestReturnedTrialIsGrantedAgain guards against a sound part that stays blocked for minutes because its trials
// reached no target.
func TestReturnedTrialIsGrantedAgain(t *testing.T) {
	part := Part{"lm", "sound"}
	table, clock := blockedTable(t, part, noticedPartEnds)
	clock.Advance(maxTrialWait)
	for range 2 * maxLateTrials {
		qt.Assert(t, table.GrantTrial([]Part{part}), qt.IsTrue)
		qt.Assert(t, blockOf(table, part).LateTrials, qt.Equals, 1)
		table.ReturnTrial([]Part{part})
		qt.Assert(t, table.GrantTrial([]Part{part}), qt.IsFalse, qt.Commentf("most likely all targets are down"))
		clock.Advance(returnedTrialPause)
	}
	for range maxLateTrials {
		qt.Assert(t, table.GrantTrial([]Part{part}), qt.IsTrue)
		clock.Advance(maxTrialWait)
	}
	qt.Assert(t, table.GrantTrial([]Part{part}), qt.IsFalse)
	qt.Assert(t, blockOf(table, part).TrialIn > time.Minute, qt.IsTrue)
}

// TestTrialsOfWhatEndsTargetsAreBounded guards against a part or request that ends each target which runs it and is
// tried again and again: also over a change of the leader, and when only the blocks are left after a loss of power.
func TestTrialsOfWhatEndsTargetsAreBounded(t *testing.T) {
	const (
		step, duration = 100 * time.Millisecond, 4 * time.Minute
		// late is how long after the noticed end a request is late, and maxLate how many may be.
		late, maxLate = 3 * time.Second, 3
	)
	takeovers := []struct {
		name string
		keep func(crashes []Crash, blocks []Block) Report
	}{
		{"one leader", nil},
		{"new leader", func(crashes []Crash, blocks []Block) Report { return Report{Crashes: crashes, Blocks: blocks} }},
		{"lost power", func(_ []Crash, blocks []Block) Report { return Report{Blocks: blocks} }},
	}
	parts := []struct {
		id      string
		noticed int
	}{{"bad", noticedPartEnds}, {RequestPart("w", "POST", "h", "/p", []byte("bad")), noticedRequestEnds}}
	for _, takeover := range takeovers {
		for _, p := range parts {
			for _, at := range []time.Duration{5 * time.Second, 12 * time.Second, 30 * time.Second, time.Minute} {
				t.Run(fmt.Sprintf("%s, %s, after %v", takeover.name, p.id, at), func(t *testing.T) {
					part, clock := Part{"lm", p.id}, clockwork.NewFakeClock()
					table, start := &Table{Clock: clock}, clock.Now()
					var ends []time.Time
					tookOver := false
					crashes := func() []Crash {
						var r []Crash
						for i, e := range ends {
							r = append(r, Crash{Target: fmt.Sprint("t", i), Age: clock.Since(e), Parts: []Part{part}})
						}
						return r
					}
					for clock.Since(start) < duration {
						clock.Advance(step)
						others := answered(AnyPart, "other")
						table.Add(&others)
						if !tookOver && takeover.keep != nil && clock.Since(start) >= at {
							tookOver = true
							blocks := table.Blocks()
							table = &Table{Clock: clock}
							r := takeover.keep(crashes(), blocks)
							table.Add(&r)
							continue
						}
						if len(table.Blocks()) > 0 && !table.GrantTrial([]Part{part}) {
							continue
						}
						clock.Advance(time.Millisecond)
						ends = append(ends, clock.Now())
						r := Report{Crashes: crashes()[len(ends)-1:]}
						table.Add(&r)
					}
					lateRuns := 0
					for _, e := range ends {
						if len(ends) >= p.noticed && e.Sub(ends[p.noticed-1]) > late {
							lateRuns++
						}
					}
					t.Logf("%d ends, %d late", len(ends), lateRuns)
					qt.Check(t, lateRuns <= maxLate, qt.IsTrue, qt.Commentf("%d late runs, %d ends", lateRuns, len(ends)))
				})
			}
		}
	}
}
