package fleet

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// apply applies the bundle as a command.
func apply(t testing.TB, m *Machine, b rhubarbgate.Bundle) *CommitResult {
	data, err := wire.Marshal(&Command{Bundle: &b})
	qt.Assert(t, err, qt.IsNil)
	return m.Apply(0, data).(*CommitResult)
}

// bundle returns a bundle on the version base that puts one workspace.
func bundle(base uint64, workspace string) rhubarbgate.Bundle {
	return rhubarbgate.Bundle{Base: base, Version: base + 1, Put: rhubarbgate.Section{
		Workspaces: []rhubarbgate.Workspace{{Name: workspace, Rate: 1, Burst: 1}},
	}}
}

// TestConflictingBundlesOfOneVersion guards against two operators' bundles both
// taking effect when they have the same version, and against refusing a bundle
// that is sent again because its first reply was lost.
func TestConflictingBundlesOfOneVersion(t *testing.T) {
	c := qt.New(t)
	m := New()
	c.Assert(apply(t, m, bundle(0, "a")).Err == nil, qt.IsTrue)
	conflicting := apply(t, m, bundle(0, "b"))
	c.Assert(conflicting.Err.Code, qt.Equals, rhubarbgate.CodeConflict)
	c.Assert(conflicting.Err.Message, qt.Matches, `version 1 is already committed with digest [0-9a-f]{16}, this bundle has .*`)
	again := apply(t, m, bundle(0, "a"))
	c.Assert(again.Err == nil, qt.IsTrue)
	c.Assert(again.Repeated, qt.IsTrue)
	c.Assert(m.Current().Version, qt.Equals, uint64(1))
}

// TestInvalidBundleChangesNothing guards against a bundle that takes effect
// although one of its objects is invalid.
func TestInvalidBundleChangesNothing(t *testing.T) {
	tests := []struct {
		name  string
		put   rhubarbgate.Section
		fault string
	}{
		{"burst", rhubarbgate.Section{Workspaces: []rhubarbgate.Workspace{{Name: "x"}}}, `.*Put.Workspaces\[0\].Burst is below 1.*`},
		{"key", rhubarbgate.Section{Keys: []rhubarbgate.Key{{Digest: "zz", Workspace: "a"}}}, `.*Put.Keys\[0\].Digest.*`},
		{"target", rhubarbgate.Section{Targets: []rhubarbgate.Target{{Name: "t", Slots: 1}}}, `.*Put.Targets\[0\].Address.*`},
		{"name", rhubarbgate.Section{Models: []rhubarbgate.Model{{Name: "a b"}}}, `.*Put.Models\[0\].Name.*`},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			m := New()
			apply(t, m, bundle(0, "a"))
			r := apply(t, m, rhubarbgate.Bundle{Base: 1, Version: 2, Put: x.put})
			c.Assert(r.Err, qt.ErrorMatches, x.fault)
			c.Assert(m.Current().Version, qt.Equals, uint64(1))
		})
	}
}

// memoryReader is a rhubarbgate.SnapshotReader over bytes in memory.
type memoryReader struct{ *bytes.Reader }

func (memoryReader) Close() error { return nil }

// TestRestoreAfterManyBundles guards against a snapshot that loses the
// configuration, the recent bundles or the digests by which a repeated bundle is
// recognised, once more bundles were committed than are kept.
func TestRestoreAfterManyBundles(t *testing.T) {
	c := qt.New(t)
	m := New()
	const bundles = 1500
	for i := range uint64(bundles) {
		c.Assert(apply(t, m, bundle(i, fmt.Sprintf("w%d", i%40))).Err == nil, qt.IsTrue)
	}
	var b bytes.Buffer
	c.Assert(m.Snapshot().WriteSnapshot(&b), qt.IsNil)
	restored := New()
	c.Assert(restored.Restore(memoryReader{bytes.NewReader(b.Bytes())}), qt.IsNil)
	c.Assert(restored.Current().Sum, qt.Equals, m.Current().Sum)
	c.Assert(apply(t, restored, bundle(bundles-1, fmt.Sprintf("w%d", (bundles-1)%40))).Repeated, qt.IsTrue)
	deltas, ok := restored.Since(bundles - 10)
	c.Assert(ok, qt.IsTrue)
	c.Assert(deltas, qt.HasLen, 10)
	_, ok = restored.Since(1)
	c.Assert(ok, qt.IsFalse)
}

// FuzzCommand guards against panics on malformed commands.
func FuzzCommand(f *testing.F) {
	b := bundle(0, "a")
	data, err := wire.Marshal(&Command{Bundle: &b})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New()
		m.Apply(1, data)
		if m.Current().Version > 1 {
			t.Fatalf("version %d after one command", m.Current().Version)
		}
	})
}
