package replica

import (
	"cmp"
	"context"
	"expvar"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

const (
	// targetsInterval is how often a control host reads the platform's list of
	// targets, for all daemons that poll it.
	targetsInterval = 900 * time.Millisecond
	// targetsTimeout bounds one reading.
	targetsTimeout = 1500 * time.Millisecond
)

// readList is the list with the time at which it was asked for.
type readList struct {
	list control.TargetList
	at   time.Time
}

// readTargets reads the list until ctx ends, and wakes the polls when it changes.
func (h *Host) readTargets(ctx context.Context) {
	failures := new(expvar.Int)
	h.Metrics.Set("ListFailures", failures)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, targetsTimeout)
		at := h.Clock.Now()
		list, _, err := h.Directory.List(call)
		cancel()
		if err != nil {
			failures.Add(1)
			if n := failures.Value(); n&(n-1) == 0 {
				h.Logger.WithError(err).WithField("failures", n).Warn("reading the platform's list of targets")
			}
		} else {
			h.listTargets(list, at)
		}
		select {
		case <-ctx.Done():
		case <-h.Clock.After(targetsInterval):
		}
	}
}

func (h *Host) listTargets(list []rhubarbgate.Instance, at time.Time) {
	slices.SortFunc(list, func(a, b rhubarbgate.Instance) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), a.Address.Compare(b.Address))
	})
	b, err := wire.Marshal(list)
	if err != nil {
		// The type holds only strings, numbers and addresses.
		panic(err)
	}
	x := &readList{list: control.TargetList{Digest: max(xxhash.Sum64(b), 1), Instances: list}, at: at}
	if old := h.targets.Swap(x); old == nil || old.list.Digest != x.list.Digest {
		h.notifier.Notify()
	}
}

// Targets implements configuration.Source.
func (h *Host) Targets() (control.TargetList, time.Time) {
	if h.Store {
		return h.watcher.Targets()
	}
	if x := h.targets.Load(); x != nil {
		return x.list, x.at
	}
	return control.TargetList{}, time.Time{}
}
