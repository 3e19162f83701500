package jobs

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

var submittedAt = time.Unix(1_000_000, 0).UTC()

// newSubmitted returns a machine with job "j" of n idempotent items, created by Submit.
func newSubmitted(t interface{ TempDir() string }, n int) *Machine {
	m := New(&disk.Spill{Dir: t.TempDir()})
	s := &Submit{ID: "j", Workspace: "w", Window: 18 * time.Second, Retention: time.Minute, Attempts: 3}
	for i := range n {
		s.Items = append(s.Items, ItemInput{ID: fmt.Sprintf("item-%d", i), Needs: "r", Idempotent: true, Line: []byte(fmt.Sprintf("line %d", i))})
	}
	m.Apply(&Command{At: submittedAt, Submit: s})
	return m
}

// leaseItem leases item i with its next attempt number.
func leaseItem(m *Machine, i int) ItemRef {
	attempt := int(m.jobs["j"].items[i].attempts) + 1
	r := m.Apply(&Command{At: submittedAt, Lease: &Lease{Side: "s", Items: []ItemRef{{Job: "j", Index: i, Attempt: attempt}}}})
	return r.Granted[0].Ref
}

// complete records an outcome and reports whether it was accepted.
func complete(m *Machine, o Outcome) bool {
	return m.Apply(&Command{At: submittedAt, Complete: &Complete{Outcomes: []Outcome{o}}}).Accepted[0]
}

// TestOnlyFailuresOfTargetsCount guards against items that fail because of refusals or
// lost sides: in jobs created by Submit, only failure responses from a target count
// toward the job's limit of attempts.
func TestOnlyFailuresOfTargetsCount(t *testing.T) {
	tests := []struct {
		name     string
		outcomes []Outcome
		want     ItemState
	}{
		{"refused and lost for ever", []Outcome{{Verdict: rhubarbgate.NotRun}, {Verdict: rhubarbgate.MayHaveRun}, {Verdict: rhubarbgate.MayHaveRun}, {Verdict: rhubarbgate.MayHaveRun}, {Verdict: rhubarbgate.MayHaveRun}}, Pending},
		{"two failures", []Outcome{{Verdict: rhubarbgate.Ran}, {Verdict: rhubarbgate.Ran}}, Pending},
		{"three failures", []Outcome{{Verdict: rhubarbgate.Ran}, {Verdict: rhubarbgate.MayHaveRun}, {Verdict: rhubarbgate.Ran}, {Verdict: rhubarbgate.Ran}}, Failed},
		{"can never run", []Outcome{{Verdict: rhubarbgate.Ran, Permanent: true}}, Failed},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			m := newSubmitted(t, 1)
			for _, o := range x.outcomes {
				o.Ref = leaseItem(m, 0)
				qt.Assert(t, complete(m, o), qt.IsTrue)
			}
			qt.Assert(t, m.jobs["j"].items[0].state, qt.Equals, x.want)
		})
	}
}

// TestLargeLimitOfAttempts guards against an item that fails for ever, because the count of its failures
// overflows before it reaches the job's limit.
func TestLargeLimitOfAttempts(t *testing.T) {
	m := newSubmitted(t, 1)
	m.jobs["j"].Attempts = 1000
	for n := 0; m.jobs["j"].items[0].state != Failed; n++ {
		qt.Assert(t, n < 1000, qt.IsTrue)
		qt.Assert(t, complete(m, Outcome{Ref: leaseItem(m, 0), Verdict: rhubarbgate.Ran}), qt.IsTrue)
	}
}

// TestSubmitTwice guards against a repeated Submit that replaces or extends the job, and
// against a job ID that gives another workspace access to the job.
func TestSubmitTwice(t *testing.T) {
	m := newSubmitted(t, 3)
	r := m.Apply(&Command{At: submittedAt, Submit: &Submit{ID: "j", Workspace: "w", Items: []ItemInput{{ID: "x"}}}})
	qt.Assert(t, r.Err == nil, qt.IsTrue)
	qt.Assert(t, r.Job.Counts.Total, qt.Equals, 3)
	r = m.Apply(&Command{At: submittedAt, Submit: &Submit{ID: "j", Workspace: "other", Items: []ItemInput{{ID: "x"}}}})
	qt.Assert(t, r.Err.Code, qt.Equals, rhubarbgate.CodeConflict)
	_, err := m.Results("j", "other", 0, 1<<20)
	qt.Assert(t, rhubarbgate.HasCode(err, rhubarbgate.CodeNotFound), qt.IsTrue)
	line, err := m.Item("j", "w", "item-2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(line), qt.Equals, "line 2")
}

// TestProgressIsPassedToNextAttempt guards against the loss of a preempted attempt's
// partial output, which the next attempt continues, and against partial output and
// holders that stay in memory after the item is done.
func TestProgressIsPassedToNextAttempt(t *testing.T) {
	m := newSubmitted(t, 1)
	ref := leaseItem(m, 0)
	m.Apply(&Command{At: submittedAt, Return: &Return{Items: []ItemRef{ref}, Progress: [][]byte{[]byte("half")}}})
	r := m.Apply(&Command{At: submittedAt, Lease: &Lease{Side: "t", Items: []ItemRef{{Job: "j", Index: 0, Attempt: 2}}}})
	qt.Assert(t, string(r.Granted[0].Progress), qt.Equals, "half")
	qt.Assert(t, complete(m, Outcome{Ref: r.Granted[0].Ref, OK: true, Output: []byte("all")}), qt.IsTrue)
	qt.Assert(t, m.jobs["j"].progress, qt.HasLen, 0)
	qt.Assert(t, m.jobs["j"].holders, qt.HasLen, 0)
}

// memorySnapshot is a snapshot in memory.
type memorySnapshot struct{ *bytes.Reader }

func (memorySnapshot) Close() error { return nil }

// TestResultsKeepTheirPositions guards against results that change their position or are
// listed twice, which would break callers that read page by page. Items end in random
// order between snapshots and restores.
func TestResultsKeepTheirPositions(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		n := rapid.IntRange(1, 12).Draw(r, "items")
		m := newSubmitted(t, n)
		var seen []rhubarbgate.JobResult
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			switch i := random.IntN(n); {
			case random.IntN(8) == 0:
				var b bytes.Buffer
				if err := m.Snapshot().WriteSnapshot(&b); err != nil {
					r.Fatal(err)
				}
				m = New(&disk.Spill{Dir: t.TempDir()})
				if err := m.Restore(memorySnapshot{bytes.NewReader(b.Bytes())}, 0); err != nil {
					r.Fatal(err)
				}
			case m.jobs["j"].items[i].state == Pending:
				ref := leaseItem(m, i)
				complete(m, Outcome{Ref: ref, OK: random.IntN(3) > 0, Verdict: rhubarbgate.Ran, Permanent: random.IntN(2) == 0, Output: []byte(fmt.Sprint("out ", i))})
			case random.IntN(30) == 0:
				m.Apply(&Command{At: submittedAt, GiveUp: &GiveUp{Job: "j"}})
			}
			p, err := m.Results("j", "w", 0, 1<<20)
			if err != nil || p.Total != n || p.Next != len(p.Results) {
				r.Fatalf("%+v %v", p, err)
			}
			ids := map[string]bool{}
			for k, x := range p.Results {
				if ids[x.ID] {
					r.Fatalf("%s is listed twice", x.ID)
				}
				ids[x.ID] = true
				if k < len(seen) && (x.ID != seen[k].ID || x.Done != seen[k].Done || string(x.Output) != string(seen[k].Output)) {
					r.Fatalf("position %d changed from %+v to %+v", k, seen[k], x)
				}
			}
			if len(p.Results) < len(seen) {
				r.Fatalf("%d results became %d", len(seen), len(p.Results))
			}
			seen = p.Results
		}
	})
}

// TestItemsWithMostProgressAreLeasedFirst guards against preempted items that are queued
// last whatever their partial output: many items are then partly done, and all are late.
func TestItemsWithMostProgressAreLeasedFirst(t *testing.T) {
	m := newSubmitted(t, 5)
	m.BeginLeasing()
	needs := map[string]bool{}
	for _, n := range m.jobs["j"].inputFile.needs {
		needs[n] = true
	}
	leaseAll := func() []int {
		var order []int
		for ref, ok := m.Next("j", needs); ok; ref, ok = m.Next("j", needs) {
			order = append(order, ref.Index)
			m.Apply(&Command{At: submittedAt, Lease: &Lease{Side: "s", Items: []ItemRef{ref}}})
		}
		return order
	}
	qt.Assert(t, leaseAll(), qt.DeepEquals, []int{0, 1, 2, 3, 4})
	for _, x := range []struct {
		index    int
		progress string
	}{{0, ""}, {1, "a"}, {2, ""}, {3, "aaa"}, {4, "aa"}} {
		ref := ItemRef{Job: "j", Index: x.index, Attempt: 1}
		m.Apply(&Command{At: submittedAt, Return: &Return{Items: []ItemRef{ref}, Progress: [][]byte{[]byte(x.progress)}}})
	}
	qt.Assert(t, leaseAll(), qt.DeepEquals, []int{3, 4, 1, 0, 2})
}

// TestWhoSeesAJob guards against jobs that are not found by the callers who submitted them without a workspace, and against
// jobs of a workspace that others can read.
func TestWhoSeesAJob(t *testing.T) {
	m := New(&disk.Spill{Dir: t.TempDir()})
	items := []ItemInput{{ID: "item", Needs: "r", Idempotent: true, Line: []byte("x")}}
	for _, workspace := range []string{"w", ""} {
		r := m.Apply(&Command{At: time.Unix(1, 0), Submit: &Submit{ID: "of-" + workspace, Workspace: workspace, Attempts: 1, Items: items}})
		qt.Assert(t, r.Err == nil, qt.IsTrue)
	}
	tests := []struct {
		job, workspace string
		found          bool
	}{
		{"of-w", "w", true},
		{"of-w", "other", false},
		{"of-w", NoWorkspace, false},
		{"of-w", "", true},
		{"of-", "w", true},
		{"of-", "other", true},
		{"of-", NoWorkspace, true},
		{"of-", "", true},
		{"none", "", false},
	}
	for _, test := range tests {
		_, err := m.JobInfo(test.job, test.workspace)
		qt.Check(t, err == nil, qt.Equals, test.found, qt.Commentf("%+v", test))
		_, err = m.Results(test.job, test.workspace, 0, 1)
		qt.Check(t, err == nil, qt.Equals, test.found, qt.Commentf("%+v", test))
		_, err = m.Item(test.job, test.workspace, "item")
		qt.Check(t, err == nil, qt.Equals, test.found, qt.Commentf("%+v", test))
	}
	// Commands are applied as by earlier versions, which may replicate the same group.
	r := m.Apply(&Command{At: time.Unix(2, 0), CancelJob: &CancelJob{Job: "of-", Workspace: "w"}})
	qt.Assert(t, r.Err != nil && r.Err.Code == rhubarbgate.CodeNotFound, qt.IsTrue)
}
