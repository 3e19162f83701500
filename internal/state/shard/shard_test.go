package shard

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/claims"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// memoryReader is a snapshot in memory.
type memoryReader struct{ *bytes.Reader }

func (memoryReader) Close() error { return nil }

// apply encodes a command and applies it.
func apply(t testing.TB, m *Machine, c *Command) *Result {
	data, err := wire.Marshal(c)
	qt.Assert(t, err, qt.IsNil)
	return m.Apply(1, data).(*Result)
}

// claim claims key "k" of workspace "w".
func claim(t testing.TB, m *Machine, token, digest string) *claims.Result {
	return apply(t, m, &Command{Claims: &claims.Command{At: epoch, Claim: &claims.Claim{Workspace: "w", Key: "k", Token: token, Digest: []byte(digest)}}}).Claims
}

// TestClaimsSurviveSnapshot guards against an idempotency key that is granted twice, and
// against a snapshot that loses the stored outcome: a repeated request would then run
// again after a restore. It also checks that the jobs after the preamble are restored.
func TestClaimsSurviveSnapshot(t *testing.T) {
	c := qt.New(t)
	m := New(&disk.Spill{Dir: t.TempDir()})
	c.Assert(claim(t, m, "first", "d").Granted, qt.IsTrue)
	c.Assert(claim(t, m, "first", "d").Granted, qt.IsTrue, qt.Commentf("a repeated command lost its own claim"))
	c.Assert(claim(t, m, "second", "d").Err.Verdict, qt.Equals, rhubarbgate.MayHaveRun)
	c.Assert(claim(t, m, "second", "other").Err.Code, qt.Equals, rhubarbgate.CodeConflict)
	apply(t, m, &Command{Claims: &claims.Command{Finish: &claims.Finish{Workspace: "w", Key: "k", Token: "first", Outcome: claims.Outcome{Status: 200, Body: []byte("slip")}}}})
	apply(t, m, &Command{Jobs: &jobs.Command{At: epoch, CreateFile: &jobs.CreateFile{ID: "f", Workspace: "w"}}})
	var b bytes.Buffer
	c.Assert(m.Snapshot().WriteSnapshot(&b), qt.IsNil)
	n := New(&disk.Spill{Dir: t.TempDir()})
	c.Assert(n.Restore(memoryReader{bytes.NewReader(b.Bytes())}), qt.IsNil)
	c.Assert(string(claim(t, n, "second", "d").Outcome.Body), qt.Equals, "slip")
	_, err := n.Jobs.FileInfo("f", "w")
	c.Assert(err, qt.IsNil)
}

// FuzzRestore guards against panics on corrupt snapshots.
func FuzzRestore(f *testing.F) {
	m := New(&disk.Spill{Dir: f.TempDir()})
	var b bytes.Buffer
	if err := m.Snapshot().WriteSnapshot(&b); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, b []byte) {
		_ = New(m.Jobs.Spill).Restore(memoryReader{bytes.NewReader(b)})
	})
}
