package jobs

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
	"rhubarbgate.example/rhubarbgate/internal/testkit/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// memoryReader is a snapshot in memory.
type memoryReader struct{ *bytes.Reader }

func (memoryReader) Close() error { return nil }

// restoredCopy returns a machine restored from a snapshot of m. The snapshot starts at
// a non-zero offset, as it does within a shard's snapshot.
func restoredCopy(t rapid.TB, m *Machine) *Machine {
	var b bytes.Buffer
	b.WriteString("head")
	must(t, m.Snapshot().WriteSnapshot(&b))
	n := New(m.Spill)
	must(t, n.Restore(memoryReader{bytes.NewReader(b.Bytes())}, 4))
	n.BeginLeasing()
	return n
}

// upload creates a ready file of n items.
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

func createJob(m *Machine, id, file, workspace, key string) *Result {
	return m.Apply(&Command{At: epoch, CreateJob: &CreateJob{ID: id, Workspace: workspace, File: file, Window: time.Hour, Key: key, Digest: []byte(file)}})
}

var needs = map[string]bool{"m": true}

// attempt is the state that a simulated side keeps of one lease.
type attempt struct {
	ref ItemRef
	ran bool
}

// TestItemsEndOnce guards against items that are completed twice, that run more than
// MaxAttempts times, or that run twice although they are not idempotent. Random leases,
// expiries, late or repeated results, returns and restores from snapshots could cause
// each of these.
func TestItemsEndOnce(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		m := New(&disk.Spill{Dir: dir})
		idempotent := rapid.Bool().Draw(t, "idempotent")
		n := rapid.IntRange(1, 8).Draw(t, "items")
		upload(t, m, "f", "w", n, idempotent)
		createJob(m, "j", "f", "w", "")
		var attempts []*attempt
		ran := map[int]int{}
		accepted := map[int]int{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			action := rapid.IntRange(0, 7).Draw(t, "action")
			switch {
			case action <= 1:
				attempts = append(attempts, leaseOne(m)...)
			case action == 7:
				m = restoredCopy(t, m)
			case len(attempts) > 0:
				x := attempts[rapid.IntRange(0, len(attempts)-1).Draw(t, "attempt")]
				applyAction(t, m, x, action, idempotent, ran, accepted)
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
		expireUntilCompleted(t, m, n)
	})
}

// leaseOne leases the next pending item. The command names it twice; the second lease
// must be refused.
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

// applyAction performs one random step of a simulated side on its attempt a.
func applyAction(t *rapid.T, m *Machine, a *attempt, action int, idempotent bool, ran, accepted map[int]int) {
	switch action {
	case 2, 3: // the item runs; if it is not idempotent, only after a recorded start
		if a.ran {
			return
		}
		if !idempotent && !m.Apply(&Command{At: epoch, Start: &Start{Items: []ItemRef{a.ref}}}).Accepted[0] {
			return
		}
		if idempotent && !m.LeasesValid([]ItemRef{a.ref})[0] {
			return
		}
		a.ran = true
		ran[a.ref.Index]++
	case 4: // a result arrives, possibly late or repeated
		if a.ran && m.Apply(&Command{At: epoch, Complete: &Complete{Outcomes: []Outcome{{Ref: a.ref, OK: true, Output: []byte("{}")}}}}).Accepted[0] {
			accepted[a.ref.Index]++
		}
	case 5: // the lease expires
		m.Apply(&Command{At: epoch, Expire: &Expire{Items: []ItemRef{a.ref}}})
	case 6: // the attempt fails, or the item is returned before it ran
		if a.ran {
			m.Apply(&Command{At: epoch, Complete: &Complete{Outcomes: []Outcome{{Ref: a.ref, Verdict: rhubarbgate.MayHaveRun, Message: "lost"}}}})
		} else {
			m.Apply(&Command{At: epoch, Return: &Return{Items: []ItemRef{a.ref}}})
		}
	}
}

// expireUntilCompleted leases and starts items and lets every lease expire until the
// job is completed, and checks that each item has a result.
func expireUntilCompleted(t *rapid.T, m *Machine, n int) {
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
		t.Fatalf("the job is not completed: %+v", j)
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

// TestSubmissionIsIdempotent guards against a second job for one idempotency key, as
// when a caller repeats a request after a restore from a snapshot. The same key with
// other content is a conflict, and keys of other workspaces are separate.
func TestSubmissionIsIdempotent(t *testing.T) {
	c := qt.New(t)
	m := New(&disk.Spill{Dir: t.TempDir()})
	upload(t, m, "f", "w", 3, true)
	upload(t, m, "g", "w", 3, true)
	first := createJob(m, "j1", "f", "w", "key")
	c.Assert(first.Job.ID, qt.Equals, "j1")
	m = restoredCopy(t, m)
	c.Assert(createJob(m, "j2", "f", "w", "key").Job.ID, qt.Equals, "j1")
	c.Assert(createJob(m, "j3", "g", "w", "key").Err.Code, qt.Equals, rhubarbgate.CodeConflict)
	c.Assert(createJob(m, "j4", "f", "other", "key").Err.Code, qt.Equals, rhubarbgate.CodeNotFound)
}

// TestKnownKeyDropsOnlyItsUpload guards against a finished upload, or one of another workspace, that is
// dropped because an upload is finished under a key that is known.
func TestKnownKeyDropsOnlyItsUpload(t *testing.T) {
	tests := []struct {
		name, file, digest string
		dropped            bool
	}{
		{"repeated upload", "repeated", "content", true},
		{"other content", "repeated", "other", true},
		{"the file itself", "first", "content", false},
		{"finished file", "finished", "content", false},
		{"finished file, other content", "finished", "other", false},
		{"file of another workspace", "foreign", "content", false},
		{"file of another workspace, other content", "foreign", "other", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := New(&disk.Spill{Dir: t.TempDir()})
			upload(t, m, "finished", "w", 1, true)
			for id, workspace := range map[string]string{"first": "w", "repeated": "w", "foreign": "other"} {
				mustResult(t, m.Apply(&Command{At: epoch, CreateFile: &CreateFile{ID: id, Workspace: workspace}}))
			}
			finish := &FinishFile{File: "first", Workspace: "w", Key: "key", Digest: []byte("content")}
			mustResult(t, m.Apply(&Command{At: epoch, FinishFile: finish}))
			r := m.Apply(&Command{At: epoch, FinishFile: &FinishFile{File: test.file, Workspace: "w", Key: "key", Digest: []byte(test.digest)}})
			qt.Check(t, r.Err != nil, qt.Equals, test.digest == "other")
			qt.Assert(t, m.files[test.file] == nil, qt.Equals, test.dropped)
		})
	}
}

// TestLeaseOfNoItem guards against a lease request whose index is no item's ending every replica.
func TestLeaseOfNoItem(t *testing.T) {
	m := New(&disk.Spill{Dir: t.TempDir()})
	upload(t, m, "f", "w", 2, true)
	createJob(m, "j", "f", "w", "")
	for _, i := range []int{-1, 2, math.MaxInt} {
		r := m.Apply(&Command{At: epoch, Lease: &Lease{Items: []ItemRef{{Job: "j", Index: i, Attempt: 1}}, Side: "s"}})
		qt.Assert(t, r.Granted, qt.HasLen, 0)
	}
}

// TestCancelRefusesLateResults guards against a result that arrives after the job was
// cancelled and would be counted as a second end of the item.
func TestCancelRefusesLateResults(t *testing.T) {
	c := qt.New(t)
	m := New(&disk.Spill{Dir: t.TempDir()})
	upload(t, m, "f", "w", 2, true)
	createJob(m, "j", "f", "w", "")
	x := leaseOne(m)[0]
	r := m.Apply(&Command{At: epoch, CancelJob: &CancelJob{Job: "j", Workspace: "w"}})
	c.Assert(r.Job.State, qt.Equals, JobCancelled)
	c.Assert(m.LeasesValid([]ItemRef{x.ref}), qt.DeepEquals, []bool{false})
	late := m.Apply(&Command{At: epoch, Complete: &Complete{Outcomes: []Outcome{{Ref: x.ref, OK: true, Output: []byte("{}")}}}})
	c.Assert(late.Accepted, qt.DeepEquals, []bool{false})
	j, err := m.JobInfo("j", "w")
	c.Assert(err, qt.IsNil)
	c.Assert(j.Counts, qt.Equals, Counts{Total: 2, Cancelled: 2})
}

// TestJobIsHiddenFromOtherWorkspaces guards against access to a job by a caller of
// another workspace that knows or guesses the job's ID.
func TestJobIsHiddenFromOtherWorkspaces(t *testing.T) {
	c := qt.New(t)
	m := New(&disk.Spill{Dir: t.TempDir()})
	upload(t, m, "f", "w", 1, true)
	createJob(m, "j", "f", "w", "")
	_, err := m.JobInfo("j", "other")
	c.Assert(rhubarbgate.HasCode(err, rhubarbgate.CodeNotFound), qt.IsTrue)
	_, err = m.Output("j", "other", 0, 100)
	c.Assert(rhubarbgate.HasCode(err, rhubarbgate.CodeNotFound), qt.IsTrue)
	r := m.Apply(&Command{At: epoch, CancelJob: &CancelJob{Job: "j", Workspace: "other"}})
	c.Assert(r.Err.Code, qt.Equals, rhubarbgate.CodeNotFound)
}

// TestRestoreOfCorruptSnapshot guards against a process that ends, at each start, because of a snapshot
// whose parts contradict each other.
func TestRestoreOfCorruptSnapshot(t *testing.T) {
	tests := []struct {
		name    string
		prefix  []byte
		corrupt func(j *job)
	}{
		{"length beyond the signed range", binary.AppendUvarint(nil, 1<<63+5), func(*job) {}},
		{"counts", nil, func(j *job) { j.Counts.Total++ }},
		{"leases", nil, func(j *job) { j.Counts.Leased = -1 }},
		{"unknown state", nil, func(j *job) { j.items[0].state = Cancelled + 1 }},
		{"result of no item", nil, func(j *job) { j.results = []int32{2} }},
		{"result before the first item", nil, func(j *job) { j.results = []int32{-1} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := New(&disk.Spill{Dir: t.TempDir()})
			upload(t, m, "f", "w", 2, true)
			createJob(m, "j", "f", "w", "k")
			w := m.Snapshot()
			test.corrupt(w.jobs[0])
			b := bytes.NewBuffer(test.prefix)
			must(t, w.WriteSnapshot(b))
			err := New(m.Spill).Restore(memoryReader{bytes.NewReader(b.Bytes())}, 0)
			qt.Assert(t, errors.Is(err, errors.NotValid), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// FuzzRestore guards against panics on corrupt snapshots.
func FuzzRestore(f *testing.F) {
	dir := f.TempDir()
	m := New(&disk.Spill{Dir: dir})
	upload(f, m, "f", "w", 2, true)
	createJob(m, "j", "f", "w", "k")
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
