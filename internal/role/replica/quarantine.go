package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

// published is what the leader of the fleet group has published last, as this control host knows
// it. It is not replicated: daemons report again what they know to a new leader.
type published[V any] struct {
	value   V
	version control.LeaderVersion
	at      time.Time // as of when value is
}

// receive takes over what the leader published, if it is newer, and reports whether it was.
func (p *published[V]) receive(value V, version control.LeaderVersion, at time.Time) bool {
	if !version.NewerThan(p.version) {
		return false
	}
	p.value, p.version, p.at = value, version, at
	return true
}

// begin publishes the value of a new leader.
func (p *published[V]) begin(value V, term uint64, at time.Time) {
	p.value, p.version, p.at = value, control.LeaderVersion{Term: term}, at
}

// replace publishes another value of the same leader.
func (p *published[V]) replace(value V, at time.Time) {
	p.value, p.at = value, at
	p.version.Number++
}

// quarantineState is the quarantine as this control host knows it. Daemons keep their blocks
// until a new leader has them.
type quarantineState struct {
	mu   sync.Mutex
	last published[control.Quarantine]
	// table merges the reports of daemons while this host leads the fleet group in term.
	table *quarantine.Table
	term  uint64
}

// Quarantine implements configuration.Source.
func (h *Host) Quarantine(now time.Time) control.Quarantine {
	if h.Store {
		return h.watcher.Quarantine(now)
	}
	q := &h.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	v := q.last.value.Aged(now.Sub(q.last.at))
	v.Version = q.last.version
	return v
}

// applyQuarantine takes over the quarantine of the leader of the fleet group from the reply to
// a registration that was sent at the given time.
func (h *Host) applyQuarantine(in *control.Quarantine, sent time.Time) {
	if h.Store || in == nil {
		return
	}
	q := &h.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.last.receive(*in, in.Version, sent) {
		h.notifier.Notify()
	}
}

// updateQuarantine publishes the quarantine if this host leads the fleet group. A new leader
// publishes an empty one, which makes the daemons report again.
func (h *Host) updateQuarantine() {
	if h.Store {
		return
	}
	term, leads := h.leadsFleet()
	if !leads {
		return
	}
	now := h.Clock.Now()
	q := &h.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table == nil || q.term != term {
		q.table, q.term = &quarantine.Table{Clock: h.Clock}, term
		q.last.begin(control.Quarantine{}, term, now)
		h.notifier.Notify()
		return
	}
	suspects, blocks := q.table.Suspects(), q.table.Blocks()
	if slices.Equal(suspects, q.last.value.Suspects) && slices.EqualFunc(blocks, q.last.value.Blocks, sameBlock) {
		return
	}
	h.logQuarantine(suspects, blocks)
	q.last.replace(control.Quarantine{Suspects: suspects, Blocks: blocks}, now)
	h.notifier.Notify()
}

// leadsFleet reports whether this host leads the fleet group under a valid lease, and the term.
func (h *Host) leadsFleet() (term uint64, leads bool) {
	g := h.groups[control.FleetGroup]
	s := g.Status()
	return s.Term, s.Phase == raft.Leader && g.Leased()
}

// sameBlock reports whether a block was neither narrowed, widened nor renewed since it was
// published. Renewals that add less than a second do not count.
func sameBlock(a, published quarantine.Block) bool {
	return a.Part == published.Part && slices.Equal(a.With, published.With) && slices.Equal(a.Except, published.Except) && a.Left <= published.Left+time.Second
}

// logQuarantine logs what differs from the published quarantine. The lock is held.
func (h *Host) logQuarantine(suspects []quarantine.Part, blocks []quarantine.Block) {
	for _, p := range suspects {
		if !slices.Contains(h.quarantine.last.value.Suspects, p) {
			h.Logger.WithFields(log.Fields{"service": p.Service, "part": p.ID}).Warn("targets end with this part of a prompt")
		}
	}
	for _, b := range blocks {
		if !slices.ContainsFunc(h.quarantine.last.value.Blocks, func(x quarantine.Block) bool { return x.Part == b.Part }) {
			h.Logger.WithFields(log.Fields{"service": b.Part.Service, "part": b.Part.ID, "with": b.With, "except": b.Except, "left": b.Left.String()}).Warn("part of prompts blocked")
		}
	}
	for _, b := range h.quarantine.last.value.Blocks {
		if !slices.ContainsFunc(blocks, func(x quarantine.Block) bool { return x.Part == b.Part }) {
			h.Logger.WithFields(log.Fields{"service": b.Part.Service, "part": b.Part.ID}).Info("part of prompts no longer blocked")
		}
	}
}

// handleCrashes handles control.MethodCrashes on the leader of the fleet group.
func (h *Host) handleCrashes(_ context.Context, in *control.Crashes) (*control.CrashesReply, error) {
	term, leads := h.leadsFleet()
	q := &h.quarantine
	q.mu.Lock()
	table, tableTerm := q.table, q.term
	q.mu.Unlock()
	if !leads || table == nil || tableTerm != term {
		return &control.CrashesReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	released := table.Add(&in.Report)
	h.updateQuarantine()
	return &control.CrashesReply{Term: term, Released: released}, nil
}
