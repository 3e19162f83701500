package discovery

import (
	"context"
	"expvar"
	"maps"
	"net/netip"
	"time"

	"github.com/apex/log"

	"rhubarbgate.example/rhubarbgate"
)

// The platform's list shows a restarted target late. Its new instance is known at once from
// the response with which it refuses a request for the earlier one. The address does not
// show that it is of the same service, since addresses are used again, and neither does the
// list, which lags. But an address stays unused for a while before a target of another
// service gets it. So an instance is of the same service if its address was in use without
// such a pause since the earlier instance ran a request; see Presence.

const (
	// adoptionTTL bounds how long an adopted instance replaces the earlier one in lists
	// that still show that one. The list lags by less.
	adoptionTTL = 4 * time.Second
	// refusedAdoptionPause is how long no further attempt is made for an address that may have
	// gone to another service, and how long its earlier target gets no requests.
	refusedAdoptionPause = 2 * time.Second
)

// adoption replaces an instance in the list by one that restarted at its address.
type adoption struct {
	earlier, current string // IDs of instances
	until            time.Time
}

// continuity is the result of a call of Table.Continuity.
type continuity struct {
	since time.Time
	known bool
}

// covers reports whether the address had targets of one service since before the given time.
func (c continuity) covers(t *time.Time) bool { return c.known && t != nil && !c.since.After(*t) }

// RecordRun records that the target ran a request that was sent at the given time: it was
// there then or later.
func (x *Target) RecordRun(sent time.Time) {
	for {
		at := x.ranAt.Load()
		if at != nil && !sent.After(*at) || x.ranAt.CompareAndSwap(at, &sent) {
			return
		}
	}
}

// recordReplaced records that another instance, which cannot be used yet, responded at the target's address.
func (x *Target) recordReplaced(now time.Time) { x.replacedAt.Store(&now) }

// isReplaced reports whether another instance had the target's address a short time ago.
func (x *Target) isReplaced(now time.Time) bool {
	at := x.replacedAt.Load()
	return at != nil && now.Sub(*at) < refusedAdoptionPause
}

// Replaced reports whether another instance than the listed one had its address a short time ago, so that
// requests for it would be refused.
func (t *Table) Replaced(i rhubarbgate.Instance) bool {
	x := t.Target(i)
	return x != nil && x.isReplaced(t.Clock.Now())
}

// Adopt replaces a target by the instance that refused a request for it at its address, if
// that is of the same service, and returns the new target or nil. The request was sent at the
// given time. Concurrent calls for one instance share one question to Continuity.
func (t *Table) Adopt(ctx context.Context, x *Target, id string, sent time.Time) *Target {
	if x == nil || id == "" || id == x.Instance.ID {
		return nil
	}
	if t.Continuity == nil || t.adoptionPaused(x.Instance.Address) {
		x.recordReplaced(t.Clock.Now())
		return nil
	}
	answer, _, _ := t.confirming.Do(id+"@"+x.Instance.Address.String(), func() (any, error) {
		since, known := t.Continuity(ctx, x.Instance.Address)
		return continuity{since, known}, nil
	})
	c := answer.(continuity)
	now := t.Clock.Now()
	f := log.Fields{"target": id, "address": x.Instance.Address.String(), "earlier": x.Instance.ID, "service": x.Instance.Service}
	if at := x.ranAt.Load(); at != nil {
		f["lastRun"] = now.Sub(*at).String()
	}
	if c.known {
		f["inUse"] = now.Sub(c.since).String()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.covers(x.ranAt.Load()) {
		t.adoptionPauses[x.Instance.Address] = now.Add(refusedAdoptionPause)
		addTo(t.Unconfirmed)
		x.recordReplaced(now)
		t.Logger.WithFields(f).Info("another instance is at the target's address; the list has to show its service")
		return nil
	}
	added := t.adopt(x, id, now, f)
	if added != nil {
		added.RecordRun(sent)
	}
	return added
}

// adopt replaces the target, unless the list did so meanwhile. The lock is held.
func (t *Table) adopt(x *Target, id string, now time.Time, f log.Fields) *Target {
	k := targetKey{id, x.Instance.Address, x.Instance.Service}
	if listed := t.targets[k]; listed != nil {
		return listed
	}
	if _, ok := t.targets[keyOf(x.Instance)]; !ok {
		return nil
	}
	t.adoptions[k.address] = adoption{earlier: x.Instance.ID, current: id, until: now.Add(adoptionTTL)}
	delete(t.targets, keyOf(x.Instance))
	x.Client.CloseIdle()
	restarted := x.Instance
	restarted.ID, restarted.Leaving, restarted.Version, restarted.ColdLeft = id, false, "", 0
	addTo(t.Adopted)
	t.Logger.WithFields(f).Info("target restarted, ahead of the list")
	t.Cold.ObserveStart(TargetName(restarted), restarted.Service)
	added := t.add(k, restarted)
	added.unlisted.Store(true)
	return added
}

// addTo counts an event if there is a counter.
func addTo(v *expvar.Int) {
	if v != nil {
		v.Add(1)
	}
}

// adoptionPaused reports whether an adoption at the address was refused a short time ago.
func (t *Table) adoptionPaused(a netip.AddrPort) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.Clock.Now().Before(t.adoptionPauses[a])
}

// withAdoptions returns the list with the adopted instances in place of the earlier ones. An
// adoption ends when the list shows another instance at its address, or none. The lock is
// held.
func (t *Table) withAdoptions(list []rhubarbgate.Instance) []rhubarbgate.Instance {
	now := t.Clock.Now()
	maps.DeleteFunc(t.adoptionPauses, func(_ netip.AddrPort, until time.Time) bool { return !now.Before(until) })
	if len(t.adoptions) == 0 {
		return list
	}
	kept := map[netip.AddrPort]adoption{}
	r := make([]rhubarbgate.Instance, len(list))
	for i, x := range list {
		r[i] = x
		if a, ok := t.adoptions[x.Address]; ok && x.ID == a.earlier && now.Before(a.until) {
			r[i].ID, r[i].Leaving, r[i].Version, r[i].ColdLeft = a.current, false, "", 0
			kept[x.Address] = a
		}
	}
	t.adoptions = kept
	return r
}

// isAdopted reports whether the instance is in place of an earlier one that the list still shows. The
// lock is held.
func (t *Table) isAdopted(i rhubarbgate.Instance) bool {
	a, ok := t.adoptions[i.Address]
	return ok && a.current == i.ID
}
