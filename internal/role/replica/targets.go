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
	// targetsPollInterval is how often a control host reads the platform's list of
	// targets, which it serves to all daemons that poll it.
	targetsPollInterval = 900 * time.Millisecond
	// targetsListTimeout bounds one request for the list.
	targetsListTimeout = 1500 * time.Millisecond
)

// timedTargetList is the list of targets with the time at which it was requested.
type timedTargetList struct {
	list control.TargetList
	at   time.Time
}

// pollTargets reads the list periodically until ctx ends. It logs failures 1, 2, 4,
// 8 and so on, to bound the log.
func (h *Host) pollTargets(ctx context.Context) {
	failures := new(expvar.Int)
	h.Metrics.Set("ListFailures", failures)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, targetsListTimeout)
		at := h.Clock.Now()
		list, _, err := h.Directory.List(call)
		cancel()
		if err != nil {
			failures.Add(1)
			if n := failures.Value(); n&(n-1) == 0 {
				h.Logger.WithError(err).WithField("failures", n).Warn("reading the platform's list of targets failed")
			}
		} else {
			h.setTargets(list, at)
		}
		select {
		case <-ctx.Done():
		case <-h.Clock.After(targetsPollInterval):
		}
	}
}

// setTargets stores the list, and wakes polling daemons if it has changed.
func (h *Host) setTargets(list []rhubarbgate.Instance, at time.Time) {
	slices.SortFunc(list, func(a, b rhubarbgate.Instance) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), a.Address.Compare(b.Address))
	})
	b, err := wire.Marshal(list)
	if err != nil {
		// Unreachable: the type has only strings, numbers and addresses.
		panic(err)
	}
	x := &timedTargetList{list: control.TargetList{Digest: max(xxhash.Sum64(b), 1), Instances: list}, at: at}
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
