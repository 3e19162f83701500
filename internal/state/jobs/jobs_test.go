package jobs

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
	"rhubarbgate.example/rhubarbgate/internal/testkit/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type memoryReader struct{ *bytes.Reader }

func (memoryReader) Close() error { return nil }

// copyOf returns the machine after a snapshot and its restoration.
func copyOf(t rapid.TB, m *Machine) *Machine {
	var b bytes.Buffer
	b.WriteString("head")
	must(t, m.Snapshot().WriteSnapshot(&b))
	n := New(m.Spill)
	must(t, n.Restore(memoryReader{bytes.NewReader(b.Bytes())}, 4))
	n.BeginLeasing()
	return n
}

func upload(t rapid.TB, m *Machine, file, workspace string, n int, idempotent bool) {
	m.BeginLeasing()
	r := m.Apply(&Command{At: epoch, CreateFile: &CreateFile{ID: file, Workspace: workspace}})
	mustResult(t, r)
	var items []ItemInput
	for i := range n {
		items = append(items, ItemInput{Needs: "m", Idempotent: idempotent, Line: fmt.Appendf(nil, `{"custom_id":"c%d"}`, i)})
	}
	r = m.Apply(&Command{At: epoch, Append: &Append{File: file, Workspace: workspace, Items: items}})
	mustResult(t, r)
	r = m.Apply(&Command{At: epoch, FinishFile: &FinishFile{File: file, Workspace: workspace, Count: n}})
	mustResult(t, r)
}

func create(m *Machine, id, file, workspace, key string) *Result {
	return m.Apply(&Command{At: epoch, CreateJob: &CreateJob{ID: id, Workspace: workspace, File: file, Window: time.Hour, Key: key, Digest: []byte(file)}})
}

var needs = map[string]bool{"m": true}

// attempt is what a model side knows of one lease.
type attempt struct {
	ref ItemRef
	ran bool
}

// TestItemsEndOnce runs random leases, losses, late results, cancels and
// restorations; a model counts how often each item may have run.
func TestItemsEndOnce(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		m := New(&disk.Spill{Dir: dir})
		idempotent := rapid.Bool().Draw(t, "idempotent")
		n := rapid.IntRange(1, 8).Draw(t, "items")
		upload(t, m, "f", "w", n, idempotent)
		create(m, "j", "f", "w", "")
		var open []*attempt
		ran := map[int]int{}
		accepted := map[int]int{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			action := rapid.IntRange(0, 7).Draw(t, "action")
			switch {
			case action <= 1:
				open = append(open, leaseOne(m)...)
			case action == 7:
				m = copyOf(t, m)
			case len(open) > 0:
				x := open[rapid.IntRange(0, len(open)-1).Draw(t, "attempt")]
				act(t, m, x, action, idempotent, ran, accepted)
			}
		}
		for i := range n {
			if accepted[i] > 1 {
				t.Fatalf("item %d was completed %d times", i, accepted[i])
			}
			if !idempotent && ran[i] > 1 {
				t.Fatalf("non-idempotent item %d ran %d times", i, ran[i])
			}
			if ran[i] > MaxAttempts {
				t.Fatalf("item %d ran %d times", i, ran[i])
			}
		}
		drain(t, m, n)
	})
}

func leaseOne(m *Machine) []*attempt {
	ref, ok := m.Next("j", needs)
	if !ok {
		return nil
	}
	r := m.Apply(&Command{At: epoch, Lease: &Lease{Side: "s", Items: []ItemRef{ref, ref}}})
	if len(r.Granted) != 1 {
		panic("one item was leased twice")
	}
	return []*attempt{{ref: ref}}
}

func act(t *rapid.T, m *Machine, x *attempt, action int, idempotent bool, ran, accepted map[int]int) {
	switch action {
	case 2, 3: // a run, after a committed start if needed
		if x.ran {
			return
		}
		if !idempotent && !m.Apply(&Command{At: epoch, Start: &Start{Items: []ItemRef{x.ref}}}).Accepted[0] {
			return
		}
		if idempotent && !m.Live([]ItemRef{x.ref})[0] {
			return
		}
		x.ran = true
		ran[x.ref.Index]++
	case 4: // a result, perhaps late or repeated
		if x.ran && m.Apply(&Command{At: epoch, Complete: &Complete{Outcomes: []Outcome{{Ref: x.ref, OK: true, Output: []byte("{}")}}}}).Accepted[0] {
			accepted[x.ref.Index]++
		}
	case 5:
		m.Apply(&Command{At: epoch, Expire: &Expire{Items: []ItemRef{x.ref}}})
	case 6:
		if x.ran {
			m.Apply(&Command{At: epoch, Complete: &Complete{Outcomes: []Outcome{{Ref: x.ref, Verdict: rhubarbgate.MayHaveRun, Message: "lost"}}}})
		} else {
			m.Apply(&Command{At: epoch, Return: &Return{Items: []ItemRef{x.ref}}})
		}
	}
}

// drain lets every lease expire until the job ends, and checks its results.
func drain(t *rapid.T, m *Machine, n int) {
	for range n * (MaxAttempts + 2) {
		m.LeasedItems(func(ItemRef) {})
		var refs []ItemRef
		m.LeasedItems(func(r ItemRef) { refs = append(refs, r) })
		m.Apply(&Command{At: epoch, Expire: &Expire{Items: refs}})
		m.BeginLeasing()
		for _, x := range leaseOne(m) {
			m.Apply(&Command{At: epoch, Start: &Start{Items: []ItemRef{x.ref}}})
		}
	}
	j, err := m.JobInfo("j", "w")
	must(t, err)
	if j.State != Completed {
		t.Fatalf("the job did not end: %+v", j)
	}
	p, err := m.Output("j", "w", 0, 1<<20)
	must(t, err)
	if len(p.Lines) != n {
		t.Fatalf("%d results of %d items", len(p.Lines), n)
	}
}

func must(t rapid.TB, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

func mustResult(t rapid.TB, r *Result) {
	if r.Err != nil {
		t.Fatal(r.Err)
	}
}

func TestSubmissionIsIdempotent(t *testing.T) {
	c := qt.New(t)
	m := New(&disk.Spill{Dir: t.TempDir()})
	upload(t, m, "f", "w", 3, true)
	upload(t, m, "g", "w", 3, true)
	first := create(m, "j1", "f", "w", "key")
	c.Assert(first.Job.ID, qt.Equals, "j1")
	m = copyOf(t, m)
	c.Assert(create(m, "j2", "f", "w", "key").Job.ID, qt.Equals, "j1")
	c.Assert(create(m, "j3", "g", "w", "key").Err.Code, qt.Equals, rhubarbgate.CodeConflict)
	c.Assert(create(m, "j4", "f", "other", "key").Err.Code, qt.Equals, rhubarbgate.CodeNotFound)
}

func TestCancelRefusesLateResults(t *testing.T) {
	c := qt.New(t)
	m := New(&disk.Spill{Dir: t.TempDir()})
	upload(t, m, "f", "w", 2, true)
	create(m, "j", "f", "w", "")
	x := leaseOne(m)[0]
	r := m.Apply(&Command{At: epoch, CancelJob: &CancelJob{Job: "j", Workspace: "w"}})
	c.Assert(r.Job.State, qt.Equals, JobCancelled)
	c.Assert(m.Live([]ItemRef{x.ref}), qt.DeepEquals, []bool{false})
	late := m.Apply(&Command{At: epoch, Complete: &Complete{Outcomes: []Outcome{{Ref: x.ref, OK: true, Output: []byte("{}")}}}})
	c.Assert(late.Accepted, qt.DeepEquals, []bool{false})
	j, err := m.JobInfo("j", "w")
	c.Assert(err, qt.IsNil)
	c.Assert(j.Counts, qt.Equals, Counts{Total: 2, Cancelled: 2})
}

func TestOtherWorkspaceSeesNothing(t *testing.T) {
	c := qt.New(t)
	m := New(&disk.Spill{Dir: t.TempDir()})
	upload(t, m, "f", "w", 1, true)
	create(m, "j", "f", "w", "")
	_, err := m.JobInfo("j", "other")
	c.Assert(rhubarbgate.HasCode(err, rhubarbgate.CodeNotFound), qt.IsTrue)
	_, err = m.Output("j", "other", 0, 100)
	c.Assert(rhubarbgate.HasCode(err, rhubarbgate.CodeNotFound), qt.IsTrue)
	r := m.Apply(&Command{At: epoch, CancelJob: &CancelJob{Job: "j", Workspace: "other"}})
	c.Assert(r.Err.Code, qt.Equals, rhubarbgate.CodeNotFound)
}

func FuzzRestore(f *testing.F) {
	dir := f.TempDir()
	m := New(&disk.Spill{Dir: dir})
	upload(f, m, "f", "w", 2, true)
	create(m, "j", "f", "w", "k")
	var b bytes.Buffer
	if err := m.Snapshot().WriteSnapshot(&b); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		_ = New(m.Spill).Restore(memoryReader{bytes.NewReader(b)}, 0)
	})
}
