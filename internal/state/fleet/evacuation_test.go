package fleet

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/testkit/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// order applies an evacuation order as a command.
func order(m *Machine, zone string, restore bool) *EvacuationResult {
	data, err := wire.Marshal(&Command{Evacuate: &evacuation.Order{Zone: zone, Restore: restore}})
	if err != nil {
		panic(err)
	}
	return m.Apply(0, data).(*EvacuationResult)
}

// TestEvacuationOrders compares the machine with a map under random orders and snapshots. It guards against
// a version that a repeated order raises or a change does not, and against a snapshot that loses zones.
func TestEvacuationOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, want, version, calls := New(), map[string]bool{}, uint64(0), 0
		m.EvacuationChanged = func(evacuation.Set) { calls++ }
		for range rapid.IntRange(1, 30).Draw(t, "orders") {
			zone, restore := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), rapid.Bool().Draw(t, "restore")
			changes := want[zone] == restore
			want[zone] = !restore
			if changes {
				version++
			}
			before := calls
			r := order(m, zone, restore)
			if r.Changed != changes || r.Set.Version != version || (calls > before) != changes {
				t.Fatalf("order %s restore=%v: %+v, want changed=%v version=%d", zone, restore, r, changes, version)
			}
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				var b bytes.Buffer
				if err := m.Snapshot().WriteSnapshot(&b); err != nil {
					t.Fatal(err)
				}
				m = New()
				m.EvacuationChanged = func(evacuation.Set) { calls++ }
				if err := m.Restore(memoryReader{bytes.NewReader(b.Bytes())}); err != nil {
					t.Fatal(err)
				}
			}
			for _, zone := range []string{"a", "b", "c"} {
				if m.Evacuation().Has(zone) != want[zone] {
					t.Fatalf("zone %s: %+v, want %v", zone, m.Evacuation(), want)
				}
			}
		}
	})
}

// TestOtherBuilds guards against snapshots and log entries of an earlier build that cannot be read, and
// against fields of a later build that make them unreadable.
func TestOtherBuilds(t *testing.T) {
	type earlierCommand struct{ Retire *RetireHost }
	type earlierState struct {
		Version uint64
		Hosts   []HostRecord
	}
	type laterCommand struct {
		Evacuate *evacuation.Order
		Later    map[string][]int
	}
	type laterState struct {
		Version   uint64
		Evacuated *evacuation.Set
		Later     []string
	}
	c := qt.New(t)
	encode := func(v any) []byte {
		b, err := wire.Marshal(v)
		c.Assert(err, qt.IsNil)
		return b
	}
	host := HostRecord{Kind: StoreHost, Name: "s"}
	m := New()
	c.Assert(m.Restore(memoryReader{bytes.NewReader(encode(&earlierState{Version: 3, Hosts: []HostRecord{host}}))}), qt.IsNil)
	c.Assert(m.Evacuation(), qt.DeepEquals, evacuation.Set{})
	c.Assert(m.Current().Version, qt.Equals, uint64(3))
	c.Assert(m.Apply(1, encode(&earlierCommand{&RetireHost{Name: "s"}})).(*CommitResult).Err == nil, qt.IsTrue)
	r := m.Apply(2, encode(&laterCommand{&evacuation.Order{Zone: "a"}, map[string][]int{"x": {1}}})).(*EvacuationResult)
	c.Assert(r.Set, qt.DeepEquals, evacuation.Set{Version: 1, Zones: []string{"a"}})
	set := evacuation.Set{Version: 7, Zones: []string{"b"}}
	c.Assert(m.Restore(memoryReader{bytes.NewReader(encode(&laterState{Version: 4, Evacuated: &set, Later: []string{"x"}}))}), qt.IsNil)
	c.Assert(m.Evacuation(), qt.DeepEquals, set)
	var earlier earlierState
	var b bytes.Buffer
	c.Assert(m.Snapshot().WriteSnapshot(&b), qt.IsNil)
	c.Assert(wire.Unmarshal(b.Bytes(), &earlier), qt.IsNil)
	c.Assert(earlier.Version, qt.Equals, uint64(4))
}
