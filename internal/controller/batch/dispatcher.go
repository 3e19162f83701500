// Package batch leases batch items to sides, on the leader of a job group.
package batch

import (
	"math"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

// LeaseTTL is how long a lease lasts without renewal.
const LeaseTTL = 3 * time.Second

// paceWindow smooths the measured pace of completions.
const paceWindow = 10 * time.Second

// Dispatcher chooses items and keeps the deadlines of their leases. The leases
// themselves are in the replicated state; a new leader gives each a full TTL.
type Dispatcher struct {
	Clock   clockwork.Clock
	Machine *jobs.Machine
	Order   rhubarbgate.Order
	// Weight returns a workspace's share.
	Weight func(workspace string) float64
	// ItemRate returns the limit of items started, if the workspace has one.
	ItemRate func(workspace string) (limit.Rate, bool)

	mu        sync.Mutex
	sides     map[string]string // incarnations by name
	deadlines map[jobs.ItemRef]time.Time
	items     *limit.Static
	pace      float64
	completed float64
	paceAt    time.Time
}

// Begin takes over as the leader's dispatcher.
func (d *Dispatcher) Begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	d.deadlines = map[jobs.ItemRef]time.Time{}
	d.sides = map[string]string{}
	d.items = &limit.Static{Clock: d.Clock, Rates: d.ItemRate, Entries: 1, Empty: true}
	d.paceAt = now
	d.Machine.BeginLeasing()
	d.Machine.LeasedItems(func(r jobs.ItemRef) { d.deadlines[r] = now.Add(LeaseTTL) })
}

// Pick chooses up to n pending items that need one of needs. The caller proposes
// their lease and then calls Granted.
func (d *Dispatcher) Pick(needs []string, n int) []jobs.ItemRef {
	d.mu.Lock()
	defer d.mu.Unlock()
	set := make(map[string]bool, len(needs))
	for _, x := range needs {
		set[x] = true
	}
	lots := d.Machine.Lots(set, d.Weight)
	for i := range lots {
		lots[i].ItemsPerSecond = d.pace
	}
	now := d.Clock.Now()
	var refs []jobs.ItemRef
	for len(refs) < n && len(lots) > 0 {
		i := d.Order.Next(now, lots)
		ref, ok := d.next(lots[i], set)
		if ok {
			refs = append(refs, ref)
			lots[i].Pending--
		}
		if !ok || lots[i].Pending <= 0 {
			lots = append(lots[:i], lots[i+1:]...)
		}
	}
	return refs
}

// next takes an item of the lot if the workspace's item rate allows.
func (d *Dispatcher) next(l rhubarbgate.Lot, needs map[string]bool) (jobs.ItemRef, bool) {
	if _, limited := d.ItemRate(l.Workspace); limited {
		if ok, _ := d.items.Take(l.Workspace, 1); !ok {
			return jobs.ItemRef{}, false
		}
	}
	return d.Machine.Next(l.Job, needs)
}

// LeaseHolder returns the name under which the leases of a side's incarnation are kept.
func LeaseHolder(side, incarnation string) string { return side + "#" + incarnation }

// RegisterSide notes that a side asks for leases, and returns those that earlier
// incarnations of it held: their work is lost.
func (d *Dispatcher) RegisterSide(side, incarnation string) []jobs.ItemRef {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sides[side] == incarnation {
		return nil
	}
	d.sides[side] = incarnation
	refs := d.Machine.HeldBy(func(h string) bool {
		return strings.HasPrefix(h, LeaseHolder(side, "")) && h != LeaseHolder(side, incarnation)
	})
	for _, r := range refs {
		delete(d.deadlines, r)
	}
	return refs
}

// Granted records the leases that were committed out of those picked.
func (d *Dispatcher) Granted(picked []jobs.ItemRef, granted []jobs.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	live := make(map[jobs.ItemRef]bool, len(granted))
	for _, g := range granted {
		live[g.Ref] = true
		d.deadlines[g.Ref] = now.Add(LeaseTTL)
	}
	var lost []jobs.ItemRef
	for _, r := range picked {
		if !live[r] {
			lost = append(lost, r)
		}
	}
	d.Machine.Requeue(lost)
}

// Renew prolongs leases and reports which are still valid.
func (d *Dispatcher) Renew(refs []jobs.ItemRef) []bool {
	live := d.Machine.Live(refs)
	d.mu.Lock()
	defer d.mu.Unlock()
	until := d.Clock.Now().Add(LeaseTTL)
	for i, r := range refs {
		if live[i] {
			d.deadlines[r] = until
		}
	}
	return live
}

// RemoveLeases forgets leases that were completed or returned.
func (d *Dispatcher) RemoveLeases(refs []jobs.ItemRef, completed int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range refs {
		delete(d.deadlines, r)
	}
	d.completed += float64(completed)
	d.updatePace()
}

func (d *Dispatcher) updatePace() {
	now := d.Clock.Now()
	dt := now.Sub(d.paceAt).Seconds()
	if dt < 1 {
		return
	}
	keep := math.Exp(-dt / paceWindow.Seconds())
	d.pace = d.pace*keep + d.completed/dt*(1-keep)
	d.completed, d.paceAt = 0, now
}

// Leases returns the number of leases whose end is watched.
func (d *Dispatcher) Leases() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.deadlines)
}

// Expired takes out the leases that were not renewed in time.
func (d *Dispatcher) Expired() []jobs.ItemRef {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	var r []jobs.ItemRef
	for ref, at := range d.deadlines {
		if !now.Before(at) {
			r = append(r, ref)
			delete(d.deadlines, ref)
		}
	}
	return r
}
