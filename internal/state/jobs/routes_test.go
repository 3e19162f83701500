package jobs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

// newRouted returns a leader's machine with a job that version 5 of the configuration accepted by route r.
func newRouted(t *testing.T, origin Origin) *Machine {
	m := New(&disk.Spill{Dir: t.TempDir()})
	line, err := wire.Marshal(&rhubarbgate.JobItem{ID: "item", Path: "/b/y"})
	qt.Assert(t, err, qt.IsNil)
	r := m.Apply(&Command{At: submittedAt, Submit: &Submit{
		ID: "j", Workspace: "w", Attempts: 1, Retention: time.Hour, Origin: origin, Items: []ItemInput{{ID: "item", Needs: "r", Idempotent: true, Line: line}},
	}})
	qt.Assert(t, r.Err == nil, qt.IsTrue)
	m.BeginLeasing()
	return m
}

// leasable reports whether an item is leased to a side that asks for a need.
func leasable(m *Machine, need string) bool {
	return len(m.PendingJobs(map[string]bool{need: true}, func(string) float64 { return 1 })) > 0
}

// TestItemsFollowTheirRoute guards against pending items that no side asks for, because their route has another name by
// now, and against giving up a job by a configuration that is older than the one that accepted it.
func TestItemsFollowTheirRoute(t *testing.T) {
	m := newRouted(t, Origin{Host: "h", Path: "/b/x", Version: 5})
	name := "r"
	at := func(version uint64, elapsed time.Duration) []Rerouted {
		return m.Reroute(submittedAt.Add(elapsed), version, func(accepted string, o Origin) string {
			qt.Check(t, accepted, qt.Equals, "r")
			qt.Check(t, o, qt.Equals, Origin{Host: "h", Path: "/b/x", Version: 5})
			return name
		})
	}
	gone := func(elapsed time.Duration) bool { return len(m.JobsWithoutRoute(submittedAt.Add(elapsed))) > 0 }
	name = ""
	qt.Assert(t, at(4, time.Second), qt.HasLen, 0) // older than the job
	qt.Assert(t, leasable(m, "r"), qt.IsTrue)
	name = "r"
	qt.Assert(t, at(5, time.Second), qt.HasLen, 0)
	name = "s"
	qt.Assert(t, at(6, 2*time.Second), qt.HasLen, 1)
	qt.Assert(t, leasable(m, "r"), qt.IsFalse)
	qt.Assert(t, leasable(m, "s"), qt.IsTrue)
	name = ""
	qt.Assert(t, at(7, 3*time.Second), qt.HasLen, 1)
	qt.Assert(t, at(8, 5*time.Second), qt.HasLen, 0)
	qt.Assert(t, leasable(m, ""), qt.IsFalse)
	qt.Assert(t, gone(3*time.Second), qt.IsFalse)
	qt.Assert(t, gone(4*time.Second), qt.IsTrue)
	name = "r"
	qt.Assert(t, at(9, 6*time.Second), qt.HasLen, 1)
	qt.Assert(t, gone(time.Minute), qt.IsFalse)
	qt.Assert(t, leasable(m, "r"), qt.IsTrue)
	ref, ok := m.Next("j", map[string]bool{"r": true})
	qt.Assert(t, ok, qt.IsTrue)
	grant := m.Apply(&Command{At: submittedAt, Lease: &Lease{Side: "s", Items: []ItemRef{ref}}}).Granted[0]
	m.AddRouting(&grant)
	qt.Assert(t, []any{grant.Needs, grant.Origin}, qt.DeepEquals, []any{"r", Origin{Host: "h", Path: "/b/x", Version: 5}})
	// A new leader counts anew.
	name = ""
	at(10, 7*time.Second)
	m.EndLeasing()
	m.BeginLeasing()
	qt.Assert(t, gone(time.Minute), qt.IsFalse)
}

// TestItemsOfEarlierBuildsFollowTheirRoute guards against items that an earlier build stored, without where their job was
// submitted, and that lose their route.
func TestItemsOfEarlierBuildsFollowTheirRoute(t *testing.T) {
	m := newRouted(t, Origin{})
	changed := m.Reroute(submittedAt, 1, func(accepted string, o Origin) string {
		qt.Check(t, accepted, qt.Equals, "r")
		qt.Check(t, o, qt.Equals, Origin{Path: "/b/y"})
		return "s"
	})
	qt.Assert(t, changed, qt.HasLen, 1)
	qt.Assert(t, leasable(m, "s"), qt.IsTrue)
}

// TestOriginIsRead guards against jobs of this build that an earlier one cannot read, and the reverse.
func TestOriginIsRead(t *testing.T) {
	type earlierJob struct {
		ID, Workspace string
		Attempts      int `msgpack:",omitempty"`
	}
	b, err := wire.Marshal(&Job{ID: "j", Workspace: "w", Attempts: 3, Origin: Origin{Host: "h", Path: "/b/x", Version: 5}})
	qt.Assert(t, err, qt.IsNil)
	var earlier earlierJob
	qt.Assert(t, wire.Unmarshal(b, &earlier), qt.IsNil)
	qt.Assert(t, earlier, qt.Equals, earlierJob{ID: "j", Workspace: "w", Attempts: 3})
	b, err = wire.Marshal(&earlier)
	qt.Assert(t, err, qt.IsNil)
	var later Job
	qt.Assert(t, wire.Unmarshal(b, &later), qt.IsNil)
	qt.Assert(t, later.Origin, qt.Equals, Origin{})
}
