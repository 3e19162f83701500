package burn

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	epoch  = time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	series = Series{Workspace: "w", Objective: "online/Answered"}
)

func applyCell(s *State, at time.Time, incarnation string, start time.Time, total, bad uint64) {
	s.Apply(&Command{At: at, Incarnation: incarnation, Cells: []Cell{{Series: series, Start: start, Total: total, Bad: bad}}})
}

func totalCounts(s *State) (total, bad uint64) {
	for _, c := range s.Counts() {
		total, bad = total+c.Total, bad+c.Bad
	}
	return total, bad
}

// TestRepeatedCellsCountOnce guards against counts that grow when an entry sends
// a cell again: at once, after a newer value, or after the cells were summed.
func TestRepeatedCellsCountOnce(t *testing.T) {
	c := qt.New(t)
	s := New()
	applyCell(s, epoch, "first", epoch, 10, 1)
	applyCell(s, epoch, "first", epoch, 15, 2)
	applyCell(s, epoch, "first", epoch, 15, 2) // repeated
	applyCell(s, epoch, "first", epoch, 10, 1) // late
	applyCell(s, epoch, "second", epoch, 5, 0) // the entry restarted within the minute
	total, bad := totalCounts(s)
	c.Assert([]uint64{total, bad}, qt.DeepEquals, []uint64{20, 2})
	// As time passes the cells are summed, and a repetition after that is ignored.
	for i := range 100 {
		at := epoch.Add(time.Duration(i) * 5 * time.Minute)
		applyCell(s, at, "first", epoch, 15, 2)
	}
	n := New()
	n.Restore(s.Image())
	total, bad = totalCounts(n)
	c.Assert([]uint64{total, bad}, qt.DeepEquals, []uint64{20, 2})
	c.Assert(n.Counts()[0].Width, qt.Equals, CoarseBucketWidth)
}

// TestOldCountsAreDropped guards against counts that are kept past the retention.
func TestOldCountsAreDropped(t *testing.T) {
	s := New()
	applyCell(s, epoch, "first", epoch, 10, 1)
	applyCell(s, epoch.Add(80*time.Hour), "first", epoch.Add(80*time.Hour), 1, 0)
	total, _ := totalCounts(s)
	qt.Assert(t, total, qt.Equals, uint64(1))
}

// TestReplicasAgree guards against replicas that differ after the same commands, here by how they drop
// the counts of an hour that is partly past the retention.
func TestReplicasAgree(t *testing.T) {
	var want []Count
	for i := range 50 {
		s := New()
		for minute := range 60 {
			applyCell(s, epoch, "first", epoch.Add(time.Duration(minute)*time.Minute), 10, 1)
		}
		now := epoch.Add(retention + CoarseBucketWidth/2)
		applyCell(s, now, "first", now, 1, 0)
		if i == 0 {
			want = s.Counts()
		}
		qt.Assert(t, s.Counts(), qt.DeepEquals, want)
	}
}
