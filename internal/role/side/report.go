package side

import (
	"context"

	"rhubarbgate.example/rhubarbgate/internal/controller/batch"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

// leaseTTL is how long a renewed lease is valid.
const leaseTTL = batch.LeaseTTL

// queueOutcome queues the outcome of a task to be reported.
func (w *worker) queueOutcome(t *task, o jobs.Outcome) {
	w.mu.Lock()
	w.outcomes = append(w.outcomes, groupOutcome{group: t.group, outcome: o})
	full := len(w.outcomes) >= flushItems
	w.mu.Unlock()
	if full {
		select {
		case w.flush <- struct{}{}:
		default:
		}
	}
}

// reportLoop reports outcomes in batches.
func (w *worker) reportLoop(ctx context.Context) {
	t := w.clock.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		case <-w.flush:
		}
		w.reportOutcomes()
	}
}

// reportOutcomes sends all queued outcomes. Those that cannot be sent are queued
// again until their lease expires.
func (w *worker) reportOutcomes() {
	w.mu.Lock()
	queued := w.outcomes
	w.outcomes = nil
	w.mu.Unlock()
	byGroup := map[uint32][]jobs.Outcome{}
	for _, x := range queued {
		byGroup[x.group] = append(byGroup[x.group], x.outcome)
	}
	for group, outcomes := range byGroup {
		for len(outcomes) > 0 {
			n := fitting(outcomes)
			w.reportGroup(group, outcomes[:n])
			outcomes = outcomes[n:]
		}
	}
}

// fitting returns how many of the first outcomes fit into one message, at least one.
func fitting(outcomes []jobs.Outcome) int {
	bytes := 0
	for i, o := range outcomes {
		if bytes += len(o.Output); i > 0 && bytes > wire.BatchBytes {
			return i
		}
	}
	return len(outcomes)
}

func (w *worker) reportGroup(group uint32, outcomes []jobs.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	r, err := w.host.control.Jobs(ctx, group, jobs.Command{Complete: &jobs.Complete{Outcomes: outcomes}})
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, o := range outcomes {
		_, leased := w.leased[o.Ref]
		if err != nil && leased {
			w.outcomes = append(w.outcomes, groupOutcome{group: group, outcome: o})
			continue
		}
		delete(w.leased, o.Ref)
		if err != nil || (i < len(r.Accepted) && !r.Accepted[i]) {
			w.host.counts.lateResults.Add(1)
		}
	}
}
