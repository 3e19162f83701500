package jobs

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
)

// endTarget leases item i and returns it because the target ended, at the given time after
// submittedAt.
func endTarget(m *Machine, i int, after time.Duration) {
	m.Apply(&Command{At: submittedAt.Add(after), Return: &Return{Items: []ItemRef{leaseItem(m, i)}, TargetEnded: []bool{true}}})
}

// mayLease reports whether an item of the job may be leased, at the given time after submittedAt.
func mayLease(m *Machine, after time.Duration) bool {
	m.Advance(submittedAt.Add(after))
	return len(m.PendingJobs(map[string]bool{"r": true}, func(string) float64 { return 1 })) > 0
}

// TestItemAtEndsOfTargetsWaits guards against an item that is run on one target after the other
// although each ends, also when the leader changes or a snapshot is restored, and against one that
// waits for longer than its caller does.
func TestItemAtEndsOfTargetsWaits(t *testing.T) {
	leaders := map[string]func(m *Machine) *Machine{
		"same leader": func(m *Machine) *Machine { return m },
		"new leader": func(m *Machine) *Machine {
			m.EndLeasing()
			m.BeginLeasing()
			return m
		},
		"restored from a snapshot": func(m *Machine) *Machine { return restoredCopy(t, m) },
	}
	tests := []struct {
		ends int
		want time.Duration
	}{
		{1, 0}, {2, 2 * time.Second}, {3, 4 * time.Second}, {4, 8 * time.Second}, {5, 8 * time.Second}, {8, 8 * time.Second}, {300, 8 * time.Second},
	}
	for name, change := range leaders {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%s, %d ends", name, test.ends), func(t *testing.T) {
				m := newSubmitted(t, 1)
				m.BeginLeasing()
				for range test.ends {
					endTarget(m, 0, time.Hour)
				}
				m = change(m)
				qt.Assert(t, mayLease(m, time.Hour), qt.Equals, test.want == 0)
				qt.Assert(t, mayLease(m, time.Hour+test.want-1), qt.Equals, test.want == 0)
				qt.Assert(t, mayLease(m, time.Hour+test.want), qt.IsTrue)
				_, ok := m.Next("j", map[string]bool{"r": true})
				qt.Assert(t, ok, qt.IsTrue)
				qt.Assert(t, m.Waiting(), qt.Equals, 0)
			})
		}
	}
}

// TestEndsLeaveTimeToRun guards against an item that is not tried again before its job is due, because targets ended
// with it, and against sound items of its job that wait with it.
func TestEndsLeaveTimeToRun(t *testing.T) {
	// A job is due after 18 s, of which a run takes up to 3 s.
	const due, run = 18 * time.Second, 3 * time.Second
	for ends := 1; ends <= 300; ends++ {
		m := newSubmitted(t, 2)
		m.BeginLeasing()
		last := time.Hour
		for n := range ends {
			endTarget(m, 0, last-time.Duration(ends-1-n)*time.Second)
		}
		leased := map[int]bool{}
		for now := last; now <= last+due-run; now += 100 * time.Millisecond {
			if !mayLease(m, now) {
				continue
			}
			if ref, ok := m.Next("j", map[string]bool{"r": true}); ok {
				leased[ref.Index] = true
				m.Apply(&Command{At: submittedAt.Add(now), Lease: &Lease{Side: "s", Items: []ItemRef{ref}}})
				complete(m, Outcome{Ref: ref, OK: true})
			}
		}
		qt.Assert(t, leased, qt.HasLen, 2, qt.Commentf("%d ends", ends))
	}
}

// TestClockOfNewLeader guards against an item that waits for hours because the clock of an
// earlier leader was ahead.
func TestClockOfNewLeader(t *testing.T) {
	m := newSubmitted(t, 1)
	m.BeginLeasing()
	for range 4 {
		endTarget(m, 0, time.Hour)
	}
	qt.Assert(t, mayLease(m, 0), qt.IsTrue)
}

// TestAnswerClearsItem guards against a sound item that waits for targets which ended because of
// others, although it was answered since, and against one that is cleared without an answer.
func TestAnswerClearsItem(t *testing.T) {
	tests := []struct {
		name string
		do   func(m *Machine, ref ItemRef)
		want int // ends that still count at the next lease
	}{
		{"returned without output", func(m *Machine, ref ItemRef) {
			m.Apply(&Command{At: submittedAt, Return: &Return{Items: []ItemRef{ref}}})
		}, 3},
		{"returned with the output that it had", func(m *Machine, ref ItemRef) {
			m.Apply(&Command{At: submittedAt, Return: &Return{Items: []ItemRef{ref}, Progress: [][]byte{[]byte("half")}}})
		}, 3},
		{"returned with more output", func(m *Machine, ref ItemRef) {
			m.Apply(&Command{At: submittedAt, Return: &Return{Items: []ItemRef{ref}, Progress: [][]byte{[]byte("half and more")}}})
		}, 0},
		{"more output, and the target ended", func(m *Machine, ref ItemRef) {
			m.Apply(&Command{At: submittedAt, Return: &Return{Items: []ItemRef{ref}, Progress: [][]byte{[]byte("half and more")}, TargetEnded: []bool{true}}})
		}, 4},
		{"lease expired", func(m *Machine, ref ItemRef) {
			m.Apply(&Command{At: submittedAt, Expire: &Expire{Items: []ItemRef{ref}}})
		}, 3},
		{"failed at the target", func(m *Machine, ref ItemRef) { complete(m, Outcome{Ref: ref, Verdict: rhubarbgate.Ran}) }, 0},
		{"never reached the target", func(m *Machine, ref ItemRef) { complete(m, Outcome{Ref: ref, Verdict: rhubarbgate.NotRun}) }, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newSubmitted(t, 1)
			m.BeginLeasing()
			m.Apply(&Command{At: submittedAt, Return: &Return{Items: []ItemRef{leaseItem(m, 0)}, Progress: [][]byte{[]byte("half")}}})
			for range 3 {
				endTarget(m, 0, 0)
			}
			test.do(m, leaseItem(m, 0))
			qt.Assert(t, int(m.jobs["j"].ends[0].Count), qt.Equals, test.want)
			r := m.Apply(&Command{At: submittedAt, Lease: &Lease{Side: "s", Items: []ItemRef{{Job: "j", Index: 0, Attempt: 6}}}})
			qt.Assert(t, r.Granted[0].TargetEnds, qt.Equals, test.want)
			qt.Assert(t, complete(m, Outcome{Ref: r.Granted[0].Ref, OK: true}), qt.IsTrue)
			qt.Assert(t, m.jobs["j"].ends, qt.HasLen, 0)
		})
	}
}

// TestJobAtEndsOfTargetsIsTried guards against a job whose items all end targets, each of them once
// or twice, and against a sound job that stays on trial after one of its items was answered or that
// is put on trial because several targets ended at one moment.
func TestJobAtEndsOfTargetsIsTried(t *testing.T) {
	m := newSubmitted(t, 9)
	m.BeginLeasing()
	needs := map[string]bool{"r": true}
	for i := range 3 {
		endTarget(m, i, time.Duration(i)*100*time.Millisecond)
	}
	qt.Assert(t, mayLease(m, 300*time.Millisecond), qt.IsTrue)
	endTarget(m, 3, 3*time.Second)
	m = restoredCopy(t, m)
	qt.Assert(t, mayLease(m, 5*time.Second-1), qt.IsFalse)
	qt.Assert(t, mayLease(m, 5*time.Second), qt.IsTrue)
	qt.Assert(t, m.PendingJobs(needs, func(string) float64 { return 1 })[0].Pending, qt.Equals, 1)
	ref, ok := m.Next("j", needs)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, mayLease(m, 7*time.Second-1), qt.IsFalse, qt.Commentf("one at a time"))
	m.Apply(&Command{At: submittedAt, Lease: &Lease{Side: "s", Items: []ItemRef{ref}}})
	qt.Assert(t, complete(m, Outcome{Ref: ref, OK: true}), qt.IsTrue)
	qt.Assert(t, mayLease(m, 7*time.Second-1), qt.IsTrue)
	qt.Assert(t, m.PendingJobs(needs, func(string) float64 { return 1 })[0].Pending, qt.Equals, 8)
}

// TestSnapshotWithoutEnds guards against a change of the snapshots of jobs at which no target
// ended.
func TestSnapshotWithoutEnds(t *testing.T) {
	snapshot := func(m *Machine) []byte {
		var b bytes.Buffer
		must(t, m.Snapshot().WriteSnapshot(&b))
		return b.Bytes()
	}
	m := newSubmitted(t, 1)
	qt.Assert(t, bytes.Contains(snapshot(m), []byte("Ends")) || bytes.Contains(snapshot(m), []byte("Streak")), qt.IsFalse)
	endTarget(m, 0, 0)
	qt.Assert(t, bytes.Contains(snapshot(m), []byte("Ends")), qt.IsTrue)
}

// TestTrialReachesSoundItems guards against a job on trial that tries the items with which targets ended,
// again and again, and never those that did not run: because they are preferred, or because an item
// that was returned without a run counts as tried.
func TestTrialReachesSoundItems(t *testing.T) {
	tests := []struct {
		name   string
		ends   []int // items with which targets ended, in order, 4 s apart
		queued []int32
		ended  func(item int) bool // whether a target ends with a further run of the item
	}{
		{"two items that end targets", []int{0, 1, 0, 1}, []int32{2, 3, 4, 5, 6, 7, 8, 9}, func(item int) bool { return item < 2 }},
		{"an item that is not run", []int{0, 0, 0}, []int32{1, 2, 3, 4, 5, 6, 7, 8, 9}, func(int) bool { return false }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newSubmitted(t, 10)
			m.BeginLeasing()
			for n, i := range test.ends {
				endTarget(m, i, time.Duration(n)*4*time.Second)
			}
			m.jobs["j"].queues[0] = test.queued
			leased := map[int]bool{}
			for now := 30 * time.Second; now < 3*time.Minute; now += 100 * time.Millisecond {
				if !mayLease(m, now) {
					continue
				}
				ref, ok := m.Next("j", map[string]bool{"r": true})
				if !ok {
					continue
				}
				leased[ref.Index] = true
				m.Apply(&Command{At: submittedAt.Add(now), Lease: &Lease{Items: []ItemRef{ref}, Side: "s"}})
				m.Apply(&Command{At: submittedAt.Add(now), Return: &Return{Items: []ItemRef{ref}, TargetEnded: []bool{test.ended(ref.Index)}}})
			}
			for _, i := range test.queued {
				qt.Check(t, leased[int(i)], qt.IsTrue, qt.Commentf("item %d", i))
			}
		})
	}
}
