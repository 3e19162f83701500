// Package burn is the replicated state of service-level counts, gathered from all entries.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// BucketWidth is the width of a recent count.
	BucketWidth = time.Minute
	// Coarse is the width of an older count.
	Coarse = time.Hour
	// fineFor is how long counts stay in narrow buckets.
	fineFor = 6*time.Hour + BucketWidth
	// keepFor is how long counts are kept.
	keepFor = 72*time.Hour + Coarse
)

// Series is what is counted.
type Series struct {
	Workspace string
	Objective string
}

// Cell is a cumulative count of one entry incarnation in one bucket. Sending a
// cell again, or an older value of it, changes nothing.
type Cell struct {
	Series Series
	Start  time.Time
	Total  uint64
	Bad    uint64
}

// Command merges the cells of one entry incarnation.
type Command struct {
	At          time.Time
	Incarnation string
	Cells       []Cell
}

// Count is a sum over entries.
type Count struct {
	Series Series
	Start  time.Time
	Width  time.Duration
	Total  uint64
	Bad    uint64
}

type cellKey struct {
	Series      Series
	Start       int64 // Unix seconds
	Incarnation string
}

type sumKey struct {
	Series Series
	Start  int64 // Unix seconds
	Width  time.Duration
}

type value struct{ Total, Bad uint64 }

// State holds the counts of one group. Recent cells are kept by incarnation, so
// that repetitions can be told; older ones only as sums.
type State struct {
	mu     sync.Mutex
	recent map[cellKey]value
	sums   map[sumKey]value
	// folded is the start of the oldest bucket that may still change.
	folded int64
}

// New returns an empty state.
func New() *State {
	return &State{recent: map[cellKey]value{}, sums: map[sumKey]value{}}
}

// lateness is how long a bucket accepts cells after its end.
const lateness = 10 * time.Minute

// Apply merges a command.
func (s *State) Apply(c *Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range c.Cells {
		start := x.Start.Truncate(BucketWidth).Unix()
		if start < s.folded {
			continue
		}
		k := cellKey{x.Series, start, c.Incarnation}
		v := s.recent[k]
		v.Total, v.Bad = max(v.Total, x.Total), max(v.Bad, x.Bad)
		s.recent[k] = v
	}
	s.fold(c.At)
}

// fold sums buckets that accept no more cells and drops what is too old.
func (s *State) fold(now time.Time) {
	limit := now.Add(-lateness).Truncate(BucketWidth).Unix()
	if limit <= s.folded {
		return
	}
	s.folded = limit
	for k, v := range s.recent {
		if k.Start < limit {
			s.add(sumKey{k.Series, k.Start, BucketWidth}, v)
			delete(s.recent, k)
		}
	}
	fine := now.Add(-fineFor).Unix()
	oldest := now.Add(-keepFor).Unix()
	for k, v := range s.sums {
		if k.Start < oldest {
			delete(s.sums, k)
		} else if k.Width == BucketWidth && k.Start < fine {
			delete(s.sums, k)
			s.add(sumKey{k.Series, time.Unix(k.Start, 0).Truncate(Coarse).Unix(), Coarse}, v)
		}
	}
}

func (s *State) add(k sumKey, v value) {
	w := s.sums[k]
	s.sums[k] = value{w.Total + v.Total, w.Bad + v.Bad}
}

// Counts returns all counts, ordered by series and time.
func (s *State) Counts() []Count {
	s.mu.Lock()
	sums := make(map[sumKey]value, len(s.sums))
	for k, v := range s.sums {
		sums[k] = v
	}
	for k, v := range s.recent {
		w := sums[sumKey{k.Series, k.Start, BucketWidth}]
		sums[sumKey{k.Series, k.Start, BucketWidth}] = value{w.Total + v.Total, w.Bad + v.Bad}
	}
	s.mu.Unlock()
	r := make([]Count, 0, len(sums))
	for k, v := range sums {
		r = append(r, Count{k.Series, time.Unix(k.Start, 0).UTC(), k.Width, v.Total, v.Bad})
	}
	slices.SortFunc(r, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Series.Workspace, b.Series.Workspace), cmp.Compare(a.Series.Objective, b.Series.Objective), a.Start.Compare(b.Start))
	})
	return r
}

// Image is the state in a snapshot.
type Image struct {
	Folded int64
	Recent []RecentEntry
	Sums   []SumEntry
}

// RecentEntry is a cell of one incarnation in a snapshot.
type RecentEntry struct {
	Key   cellKey
	Value value
}

// SumEntry is a sum in a snapshot.
type SumEntry struct {
	Key   sumKey
	Value value
}

// Image copies the state.
func (s *State) Image() Image {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := Image{Folded: s.folded}
	for k, v := range s.recent {
		i.Recent = append(i.Recent, RecentEntry{k, v})
	}
	for k, v := range s.sums {
		i.Sums = append(i.Sums, SumEntry{k, v})
	}
	return i
}

// Restore replaces the state.
func (s *State) Restore(i Image) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent, s.sums, s.folded = map[cellKey]value{}, map[sumKey]value{}, i.Folded
	for _, e := range i.Recent {
		s.recent[e.Key] = e.Value
	}
	for _, e := range i.Sums {
		s.sums[e.Key] = e.Value
	}
}
