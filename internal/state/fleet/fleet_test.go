package fleet

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

func apply(t testing.TB, m *Machine, b rhubarbgate.Bundle) *CommitResult {
	data, err := wire.Marshal(&Command{Bundle: &b})
	qt.Assert(t, err, qt.IsNil)
	return m.Apply(0, data).(*CommitResult)
}

func bundle(base uint64, workspace string) rhubarbgate.Bundle {
	return rhubarbgate.Bundle{Base: base, Version: base + 1, Put: rhubarbgate.Section{
		Workspaces: []rhubarbgate.Workspace{{Name: workspace, Rate: 1, Burst: 1}},
	}}
}

func TestRaceUnderOneVersion(t *testing.T) {
	c := qt.New(t)
	m := New()
	c.Assert(apply(t, m, bundle(0, "a")).Err == nil, qt.IsTrue)
	lost := apply(t, m, bundle(0, "b"))
	c.Assert(lost.Err.Code, qt.Equals, rhubarbgate.CodeConflict)
	c.Assert(lost.Err.Message, qt.Matches, `version 1 is already committed with digest [0-9a-f]{16}, this bundle has .*`)
	again := apply(t, m, bundle(0, "a"))
	c.Assert(again.Err == nil, qt.IsTrue)
	c.Assert(again.Repeated, qt.IsTrue)
	c.Assert(m.Current().Version, qt.Equals, uint64(1))
}

func TestBadBundleChangesNothing(t *testing.T) {
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

type memoryReader struct{ *bytes.Reader }

func (memoryReader) Close() error { return nil }

func TestRestartAfterManyChanges(t *testing.T) {
	c := qt.New(t)
	m := New()
	const changes = 1500
	for i := range uint64(changes) {
		c.Assert(apply(t, m, bundle(i, fmt.Sprintf("w%d", i%40))).Err == nil, qt.IsTrue)
	}
	var b bytes.Buffer
	c.Assert(m.Snapshot().WriteSnapshot(&b), qt.IsNil)
	n := New()
	c.Assert(n.Restore(memoryReader{bytes.NewReader(b.Bytes())}), qt.IsNil)
	c.Assert(n.Current().Sum, qt.Equals, m.Current().Sum)
	c.Assert(apply(t, n, bundle(changes-1, fmt.Sprintf("w%d", (changes-1)%40))).Repeated, qt.IsTrue)
	deltas, ok := n.Since(changes - 10)
	c.Assert(ok, qt.IsTrue)
	c.Assert(deltas, qt.HasLen, 10)
	_, ok = n.Since(1)
	c.Assert(ok, qt.IsFalse)
}

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
