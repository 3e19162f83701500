package replica

import (
	"sync"
	"time"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

// published is what the leader of the fleet group has published last, as this control host knows
// it, and the table from which this host derives it while it is the leader. Neither is
// replicated: daemons report again what they know to a new leader.
type published[V, T any] struct {
	mu      sync.Mutex
	value   V
	version control.LeaderVersion
	at      time.Time // as of when value is
	// table merges the reports of daemons in term; nil before this host has led.
	table *T
	term  uint64
}

// receive takes over what the leader published, if it is newer, and reports whether it was.
func (p *published[V, T]) receive(value V, version control.LeaderVersion, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !version.NewerThan(p.version) {
		return false
	}
	p.value, p.version, p.at = value, version, at
	return true
}

// begin makes an empty value and the table those of this host as the leader in term, and reports
// whether they were not so before. The lock is held.
func (p *published[V, T]) begin(term uint64, table *T, now time.Time) bool {
	if p.table != nil && p.term == term {
		return false
	}
	var empty V
	p.value, p.version, p.at = empty, control.LeaderVersion{Term: term}, now
	p.table, p.term = table, term
	return true
}

// replace publishes another value of this host as the leader. The lock is held.
func (p *published[V, T]) replace(value V, now time.Time) {
	p.value, p.at = value, now
	p.version.Number++
}

// tableOf returns the table of this host as the leader in term, or nil.
func (p *published[V, T]) tableOf(term uint64) *T {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term != term {
		return nil
	}
	return p.table
}

// leadsFleet reports whether this host leads the fleet group under a valid lease, and the term.
func (h *Host) leadsFleet() (term uint64, leads bool) {
	if h.Store {
		return 0, false
	}
	g := h.groups[control.FleetGroup]
	s := g.Status()
	return s.Term, s.Phase == raft.Leader && g.Leased()
}
