package discovery

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/apex/log"

	"rhubarbgate.example/rhubarbgate"
)

// The platform's list shows a restarted target late. Its new instance is known at once from
// the response with which it refuses a request for the earlier one. The address alone does
// not show that it is of the same service, since addresses are used again; but a target with
// a side of the fleet is the target of that host for as long as the side is there.

const (
	// adoptionTTL bounds how long an adopted instance replaces the earlier one in lists
	// that still show that one. The list lags by less.
	adoptionTTL = 4 * time.Second
	// refusedAdoptionPause is how long no further attempt is made for an address without a
	// side that confirms it.
	refusedAdoptionPause = 2 * time.Second
)

// adoption replaces an instance in the list by one that restarted at its address.
type adoption struct {
	earlier, current string // IDs of instances
	until            time.Time
}

// Adopt replaces a target by the instance that responded at its address, if Confirm confirms
// the address, and returns the new target or nil. Concurrent calls for one address share one
// confirmation.
func (t *Table) Adopt(ctx context.Context, x *Target, id string) *Target {
	if t.Confirm == nil || x == nil || id == "" || id == x.Instance.ID || t.adoptionPaused(x.Instance.Address) {
		return nil
	}
	confirmed, _, _ := t.confirming.Do(x.Instance.Address.String(), func() (any, error) {
		return t.Confirm(ctx, x.Instance), nil
	})
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if confirmed != true {
		t.adoptionPauses[x.Instance.Address] = now.Add(refusedAdoptionPause)
		return nil
	}
	return t.adopt(x, id, now)
}

// adopt replaces the target, unless the list did so meanwhile. The lock is held.
func (t *Table) adopt(x *Target, id string, now time.Time) *Target {
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
	restarted.ID, restarted.Leaving, restarted.Version = id, false, ""
	t.Logger.WithFields(log.Fields{"target": id, "address": k.address.String(), "earlier": x.Instance.ID}).Info("target restarted, ahead of the list")
	added := t.add(k, restarted)
	added.unlisted.Store(true)
	return added
}

// adoptionPaused reports whether the address was not confirmed a short time ago.
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
			r[i].ID, r[i].Leaving, r[i].Version = a.current, false, ""
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
