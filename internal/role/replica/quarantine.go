package replica

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

// Quarantine implements configuration.Source.
func (h *Host) Quarantine(now time.Time) control.Quarantine {
	if h.Store {
		return h.watcher.Quarantine(now)
	}
	q := &h.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	v := q.value.Aged(now.Sub(q.at))
	v.Version = q.version
	return v
}

// applyQuarantine takes over the quarantine of the leader of the fleet group from the reply to
// a registration that was sent at the given time.
func (h *Host) applyQuarantine(in *control.Quarantine, sent time.Time) {
	if !h.Store && in != nil && h.quarantine.receive(*in, in.Version, sent) {
		h.notifier.Notify()
	}
}

// updateQuarantine publishes the quarantine if this host leads the fleet group. A new leader
// publishes an empty one, which makes the daemons report again.
func (h *Host) updateQuarantine() {
	term, leads := h.leadsFleet()
	if !leads {
		return
	}
	now := h.Clock.Now()
	q := &h.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.begin(term, &quarantine.Table{Clock: h.Clock}, now) {
		h.notifier.Notify()
		return
	}
	suspects, blocks := q.table.Suspects(), q.table.Blocks()
	if slices.Equal(suspects, q.value.Suspects) && slices.EqualFunc(blocks, q.value.Blocks, sameBlock) {
		return
	}
	h.logQuarantine(suspects, blocks)
	q.replace(control.Quarantine{Suspects: suspects, Blocks: blocks}, now)
	h.notifier.Notify()
}

// sameBlock reports whether a block was neither narrowed, widened nor renewed since it was
// published. Renewals that add less than a second do not count.
func sameBlock(a, published quarantine.Block) bool {
	return a.Part == published.Part && a.Trial == published.Trial && slices.Equal(a.With, published.With) && slices.Equal(a.Except, published.Except) && a.Left <= published.Left+time.Second
}

// logQuarantine logs what differs from the published quarantine. The lock is held.
func (h *Host) logQuarantine(suspects []quarantine.Part, blocks []quarantine.Block) {
	last := h.quarantine.value
	for _, p := range suspects {
		if !slices.Contains(last.Suspects, p) {
			h.Logger.WithFields(log.Fields{"service": p.Service, "part": p.ID}).Warn("targets end with this part of a prompt")
		}
	}
	for _, b := range blocks {
		if !slices.ContainsFunc(last.Blocks, func(x quarantine.Block) bool { return x.Part == b.Part && x.Trial == b.Trial }) {
			h.Logger.WithFields(log.Fields{"service": b.Part.Service, "part": b.Part.ID, "with": b.With, "except": b.Except, "trial": b.Trial, "left": b.Left.String()}).Warn("part of prompts blocked")
		}
	}
	for _, b := range last.Blocks {
		if !slices.ContainsFunc(blocks, func(x quarantine.Block) bool { return x.Part == b.Part }) {
			h.Logger.WithFields(log.Fields{"service": b.Part.Service, "part": b.Part.ID}).Info("part of prompts no longer blocked")
		}
	}
}

// handleCrashes handles control.MethodCrashes on the leader of the fleet group.
func (h *Host) handleCrashes(_ context.Context, in *control.Crashes) (*control.CrashesReply, error) {
	term, leads := h.leadsFleet()
	table := h.quarantine.tableOf(term)
	if !leads || table == nil {
		return &control.CrashesReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	released := table.Add(&in.Report)
	h.updateQuarantine()
	granted := len(in.Trial) > 0 && table.GrantTrial(in.Trial)
	if granted {
		h.Logger.WithField("parts", in.Trial).Info("trial of a part of prompts granted")
	}
	return &control.CrashesReply{Term: term, Released: released, TrialGranted: granted}, nil
}
