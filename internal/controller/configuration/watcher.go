package configuration

import (
	"expvar"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/policy/parents"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// maxBundles is how many bundles a relay keeps for its children; a child that lacks
// more gets the full configuration.
const maxBundles = 256

// Watcher polls the configuration of its parents, which are control hosts or
// relays. Its version never decreases. The callbacks run while the lock is held,
// so they must not call the Watcher.
type Watcher struct {
	Wire *wire.Client
	// Transport, if set, sends polls instead of Wire.
	Transport Transport
	// Parents are the configured parents; control hosts that a reply names are added.
	Parents []netip.AddrPort
	Clock   clockwork.Clock
	Random  *rand.Rand
	Logger  log.Interface
	// Failures counts polls that failed.
	Failures *expvar.Int
	// OnApplied, if set, is called after the first reply and after each new version.
	OnApplied func(*config.Config)
	// OnPeers, if set, is called with the peers that a reply names.
	OnPeers func(control.Peers)
	// OnTargets, if set, is called with the list of targets that a reply carries or
	// confirms, and when the list was requested from the platform.
	OnTargets func(list []rhubarbgate.Instance, requestedAt time.Time)
	// OnQuarantine, if set, is called with each newer quarantine and the time as of which it is.
	OnQuarantine func(q control.Quarantine, at time.Time)
	// OnTargetLimits, if set, is called with newer target limits.
	OnTargetLimits func(l control.TargetLimits)
	// OnEvacuation, if set, is called with newer evacuated zones and the time at which they were
	// known to be the newest.
	OnEvacuation func(s evacuation.Set, at time.Time)

	mu                 sync.RWMutex
	current            *config.Config
	bundles            []rhubarbgate.Bundle
	confirmedAt        time.Time
	groups             int
	backlog            []string
	peers              control.Peers
	targets            control.TargetList
	targetsRequestedAt time.Time
	quarantine         control.Quarantine // as of quarantineAt
	quarantineAt       time.Time
	targetLimits       control.TargetLimits
	evacuation         evacuation.Set
	needsFull          bool
	order              parents.Order // used by Run only
	notifier           Notifier
}

var _ Source = (*Watcher)(nil)

// parents returns the configured parents, then the control hosts that replies named.
func (w *Watcher) parents() []netip.AddrPort {
	w.mu.RLock()
	defer w.mu.RUnlock()
	r := slices.Clone(w.Parents)
	for _, a := range w.peers.Controls {
		if !slices.Contains(r, a) {
			r = append(r, a)
		}
	}
	return r
}

// Peers implements Source.
func (w *Watcher) Peers() control.Peers {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.peers
}

// pollVersion returns the version to report in a poll; 0 requests the full configuration.
func (w *Watcher) pollVersion() uint64 {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.needsFull || w.current == nil {
		return 0
	}
	return w.current.Version
}

// ApplyReply applies a reply to a poll that was sent at the given time. It reports
// whether the reply applies.
func (w *Watcher) ApplyReply(r *control.PollReply, sent time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.current
	if w.current == nil {
		w.current = config.New()
	}
	if !w.applyVersion(r) {
		return false
	}
	w.groups = r.Groups
	// The reply left the parent no earlier than this.
	repliedAt := sent.Add(r.Held)
	// The division of a cold target's rate has to be known before the target is.
	limitsChanged := w.applyTargetLimits(r.Limits)
	targetsChanged := w.applyTargets(r.Targets, repliedAt)
	quarantineChanged := w.applyQuarantine(r.Quarantine, repliedAt)
	evacuationChanged := w.applyEvacuation(r.Evacuation, repliedAt.Add(-r.Age))
	if len(r.Peers.Controls) > 0 {
		w.peers = r.Peers
		if w.OnPeers != nil {
			w.OnPeers(r.Peers)
		}
	}
	if at := repliedAt.Add(-r.Age); r.Version <= w.current.Version && at.After(w.confirmedAt) {
		w.confirmedAt = at
	}
	newNeeds := HasNewElement(w.backlog, r.Backlog)
	w.backlog = r.Backlog
	changed := previous == nil || w.current.Version > previous.Version
	if changed && w.OnApplied != nil {
		w.OnApplied(w.current)
	}
	if changed || newNeeds || targetsChanged || quarantineChanged || limitsChanged || evacuationChanged {
		w.notifier.Notify()
	}
	return true
}

// applyTargets applies a list of targets that was requested later than the current
// one, and reports whether its content differs. The lock is held.
func (w *Watcher) applyTargets(list *control.TargetList, repliedAt time.Time) bool {
	if list == nil {
		return false
	}
	at := repliedAt.Add(-list.Age)
	if !at.After(w.targetsRequestedAt) {
		return false
	}
	changed := list.Digest != w.targets.Digest
	if changed {
		w.targets = *list
	} else {
		w.targets = w.targets.Confirmed(at.Sub(w.targetsRequestedAt))
	}
	w.targetsRequestedAt = at
	if w.OnTargets != nil {
		w.OnTargets(w.targets.Current(), at)
	}
	return changed
}

// applyQuarantine applies a quarantine that is newer than the current one, and reports whether
// it was. The lock is held.
func (w *Watcher) applyQuarantine(q *control.Quarantine, repliedAt time.Time) bool {
	if q == nil || !q.Version.NewerThan(w.quarantine.Version) {
		return false
	}
	w.quarantine, w.quarantineAt = *q, repliedAt
	if w.OnQuarantine != nil {
		w.OnQuarantine(*q, repliedAt)
	}
	return true
}

// Quarantine implements Source.
func (w *Watcher) Quarantine(now time.Time) control.Quarantine {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.quarantine.Aged(now.Sub(w.quarantineAt))
}

// applyTargetLimits applies target limits that are newer than the current ones, and reports
// whether they were. The lock is held.
func (w *Watcher) applyTargetLimits(l *control.TargetLimits) bool {
	if l == nil || !l.Version.NewerThan(w.targetLimits.Version) {
		return false
	}
	w.targetLimits = *l
	if w.OnTargetLimits != nil {
		w.OnTargetLimits(*l)
	}
	return true
}

// TargetLimits implements Source.
func (w *Watcher) TargetLimits() control.TargetLimits {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.targetLimits
}

// applyEvacuation applies evacuated zones that are newer than the current ones, and reports whether
// they were. The lock is held.
func (w *Watcher) applyEvacuation(s *evacuation.Set, at time.Time) bool {
	if s == nil || s.Version <= w.evacuation.Version {
		return false
	}
	w.evacuation = *s
	if w.OnEvacuation != nil {
		w.OnEvacuation(*s, at)
	}
	return true
}

// Evacuation implements Source.
func (w *Watcher) Evacuation() evacuation.Set {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.evacuation
}

// Targets implements Source.
func (w *Watcher) Targets() (control.TargetList, time.Time) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.targets, w.targetsRequestedAt
}

// applyVersion moves to the version of the reply if it is higher, and reports false
// if the reply does not apply. The lock is held.
func (w *Watcher) applyVersion(r *control.PollReply) bool {
	switch {
	case r.Section != nil && (r.Version > w.current.Version || w.needsFull):
		return w.applyFull(r)
	case len(r.Bundles) > 0 && r.Version > w.current.Version:
		return w.applyBundles(r)
	default:
		return true
	}
}

// applyFull replaces the configuration by the full one of the reply unless its
// version is lower or its checksum differs. The lock is held.
func (w *Watcher) applyFull(r *control.PollReply) bool {
	if r.Version < w.current.Version {
		return false
	}
	c := config.FromSection(r.Version, r.Digest, *r.Section)
	if c.Sum != r.Sum {
		w.Logger.WithField("version", r.Version).Error("full configuration dropped: its checksum differs")
		return false
	}
	w.current, w.bundles, w.needsFull = c, nil, false
	return true
}

// applyBundles applies the bundles of the reply, or none of them if one does not
// apply or the checksum differs; the next poll then requests the full
// configuration. The lock is held.
func (w *Watcher) applyBundles(r *control.PollReply) bool {
	c := w.current
	var applied []rhubarbgate.Bundle
	for i := range r.Bundles {
		b := &r.Bundles[i]
		if b.Version <= c.Version {
			continue
		}
		next, err := c.With(b)
		if err != nil {
			w.Logger.WithError(err).Error("configuration bundle does not apply; requesting the full configuration")
			w.needsFull = true
			return false
		}
		c = next
		applied = append(applied, *b)
	}
	if c.Version == r.Version && c.Sum != r.Sum {
		w.Logger.WithField("version", r.Version).Error("configuration bundles dropped: the checksum differs; requesting the full configuration")
		w.needsFull = true
		return false
	}
	w.current = c
	w.bundles = append(w.bundles, applied...)
	if n := len(w.bundles); n > maxBundles {
		w.bundles = append([]rhubarbgate.Bundle(nil), w.bundles[n-maxBundles:]...)
	}
	return true
}

// Current implements Source.
func (w *Watcher) Current() *config.Config {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.current == nil {
		return config.New()
	}
	return w.current
}

// ConfirmedAt implements Source.
func (w *Watcher) ConfirmedAt() time.Time {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.confirmedAt
}

// Since implements Source.
func (w *Watcher) Since(version uint64) ([]rhubarbgate.Bundle, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.current == nil || version > w.current.Version {
		return nil, false
	}
	n := w.current.Version - version
	if n > uint64(len(w.bundles)) {
		return nil, false
	}
	return append([]rhubarbgate.Bundle(nil), w.bundles[uint64(len(w.bundles))-n:]...), true
}

// Changed implements Source.
func (w *Watcher) Changed() <-chan struct{} { return w.notifier.Wait() }

// Groups implements Source.
func (w *Watcher) Groups() int {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.groups
}

// Backlog implements Source.
func (w *Watcher) Backlog() []string {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.backlog
}

// HasNewElement reports whether the new list has an element that the old one lacks.
func HasNewElement(old, list []string) bool {
	for _, x := range list {
		if !slices.Contains(old, x) {
			return true
		}
	}
	return false
}
