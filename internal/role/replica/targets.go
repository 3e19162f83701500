package replica

import (
	"cmp"
	"context"
	"expvar"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

const (
	// targetsReadInterval is how often the leader of the fleet group reads the platform's
	// list of targets. The other control hosts get it with their registrations, and all
	// serve it to the daemons that poll them.
	targetsReadInterval = 600 * time.Millisecond
	// newLeaderReadInterval is the interval in the first newLeaderPeriod of a leader. If
	// all hosts restarted, so did the targets, and the list changes as it catches up.
	newLeaderReadInterval = 250 * time.Millisecond
	newLeaderPeriod       = 3 * time.Second
	// targetsCheckInterval is how often a control host checks whether to read the list.
	targetsCheckInterval = 50 * time.Millisecond
	// maxTargetsAge is the age of the list from which on another control host reads it
	// itself, because no leader has sent a newer one.
	maxTargetsAge = 1600 * time.Millisecond
	// targetsListTimeout bounds one request for the list.
	targetsListTimeout = 1500 * time.Millisecond
)

// timedTargetList is the list of targets with the time at which it was requested.
type timedTargetList struct {
	list control.TargetList
	at   time.Time
}

// pollTargets reads the list periodically until ctx ends, if this host is to read it. It
// logs failures 1, 2, 4, 8 and so on, to bound the log.
func (h *Host) pollTargets(ctx context.Context) {
	failures := new(expvar.Int)
	h.Metrics.Set("ListFailures", failures)
	reads := new(expvar.Int)
	h.Metrics.Set("ListReads", reads)
	unreadable := new(expvar.Int)
	h.Metrics.Set("ListEntriesUnreadable", unreadable)
	r := targetsReader{startedAt: h.Clock.Now()}
	for ctx.Err() == nil {
		s := h.groups[control.FleetGroup].Status()
		listAt := time.Time{}
		if x := h.targets.Load(); x != nil {
			listAt = x.at
		}
		if r.due(h.Clock.Now(), s.Phase == raft.Leader || h.client == nil, listAt) {
			reads.Add(1)
			h.readTargets(ctx, failures, unreadable)
		}
		select {
		case <-ctx.Done():
		case <-h.Clock.After(targetsCheckInterval):
		}
	}
}

// targetsReader decides when a control host reads the list of targets.
type targetsReader struct {
	startedAt time.Time
	leadsAt   time.Time // when this host became the leader; zero while it is not
	readAt    time.Time // when the list was last read
}

// due reports whether to read the list now: as the leader of the fleet group, or because
// the newest list is of listAt, which is too long ago, and no leader sent another.
func (r *targetsReader) due(now time.Time, leads bool, listAt time.Time) bool {
	interval := targetsReadInterval
	switch {
	case !leads:
		r.leadsAt = time.Time{}
		if listAt.Before(r.startedAt) {
			listAt = r.startedAt
		}
		if now.Sub(listAt) < maxTargetsAge {
			return false
		}
	case r.leadsAt.IsZero():
		r.leadsAt = now
		interval = 0
	case now.Sub(r.leadsAt) < newLeaderPeriod:
		interval = newLeaderReadInterval
	}
	if now.Sub(r.readAt) < interval {
		return false
	}
	r.readAt = now
	return true
}

// readTargets requests the list from the platform once. A failure keeps the current list.
func (h *Host) readTargets(ctx context.Context, failures, unreadable *expvar.Int) {
	ctx, cancel := context.WithTimeout(ctx, targetsListTimeout)
	defer cancel()
	at := h.Clock.Now()
	list, skipped, err := h.Directory.List(ctx)
	if err == nil {
		unreadable.Add(int64(skipped))
		h.setTargets(list, at)
		return
	}
	failures.Add(1)
	if n := failures.Value(); n&(n-1) == 0 {
		h.Logger.WithError(err).WithField("failures", n).Warn("reading the platform's list of targets failed")
	}
}

// targetsDigest returns the digest of the list of targets, 0 without one.
func (h *Host) targetsDigest() uint64 {
	if x := h.targets.Load(); x != nil {
		return x.list.Digest
	}
	return 0
}

// applyTargets takes over the list of the leader of the fleet group from the reply to a
// registration that was sent at the given time, if it is newer than that of this host.
func (h *Host) applyTargets(list *control.TargetList, sent time.Time) {
	if h.Store || list == nil {
		return
	}
	x := &timedTargetList{list: *list, at: sent.Add(-list.Age)}
	old := h.targets.Load()
	if old != nil && !x.at.After(old.at) {
		return
	}
	if old != nil && old.list.Digest == list.Digest {
		x.list = old.list.Confirmed(x.at.Sub(old.at))
	} else if len(list.Instances) == 0 {
		return // the list that the leader left out was replaced meanwhile
	}
	h.observeCold(x.list.Current(), x.at)
	h.replaceTargets(x)
}

// compareInstances orders instances by all of their fields, so that the order of the platform's
// list does not change the digest.
func compareInstances(a, b rhubarbgate.Instance) int {
	leaving := 0
	switch {
	case a.Leaving && !b.Leaving:
		leaving = 1
	case b.Leaving && !a.Leaving:
		leaving = -1
	}
	return cmp.Or(cmp.Compare(a.ID, b.ID), a.Address.Compare(b.Address), cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.AvailabilityZone, b.AvailabilityZone), cmp.Compare(a.Slots, b.Slots), cmp.Compare(a.Version, b.Version), leaving, cmp.Compare(a.ColdLeft, b.ColdLeft))
}

// coldTolerance is by how much the cold times of two lists may differ beyond the time between them. The
// lag of the list varies.
const coldTolerance = 300 * time.Millisecond

// sameButForTime reports whether two lists of the same instances differ only in cold times that run out.
func sameButForTime(a, b []rhubarbgate.Instance) bool {
	return slices.EqualFunc(a, b, func(x, y rhubarbgate.Instance) bool {
		difference := (x.ColdLeft - y.ColdLeft).Abs()
		x.ColdLeft = y.ColdLeft
		return x == y && difference <= coldTolerance
	})
}

// setTargets stores a list that was read from the platform. A list that differs from the current one only
// in that cold times went on running out confirms that one, so that it is not sent again.
func (h *Host) setTargets(list []rhubarbgate.Instance, at time.Time) {
	slices.SortFunc(list, compareInstances)
	h.observeCold(list, at)
	if old := h.targets.Load(); old != nil && old.list.HasCold() {
		x := &timedTargetList{list: old.list.Confirmed(at.Sub(old.at)), at: at}
		if sameButForTime(x.list.Current(), list) {
			h.replaceTargets(x)
			return
		}
	}
	b, err := wire.Marshal(list)
	if err != nil {
		// Unreachable: the type has only strings, numbers and addresses.
		panic(err)
	}
	h.replaceTargets(&timedTargetList{list: control.TargetList{Digest: max(xxhash.Sum64(b), 1), Instances: list}, at: at})
}

// replaceTargets stores the list, and wakes polling daemons if it has changed.
func (h *Host) replaceTargets(x *timedTargetList) {
	if h.streams.History != nil {
		h.streams.History.Observe(x.list.Instances, x.at)
	}
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
