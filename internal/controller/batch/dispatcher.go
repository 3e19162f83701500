// Package batch chooses the batch items that the leader of a job group leases to sides.
package batch

import (
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

// LeaseTTL is the time after which a lease that is not renewed expires.
const LeaseTTL = 3 * time.Second

// completionRateWindow is the time constant of the moving average of completed items
// per second.
const completionRateWindow = 10 * time.Second

// Dispatcher chooses items and keeps the deadlines of their leases. The leases
// are part of the replicated state, their deadlines are not: a new leader starts
// each lease with a full LeaseTTL.
type Dispatcher struct {
	Clock   clockwork.Clock
	Machine *jobs.Machine
	Order   rhubarbgate.Order
	// Weight returns a workspace's weight when workspaces compete for slots.
	Weight func(workspace string) float64
	// ItemRate returns the workspace's limit of items leased per second, if it has one.
	ItemRate func(workspace string) (limit.Rate, bool)
	// Config, if set, returns the configuration in force, which has the routes of submitted jobs, and
	// Rerouted is called for each job that it gives another route, or none.
	Config   func() *config.Config
	Rerouted func(jobs.Rerouted)

	mu             sync.Mutex
	incarnations   map[string]string // by name of the side
	deadlines      map[jobs.ItemRef]time.Time
	itemLimits     *limit.Static
	completionRate float64 // items per second, moving average
	completed      float64 // items since rateUpdatedAt
	rateUpdatedAt  time.Time
	begunAt        time.Time
	askedAt        map[string]time.Time // when a side last asked for items with a need
	unasked        map[string]bool      // jobs that TakeUnasked has returned
}

// Begin resets the dispatcher when its replica becomes leader of the group.
func (d *Dispatcher) Begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	d.deadlines = map[jobs.ItemRef]time.Time{}
	d.incarnations = map[string]string{}
	d.itemLimits = &limit.Static{Clock: d.Clock, Rates: d.ItemRate, Entries: 1, Empty: true}
	d.rateUpdatedAt, d.begunAt = now, now
	d.askedAt, d.unasked = map[string]time.Time{}, map[string]bool{}
	d.Machine.BeginLeasing()
	d.Machine.LeasedItems(func(r jobs.ItemRef) { d.deadlines[r] = now.Add(LeaseTTL) })
}

// Pick chooses up to n pending items that need one of needs, and no more than fit into the reply
// to the side, but at least one if there is one. The leader proposes their leases and then calls
// RecordGranted.
func (d *Dispatcher) Pick(needs []string, n int) []jobs.ItemRef {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Reroute()
	now := d.Clock.Now()
	needed := make(map[string]bool, len(needs))
	for _, need := range needs {
		needed[need] = true
		d.askedAt[need] = now
	}
	d.Machine.Advance(now)
	pending := d.Machine.PendingJobs(needed, d.Weight)
	for i := range pending {
		pending[i].ItemsPerSecond = d.completionRate
	}
	var refs []jobs.ItemRef
	bytes := 0
	for len(refs) < n && len(pending) > 0 {
		i := d.Order.Next(now, pending)
		ref, ok := d.next(pending[i], needed)
		if ok {
			if bytes += d.Machine.GrantBytes(ref); len(refs) > 0 && bytes > wire.BatchBytes {
				d.Machine.PutBack(ref)
				break
			}
			refs = append(refs, ref)
			pending[i].Pending--
		}
		if !ok || pending[i].Pending <= 0 {
			pending = append(pending[:i], pending[i+1:]...)
		}
	}
	return refs
}

// Reroute looks up the routes of submitted jobs in the configuration in force, if that is new to them.
func (d *Dispatcher) Reroute() {
	if d.Config == nil {
		return
	}
	c := d.Config()
	changed := d.Machine.Reroute(d.Clock.Now(), c.Version, func(name string, o jobs.Origin) string {
		r, _ := c.BatchRoute(name, o.Host, o.Path)
		return r.Name
	})
	for _, r := range changed {
		d.Rerouted(r)
	}
}

// TakeUnasked returns the running jobs with pending items that no side has asked for in the given time, each
// once. Busy sides ask for none either, so the time has to be far above that of an item.
func (d *Dispatcher) TakeUnasked(wait time.Duration) []jobs.PendingNeed {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.Clock.Now().Add(-wait)
	pending := d.Machine.PendingNeeds()
	isUnasked := func(p jobs.PendingNeed) bool {
		return d.begunAt.Before(before) && p.Created.Before(before) && !d.askedAt[p.Need].After(before)
	}
	maps.DeleteFunc(d.unasked, func(job string, _ bool) bool {
		return !slices.ContainsFunc(pending, func(p jobs.PendingNeed) bool { return p.Job == job && isUnasked(p) })
	})
	var found []jobs.PendingNeed
	for _, p := range pending {
		if isUnasked(p) && !d.unasked[p.Job] {
			d.unasked[p.Job] = true
			found = append(found, p)
		}
	}
	return found
}

// UnaskedCount returns the number of jobs that TakeUnasked found last.
func (d *Dispatcher) UnaskedCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.unasked)
}

// next removes the next item of a job from the queue if the workspace's item rate allows.
func (d *Dispatcher) next(job rhubarbgate.PendingJob, needs map[string]bool) (jobs.ItemRef, bool) {
	if _, limited := d.ItemRate(job.Workspace); limited {
		if ok, _ := d.itemLimits.Take(job.Workspace, 1); !ok {
			return jobs.ItemRef{}, false
		}
	}
	return d.Machine.Next(job.Job, needs)
}

// LeaseHolder returns the name of a side's incarnation as the holder of leases.
func LeaseHolder(side, incarnation string) string { return side + "#" + incarnation }

// RegisterSide records the incarnation of a side that requests leases. It drops the
// deadlines of the leases of the side's earlier incarnations and returns these leases;
// the leader proposes their expiry. Those processes ended, so their work is lost and
// need not wait for LeaseTTL.
func (d *Dispatcher) RegisterSide(side, incarnation string) []jobs.ItemRef {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.incarnations[side] == incarnation {
		return nil
	}
	d.incarnations[side] = incarnation
	refs := d.Machine.LeasesHeldBy(func(holder string) bool {
		return strings.HasPrefix(holder, LeaseHolder(side, "")) && holder != LeaseHolder(side, incarnation)
	})
	for _, r := range refs {
		delete(d.deadlines, r)
	}
	return refs
}

// RecordGranted records which of the picked items were committed as leased, and queues the
// others again.
func (d *Dispatcher) RecordGranted(picked []jobs.ItemRef, granted []jobs.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	valid := make(map[jobs.ItemRef]bool, len(granted))
	for _, g := range granted {
		valid[g.Ref] = true
		d.deadlines[g.Ref] = now.Add(LeaseTTL)
	}
	var ungranted []jobs.ItemRef
	for _, r := range picked {
		if !valid[r] {
			ungranted = append(ungranted, r)
		}
	}
	d.Machine.Requeue(ungranted)
}

// Renew extends leases by LeaseTTL from now and reports which of them are still valid.
func (d *Dispatcher) Renew(refs []jobs.ItemRef) []bool {
	valid := d.Machine.LeasesValid(refs)
	d.mu.Lock()
	defer d.mu.Unlock()
	until := d.Clock.Now().Add(LeaseTTL)
	for i, r := range refs {
		if valid[i] {
			d.deadlines[r] = until
		}
	}
	return valid
}

// RemoveLeases drops the deadlines of leases whose items completed or were
// returned, and counts the completed ones for the completion rate.
func (d *Dispatcher) RemoveLeases(refs []jobs.ItemRef, completed int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range refs {
		delete(d.deadlines, r)
	}
	d.completed += float64(completed)
	d.updateCompletionRate()
}

// updateCompletionRate folds the completions since the last update into the
// moving average, at most once a second. The lock is held.
func (d *Dispatcher) updateCompletionRate() {
	now := d.Clock.Now()
	elapsed := now.Sub(d.rateUpdatedAt).Seconds()
	if elapsed < 1 {
		return
	}
	decay := math.Exp(-elapsed / completionRateWindow.Seconds())
	d.completionRate = d.completionRate*decay + d.completed/elapsed*(1-decay)
	d.completed, d.rateUpdatedAt = 0, now
}

// LeaseCount returns the number of leases whose deadline is tracked.
func (d *Dispatcher) LeaseCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.deadlines)
}

// TakeExpired returns the leases that were not renewed in time and drops their deadlines;
// the leader proposes their expiry.
func (d *Dispatcher) TakeExpired() []jobs.ItemRef {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	var expired []jobs.ItemRef
	for ref, deadline := range d.deadlines {
		if !now.Before(deadline) {
			expired = append(expired, ref)
			delete(d.deadlines, ref)
		}
	}
	return expired
}
