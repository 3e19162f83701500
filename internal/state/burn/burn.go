// Package burn holds the replicated counts of all and of bad requests, from which the burn rates of error budgets are computed.
package burn

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// BucketWidth is the duration that a recent count covers.
	BucketWidth = time.Minute
	// CoarseBucketWidth is the duration that an older count covers.
	CoarseBucketWidth = time.Hour
	// minuteBucketRetention is the age at which counts move from buckets of
	// BucketWidth to buckets of CoarseBucketWidth. Burn rates over 6 hours and less
	// are computed from the narrow buckets.
	minuteBucketRetention = 6*time.Hour + BucketWidth
	// retention is the age at which counts are dropped. The longest burn rate is
	// that over 72 hours.
	retention = 72*time.Hour + CoarseBucketWidth
)

// Series identifies what is counted: one part of an objective of a workspace.
type Series struct {
	Workspace string
	Objective string
}

// Cell is the cumulative count of one entry incarnation in one bucket. Applying
// a cell again, or an older value of it, changes nothing.
type Cell struct {
	Series Series
	Start  time.Time
	Total  uint64
	Bad    uint64 // the part of Total that missed the objective
}

// Command merges the cells of one entry incarnation. Counts are summed and
// dropped by their age at the time At.
type Command struct {
	At          time.Time
	Incarnation string
	Cells       []Cell
}

// Count is the sum over all entries for the time from Start to Start plus Width.
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

// requestCounts is a number of requests and how many of them were bad.
type requestCounts struct{ Total, Bad uint64 }

// State holds the counts of one Raft group. Recent cells are kept for each entry
// incarnation, so that a repeated cell is recognised; older ones only as sums.
type State struct {
	mu     sync.Mutex
	recent map[cellKey]requestCounts
	sums   map[sumKey]requestCounts
	// oldestOpen is the start of the oldest bucket that still accepts cells.
	oldestOpen int64 // Unix seconds
}

// New returns an empty state.
func New() *State {
	return &State{recent: map[cellKey]requestCounts{}, sums: map[sumKey]requestCounts{}}
}

// lateCellWindow is how long a bucket accepts cells after its end, so that an entry
// can send them again after a failure.
const lateCellWindow = 10 * time.Minute

// Apply merges a command, then sums and drops counts by their age.
func (s *State) Apply(c *Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range c.Cells {
		start := x.Start.Truncate(BucketWidth).Unix()
		if start < s.oldestOpen {
			continue
		}
		k := cellKey{x.Series, start, c.Incarnation}
		v := s.recent[k]
		v.Total, v.Bad = max(v.Total, x.Total), max(v.Bad, x.Bad)
		s.recent[k] = v
	}
	s.compact(c.At)
}

// compact sums over all incarnations the buckets that accept no more cells,
// moves older sums to coarse buckets and drops those past the retention.
func (s *State) compact(now time.Time) {
	cutoff := now.Add(-lateCellWindow).Truncate(BucketWidth).Unix()
	if cutoff <= s.oldestOpen {
		return
	}
	s.oldestOpen = cutoff
	for k, v := range s.recent {
		if k.Start < cutoff {
			s.addSum(sumKey{k.Series, k.Start, BucketWidth}, v)
			delete(s.recent, k)
		}
	}
	minuteCutoff := now.Add(-minuteBucketRetention).Unix()
	retentionCutoff := now.Add(-retention).Unix()
	// Whether the range visits an element that it added is random, but all replicas must agree.
	for k, v := range maps.Clone(s.sums) {
		if k.Width == BucketWidth && k.Start < minuteCutoff {
			delete(s.sums, k)
			s.addSum(sumKey{k.Series, time.Unix(k.Start, 0).Truncate(CoarseBucketWidth).Unix(), CoarseBucketWidth}, v)
		}
	}
	maps.DeleteFunc(s.sums, func(k sumKey, _ requestCounts) bool { return k.Start < retentionCutoff })
}

func (s *State) addSum(k sumKey, v requestCounts) {
	w := s.sums[k]
	s.sums[k] = requestCounts{w.Total + v.Total, w.Bad + v.Bad}
}

// Counts returns all counts, ordered by series and start.
func (s *State) Counts() []Count {
	s.mu.Lock()
	sums := make(map[sumKey]requestCounts, len(s.sums))
	for k, v := range s.sums {
		sums[k] = v
	}
	for k, v := range s.recent {
		w := sums[sumKey{k.Series, k.Start, BucketWidth}]
		sums[sumKey{k.Series, k.Start, BucketWidth}] = requestCounts{w.Total + v.Total, w.Bad + v.Bad}
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

// Image is a copy of the state, in the form that a snapshot encodes.
type Image struct {
	// Folded is the start, in Unix seconds, of the oldest bucket that still
	// accepts cells.
	Folded int64
	Recent []RecentEntry
	Sums   []SumEntry
}

// RecentEntry is a cell that is kept by incarnation, as a snapshot encodes it.
type RecentEntry struct {
	Key   cellKey
	Value requestCounts
}

// SumEntry is a sum over incarnations, as a snapshot encodes it.
type SumEntry struct {
	Key   sumKey
	Value requestCounts
}

// Image returns a copy of the state.
func (s *State) Image() Image {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := Image{Folded: s.oldestOpen}
	for k, v := range s.recent {
		i.Recent = append(i.Recent, RecentEntry{k, v})
	}
	for k, v := range s.sums {
		i.Sums = append(i.Sums, SumEntry{k, v})
	}
	return i
}

// Restore replaces the state by the one that i holds.
func (s *State) Restore(i Image) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent, s.sums, s.oldestOpen = map[cellKey]requestCounts{}, map[sumKey]requestCounts{}, i.Folded
	for _, e := range i.Recent {
		s.recent[e.Key] = e.Value
	}
	for _, e := range i.Sums {
		s.sums[e.Key] = e.Value
	}
}
